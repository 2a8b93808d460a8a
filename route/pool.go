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

// pool holds the upstreams of one service whose home is this box, and the requests that
// wait for their slots.
type pool struct {
	mu              sync.Mutex
	upstreams       map[string]*upstream // by attempt
	waiting         *fairQueue[*waiter]
	slots           int
	busy            int
	serviceTime     time.Duration // moving average
	redispatchTimer *time.Timer   // fires when the first ejection ends
	onLowWater      func()        // called with mu held when the queue falls below the low-water mark
	pulling         atomic.Bool   // a pull from other boxes is in progress
}

// waiter is a request that waits for a slot.
type waiter struct {
	assigned chan assignment // buffered, receives exactly one value
	position queuePosition
}

// assignment ends the wait of a request: with a slot of an upstream here, with another
// box that pulled the request, or, if both fields are empty, with neither, because no
// upstream has its home here any more.
type assignment struct {
	upstream *upstream
	to       control.BoxRow // used if upstream is nil
}

// serviceTimeSmoothing is the inverse of the weight of a new sample in the average
// service time.
const serviceTimeSmoothing = 16

func newPool() *pool {
	return &pool{upstreams: map[string]*upstream{}, waiting: newFairQueue[*waiter](), onLowWater: func() {}}
}

// setUpstreams replaces the upstreams. An upstream that is no longer listed gets no new
// requests and is removed when its current ones end.
//
// Upstreams that moved here from another box start with all slots reserved and are
// returned.
func (p *pool) setUpstreams(list []hall.Endpoint, moved map[string]control.Incarnation) (takenOver []hall.Endpoint) {
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
				takenOver = append(takenOver, e)
			}
		}
		u.retiring = e.Draining
	}
	for id, u := range p.upstreams {
		if listed[id] {
			continue
		}
		u.retiring = true
		if u.busy == 0 {
			u.client.CloseIdleConnections()
			delete(p.upstreams, id)
		}
	}
	p.slots = 0
	for _, u := range p.upstreams {
		if !u.retiring {
			p.slots += u.Slots
		}
	}
	p.dispatch(time.Now())
	p.releaseWaiters()
	return takenOver
}

// releaseWaiters ends the wait of all requests if no upstream has its home here any
// more. The caller holds p.mu.
func (p *pool) releaseWaiters() {
	for p.slots == 0 && p.waiting.len > 0 {
		w, _ := p.waiting.pop()
		w.assigned <- assignment{}
	}
}

func (p *pool) load() member.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return member.Load{Slots: p.slots, Busy: p.busy, Queued: p.waiting.len, Urgent: p.waiting.countAhead(config.Urgent)}
}

// acquire waits for a slot for r. It rejects at once a request that is expected to miss
// its deadline.
func (p *pool) acquire(ctx context.Context, r *Request, avoid string) (assignment, error) {
	p.mu.Lock()
	now := time.Now()
	if p.waiting.len == 0 {
		if u := p.pickUpstream(now, avoid); u != nil {
			p.takeSlot(u)
			p.mu.Unlock()
			return assignment{upstream: u}, nil
		}
	}
	if err := p.checkAdmission(r, now); err != nil {
		p.mu.Unlock()
		return assignment{}, err
	}
	w := &waiter{assigned: make(chan assignment, 1)}
	w.position = p.waiting.push(r.Route.Class, r.Account, w)
	p.mu.Unlock()
	return p.awaitAssignment(ctx, w, r)
}

// checkAdmission rejects a request if no upstream has its home here, the queue is full,
// or the estimated wait exceeds the deadline. The caller holds p.mu.
func (p *pool) checkAdmission(r *Request, now time.Time) error {
	if p.slots == 0 {
		return &NotRunError{CauseMoved, jitteredDelay(time.Second)}
	}
	wait := p.estimateWait(r)
	if p.waiting.len >= r.Route.Queue {
		return &NotRunError{CauseQueueFull, jitteredDelay(wait)}
	}
	if now.Add(wait).After(r.Deadline) {
		return &NotRunError{CauseTooLate, jitteredDelay(wait)}
	}
	return nil
}

// estimateWait returns the expected wait of a new request of r's class. The caller holds
// p.mu.
func (p *pool) estimateWait(r *Request) time.Duration {
	ahead := p.waiting.countAhead(r.Route.Class) + 1
	return p.serviceTime * time.Duration(ahead) / time.Duration(max(p.slots, 1))
}

// jitteredDelay returns a random duration from d to 2d, where d is at least a second, so
// that callers that were rejected together do not return together.
func jitteredDelay(d time.Duration) time.Duration {
	d = max(d, time.Second)
	return d + time.Duration(rand.Int64N(int64(d)))
}

func (p *pool) awaitAssignment(ctx context.Context, w *waiter, r *Request) (assignment, error) {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	cause := CauseTooLate
	select {
	case a := <-w.assigned:
		return a, nil
	case <-timer.C:
	case <-ctx.Done():
		if time.Now().Before(r.Deadline) {
			cause = CauseCanceled
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case a := <-w.assigned: // assigned in the meantime: pass the slot on
		if a.upstream != nil {
			p.releaseSlot(a.upstream, time.Now())
		}
	default:
		p.waiting.remove(w.position)
	}
	return assignment{}, &NotRunError{cause, jitteredDelay(p.estimateWait(r))}
}

// pickUpstream returns the upstream with the lowest share of used slots. It returns
// avoid only if no other has a free slot. If all upstreams are ejected, ejections are
// ignored, because an upstream that failed may have recovered. The caller holds p.mu.
func (p *pool) pickUpstream(now time.Time, avoid string) *upstream {
	all := p.allEjected(now)
	var best *upstream
	for id, u := range p.upstreams {
		if !u.hasFreeSlot(now) || !all && u.ejectedUntil.After(now) {
			continue
		}
		if best == nil || preferred(u, best, id == avoid, best.Attempt == avoid) {
			best = u
		}
	}
	return best
}

func (p *pool) allEjected(now time.Time) bool {
	for _, u := range p.upstreams {
		if !u.retiring && !u.ejectedUntil.After(now) {
			return false
		}
	}
	return true
}

// preferred reports whether u is a better choice than the other upstream.
func preferred(u, than *upstream, avoided, thanAvoided bool) bool {
	if avoided != thanAvoided {
		return thanAvoided
	}
	return float64(u.busy+u.reserved)*than.limit < float64(than.busy+than.reserved)*u.limit
}

func (p *pool) takeSlot(u *upstream) {
	u.busy++
	p.busy++
}

// releaseSlot frees a slot and assigns it to the next waiting request. The caller holds
// p.mu.
func (p *pool) releaseSlot(u *upstream, now time.Time) {
	u.busy--
	p.busy--
	if u.retiring && u.busy == 0 && p.upstreams[u.Attempt] == u {
		u.client.CloseIdleConnections()
		delete(p.upstreams, u.Attempt)
	}
	p.dispatch(now)
}

// dispatch assigns free slots to waiting requests. The caller holds p.mu.
func (p *pool) dispatch(now time.Time) {
	for p.waiting.len > 0 {
		u := p.pickUpstream(now, "")
		if u == nil {
			p.scheduleRedispatch(now)
			break
		}
		w, _ := p.waiting.pop()
		p.takeSlot(u)
		w.assigned <- assignment{upstream: u}
	}
	p.checkLowWater()
}

// checkLowWater starts a pull if few urgent requests are waiting. The caller holds p.mu.
func (p *pool) checkLowWater() {
	if p.slots > 0 && p.waiting.countAhead(config.Urgent) < p.slots/lowWaterDivisor {
		p.onLowWater()
	}
}

// pullDemand returns how many requests the pool should pull, and whether only urgent
// ones.
func (p *pool) pullDemand() (n int, urgentOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.slots - p.busy
	if p.waiting.len == 0 && idle > 0 {
		return idle + p.slots/lowWaterDivisor, false
	}
	return p.slots - p.waiting.countAhead(config.Urgent), true
}

// redirectWaiting assigns up to n waiting requests to another box and returns how many
// it assigned.
func (p *pool) redirectWaiting(n int, urgentOnly bool, to control.BoxRow) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	redirected := 0
	for redirected < n && p.waiting.len > 0 && (!urgentOnly || p.waiting.countAhead(config.Urgent) > 0) {
		w, _ := p.waiting.pop()
		w.assigned <- assignment{to: to}
		redirected++
	}
	return redirected
}

// scheduleRedispatch calls dispatch again when the first ejection ends. The caller holds
// p.mu.
func (p *pool) scheduleRedispatch(now time.Time) {
	var first time.Time
	for _, u := range p.upstreams {
		if u.ejectedUntil.After(now) && (first.IsZero() || u.ejectedUntil.Before(first)) {
			first = u.ejectedUntil
		}
	}
	if first.IsZero() {
		return
	}
	if p.redispatchTimer != nil {
		p.redispatchTimer.Stop()
	}
	p.redispatchTimer = time.AfterFunc(first.Sub(now)+time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch(time.Now())
	})
}

type sendResult struct {
	response *Response
	err      error
}

// sendTo sends a request to an upstream whose slot the caller has taken. The slot is
// released when the upstream has responded or the grace period has passed, even if the
// caller has returned before, because the upstream may still be processing the request.
// A response after the deadline is discarded.
func (p *pool) sendTo(ctx context.Context, u *upstream, r *Request, maxResponseBytes int64) (*Response, error) {
	done := make(chan sendResult, 1)
	go func() {
		sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(responseGracePeriod))
		defer cancel()
		began := time.Now()
		resp, err := u.send(sendCtx, r, maxResponseBytes)
		p.recordResult(u, time.Since(began), err)
		done <- sendResult{resp, err}
	}()
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case got := <-done:
		return got.response, got.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, &UnknownError{CauseDeadline}
}

// recordResult updates the service time and the upstream's limit or ejection, and
// releases the slot.
func (p *pool) recordResult(u *upstream, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if err == nil {
		u.consecutiveFailures = 0
		u.adjustLimit(took, p.serviceTime)
		p.serviceTime += (took - p.serviceTime) / serviceTimeSmoothing
	} else {
		u.eject(now)
	}
	p.releaseSlot(u, now)
}
