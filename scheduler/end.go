package scheduler

import (
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// failureBackoff delays the next attempt after a failure, so that a faulty worker does not use up a
// task's attempts at once.
const failureBackoff = 50 * time.Millisecond

// endAttempt records the end of a task's attempt and decides what follows. The caller must hold
// s.mu.
func (s *Scheduler) endAttempt(t *task, outcome fleet.Outcome, checkpoint, why string) {
	w, st := t.worker, t.step
	j := st.job
	s.recordCheckpoint(t, checkpoint)
	s.logEnd(t, outcome, why)
	s.metrics.end(outcome)
	s.recordOutcome(t, outcome, time.Now())
	w.release(t)
	s.recordReported(t, outcome)
	s.finishTrial(w, time.Now())
	t.ticket, t.recovered = "", false
	if t.state != taskDone {
		t.state = taskWaiting
		st.lastFullPass = 0 // workers that cannot take the step's other tasks may suit this one
	}
	wake(s.dispatchWake)
	s.markDirty(j)
	if j.state.Final() || t.state == taskDone {
		return
	}
	switch {
	case outcome == fleet.Done && !st.spec.LongRunning:
		s.handleTaskDone(t)
	case outcome == fleet.Failed && !st.spec.LongRunning:
		t.lastFailedOn = w
		s.handleTaskFailure(t, t.attempt)
	case outcome == fleet.Failed:
		st.delayRetry(time.Now().Add(failureBackoff))
	}
	if st.spec.Gang && !st.done() && !j.state.Final() {
		s.stopGang(st, t.attempt, "another member of the gang ended")
	}
	if !j.state.Final() {
		s.failIfCrashing(t)
	}
}

// recordCheckpoint records a checkpoint that a worker reports for a task. One that does not fit into a row is left out: the task
// then continues from an earlier one.
func (s *Scheduler) recordCheckpoint(t *task, checkpoint string) {
	switch {
	case checkpoint == "" || !t.step.spec.Checkpoints:
	case len(checkpoint) > workload.MaxCheckpointBytes:
		s.sampledLog.Warn().Str("job", t.step.job.id).Str("task", t.id().String()).Int("bytes", len(checkpoint)).Msg("checkpoint is too long to be kept")
	default:
		t.checkpoint, t.step.latestCheckpoint = checkpoint, checkpoint
	}
}

// shareCheckpoint gives all members of a gang that is to be started the same checkpoint, the latest one that any of them has
// reported. Each member's own one may be of another moment, and a gang continues from one moment.
func (st *step) shareCheckpoint() {
	shared := st.latestCheckpoint
	for _, t := range st.tasks {
		if shared == "" {
			shared = t.checkpoint
		}
	}
	for _, t := range st.tasks {
		if t.checkpoint != shared {
			t.checkpoint = shared
			t.touch()
		}
	}
}

func (s *Scheduler) logEnd(t *task, outcome fleet.Outcome, why string) {
	event := s.log.Info()
	if outcome == fleet.Done {
		event = s.log.Debug()
	}
	event.Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("outcome", string(outcome)).Str("why", why).
		Dur("ran", t.runTime()).Int("failures", len(t.failures)).Msg("attempt over")
}

// runTime returns the confirmed run time of the current attempt: from the worker's confirmation of
// the start until its last report.
func (t *task) runTime() time.Duration {
	if t.startedAt.IsZero() {
		return 0
	}
	return max(0, t.worker.lastReportAt.Sub(t.startedAt))
}

// handleTaskDone marks a task as done. A gang is done once its first member is.
func (s *Scheduler) handleTaskDone(t *task) {
	st := t.step
	if st.spec.Gang {
		for _, member := range st.tasks {
			member.markDone()
		}
	} else {
		t.markDone()
	}
	j := st.job
	if j.roundsLeft == 0 {
		s.finish(j, workload.Completed, "every task is done")
	}
}

// handleTaskFailure counts the failure of an attempt of a task, unless it has been counted, and fails the job
// when the task has no attempts left. A gang's attempt fails once, however many of its members fail.
func (s *Scheduler) handleTaskFailure(t *task, attempt int) {
	st := t.step
	st.delayRetry(time.Now().Add(failureBackoff))
	if attempt <= t.guessedThrough || t.failures.Contains(attempt) {
		return
	}
	t.failures = t.failures.With(attempt)
	s.log.Info().Str("job", st.job.id).Str("task", t.id().String()).Int("attempt", attempt).Int("failures", len(t.failures)).
		Int("limit", st.job.record.Queue.MaxFailures).Bool("gang", st.spec.Gang).Msg("failure counted")
	if st.spec.Gang {
		for _, member := range st.tasks {
			member.failures = t.failures
			member.touch()
		}
	}
	if len(t.failures) >= st.job.record.Queue.MaxFailures {
		s.finish(st.job, workload.Failed, "a task has failed "+t.id().String())
	}
}

// stopGang stops the other members of a gang's attempt. The gang cannot run without all members,
// and replacing a member in doubt can take startValidity plus a lease, 4.8 s with a lease of 3 s;
// until then the others would occupy their capacity for nothing.
func (s *Scheduler) stopGang(st *step, attempt int, why string) {
	for _, member := range st.tasks {
		if member.attempt != attempt {
			continue
		}
		switch member.state {
		case taskGranted:
			s.endAttempt(member, fleet.Stopped, "", why)
		case taskStarting, taskRunning:
			s.beginStop(member, why)
		}
	}
}

// finish makes a job final and stops its remaining attempts.
func (s *Scheduler) finish(j *job, state workload.State, why string) {
	if j.state.Final() {
		return
	}
	j.state, j.finalAt = state, newFinalTime(s.storeClock)
	delete(s.active, j.id)
	close(j.done)
	late := time.Until(j.deadline) < 0
	j.describe(s.log.Info()).Str("state", string(state)).Str("why", why).
		Dur("age", time.Since(j.arrived)).Bool("late", late).Msg("job is final")
	s.metrics.final(state, late, time.Since(j.arrived))
	s.metrics.finalBySize(j.record.Size, j.servedOutcome(state, time.Now()))
	j.eachTask(func(t *task) {
		if t.hosted() && t.state != taskDone {
			s.stop(t, "its job is "+string(state))
		}
	})
	s.markDirty(j)
}
