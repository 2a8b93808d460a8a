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
	// settleTime is how long an attempt must have run for the end of its worker not to be
	// blamed on it. Tasks that crash their workers were seen to do so within 10 ms. The
	// longer it is, the more often unrelated ends give a sound job up: in randomized runs
	// 4 of 20,893 jobs with 250 ms.
	settleTime = 250 * time.Millisecond
	// crashResetTime is how long an attempt must have run for the workers that ended before
	// to be forgotten: a task that lasts for months loses many workers without causing it.
	crashResetTime = time.Minute
	// correlationWindow is how close together several workers must end for a common cause to be
	// likely, such as a rack without power, and togetherMost is how many others may end at
	// that moment for a task to be blamed all the same: two such tasks may start together.
	correlationWindow = 150 * time.Millisecond
	maxCorrelatedEnds = 1
	// disconnectRetention is for how long a broken connection is remembered: the longest lease.
	disconnectRetention = 20 * time.Second
	// listedAliveDelay is after how long without answer a worker that discovery still names
	// counts as alive and out of this owner's reach: entries go after three heartbeats of
	// silence, 4.5 s with the platform's 1.5 s.
	listedAliveDelay = 6 * time.Second
)

// breakage is a moment at which the connection to a worker broke.
type breakage struct {
	at      time.Time
	worker  *worker
	jobs    []*job // with attempts there that had not settled
	onTrial bool   // a trial was under way there, which explains the end
}

// recordDisconnect remembers that a worker's side has closed its connection. The lock is held.
func (s *Scheduler) recordDisconnect(w *worker, now time.Time) {
	s.breaks = slices.DeleteFunc(s.breaks, func(b breakage) bool { return now.Sub(b.at) > disconnectRetention })
	var jobs []*job
	for _, t := range w.tasks {
		if !t.settledBy(now) {
			jobs = append(jobs, t.step.job)
		}
	}
	s.breaks = append(s.breaks, breakage{now, w, jobs, w.trial.started && w.trialUnsettled(now)})
}

// settledBy reports whether the attempt at hand had run long enough at a time.
func (t *task) settledBy(at time.Time) bool {
	return !t.begunAt.IsZero() && at.Sub(t.begunAt) >= settleTime
}

// endedAlone reports whether hardly any other worker ended when w did, those aside on which
// the job had begun attempts too or on which a trial was under way.
func (s *Scheduler) endedAlone(w *worker, j *job) bool {
	others := 0
	for _, b := range s.breaks {
		correlated := b.worker != w && b.at.Sub(w.unresponsiveSince).Abs() < correlationWindow
		if correlated && !b.onTrial && !slices.Contains(b.jobs, j) {
			others++
		}
	}
	return others <= maxCorrelatedEnds
}

// recordLost notes that the attempt at hand is lost with its worker. It is called before the
// attempt ends. The lock is held.
func (s *Scheduler) recordLost(t *task) {
	w := t.worker
	if !t.told || w.leaving {
		return
	}
	if t.runTime() >= crashResetTime {
		t.crashes = workload.Crashes{}
		return
	}
	evidence := s.crashEvidence(t)
	t.crashes = t.crashes.WithLost(w.info.Life, evidence)
	if evidence != workload.RanOn {
		s.markSuspected(t.step)
	}
	w.lost = append(w.lost, lostAttempt{t, t.attempt})
}

// markSuspected puts a step under suspicion.
func (s *Scheduler) markSuspected(st *step) {
	if !st.suspected {
		s.metrics.suspected.Add(1)
	}
	st.suspected, st.passed = true, false
}

// crashEvidence judges the attempt at hand, which is lost with its worker.
func (s *Scheduler) crashEvidence(t *task) workload.Evidence {
	w := t.worker
	lastAlive := w.contact
	if w.connectionClosed {
		lastAlive = w.unresponsiveSince
	}
	switch {
	case t.recovered: // when the worker ended is not known to an owner that never reached it
		return workload.Unclear
	case t.begunAt.IsZero() && !t.cutShort: // it may never have reached the worker
		return workload.Unclear
	case t.settledBy(lastAlive):
		return workload.RanOn
	case w.connectionClosed && s.endedAlone(w, t.step.job):
		return workload.AtOnce
	}
	return workload.Unclear
}

// lostAttempt is an attempt that was lost with a worker.
type lostAttempt struct {
	task   *task
	number int
}

// attemptNames returns lost attempts as TASK#ATTEMPT.
func attemptNames(lost []lostAttempt) []string {
	list := make([]string, 0, len(lost))
	for _, l := range lost {
		list = append(list, l.task.attemptName(l.number))
	}
	return list
}

// clearLost clears what was lost with a worker that answers again. The lock is held.
func (s *Scheduler) clearLost(w *worker) {
	for _, lost := range w.lost {
		if j := lost.task.step.job; !j.state.Final() {
			lost.task.crashes = lost.task.crashes.WithFound(w.info.Life)
			s.change(j)
		}
	}
	w.lost = nil
}

// countLost counts what was lost with a worker that has ended, and gives up the jobs of
// tasks with too many. The lock is held.
func (s *Scheduler) countLost(w *worker) {
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
			s.failIfCrashing(t)
		}
	}
	w.lost = nil
}

// failIfCrashing gives up the job of a task under which too many workers have ended. The
// lock is held.
func (s *Scheduler) failIfCrashing(t *task) {
	if t.state == taskDone || !t.crashes.GivenUp(t.attempt) {
		return
	}
	s.metrics.gaveUp.Add(1)
	s.finish(t.step.job, workload.Failed, "workers have ended under its task "+t.id().String())
}

// settleListed takes workers that discovery has gone on naming for alive. The lock is held.
func (s *Scheduler) settleListed(now time.Time) {
	if since := s.term.FailingSince(); !since.IsZero() || now.Sub(s.term.RestoredAt()) < listedAliveDelay {
		return // the list may be old
	}
	for _, w := range s.workers {
		if len(w.lost) > 0 && w.failing && w.known && now.Sub(w.unresponsiveSince) > listedAliveDelay {
			s.log.Info().Str("worker", w.info.ID).Strs("lost", attemptNames(w.lost)).Dur("silent", now.Sub(w.unresponsiveSince)).
				Msg("worker is listed and out of reach")
			s.clearLost(w)
		}
	}
}
