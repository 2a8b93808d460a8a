package scheduler

import (
	"slices"
	"time"

	"chutereach/workload"
)

// Workers that end under tasks: a worker that has ended reports nothing of what ran there, so
// the owner counts the workers that have ended under each task (workload.Crashes). At first
// only the loss is known: the worker does not answer, and its lease has run out. Later the
// same life answers again, or another one answers at its address, or discovery no longer
// names it; only the last two count. A task with too many is given up with its job.

const (
	// settledAfter is how long an attempt must have run for the end of its worker not to be
	// blamed on it. Tasks that crash their workers were seen to do so within 10 ms. The
	// longer it is, the more often unrelated ends give a sound job up: in randomized runs
	// 4 of 20,893 jobs with 250 ms.
	settledAfter = 250 * time.Millisecond
	// clearedAfter is how long an attempt must have run for the workers that ended before
	// to be forgotten: a task that lasts for months loses many workers without causing it.
	clearedAfter = time.Minute
	// togetherWithin is how close together several workers must end for a common cause to be
	// likely, such as a rack without power, and togetherMost is how many others may end at
	// that moment for a task to be blamed all the same: two such tasks may start together.
	togetherWithin = 150 * time.Millisecond
	togetherMost   = 1
	// breaksKept is for how long a broken connection is remembered: the longest lease.
	breaksKept = 20 * time.Second
	// listedAlive is after how long without answer a worker that discovery still names
	// counts as alive and out of this owner's reach: entries go after three heartbeats of
	// silence, 4.5 s with the platform's 1.5 s.
	listedAlive = 6 * time.Second
)

// breakage is a moment at which the connection to a worker broke.
type breakage struct {
	at     time.Time
	worker *worker
	jobs   []*job // with attempts there that had not settled
	tried  bool   // a trial was under way there, which explains the end
}

// noteBreak remembers that a worker's side has closed its connection. The lock is held.
func (s *Scheduler) noteBreak(w *worker, now time.Time) {
	s.breaks = slices.DeleteFunc(s.breaks, func(b breakage) bool { return now.Sub(b.at) > breaksKept })
	var jobs []*job
	for _, t := range w.tasks {
		if !t.settledBy(now) {
			jobs = append(jobs, t.step.job)
		}
	}
	s.breaks = append(s.breaks, breakage{now, w, jobs, w.trial.begun && w.unsettled(now)})
}

// settledBy reports whether the attempt at hand had run long enough at a time.
func (t *task) settledBy(at time.Time) bool {
	return !t.begunAt.IsZero() && at.Sub(t.begunAt) >= settledAfter
}

// brokeAlone reports whether hardly any other worker ended when w did, those aside on which
// the job had begun attempts too or on which a trial was under way.
func (s *Scheduler) brokeAlone(w *worker, j *job) bool {
	others := 0
	for _, b := range s.breaks {
		together := b.worker != w && b.at.Sub(w.failedAt).Abs() < togetherWithin
		if together && !b.tried && !slices.Contains(b.jobs, j) {
			others++
		}
	}
	return others <= togetherMost
}

// noteLost notes that the attempt at hand is lost with its worker. It is called before the
// attempt ends. The lock is held.
func (s *Scheduler) noteLost(t *task) {
	w := t.worker
	if !t.told || w.leaving {
		return
	}
	if t.ran() >= clearedAfter {
		t.crashes = workload.Crashes{}
		return
	}
	evidence := s.evidence(t)
	t.crashes = t.crashes.WithLost(w.info.Life, evidence)
	if evidence != workload.RanOn {
		s.suspect(t.step)
	}
	w.lost = append(w.lost, lostAttempt{t, t.attempt})
}

// suspect puts a step under suspicion.
func (s *Scheduler) suspect(st *step) {
	if !st.suspected {
		s.metrics.suspected.Add(1)
	}
	st.suspected, st.passed = true, false
}

// evidence judges the attempt at hand, which is lost with its worker.
func (s *Scheduler) evidence(t *task) workload.Evidence {
	w := t.worker
	alive := w.contact
	if w.closed {
		alive = w.failedAt
	}
	switch {
	case t.recovered: // when the worker ended is not known to an owner that never reached it
		return workload.Unclear
	case t.begunAt.IsZero() && !t.cutShort: // it may never have reached the worker
		return workload.Unclear
	case t.settledBy(alive):
		return workload.RanOn
	case w.closed && s.brokeAlone(w, t.step.job):
		return workload.AtOnce
	}
	return workload.Unclear
}

// lostAttempt is an attempt that was lost with a worker.
type lostAttempt struct {
	task   *task
	number int
}

// names returns lost attempts as TASK#ATTEMPT.
func names(lost []lostAttempt) []string {
	list := make([]string, 0, len(lost))
	for _, l := range lost {
		list = append(list, l.task.attemptName(l.number))
	}
	return list
}

// settleFound clears what was lost with a worker that answers again. The lock is held.
func (s *Scheduler) settleFound(w *worker) {
	for _, lost := range w.lost {
		if j := lost.task.step.job; !j.state.Final() {
			lost.task.crashes = lost.task.crashes.WithFound(w.info.Life)
			s.change(j)
		}
	}
	w.lost = nil
}

// settleEnded counts what was lost with a worker that has ended, and gives up the jobs of
// tasks with too many. The lock is held.
func (s *Scheduler) settleEnded(w *worker) {
	for _, lost := range w.lost {
		t := lost.task
		j := t.step.job
		if j.state.Final() || t.state == taskDone {
			continue
		}
		t.crashes = t.crashes.WithEnded(w.info.Life, t.attempt)
		s.metrics.crashed.Add(1)
		s.log.Warn().Str("job", j.id).Str("task", t.id().String()).Int("attempt", lost.number).Str("worker", w.info.ID).
			Int("workers", t.crashes.Workers).Int("soon", t.crashes.Soon).Int("last_attempt", t.crashes.LastAttempt).
			Msg("worker has ended under a task")
		s.change(j)
		if !t.hosted() {
			s.giveUpCrashing(t)
		}
	}
	w.lost = nil
}

// giveUpCrashing gives up the job of a task under which too many workers have ended. The
// lock is held.
func (s *Scheduler) giveUpCrashing(t *task) {
	if t.state == taskDone || !t.crashes.GivenUp(t.attempt) {
		return
	}
	s.metrics.gaveUp.Add(1)
	s.finish(t.step.job, workload.Failed, "workers have ended under its task "+t.id().String())
}

// settleListed takes workers that discovery has gone on naming for alive. The lock is held.
func (s *Scheduler) settleListed(now time.Time) {
	if since := s.term.FailingSince(); !since.IsZero() || now.Sub(s.term.RestoredAt()) < listedAlive {
		return // the list may be old
	}
	for _, w := range s.workers {
		if len(w.lost) > 0 && w.failing && w.known && now.Sub(w.failedAt) > listedAlive {
			s.log.Info().Str("worker", w.info.ID).Strs("lost", names(w.lost)).Dur("silent", now.Sub(w.failedAt)).
				Msg("worker is listed and out of reach")
			s.settleFound(w)
		}
	}
}
