package scheduler

import (
	"context"
	"sort"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

const (
	// adviceMost is how many workers one call may name.
	adviceMost = 100
	// cheapAdvice is the cost below which the owner's own lane is used first.
	cheapAdvice = 40 * time.Millisecond
	// laneDepth bounds the work that waits at a lane, besides one call.
	laneDepth = 30 * time.Millisecond
	// adviceSlack is added to what a call should take.
	adviceSlack = 500 * time.Millisecond
	// lanePause spares a lane that failed.
	lanePause = 500 * time.Millisecond
	// ticketMargin is how long before its end a ticket is no longer used.
	ticketMargin = 60 * time.Millisecond
)

// Lane is a node from which advice can be asked; the advisor takes one call at a
// time from each.
type Lane struct {
	Node    string
	Self    bool
	Advisor fleet.Advisor
}

type lane struct {
	Lane
	queued time.Duration // cost of the calls under way
	until  time.Time     // spared until then
}

// ticket is what a worker needs to be shown to run a step.
type ticket struct {
	text    string
	expires time.Time
}

// adviceState is what is known of the workers that may run a step.
type adviceState struct {
	asked   map[string]bool // workers that were asked about
	healthy map[string]bool // those of them that may run the step; this never changes
	tickets map[string]ticket
	asking  bool
	// Nothing need be asked before checkAt, unless the list of workers is another
	// than at fleetSerial.
	checkAt     time.Time
	fleetSerial uint64
}

// drop forgets a ticket that a worker has refused.
func (a *adviceState) drop(worker string) { delete(a.tickets, worker) }

// ticketFor returns a ticket that is good at a time.
func (a *adviceState) ticketFor(worker string, at time.Time) (string, bool) {
	t, ok := a.tickets[worker]
	return t.text, ok && t.expires.After(at)
}

// SetLanes tells from which nodes advice can be asked.
func (s *Scheduler) SetLanes(list []Lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := map[string]*lane{}
	for _, l := range s.lanes {
		former[l.Node] = l
	}
	s.lanes = nil
	for _, l := range list {
		if old := former[l.Node]; old != nil {
			old.Lane = l
			s.lanes = append(s.lanes, old)
		} else {
			s.lanes = append(s.lanes, &lane{Lane: l})
		}
	}
	wake(s.dispatchWake)
}

// chooseLane returns the lane for a call of a cost, or nil if none is free.
func (s *Scheduler) chooseLane(cost time.Duration, now time.Time) *lane {
	var best *lane
	others := 0
	for _, l := range s.lanes {
		if !l.Self && now.After(l.until) {
			others++
		}
	}
	for _, l := range s.lanes {
		if now.Before(l.until) {
			continue
		}
		if l.Self && cost > cheapAdvice && others > 0 {
			continue // the own lane is kept for cheap calls
		}
		if l.queued > laneDepth && l.queued+cost > cheapAdvice*2 {
			continue
		}
		if best == nil || l.rank(cost) < best.rank(cost) {
			best = l
		}
	}
	return best
}

// rank orders lanes: short queues first, and the own lane for cheap calls.
func (l *lane) rank(cost time.Duration) time.Duration {
	rank := l.queued
	if !l.Self && cost <= cheapAdvice {
		rank += cheapAdvice / 2
	}
	return rank
}

// askAdvice asks which workers may run a step, unless it needs no advice, a call is
// under way, or what is known will last. The lock is held.
func (s *Scheduler) askAdvice(st *step, now time.Time) {
	a, policy := &st.advice, st.job.record.Queue.Advice
	if !policy.Needed() || a.asking || now.Before(a.checkAt) && a.fleetSerial == s.fleetSerial {
		return
	}
	if s.chooseLane(policy.Cost(1), now) == nil {
		return
	}
	names := s.adviceNames(st, now)
	if len(names) == 0 {
		a.checkAt, a.fleetSerial = a.nextCheck(now, policy), s.fleetSerial
		return
	}
	cost := policy.Cost(len(names))
	l := s.chooseLane(cost, now)
	if l == nil {
		return
	}
	a.asking = true
	l.queued += cost
	name, advisor := st.stepName(), l.Advisor
	s.running.Go(func() { s.fetchAdvice(st, l, advisor, name, names, cost) })
}

// Bounds of how long a step whose advice lasts is not looked at again.
const (
	soonestCheck = 20 * time.Millisecond
	latestCheck  = time.Second
)

// nextCheck returns when tickets should be renewed next: when the first runs out
// before an answer about all could come.
func (a *adviceState) nextCheck(now time.Time, policy workload.AdvicePolicy) time.Time {
	next := now.Add(latestCheck)
	lead := policy.Cost(len(a.tickets)) + ticketMargin
	for _, t := range a.tickets {
		if due := t.expires.Add(-lead); due.Before(next) {
			next = due
		}
	}
	if soonest := now.Add(soonestCheck); next.Before(soonest) {
		return soonest
	}
	return next
}

func (st *step) stepName() string { return st.tasks[0].id().StepName() }

// adviceNames returns the workers to ask about: those that were never asked
// about, and those that may run the step and whose tickets will not last until
// an answer.
func (s *Scheduler) adviceNames(st *step, now time.Time) []string {
	policy := st.job.record.Queue.Advice
	var fresh, known []*worker
	for _, w := range s.workers {
		if !w.known || w.over || w.info.Draining || !st.allows(w) {
			continue
		}
		switch {
		case !st.advice.asked[w.info.ID]:
			fresh = append(fresh, w)
		case st.advice.healthy[w.info.ID]:
			known = append(known, w)
		}
	}
	lead := policy.Cost(len(known)) + ticketMargin
	var expiring []*worker
	for _, w := range known {
		if _, ok := st.advice.ticketFor(w.info.ID, now.Add(lead)); !ok {
			expiring = append(expiring, w)
		}
	}
	enough := len(known)-len(expiring) >= len(st.tasks)
	if enough && len(st.advice.asked) > 0 {
		return nil
	}
	if len(fresh) == 0 && len(expiring) < (len(known)+1)/2 {
		return nil
	}
	return namesOf(append(expiring, roomiest(fresh, adviceMost-min(adviceMost, len(expiring)))...))
}

// roomiest returns the n workers with the most room.
func roomiest(list []*worker, n int) []*worker {
	if len(list) <= n {
		return list
	}
	sort.Slice(list, func(i, k int) bool { return list[i].free().CPU > list[k].free().CPU })
	return list[:n]
}

func namesOf(list []*worker) []string {
	names := make([]string, 0, len(list))
	for _, w := range list[:min(len(list), adviceMost)] {
		names = append(names, w.info.ID)
	}
	sort.Strings(names)
	return names
}

func (s *Scheduler) fetchAdvice(st *step, l *lane, advisor fleet.Advisor, name string, names []string, cost time.Duration) {
	s.mu.Lock()
	limit := l.queued + cost/2 + adviceSlack
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	begun := time.Now()
	advice, err := advisor.Advise(ctx, name, names)
	now := time.Now()
	s.metrics.advice(now.Sub(begun), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.queued -= cost
	st.advice.asking = false
	if err != nil {
		if s.ctx.Err() == nil {
			s.log.Warn().Str("job", st.job.id).Str("step", name).Str("lane", l.Node).Err(err).Msg("no advice")
		}
		l.until = now.Add(lanePause)
	} else {
		st.advice.take(names, advice, now)
		st.tried = 0
	}
	wake(s.dispatchWake)
}

func (a *adviceState) take(names []string, advice fleet.Advice, now time.Time) {
	if a.asked == nil {
		a.asked, a.healthy, a.tickets = map[string]bool{}, map[string]bool{}, map[string]ticket{}
	}
	for _, name := range names {
		a.asked[name] = true
	}
	for name, text := range advice.Tickets {
		a.healthy[name] = true
		a.tickets[name] = ticket{text, now.Add(advice.Valid)}
	}
}
