package scheduler

import (
	"cmp"
	"context"
	"time"

	"chutereach/urgency"
	"chutereach/wait"
)

// dispatchLoop places tasks whenever something has changed.
func (s *Scheduler) dispatchLoop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	cleaned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.dispatchWake:
		case <-tick.C:
		}
		s.mu.Lock()
		now := time.Now()
		s.expireUnseen(now)
		s.dispatch(now)
		if now.Sub(cleaned) > housekeeping {
			cleaned = now
			s.forgetOld(now)
			s.settleListed(now)
		}
		took := time.Since(now)
		s.mu.Unlock()
		s.metrics.lookTimes.Record(took)
		wait.For(ctx, max(dispatchGap, dispatchRest*took))
	}
}

// dispatchRest is how many times as long as a look takes the owner does other
// things before the next one: looks take an eighth of the processor at most. Allowed a
// quarter, they took it at 1,100 workers, whatever a single look cost (BenchmarkOwner).
const dispatchRest = 7

// candidate is a step that has tasks to place.
type candidate struct {
	step     *step
	tasks    []*task // that wait
	allowed  int     // how many its account may start now
	urgency  urgency.Verdict
	deadline time.Time
}

// maxBlockingGangs bounds how many waiting gangs have workers kept free.
const maxBlockingGangs = 3

// dispatch places what can be placed. The lock is held.
func (s *Scheduler) dispatch(now time.Time) {
	if s.paused || s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	list := s.candidates(now)
	if len(list) == 0 {
		return
	}
	s.serial++
	p := newPass(now, s.serial, s.listIncomplete(now), s.times, s.gate.view())
	for _, w := range s.workers {
		p.add(w)
	}
	p.sortPools()
	p.countGaps(s.demands)
	if since := s.term.FailingSince(); !since.IsZero() && now.Sub(since) > holdGrants || !s.viewIsFresh() {
		s.keepAdvice(p, list)
		return
	}
	asked := 0
	for _, c := range list {
		if s.held(p, &c) {
			continue
		}
		s.place(p, c)
		s.logGranted(p, c)
		p.noteWide(c)
		if c.allowed = c.step.allowed(); c.allowed > 0 && asked < adviceAhead {
			s.askAdvice(p, c, checkAfter(asked))
			asked++
		}
	}
}

// waiting returns the tasks that could be placed and that the account may start.
func (c candidate) waiting() []*task {
	list := c.step.waiting()
	return list[:min(len(list), c.allowed)]
}

// adviceAhead is for how many of the most urgent steps tickets are asked; the
// others could not use theirs before they run out.
const adviceAhead = 150

// holdGrants is how long the store may fail before nothing is granted any more:
// grants that cannot be written take room and let tickets run out. A slow store
// answers within it.
const holdGrants = 900 * time.Millisecond

// keepAdvice has tickets at hand for when the store is back.
func (s *Scheduler) keepAdvice(p *pass, list []candidate) {
	asked := 0
	for _, c := range list {
		if asked == adviceAhead {
			return
		}
		if c.allowed = c.step.allowed(); c.allowed > 0 {
			s.askAdvice(p, c, checkAfter(asked))
			asked++
		}
	}
}

// candidates returns the steps that have tasks to place, most urgent first.
func (s *Scheduler) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range s.active {
		for _, r := range j.rounds {
			if r.left == 0 {
				continue
			}
			if r.due > now.UnixMilli() {
				break // later rounds are due later
			}
			list = s.roundCandidates(list, r, now)
		}
	}
	sortByUrgency(list)
	return list
}

func byUrgency(a, b candidate) int {
	return cmp.Or(urgency.Compare(a.urgency, b.urgency), cmp.Compare(a.step.job.id, b.step.job.id))
}

func (s *Scheduler) roundCandidates(list []candidate, r *round, now time.Time) []candidate {
	for _, st := range r.steps {
		if st.done() || now.Before(st.retryAt) || !r.ready(st) {
			continue
		}
		if !st.anyWaiting() || st.spec.Gang && (!st.idle() || st.anyHeld()) {
			continue
		}
		verdict := urgency.Judge(workOf(st, now), now)
		st.notePressed(verdict.Pressed)
		list = append(list, candidate{step: st, urgency: verdict, deadline: st.job.deadline})
	}
	return list
}

// workOf returns a step as its urgency depends on it.
func workOf(st *step, now time.Time) urgency.Work {
	j := st.job
	return urgency.Work{
		Priority: j.record.Queue.Priority, Arrived: j.arrived, Deadline: j.deadline,
		Chain:   j.rounds[st.round].chainLeft(&j.record.Request),
		Untimed: st.spec.Lasting || j.record.Request.Timed(),
		Idle:    j.idle(now),
		Beyond:  j.beyond,
	}
}
