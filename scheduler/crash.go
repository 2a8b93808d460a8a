package scheduler

import (
	"context"
	"time"

	"chutereach/fleet"
	"chutereach/wait"
	"chutereach/workload"
)

// Detection of tasks that crash their workers. A worker that has ended reports nothing about its
// attempts, so the owner counts the workers that ended while a task ran there (workload.CrashHistory). A
// lost worker is first only known not to have answered until its lease expired. Later either the
// same incarnation answers again, or another answers at its address, or discovery no longer lists
// it; only the last two count as an end. The job of a task with too many is failed.

const (
	// survivalTime is how long an attempt must have worked by its worker's clock to have survived its
	// start. Tasks that crash their workers were observed to do so within 10 ms. Where a third of the
	// workers end every second, 1.3% of all attempts are lost within survivalTime.
	survivalTime = 25 * time.Millisecond
	// settleTime replaces survivalTime where the clock of this process has to do, which may be late.
	settleTime = 250 * time.Millisecond
	// openCallTime is how long a call must have been open for its failure to tell when the worker
	// ended. One to a worker that has ended before fails within a round trip.
	openCallTime = 50 * time.Millisecond
	// The time between requests for reports that may show survival doubles from
	// minSurvivalCheckInterval to maxSurvivalCheckInterval.
	minSurvivalCheckInterval = 10 * time.Millisecond
	maxSurvivalCheckInterval = 100 * time.Millisecond
	// maxCoincidence is the probability of a coincidence up to which the loss of an attempt is
	// conclusive.
	maxCoincidence = 0.005
	// maxConclusiveExposure bounds the exposure of a conclusive loss, so that a task that runs for
	// months clears its record between unrelated ends of workers, however large the fleet is.
	maxConclusiveExposure = 30 * time.Second
	// listedAliveDelay is how long a worker must be unresponsive but still listed to count as alive
	// and unreachable. Entries expire after three missed heartbeats, 4.5 s with the platform's
	// interval of 1.5 s.
	listedAliveDelay = 6 * time.Second
	// crashRetryDelay is the delay after the loss of an attempt before a task under which several workers have ended is
	// placed again. Workers end in bursts, and one burst must not use up all starts of a sound task; and a task that
	// crashes its workers late must not take down many in a short time. The delay is below the 3 s within which a job
	// without running tasks must be started again if there is capacity.
	crashRetryDelay = 2 * time.Second
)

// exposure bounds the time for which the current attempt of a task has run.
type exposure struct {
	sentAt     time.Time     // when the start was first sent; zero if a former owner sent it
	startClock fleet.Clock   // the worker's clock when the attempt was at work; 0 if unknown
	shownRun   time.Duration // how long the attempt has worked by the worker's clock, at least
	// gangAnswer is the answer to the start of a member of a gang.
	gangAnswer startAnswer
}

// startAnswer is the answer to a start: the worker's clock, read at some time after the call was sent.
type startAnswer struct {
	clock  fleet.Clock // 0: no answer yet
	sentAt time.Time
}

// latestClock returns the latest time that the worker's clock can have shown at a time of this process.
func (a startAnswer) latestClock(at time.Time) fleet.Clock {
	return a.clock + fleet.Clock(at.Sub(a.sentAt).Milliseconds()) + 1
}

// withStartAnswer returns e after an answer, made at the given time of the worker's clock, that shows
// that the attempt was at work.
func (e exposure) withStartAnswer(clock fleet.Clock) exposure {
	if clock > 0 && (e.startClock == 0 || clock < e.startClock) {
		e.startClock = clock
	}
	return e
}

// withReport returns e after a report, made at the given time of the worker's clock, has listed the
// attempt as running.
func (e exposure) withReport(clock fleet.Clock) exposure {
	if e.startClock > 0 {
		e.shownRun = max(e.shownRun, time.Duration(clock-e.startClock)*time.Millisecond)
	}
	return e
}

// survivedStart reports whether the attempt is shown to have worked for survivalTime.
func (e exposure) survivedStart() bool { return e.shownRun >= survivalTime }

// recordReported records what the end of the current attempt, which its worker has reported, shows of
// its task.
func (s *Scheduler) recordReported(t *task, outcome fleet.Outcome) {
	reported := outcome == fleet.Done || outcome == fleet.Failed // by the worker, even if its start has not been confirmed
	if t.startedAt.IsZero() && !reported || outcome == fleet.LeaseExpired || t.crashes.IsEmpty() {
		return
	}
	since := t.workingSince()
	worked := time.Since(since) - s.lateness()
	switch {
	case reported:
		t.crashes = t.crashes.WithReportedOutcome()
	case !since.IsZero() && worked >= settleTime:
		t.crashes = t.crashes.WithSurvivedAttempt(worked)
	default:
		t.crashes = t.crashes.WithIdleAttempt()
	}
}

// workingSince returns since when the current attempt has worked by the clock of this process, or zero if
// it may not have. Members of a gang work once all have started.
func (t *task) workingSince() time.Time {
	since := t.startedAt
	if !t.step.spec.Gang {
		return since
	}
	for _, member := range t.step.tasks {
		if member.attempt != t.attempt || member.startedAt.IsZero() {
			return time.Time{}
		}
		if member.startedAt.After(since) {
			since = member.startedAt
		}
	}
	return since
}

// checkSurvival requests reports from a worker until all its attempts of suspected tasks are shown to
// have survived their start or have ended, for up to maxTrialTime. Without this a report may be a long
// poll away, and the loss of the worker until then would count. The caller must hold s.mu.
func (s *Scheduler) checkSurvival(w *worker) {
	if w.checkingSurvival || s.ctx == nil {
		return
	}
	w.checkingSurvival = true
	until := time.Now().Add(maxTrialTime)
	s.running.Go(func() {
		delay, next := survivalTime, minSurvivalCheckInterval
		for ; wait.For(s.ctx, delay) == nil; delay, next = next, min(2*next, maxSurvivalCheckInterval) {
			s.mu.Lock()
			if w.checkingSurvival = w.unsurvivedSuspects() && time.Now().Before(until); !w.checkingSurvival {
				s.mu.Unlock()
				return
			}
			order := fleet.HoldOrder{Token: s.tokenOf(w.info.ID), AckedThrough: w.ackableSequence()}
			info, sent := w.info, time.Now()
			s.mu.Unlock()
			callCtx, cancel := context.WithTimeout(s.ctx, orderTimeout)
			report, err := s.client.Hold(callCtx, info, order)
			cancel()
			if err == nil {
				s.handleReport(w, report, sent)
			}
		}
	})
}

// unsurvivedSuspects reports whether the worker may run attempts of suspected tasks that are not yet shown
// to have survived their start.
func (w *worker) unsurvivedSuspects() bool {
	if w.ended || w.unresponsive {
		return false
	}
	for _, t := range w.tasks {
		if (t.state == taskStarting || t.state == taskRunning) && t.startSent && t.crashes.Suspected && !t.exposure.survivedStart() {
			return true
		}
	}
	return false
}

// recordShownRun records how long the current attempt, which its worker's last report lists as
// running, has run by the worker's clock. This process may be late by any time, so its own clock does
// not show that an attempt has survived its start. The caller must hold s.mu.
func (s *Scheduler) recordShownRun(t *task) {
	if since := t.workingSince(); t.exposure.startClock == 0 && !since.IsZero() {
		t.exposure = t.exposure.withStartAnswer(t.worker.clock)
		if answer := t.exposure.gangAnswer; answer.clock > 0 { // the report may be much later than the gang's start
			t.exposure = t.exposure.withStartAnswer(answer.latestClock(since))
		}
	}
	t.exposure = t.exposure.withReport(t.worker.clock)
	if !t.exposure.survivedStart() || t.crashes.IsEmpty() {
		return
	}
	if cleared := t.crashes.WithSurvivedAttempt(t.exposure.shownRun); !cleared.Equal(t.crashes) {
		t.crashes = cleared
		s.markTaskDirty(t)
	}
}

// recordLost records that the current attempt was lost with its worker. It must be called before
// the attempt ends. The caller must hold s.mu.
func (s *Scheduler) recordLost(t *task) {
	w := t.worker
	if !t.startSent || w.leaving {
		return
	}
	evidence := s.lossEvidence(t)
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).Str("worker", w.info.ID).
		Stringer("evidence", evidence).Dur("ran", t.runTime()).Bool("connection_closed", w.connectionClosed).Bool("recovered", t.recovered).
		Dur("timer_lag", s.lateness()).Dur("exposure", evidence.Exposure).Int("unsurvived", t.crashes.UnsurvivedLosses).
		Int("conclusive", t.crashes.ConclusiveLosses).Msg("attempt lost with its worker")
	t.crashes = t.crashes.WithLostAttempt(w.info.Incarnation, evidence)
	if evidence.Suspicious() {
		s.markSuspected(t.step)
	}
	if t.crashes.MustBackOff() {
		t.step.delayRetry(w.unresponsiveSince.Add(crashRetryDelay))
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

// lossEvidence returns the evidence that the current attempt, which is lost, crashed its worker.
func (s *Scheduler) lossEvidence(t *task) workload.LossEvidence {
	w := t.worker
	evidence := workload.LossEvidence{Unsurvived: t.mayBeLostAtStart(s.lateness())}
	evidence.Unseen = !evidence.Unsurvived && !t.exposure.survivedStart()
	if !w.connectionClosed || t.recovered || t.exposure.sentAt.IsZero() {
		return evidence
	}
	evidence.Exposure = w.unresponsiveSince.Sub(t.exposure.sentAt)
	evidence.Conclusive = evidence.Exposure < maxConclusiveExposure && s.workerEnds.aloneAt(w, t.step.job) &&
		s.workerEnds.rate(w, s.liveWorkers(), time.Now())*evidence.Exposure.Seconds() <= maxCoincidence
	return evidence
}

// mayBeLostAtStart reports whether the current attempt, which is lost, may not have survived its
// start. late is by how much this process may have been late to learn that the connection broke.
func (t *task) mayBeLostAtStart(late time.Duration) bool {
	w := t.worker
	switch {
	case t.exposure.survivedStart():
		return false
	case t.recovered: // this owner never reached the worker and cannot tell when it ended
		return true
	case t.startedAt.IsZero():
		// Without any sign that the start has arrived, a worker had probably ended before if it
		// went silent, or if this process learned of that late.
		return t.startConnectionClosed || w.connectionClosed && w.unresponsiveSince.Sub(t.exposure.sentAt) > late
	}
	since := t.workingSince()
	return since.IsZero() || !w.connectionClosed || !w.brokeOpenCall || w.unresponsiveSince.Sub(since) < settleTime+late
}

// liveWorkers returns the number of workers that answer, at least 1. The caller must hold s.mu.
func (s *Scheduler) liveWorkers() int {
	count := 0
	for _, w := range s.workers {
		if !w.ended && !w.unresponsive {
			count++
		}
	}
	return max(1, count)
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
			s.markTaskDirty(lost.task)
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
		t.crashes = t.crashes.WithWorkerCrash(w.info.Incarnation)
		s.metrics.lostWithWorker.Add(1)
		s.log.Warn().Str("job", j.id).Str("task", t.id().String()).Int("attempt", lost.number).Str("worker", w.info.ID).
			Int("unsurvived", t.crashes.UnsurvivedLosses).Int("conclusive", t.crashes.ConclusiveLosses).Msg("worker has ended under a task")
		s.markTaskDirty(t)
		if !t.hosted() {
			s.failIfCrashing(t)
		}
	}
	w.lostAttempts = nil
}

// failIfCrashing fails the job of a task under which too many workers have ended. The caller must
// hold s.mu.
func (s *Scheduler) failIfCrashing(t *task) {
	if t.state == taskDone || !t.crashes.Exhausted() {
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
