package scheduler

import (
	"cmp"
	"context"
	"time"

	"chutereach/urgency"
	"chutereach/wait"
)

// dispatchLoop runs a dispatch pass after each change and at least every dispatchInterval.
func (s *Scheduler) dispatchLoop(ctx context.Context) {
	timer := time.NewTimer(dispatchInterval)
	defer timer.Stop()
	latest := time.Now().Add(dispatchInterval)
	lastHousekeeping := time.Now()
	for s.awaitDispatch(ctx, timer, latest) {
		s.mu.Lock()
		now := time.Now()
		latest = now.Add(dispatchInterval)
		s.expireUnreached(now)
		s.dispatch(now)
		if now.Sub(lastHousekeeping) > housekeepingInterval {
			lastHousekeeping = now
			s.prune(now)
			s.clearListedWorkers(now)
			s.logLoad()
		}
		took := time.Since(now)
		s.passes.endPass(took)
		s.mu.Unlock()
		s.metrics.dispatchTimes.Record(took)
		wait.For(ctx, max(minDispatchGap, dispatchIdleFactor*took))
	}
}

// awaitDispatch waits until a dispatch pass is needed, at most until latest. It returns false once
// ctx is done.
//
// The timer is reset before each select, so that no select finds it expired. In Go 1.26 the race detector
// crashes if goroutines of one synctest bubble do so at the same time.
func (s *Scheduler) awaitDispatch(ctx context.Context, timer *time.Timer, latest time.Time) bool {
	remaining := time.Until(latest)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(remaining)
	select {
	case <-ctx.Done():
		return false
	case <-s.dispatchWake:
	case <-timer.C:
	}
	return true
}

// dispatchIdleFactor is the minimum pause between two passes as a multiple of the last
// pass's duration. It limits dispatch to one eighth of a processor. With a limit of one quarter,
// dispatch used all of it at 1,100 workers, however short a single pass was (see
// BenchmarkOwnerLoad in package platform).
const dispatchIdleFactor = 7

// candidate is a step with tasks that can be placed.
type candidate struct {
	step           *step
	tasks          []*task // waiting tasks that are being placed
	quotaAllowance int     // number of tasks that the account's quota allows to start now
	urgency        urgency.Assessment
	deadline       time.Time
}

// dispatch runs a dispatch pass: it places waiting tasks in order of urgency, and requests
// advice for steps with tasks left. The lock is held.
func (s *Scheduler) dispatch(now time.Time) {
	if s.paused || s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	s.passes.beginPass()
	list := s.candidates(now)
	if len(list) == 0 {
		s.metrics.adviceLeftOut.Set(0)
		// An overload may end while nothing waits. No step can be counted as missed, so this needs no
		// check that tasks may be placed.
		if s.sizeOrder.overloads() > 0 {
			s.updateOverload(list, now)
		}
		return
	}
	s.passSerial++
	p := newPass(now, s.passSerial, s.listIncomplete(now), s.times, s.gate.view())
	for _, w := range s.workers {
		p.add(w)
	}
	p.updateServices(s.services)
	s.services = p.services
	p.sortPools()
	p.countHeadroom(s.demands)
	p.gangRoom.bounded = s.load.BoundedGangRoom
	if since := s.term.FailingSince(); !since.IsZero() && now.Sub(since) > maxGrantOutage || !s.viewIsFresh() {
		s.refreshAdvice(p, list)
		return
	}
	if s.load.SizeOrder && s.updateOverload(list, now) {
		s.sortBySize(list, now)
	}
	limit := adviceLimit{lateUrgent: s.load.SizeOrder}
	for _, c := range list {
		if s.heldByQuota(p, &c) {
			s.recordWait(c, false, now)
			continue
		}
		s.place(p, c)
		s.logGranted(p, c)
		s.recordWaitingGang(p, c)
		s.recordWait(c, p.withheld, now)
		s.requestAdviceWithin(&limit, p, c)
	}
	s.requestAdviceInTurn(&limit, p)
	s.metrics.adviceLeftOut.Set(int64(len(limit.leftOut)))
}

// placeableTasks returns the tasks that can be placed, as many as the account's quota allows.
func (c candidate) placeableTasks() []*task {
	list := c.step.placeableTasks()
	return list[:min(len(list), c.quotaAllowance)]
}

// maxGrantOutage is how long the store may fail before granting stops: grants that cannot
// be written occupy capacity, and their tickets expire.
const maxGrantOutage = 900 * time.Millisecond

// refreshAdvice requests advice for the most urgent steps while granting is suspended, so
// that valid tickets are available when it resumes.
func (s *Scheduler) refreshAdvice(p *pass, list []candidate) {
	limit := adviceLimit{lateUrgent: s.load.SizeOrder}
	for _, c := range list {
		s.requestAdviceWithin(&limit, p, c)
	}
	s.metrics.adviceLeftOut.Set(int64(len(limit.leftOut)))
}

// candidates returns the steps with tasks that can be placed, most urgent first.
func (s *Scheduler) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range s.active {
		s.updateRounds(j, now)
		for _, r := range j.rounds {
			if r.stepsLeft > 0 {
				list = s.roundCandidates(list, r, now)
			}
		}
	}
	s.promoteLateGangs(list)
	sortByUrgency(list)
	return list
}

// compareUrgency compares candidates by urgency, and by job ID if that is equal.
func compareUrgency(a, b candidate) int {
	return cmp.Or(urgency.Compare(a.urgency, b.urgency), cmp.Compare(a.step.job.id, b.step.job.id))
}

// roundCandidates appends the candidates of a round to list.
func (s *Scheduler) roundCandidates(list []candidate, r *round, now time.Time) []candidate {
	for _, st := range r.steps {
		if st.done() || now.Before(st.retryAt) || !r.ready(st) {
			continue
		}
		if !st.anyPlaceable() {
			st.waitingSince = time.Time{}
			continue
		}
		if st.waitingSince.IsZero() {
			st.waitingSince = now
		}
		if st.spec.Gang && (!st.idle() || st.anyHeldByLoss()) {
			s.countWait(st, waitEnds, now)
			continue
		}
		verdict := urgency.Assess(workOf(st, now), now)
		st.setMayPreempt(verdict.MayPreempt)
		st.recheckAvoided(verdict.Deferrable, now)
		st.updateSpread(verdict.Deferrable)
		list = append(list, candidate{step: st, urgency: verdict, deadline: st.job.deadline})
	}
	return list
}

// workOf returns the properties of a step that determine its urgency.
func workOf(st *step, now time.Time) urgency.Step {
	j := st.job
	return urgency.Step{
		Priority: j.record.Queue.Priority, Arrived: j.arrived, Deadline: j.deadline,
		CriticalPath: st.round.remainingChain(&j.record.Request),
		NoDeadline:   st.hasNoDeadline(),
		Idle:         st.idleTime(now),
		OverShare:    j.overShare,
	}
}

// idleTime returns how long the step's job has had no task on a worker. Each task that runs indefinitely counts by
// itself, however many others of its job run.
func (st *step) idleTime(now time.Time) time.Duration {
	idle := st.job.idle(now)
	if st.spec.LongRunning && !st.waitingSince.IsZero() {
		idle = max(idle, now.Sub(st.waitingSince))
	}
	return idle
}

// hasNoDeadline reports whether the step runs indefinitely or has a schedule of its own.
func (st *step) hasNoDeadline() bool { return st.spec.LongRunning || st.job.record.Request.Scheduled() }
