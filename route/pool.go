package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chutereach/config"
	"chutereach/control"
	"chutereach/hall"
	"chutereach/member"
)

// pool is the upstreams of one service whose home is this box, and the requests
// that wait for them.
type pool struct {
	mu        sync.Mutex
	upstreams map[string]*upstream // by attempt
	waiting   *waiters[*waiter]
	slots     int
	busy      int
	service   time.Duration // smoothed time that a request takes
	wakeup    *time.Timer   // when an ejected upstream may be tried again
	low       func()        // called, with the lock held, when the queue runs low
	pulling   atomic.Bool   // requests are being pulled from another box
}

// waiter is a request that waits for a slot.
type waiter struct {
	got   chan turn // has room for the one turn
	place place
}

// turn is what a request waited for: a slot here, or a box that has one, or word
// that there will be none.
type turn struct {
	up *upstream
	to control.BoxRow // where up is nil
}

// smoothing is the weight of the newest service time, as one part in so many.
const smoothing = 16

func newPool() *pool {
	return &pool{upstreams: map[string]*upstream{}, waiting: newWaiters[*waiter](), low: func() {}}
}

// set replaces the upstreams. One that is not listed any more gets nothing new;
// what it has in hand ends.
//
// Those that moved here from another box begin with all slots reserved; they are
// returned.
func (p *pool) set(list []hall.Endpoint, moved map[string]control.Incarnation) (taken []hall.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.Attempt] = true
		u := p.upstreams[e.Attempt]
		if u == nil {
			u = newUpstream(e)
			p.upstreams[e.Attempt] = u
			if _, from := moved[e.Attempt]; from {
				u.reserved = e.Slots
				taken = append(taken, e)
			}
		}
		u.leaving = e.Draining
	}
	for id, u := range p.upstreams {
		if listed[id] {
			continue
		}
		u.leaving = true
		if u.busy == 0 {
			u.client.CloseIdleConnections()
			delete(p.upstreams, id)
		}
	}
	p.slots = 0
	for _, u := range p.upstreams {
		if !u.leaving {
			p.slots += u.Slots
		}
	}
	p.hand(time.Now())
	p.turnAway()
	return taken
}

// turnAway sends those who wait to look elsewhere if no upstream has its home
// here any more. The caller holds p.mu.
func (p *pool) turnAway() {
	for p.slots == 0 && p.waiting.len > 0 {
		w, _ := p.waiting.pop()
		w.got <- turn{}
	}
}

// load returns what the pool has in hand.
func (p *pool) load() member.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return member.Load{Slots: p.slots, Busy: p.busy, Queued: p.waiting.len, Urgent: p.waiting.ahead(config.Urgent)}
}

// acquire waits for a slot for r. A request that cannot make its deadline is
// refused at once.
func (p *pool) acquire(ctx context.Context, r *Request, avoid string) (turn, error) {
	p.mu.Lock()
	now := time.Now()
	if p.waiting.len == 0 {
		if u := p.pick(now, avoid); u != nil {
			p.take(u)
			p.mu.Unlock()
			return turn{up: u}, nil
		}
	}
	if err := p.admit(r, now); err != nil {
		p.mu.Unlock()
		return turn{}, err
	}
	w := &waiter{got: make(chan turn, 1)}
	w.place = p.waiting.push(r.Route.Class, r.Account, w)
	p.mu.Unlock()
	return p.await(ctx, w, r)
}

// admit refuses a request that has no chance here.
func (p *pool) admit(r *Request, now time.Time) error {
	if p.slots == 0 {
		return &NotRunError{CauseMoved, spread(time.Second)}
	}
	wait := p.estimate(r)
	if p.waiting.len >= r.Route.Queue {
		return &NotRunError{CauseQueueFull, spread(wait)}
	}
	if now.Add(wait).After(r.Deadline) {
		return &NotRunError{CauseTooLate, spread(wait)}
	}
	return nil
}

// estimate returns for how long a new request of r's class would wait.
func (p *pool) estimate(r *Request) time.Duration {
	ahead := p.waiting.ahead(r.Route.Class) + 1
	return p.service * time.Duration(ahead) / time.Duration(max(p.slots, 1))
}

// spread returns between d and 2d, and a second at the least, so that callers
// that were refused together do not come back together.
func spread(d time.Duration) time.Duration {
	d = max(d, time.Second)
	return d + time.Duration(rand.Int64N(int64(d)))
}

func (p *pool) await(ctx context.Context, w *waiter, r *Request) (turn, error) {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	cause := CauseTooLate
	select {
	case t := <-w.got:
		return t, nil
	case <-timer.C:
	case <-ctx.Done():
		if time.Now().Before(r.Deadline) {
			cause = CauseLeft
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case t := <-w.got: // just now: give it on
		if t.up != nil {
			p.put(t.up, time.Now())
		}
	default:
		p.waiting.remove(w.place)
	}
	return turn{}, &NotRunError{cause, spread(p.estimate(r))}
}

// pick returns the upstream with the most room, other than avoid if there is
// another. Ejections count only while some upstream is not ejected: one that
// fails may serve again at any moment, and none certainly serves nobody. The
// caller holds p.mu.
func (p *pool) pick(now time.Time, avoid string) *upstream {
	all := p.allEjected(now)
	var best *upstream
	for id, u := range p.upstreams {
		if !u.free(now) || !all && u.ejected.After(now) {
			continue
		}
		if best == nil || better(u, best, id == avoid, best.Attempt == avoid) {
			best = u
		}
	}
	return best
}

func (p *pool) allEjected(now time.Time) bool {
	for _, u := range p.upstreams {
		if !u.leaving && !u.ejected.After(now) {
			return false
		}
	}
	return true
}

func better(u, than *upstream, avoided, thanAvoided bool) bool {
	if avoided != thanAvoided {
		return thanAvoided
	}
	return float64(u.busy+u.reserved)*than.limit < float64(than.busy+than.reserved)*u.limit
}

func (p *pool) take(u *upstream) {
	u.busy++
	p.busy++
}

// put gives a slot back and hands it on. The caller holds p.mu.
func (p *pool) put(u *upstream, now time.Time) {
	u.busy--
	p.busy--
	if u.leaving && u.busy == 0 && p.upstreams[u.Attempt] == u {
		u.client.CloseIdleConnections()
		delete(p.upstreams, u.Attempt)
	}
	p.hand(now)
}

// hand gives free slots to those who wait. The caller holds p.mu.
func (p *pool) hand(now time.Time) {
	for p.waiting.len > 0 {
		u := p.pick(now, "")
		if u == nil {
			p.wakeForEjected(now)
			break
		}
		w, _ := p.waiting.pop()
		p.take(u)
		w.got <- turn{up: u}
	}
	p.checkLow()
}

// checkLow asks for more if the queue runs low. The caller holds p.mu.
func (p *pool) checkLow() {
	if p.slots > 0 && p.waiting.ahead(config.Urgent) < p.slots/lowWater {
		p.low()
	}
}

// wants returns how many requests the pool should pull, and whether only urgent
// ones.
func (p *pool) wants() (n int, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.slots - p.busy
	if p.waiting.len == 0 && idle > 0 {
		return idle + p.slots/lowWater, false
	}
	return p.slots - p.waiting.ahead(config.Urgent), true
}

// give hands up to n waiting requests on to another box, and returns how many.
func (p *pool) give(n int, urgent bool, to control.BoxRow) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := 0
	for given < n && p.waiting.len > 0 && (!urgent || p.waiting.ahead(config.Urgent) > 0) {
		w, _ := p.waiting.pop()
		w.got <- turn{to: to}
		given++
	}
	return given
}

// wakeForEjected hands out again when the first ejected upstream may be tried.
func (p *pool) wakeForEjected(now time.Time) {
	var first time.Time
	for _, u := range p.upstreams {
		if u.ejected.After(now) && (first.IsZero() || u.ejected.Before(first)) {
			first = u.ejected
		}
	}
	if first.IsZero() {
		return
	}
	if p.wakeup != nil {
		p.wakeup.Stop()
	}
	p.wakeup = time.AfterFunc(first.Sub(now)+time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.hand(time.Now())
	})
}

// result is what became of a request at an upstream.
type result struct {
	answer *Answer
	err    error
}

// run sends a request to an upstream whose slot it holds. The slot is given
// back when the upstream is done with it, even if the caller has gone before:
// until then the upstream may be at it still. An answer that comes late goes
// nowhere.
func (p *pool) run(ctx context.Context, u *upstream, r *Request, maxAnswer int64) (*Answer, error) {
	done := make(chan result, 1)
	go func() {
		bound, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(overtime))
		defer cancel()
		began := time.Now()
		a, err := u.send(bound, r, maxAnswer)
		p.finished(u, time.Since(began), err)
		done <- result{a, err}
	}()
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case got := <-done:
		return got.answer, got.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, &UnknownError{CauseDeadline}
}

// finished takes in how a request at an upstream went.
func (p *pool) finished(u *upstream, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if err == nil {
		u.strikes = 0
		u.adapt(took, p.service)
		p.service += (took - p.service) / smoothing
	} else {
		u.strike(now)
	}
	p.put(u, now)
}
