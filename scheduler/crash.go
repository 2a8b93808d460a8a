package scheduler

import (
	"slices"
	"time"

	"chutereach/workload"
)

// Detection of tasks that crash their workers. A worker that has ended reports nothing about its
// attempts, so the owner counts the workers that ended while a task ran there (workload.CrashHistory). A
// lost worker is first only known not to have answered until its lease expired. Later either the
// same incarnation answers again, or another answers at its address, or discovery no longer lists
// it; only the last two count as an end. The job of a task with too many is failed.

const (
	// settleTime is how long an attempt must have run for the end of its worker not to be
	// attributed to it. Tasks that crash their workers were observed to do so within 10 ms. Higher
	// values fail more healthy jobs because of unrelated ends: with 250 ms, 4 of 20,893 jobs in
	// randomized runs.
	settleTime = 250 * time.Millisecond
	// crashResetTime is how long an attempt must have run for the task's crash record to be
	// cleared: a task that runs for months loses workers without causing it.
	crashResetTime = time.Minute
	// Several workers that end within correlationWindow probably have a common cause, such as a
	// rack that lost power. With up to maxCorrelatedEnds others a task is still blamed, because two
	// crashing tasks may start at the same time.
	correlationWindow = 150 * time.Millisecond
	maxCorrelatedEnds = 1
	// disconnectRetention is how long a disconnect is kept: as long as the longest lease.
	disconnectRetention = 20 * time.Second
	// listedAliveDelay is how long a worker must be unresponsive but still listed to count as alive
	// and unreachable. Entries expire after three missed heartbeats, 4.5 s with the platform's
	// interval of 1.5 s.
	listedAliveDelay = 6 * time.Second
)

// disconnect records that the connection to a worker broke.
type disconnect struct {
	at      time.Time
	worker  *worker
	jobs    []*job // with attempts there that had not settled
	onTrial bool   // a trial was running there, which explains the end
}

// recordDisconnect records that a worker closed its connection. The caller must hold s.mu.
func (s *Scheduler) recordDisconnect(w *worker, now time.Time) {
	s.connectionBreaks = slices.DeleteFunc(s.connectionBreaks, func(b disconnect) bool { return now.Sub(b.at) > disconnectRetention })
	var jobs []*job
	for _, t := range w.tasks {
		if !t.settledBy(now) {
			jobs = append(jobs, t.step.job)
		}
	}
	s.connectionBreaks = append(s.connectionBreaks, disconnect{now, w, jobs, w.trial.started && w.trialUnsettled(now)})
}

// settledBy reports whether the current attempt had run for settleTime at the given time.
func (t *task) settledBy(at time.Time) bool {
	return !t.startedAt.IsZero() && at.Sub(t.startedAt) >= settleTime
}

// endedAlone reports whether at most maxCorrelatedEnds other workers ended at the same time as w.
// Workers on trial and those with unsettled attempts of the same job are not counted.
func (s *Scheduler) endedAlone(w *worker, j *job) bool {
	others := 0
	for _, b := range s.connectionBreaks {
		correlated := b.worker != w && b.at.Sub(w.unresponsiveSince).Abs() < correlationWindow
		if correlated && !b.onTrial && !slices.Contains(b.jobs, j) {
			others++
		}
	}
	return others <= maxCorrelatedEnds
}

// recordLost records that the current attempt was lost with its worker. It must be called before
// the attempt ends. The caller must hold s.mu.
func (s *Scheduler) recordLost(t *task) {
	w := t.worker
	if !t.startSent || w.leaving {
		return
	}
	if t.runTime() >= crashResetTime {
		t.crashes = workload.CrashHistory{}
		return
	}
	evidence := s.crashEvidence(t)
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).Str("worker", w.info.ID).
		Stringer("evidence", evidence).Dur("ran", t.runTime()).Bool("connection_closed", w.connectionClosed).Bool("recovered", t.recovered).
		Dur("timer_lag", s.lateness()).Int("workers", t.crashes.WorkerCrashes).Int("soon", t.crashes.EarlyCrashes).
		Msg("attempt lost with its worker")
	t.crashes = t.crashes.WithLostAttempt(w.info.Incarnation, evidence)
	if evidence != workload.LateLoss {
		s.markSuspected(t.step)
	}
	w.lostAttempts = append(w.lostAttempts, lostAttempt{t, t.attempt})
}

// markSuspected marks a step whose tasks may crash their workers.
func (s *Scheduler) markSuspected(st *step) {
	if !st.suspected {
		s.metrics.suspectedSteps.Add(1)
	}
	st.suspected, st.trialPassed = true, false
}

// crashEvidence returns the evidence that the current attempt, which is lost, crashed its worker.
func (s *Scheduler) crashEvidence(t *task) workload.LossEvidence {
	w := t.worker
	lastAlive := w.lastReportAt
	if w.connectionClosed {
		lastAlive = w.unresponsiveSince
	}
	switch {
	case t.recovered: // this owner never reached the worker and cannot tell when it ended
		return workload.InconclusiveLoss
	case t.startedAt.IsZero() && !t.startConnectionClosed: // the start may not have reached the worker
		return workload.InconclusiveLoss
	case t.settledBy(lastAlive):
		return workload.LateLoss
	case w.connectionClosed && s.endedAlone(w, t.step.job):
		return workload.EarlyLoss
	}
	return workload.InconclusiveLoss
}

// lostAttempt is an attempt that was lost with its worker.
type lostAttempt struct {
	task   *task
	number int
}

// attemptNames formats lost attempts as TASK#ATTEMPT.
func attemptNames(lost []lostAttempt) []string {
	list := make([]string, 0, len(lost))
	for _, l := range lost {
		list = append(list, l.task.attemptName(l.number))
	}
	return list
}

// clearLost removes the lost attempts of a worker that answers again from their tasks' crash
// records. The caller must hold s.mu.
func (s *Scheduler) clearLost(w *worker) {
	for _, lost := range w.lostAttempts {
		if j := lost.task.step.job; !j.state.Final() {
			lost.task.crashes = lost.task.crashes.WithWorkerAlive(w.info.Incarnation)
			s.markDirty(j)
		}
	}
	w.lostAttempts = nil
}

// countLost counts an ended worker in the crash records of the tasks lost with it, and fails the
// jobs of those with too many. The caller must hold s.mu.
func (s *Scheduler) countLost(w *worker) {
	for _, lost := range w.lostAttempts {
		t := lost.task
		j := t.step.job
		if j.state.Final() || t.state == taskDone {
			continue
		}
		t.crashes = t.crashes.WithWorkerCrash(w.info.Incarnation, t.attempt)
		s.metrics.lostWithWorker.Add(1)
		s.log.Warn().Str("job", j.id).Str("task", t.id().String()).Int("attempt", lost.number).Str("worker", w.info.ID).
			Int("workers", t.crashes.WorkerCrashes).Int("soon", t.crashes.EarlyCrashes).Int("last_attempt", t.crashes.LastAttempt).
			Msg("worker has ended under a task")
		s.markDirty(j)
		if !t.hosted() {
			s.failIfCrashing(t)
		}
	}
	w.lostAttempts = nil
}

// failIfCrashing fails the job of a task under which too many workers have ended. The caller must
// hold s.mu.
func (s *Scheduler) failIfCrashing(t *task) {
	if t.state == taskDone || !t.crashes.Exhausted(t.attempt) {
		return
	}
	s.metrics.crashLimitReached.Add(1)
	s.finish(t.step.job, workload.Failed, "workers have ended under its task "+t.id().String())
}

// clearListedWorkers treats unresponsive workers as alive if discovery has continued to list them.
// The caller must hold s.mu.
func (s *Scheduler) clearListedWorkers(now time.Time) {
	if since := s.term.FailingSince(); !since.IsZero() || now.Sub(s.term.RestoredAt()) < listedAliveDelay {
		return // the list may be outdated
	}
	for _, w := range s.workers {
		if len(w.lostAttempts) > 0 && w.unresponsive && w.discovered && now.Sub(w.unresponsiveSince) > listedAliveDelay {
			s.log.Info().Str("worker", w.info.ID).Strs("lost", attemptNames(w.lostAttempts)).Dur("silent", now.Sub(w.unresponsiveSince)).
				Msg("worker is listed and out of reach")
			s.clearLost(w)
		}
	}
}
