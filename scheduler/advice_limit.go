package scheduler

import (
	"math"
	"slices"
	"time"

	"chutereach/resource"
	"chutereach/urgency"
)

const (
	// maxAdviceSteps is the maximum number of steps, in order of urgency, for which a pass
	// requests advice. The tickets of further steps would expire unused.
	maxAdviceSteps = 150
	// maxAdviceChecks limits the steps, including those, that a pass examines for workers to ask about. It
	// bounds the duration of a pass, as one examination takes 20 to 40 µs with 1,100 workers (see
	// BenchmarkAdviceQuery).
	maxAdviceChecks = 2 * maxAdviceSteps
	// maxAdviceTurns is the maximum number of further steps for which a pass requests advice in turn.
	maxAdviceTurns = 15
	// minWaitForTurn is how long a step has waited before it gets a turn. A job must not be idle for 3 s
	// while there is room for it.
	minWaitForTurn = 2 * time.Second
)

// adviceUse counts the steps that use a limit.
type adviceUse struct {
	asked   int // steps that need advice
	checked int // steps that were examined and need none
}

func (u adviceUse) full() bool {
	return u.asked >= maxAdviceSteps || u.asked+u.checked >= maxAdviceChecks
}

// With returns the use after a step was examined.
func (u adviceUse) With(needsAdvice bool) adviceUse {
	if needsAdvice {
		u.asked++
	} else {
		u.checked++
	}
	return u
}

// adviceLimit limits the steps for which a pass requests advice. Steps that are known to need none without examining workers
// do not count, because steps that cannot start would otherwise use up the limit for good.
type adviceLimit struct {
	// lateUrgent is whether late steps of priority 0 with cheap calls have a limit of their own. They
	// rank after all in-time steps, but their calls have lanes that these do not use.
	lateUrgent bool
	position   int         // steps so far that wait for tickets or room
	inOrder    adviceUse   // of all steps, in order of urgency
	late       adviceUse   // of further late steps of priority 0
	leftOut    []candidate // steps that may need advice but are beyond the limits
}

// admit returns the use to count the step in, or nil if no advice may be requested for it.
func (l *adviceLimit) admit(c candidate) *adviceUse {
	switch {
	case !l.inOrder.full():
		return &l.inOrder
	case l.lateUrgent && !l.late.full() && c.urgency.Rank == urgency.UrgentLate && c.step.hasCheapCalls():
		return &l.late
	}
	return nil
}

// hasCheapCalls reports whether a usual call for advice about the step is cheap.
func (st *step) hasCheapCalls() bool {
	return st.job.record.Queue.Advice.Latency(minWorkersPerCall) <= maxCheapCost
}

// requestAdviceWithin requests advice for a candidate if it may need some and its account's quota and the limit
// allow it.
func (s *Scheduler) requestAdviceWithin(limit *adviceLimit, p *pass, c candidate) {
	c.quotaAllowance = c.step.allowedTasks()
	if c.quotaAllowance == 0 || !c.step.job.record.Queue.Advice.Enabled() || !c.step.anyPlaceable() {
		return
	}
	limit.position++
	if !p.mayNeedAdvice(c) {
		return
	}
	use := limit.admit(c)
	if use == nil {
		limit.leftOut = append(limit.leftOut, c)
		return
	}
	*use = use.With(s.requestAdvice(p, c, recheckInterval(limit.position-1)))
}

// requestAdviceInTurn requests advice for some of the steps that the limit has left out for long, those examined least
// recently first. Steps that stay at the front of the order would otherwise use up the limit in each pass.
func (s *Scheduler) requestAdviceInTurn(limit *adviceLimit, p *pass) {
	var waiting []candidate
	for _, c := range limit.leftOut {
		if p.now.Sub(c.step.waitingSince) >= minWaitForTurn && c.step.advice.callsInFlight == 0 {
			waiting = append(waiting, c)
		}
	}
	slices.SortStableFunc(waiting, func(a, b candidate) int { return a.step.advice.checkedAt.Compare(b.step.advice.checkedAt) })
	tooCostly := time.Duration(math.MaxInt64) // no node takes a call of this cost or more
	turns := 0
	for _, c := range waiting {
		if turns == maxAdviceTurns {
			return
		}
		cost := c.step.job.record.Queue.Advice.Latency(1)
		if cost >= tooCostly {
			continue
		}
		if s.chooseAdviceNode(cost, p.now) == nil {
			tooCostly = cost
			continue
		}
		s.requestAdvice(p, c, recheckInterval(limit.position))
		turns++
	}
}

// mayNeedAdvice reports whether advice may be requested for a step that waits: a call is in flight, or it is due to be
// examined and a worker may have room for one of its tasks. It examines no workers one by one.
func (p *pass) mayNeedAdvice(c candidate) bool {
	a := &c.step.advice
	if a.callsInFlight > 0 {
		return true
	}
	if p.now.Before(a.nextCheck) {
		return false
	}
	if !p.mayFitSomewhere(c) {
		a.lacksCapacity = true
		return false
	}
	return true
}

// workerClass is the usable workers of a service that have a label, as seen by steps of a priority.
type workerClass struct {
	service, label string
	priority       int
}

// capacityBound is, in each dimension by itself, the most that a worker of a class has.
type capacityBound struct {
	usable   bool // there is such a worker
	capacity resource.Amount
	free     resource.Amount
	// afterPreemption is the most that is free or used by tasks of lower priority.
	afterPreemption resource.Amount
}

// mayFitSomewhere reports whether some worker may have room for a task of the step: free room, room after preemption if
// the step may preempt, or any for a gang, which asks about workers before they have room. Where it reports false, no
// worker has.
func (p *pass) mayFitSomewhere(c candidate) bool {
	st := c.step
	bound := p.capacityBound(workerClass{st.job.record.Queue.Service, st.spec.RequiredLabel, st.job.record.Queue.Priority})
	room := bound.free
	switch {
	case st.spec.Gang:
		room = bound.capacity
	case c.urgency.MayPreempt:
		room = bound.afterPreemption
	}
	return bound.usable && st.spec.Need.Fits(bound.capacity) && st.need().Fits(room)
}

// capacityBound returns the bound of a class, which is determined once a pass. Room that is freed later in the pass is
// seen by the next one.
func (p *pass) capacityBound(class workerClass) capacityBound {
	bound, known := p.bounds[class]
	if known {
		return bound
	}
	for _, w := range p.pools[class.service] {
		if !w.info.HasLabel(class.label) {
			continue
		}
		afterPreemption := w.free()
		for _, t := range w.tasks {
			if t.step.job.record.Queue.Priority > class.priority {
				afterPreemption = afterPreemption.Plus(t.step.need())
			}
		}
		bound = capacityBound{
			usable: true, capacity: bound.capacity.Max(w.info.Capacity), free: bound.free.Max(w.free()),
			afterPreemption: bound.afterPreemption.Max(afterPreemption),
		}
	}
	p.bounds[class] = bound
	return bound
}
