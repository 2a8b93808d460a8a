package route

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"chutereach/config"
	"chutereach/control"
	"chutereach/hall"
	"chutereach/member"
	"chutereach/timeline"
)

// The opening hour: many requests in one instant on few slots.
const (
	openRequests  = 20_000
	openWithin    = 100 * time.Millisecond
	openUpstreams = 50
	openSlots     = 8
	openBoxes     = 9
	heavyShare    = 0.15
	hopDelay      = time.Millisecond // there and back between halls
	openDeadline  = 2 * time.Second
	slowFactor    = 10
)

// arrival is one request of the burst.
type arrival struct {
	at      time.Duration
	service time.Duration
	class   config.Class
	box     int
	waited  time.Duration
	refused bool
}

// burst draws the arrivals: light ones take 5 to 12 ms, heavy ones 12 to 20 ms.
func burst() []arrival {
	rng := rand.New(rand.NewPCG(7, 8))
	all := make([]arrival, openRequests)
	for i := range all {
		a := arrival{at: time.Duration(rng.Int64N(int64(openWithin))), class: config.Urgent, box: i % openBoxes}
		a.service = 5*time.Millisecond + time.Duration(rng.Int64N(int64(7*time.Millisecond)))
		if rng.Float64() < heavyShare {
			a.class = config.Batch
			a.service = 12*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Millisecond)))
		}
		all[i] = a
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// slotsFree is when each slot is free next.
type slotsFree []time.Duration

func (s slotsFree) Len() int           { return len(s) }
func (s slotsFree) Less(i, j int) bool { return s[i] < s[j] }
func (s slotsFree) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slotsFree) Push(x any)        { *s = append(*s, x.(time.Duration)) }
func (s *slotsFree) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// ideal works out the waits of one queue over all slots, urgent first, which no
// spread over boxes can beat; fifo makes it one queue without classes.
func ideal(all []arrival, fifo bool) {
	free := make(slotsFree, openUpstreams*openSlots)
	var urgent, batch []int
	next := 0
	for served := 0; served < len(all); served++ {
		now := heap.Pop(&free).(time.Duration)
		if len(urgent)+len(batch) == 0 && next < len(all) {
			now = max(now, all[next].at)
		}
		for ; next < len(all) && all[next].at <= now; next++ {
			if fifo || all[next].class == config.Urgent {
				urgent = append(urgent, next)
			} else {
				batch = append(batch, next)
			}
		}
		queue := &urgent
		if len(urgent) == 0 {
			queue = &batch
		}
		a := &all[(*queue)[0]]
		*queue = (*queue)[1:]
		a.waited = now - a.at
		heap.Push(&free, now+a.service)
	}
}

// trouble is what is wrong in a run of the burst.
type trouble struct {
	slow int  // upstreams, the first so many, that take ten times as long
	skew bool // half of the requests come in at one box
}

// String names x behind a way of choosing.
func (x trouble) String() string {
	switch {
	case x.slow > 0:
		return fmt.Sprintf(", %d upstreams slow", x.slow)
	case x.skew:
		return ", half at one box"
	}
	return ""
}

// openCell is routers that hand requests to each other without a network.
func openCell(choose func() Chooser, pulls bool, x trouble) []*Router {
	var rows []control.BoxRow
	for i := range openBoxes {
		rows = append(rows, control.BoxRow{Incarnation: control.Incarnation(fmt.Sprintf("box-%d.x", i))})
	}
	var routers []*Router
	for _, row := range rows {
		m := member.New(row, nil, &timeline.Clock{}, func() member.State { return member.State{} })
		r := New(Deps{Self: row, Members: m, Longest: func(string) time.Duration { return openDeadline }, Leaving: func() bool { return false }, Log: zerolog.Nop()})
		r.chooser = choose()
		routers = append(routers, r)
	}
	for i, r := range routers {
		r.hopTo = func(ctx context.Context, to control.BoxRow, _ string, req *Request) (reply, error) {
			time.Sleep(hopDelay / 2)
			j := slices.IndexFunc(rows, func(x control.BoxRow) bool { return x.Incarnation == to.Incarnation })
			got, err := routers[j].Forwarded(ctx, req)
			time.Sleep(hopDelay / 2)
			return got, err
		}
		r.tell = func(_ context.Context, to control.BoxRow, h handoverRequest) (int, error) {
			j := slices.IndexFunc(rows, func(x control.BoxRow) bool { return x.Incarnation == to.Incarnation })
			return routers[j].HandedOver(context.Background(), h)
		}
		r.ask = func(ctx context.Context, to control.BoxRow, p pullRequest) (pullReply, error) {
			if !pulls {
				return pullReply{}, context.Canceled
			}
			time.Sleep(hopDelay / 2)
			j := slices.IndexFunc(rows, func(x control.BoxRow) bool { return x.Incarnation == to.Incarnation })
			got, err := routers[j].Pulled(ctx, p)
			time.Sleep(hopDelay / 2)
			return got, err
		}
		for j, row := range rows {
			if j != i {
				r.members.AddPeer(row, time.Now().Add(time.Hour))
			}
		}
	}
	slow := map[string]bool{}
	for i := range openUpstreams {
		slow[fmt.Sprintf("up-%d", i)] = i < x.slow
		e := hall.Endpoint{Service: "s", Attempt: fmt.Sprintf("up-%d", i), Slots: openSlots, MaxConns: openSlots}
		for _, r := range routers {
			r.members.SetLocalEndpoints(e.Attempt, 1, []hall.Endpoint{e})
		}
	}
	for _, r := range routers {
		r.Refresh()
		for _, u := range r.pool("s").upstreams {
			u.send = func(_ context.Context, req *Request, _ int64) (*Answer, error) {
				took := time.Duration(len(req.Body)) * time.Microsecond
				if slow[u.Attempt] {
					took *= slowFactor
				}
				time.Sleep(took)
				return &Answer{Status: 200}, nil
			}
		}
	}
	for _, r := range routers {
		for j, other := range routers {
			r.members.SetLoad(rows[j].Incarnation, "s", other.pool("s").load())
		}
	}
	return routers
}

// play sends the burst through a cell and notes the waits.
func play(routers []*Router, all []arrival, fifo bool) {
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range all {
		a := &all[i]
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(a.at)))
			class := a.class
			if fifo {
				class = config.Urgent
			}
			req := &Request{
				ID: "x", Account: "a", Body: make([]byte, a.service.Microseconds()), Deadline: begin.Add(a.at + openDeadline),
				Route: config.Route{Service: "s", Class: class, Safety: config.SafeRepeat, Queue: openRequests, Deadline: openDeadline},
			}
			_, err := routers[a.box].Do(context.Background(), req)
			a.refused = err != nil
			a.waited = time.Since(begin.Add(a.at)) - a.service
		})
	}
	wg.Wait()
}

// figures are what a run shows of one class.
type figures struct {
	p50, p99, p999 time.Duration
	inTime         float64 // share answered within the deadline
}

func figuresOf(all []arrival, class config.Class) figures {
	var waits []time.Duration
	n, good := 0, 0
	for _, a := range all {
		if a.class != class {
			continue
		}
		n++
		if a.refused {
			continue
		}
		waits = append(waits, a.waited)
		if a.waited+a.service <= openDeadline {
			good++
		}
	}
	slices.Sort(waits)
	at := func(q float64) time.Duration { return waits[int(q*float64(len(waits)-1))] }
	return figures{at(0.5), at(0.99), at(0.999), float64(good) / float64(n)}
}

// The way that is kept, and the one that it must beat.
const (
	keptName  = "two choices, pulling"
	rivalName = "round robin"
)

// TestOpeningHour plays the opening hour in a bubble, where computing takes no
// time, so that waits are those of the policy alone; -v prints them. What is
// kept must be close to one queue over all slots and better than what it was
// chosen over.
func TestOpeningHour(t *testing.T) {
	perfect := burst()
	ideal(perfect, false)
	bound := figuresOf(perfect, config.Urgent)
	show(t, "one queue, urgent first (bound)", perfect)
	oneQueue := burst()
	ideal(oneQueue, true)
	show(t, "one queue, first come", oneQueue)
	got := map[string]figures{}
	troubles := []trouble{{}}
	if testing.Verbose() {
		troubles = append(troubles, trouble{slow: 5}, trouble{skew: true})
	}
	for _, x := range troubles {
		for _, c := range []struct {
			name   string
			choose func() Chooser
			pulls  bool
			fifo   bool
		}{
			{"least crowded, pulling", func() Chooser { return LeastCrowded{} }, true, false},
			{keptName, func() Chooser { return TwoChoices{} }, true, false},
			{"least crowded", func() Chooser { return LeastCrowded{} }, false, false},
			{"two choices", func() Chooser { return TwoChoices{} }, false, false},
			{rivalName, func() Chooser { return &RoundRobin{} }, false, false},
			{"round robin, first come", func() Chooser { return &RoundRobin{} }, false, true},
		} {
			if !testing.Verbose() && c.name != keptName && c.name != rivalName {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				all := burst()
				for i := range all {
					if x.skew && i%2 == 0 {
						all[i].box = 0
					}
				}
				play(openCell(c.choose, c.pulls, x), all, c.fifo)
				name := fmt.Sprintf("%s%s", c.name, x)
				show(t, name, all)
				got[name] = figuresOf(all, config.Urgent)
			})
		}
	}
	kept := got[keptName]
	if ratio := kept.p99.Seconds() / bound.p99.Seconds(); ratio > 1.3 {
		t.Errorf("urgent p99 is %.2f times the bound", ratio)
	}
	if kept.p99 > got[rivalName].p99 || kept.inTime < 1 {
		t.Errorf("kept: %+v, round robin: %+v", kept, got[rivalName])
	}
}

func show(t *testing.T, name string, all []arrival) {
	u, b := figuresOf(all, config.Urgent), figuresOf(all, config.Batch)
	t.Logf("%-52s urgent p50 %4d p99 %4d p99.9 %4d ms, heavy p99 %4d ms, in time %.1f%%", name, u.p50.Milliseconds(),
		u.p99.Milliseconds(), u.p999.Milliseconds(), b.p99.Milliseconds(), 100*min(u.inTime, b.inTime))
}
