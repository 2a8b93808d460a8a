package scheduler

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"chutereach/fit"
	"chutereach/reliability"
)

// place places a step's tasks as far as there is room.
func (s *Scheduler) place(p *pass, c candidate) {
	st := c.step
	if st.spec.Gang || st.spec.SameRack {
		s.placeTogether(p, c)
		return
	}
	if st.suspected {
		s.placeOnTrial(p, c)
		return
	}
	if st.tried >= p.grew[st.job.record.Queue.Service] {
		return
	}
	p.held = false
	tasks := c.waiting()
	for i, t := range tasks {
		w := s.bestWorker(p, c, t)
		if w == nil {
			st.noRoom(p)
			s.makeRoom(p, c, len(tasks)-i)
			return
		}
		s.grant(p, t, w, t.attempt+1)
	}
	st.releaseRoom()
}

// noRoom notes that no worker takes more of the step, until one has more room or
// there is new advice. Workers that are kept free say nothing.
func (st *step) noRoom(p *pass) {
	if !p.held {
		st.tried = p.serial
	}
}

// bestWorker returns the worker for a task of a step, or nil.
func (s *Scheduler) bestWorker(p *pass, c candidate, t *task) *worker {
	var best *worker
	bestScore := 0.0
	c.step.options(p, func(w *worker) {
		if w.grew <= c.step.tried || p.slots(c, w) < 1 || !p.relies(w, t.last()) {
			return
		}
		place := s.placeOf(c.step, w, p.now)
		place.FailedHere = t.failedOn == w
		score := fit.Score(place)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	})
	return best
}

// scoreOf rates a worker for a task of a step; the lowest is the best.
func (s *Scheduler) scoreOf(st *step, w *worker, now time.Time) float64 {
	return fit.Score(s.placeOf(st, w, now))
}

// placeOf returns a worker as its fitness for a task of a step depends on it.
func (s *Scheduler) placeOf(st *step, w *worker, now time.Time) fit.Place {
	place := fit.Place{
		Capacity: w.info.Capacity, Left: w.free().Minus(st.need()), Unsound: w.standing != reliability.Sound,
		Failures: w.health.reliability.Share(now), Slowness: w.health.slowness(s.fleetSpeed, now),
	}
	if st.spec.NearRack != "" && st.spec.NearRack != w.info.Rack {
		place.Remote = s.remoteFactor - 1
	}
	return place
}

// grant gives a task room on a worker; once that is in the store, the worker is
// told to start it.
func (s *Scheduler) grant(p *pass, t *task, w *worker, attempt int) {
	now := p.now
	j := t.step.job
	t.attempt = attempt
	t.ticket, _ = t.step.advice.ticketFor(w, now)
	if t.step.suspected {
		w.tryOn(t.step, true, now)
	}
	before := w.free()
	w.host(t, taskGranted)
	p.takeGap(w, before)
	s.metrics.grants.Add(1)
	s.change(j)
	j.onceSaved(func() { s.begin(t, attempt) })
	p.granted = append(p.granted, t)
}

// logGranted writes one line for all tasks of a step that were placed in this look:
// INDEX#ATTEMPT@WORKER each, and the age of the oldest report that they rest on.
func (s *Scheduler) logGranted(p *pass, c candidate) {
	if len(p.granted) == 0 {
		return
	}
	j := c.step.job
	places := zerolog.Arr()
	oldest := p.now
	for _, t := range p.granted {
		places.Str(fmt.Sprintf("%d#%d@%s", t.index, t.attempt, t.worker.info.ID))
		if t.worker.contact.Before(oldest) {
			oldest = t.worker.contact
		}
	}
	s.log.Info().Str("job", j.id).Str("step", c.step.stepName()).Array("tasks", places).Dur("age", p.now.Sub(j.arrived)).
		Dur("slack", j.deadline.Sub(p.now)).Dur("report_age", p.now.Sub(oldest)).
		Bool("trial", c.step.suspected).Msg("granted")
	p.granted = p.granted[:0]
}
