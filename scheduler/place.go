package scheduler

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"chutereach/fit"
	"chutereach/reliability"
)

// place places as many of a step's tasks as possible.
func (s *Scheduler) place(p *pass, c candidate) {
	st := c.step
	p.withheld, p.gangRoom.kept = false, false
	if st.spec.Gang || st.spec.SameRack && !st.spread {
		s.placeAllOrNothing(p, c)
		return
	}
	if st.suspected {
		s.placeOnTrial(p, c)
		return
	}
	if st.lastFullPass >= p.lastGrowth[st.job.record.Queue.Service] {
		return
	}
	unplaced := 0
	full, fullForLast := false, false // no worker can take a task, or one on its last attempt
	for _, t := range c.placeableTasks() {
		last := t.onLastAttempt()
		if full || last && fullForLast {
			unplaced++
			continue
		}
		if w := s.bestWorker(p, c, t); w != nil {
			s.grant(p, t, w, t.attempt+1)
			continue
		}
		unplaced++
		full, fullForLast = full || !last, true // fewer workers can take a task on its last attempt
	}
	if unplaced > 0 {
		st.recordNoCapacity(p)
		s.preempt(p, c, unplaced)
		return
	}
	st.releaseReservations()
}

// updateSpread ends the wait of a step that prefers a single rack for room for all of its tasks, once its job must not be
// held back any longer. Its tasks are then placed one by one, in several racks.
func (st *step) updateSpread(deferrable bool) {
	if st.spec.SameRack && !st.spread && !deferrable {
		st.spread, st.lastFullPass = true, 0
	}
}

// recordNoCapacity marks the step as not placeable until a worker gains capacity or new advice
// arrives. If a worker was withheld in this pass, the step is tried again in the next one.
func (st *step) recordNoCapacity(p *pass) {
	if !p.withheld {
		st.lastFullPass = p.serial
	}
}

// bestWorker returns the worker with the lowest score for a task of a step, or nil if none can
// take it.
func (s *Scheduler) bestWorker(p *pass, c candidate, t *task) *worker {
	var best *worker
	bestScore := 0.0
	c.step.eachEligibleWorker(p, func(w *worker) {
		if w.grownSerial <= c.step.lastFullPass || p.slots(c, w) < 1 || !p.trusts(c, w, t.onLastAttempt()) {
			return
		}
		place := s.fitPlace(c.step, w, p.now)
		place.FailedSameTask = t.lastFailedOn == w
		score := fit.Score(place)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	})
	return best
}

// workerScore rates a worker for a task of a step; lower is better.
func (s *Scheduler) workerScore(st *step, w *worker, now time.Time) float64 {
	return fit.Score(s.fitPlace(st, w, now))
}

// fitPlace returns the properties of a worker that fit.Score rates for a task of a step.
func (s *Scheduler) fitPlace(st *step, w *worker, now time.Time) fit.Candidate {
	place := fit.Candidate{
		Capacity: w.info.Capacity, Remaining: w.free().Minus(st.need()), Unhealthy: w.standing != reliability.Healthy,
		FailureRate: w.health.reliability.FailureRate(now), Slowdown: w.health.slowness(s.fleetSpeed, now),
	}
	if st.spec.PreferredRack != "" && st.spec.PreferredRack != w.info.Rack {
		place.RemoteSlowdown = s.remoteFactor - 1
	}
	return place
}

// grant assigns a task to a worker. The start is sent once the grant is stored.
func (s *Scheduler) grant(p *pass, t *task, w *worker, attempt int) {
	now := p.now
	j := t.step.job
	t.attempt = attempt
	t.ticket, _ = t.step.advice.ticketFor(w, now)
	if t.step.advice.markUsed(w) {
		s.metrics.ticketsUsed.Add(1)
	}
	if t.step.suspected {
		w.startTrial(t.step, true, now)
	}
	before := w.free()
	w.assign(t, taskGranted)
	t.placedAt = now
	counts := p.standingCounts[w.info.Service]
	counts.used += t.step.need().CPU
	p.standingCounts[w.info.Service] = counts
	p.useHeadroom(w, before)
	p.gangRoom.use(w, before)
	s.metrics.grants.Add(1)
	s.markDirty(j)
	j.onSaved(func() { s.beginStart(t, attempt) })
	p.granted = append(p.granted, t)
}

// logGranted logs the tasks of a step that were placed in this pass as INDEX#ATTEMPT@WORKER,
// with the age of the oldest worker report that the placement relied on.
func (s *Scheduler) logGranted(p *pass, c candidate) {
	if len(p.granted) == 0 {
		return
	}
	j := c.step.job
	places := zerolog.Arr()
	oldest := p.now
	for _, t := range p.granted {
		places.Str(fmt.Sprintf("%d#%d@%s", t.index, t.attempt, t.worker.info.ID))
		if t.worker.lastReportAt.Before(oldest) {
			oldest = t.worker.lastReportAt
		}
	}
	s.log.Info().Str("job", j.id).Str("step", c.step.stepName()).Array("tasks", places).Dur("age", p.now.Sub(j.arrived)).
		Dur("slack", j.deadline.Sub(p.now)).Dur("report_age", p.now.Sub(oldest)).
		Bool("trial", c.step.suspected).Msg("granted")
	p.granted = p.granted[:0]
}
