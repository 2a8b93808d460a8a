package scheduler

import (
	"slices"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// handleReport processes a worker's report and reports whether the next call should wait for a transaction.
func (s *Scheduler) handleReport(w *worker, report fleet.Report, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if w.ended {
		s.handleEndsOfEndedIncarnation(w, report, sent)
		return false
	}
	if answering := s.resolveAnsweringIncarnation(w, report, sent); answering != w {
		w = answering
	}
	if w.lastReportAt.IsZero() {
		s.boundLeaseAtFirstReport(w, now)
	}
	if w.unresponsive || w.lastReportAt.IsZero() {
		s.log.Info().Str("worker", w.info.ID).Int64("born", report.StartTime).Int64("clock", int64(report.Clock)).Int64("clock_before", int64(w.clock)).
			Uint64("noted", w.persistedSequence).Int("running", len(report.Running)).Msg("worker answers")
	}
	if !w.unresponsive {
		s.recordCallResult(true)
	}
	w.lastReportAt, w.unresponsive, w.silent, w.connectionClosed, w.failedCalls = now, false, false, false, 0
	s.reviewLeaseBound(w)
	s.clearLost(w)
	w.observeClock(report.Clock, now)
	s.recordUnread(w, report, now)
	s.recordPartial(w, report, now)
	for _, end := range report.Ended {
		s.handleEnd(w, end)
	}
	formerForeign := w.foreignAttempts
	w.foreignAttempts = 0
	listed := make(map[string]bool, len(report.Running))
	for _, run := range report.Running {
		if s.handleRunning(w, run, sent, now) {
			listed[run.Task] = true
		}
	}
	if report.Partial { // the rest may list them
		w.foreignAttempts = max(w.foreignAttempts, formerForeign)
	}
	for name, t := range w.tasks {
		if !listed[name] && report.ListsAll() && !w.mayBeUnread(now) {
			s.handleMissing(t, sent)
		}
	}
	w.advancePersisted()
	s.finishTrial(w, now)
	wake(s.dispatchWake)
	return w.awaitsTransaction()
}

// unreadGracePeriod is how long a missing attempt is assumed to be in a row that could not be
// decoded. After that the attempt counts as lost, and its end, if any, is not acknowledged.
const unreadGracePeriod = 3 * time.Second

// recordUnread records which part of a report could not be decoded. The caller must hold s.mu.
func (s *Scheduler) recordUnread(w *worker, report fleet.Report, now time.Time) {
	w.unreadFrom = unreadFromAfter(w.unreadFrom, report)
	if report.UndecodedRows == 0 {
		if !report.Partial {
			w.unreadSince = time.Time{}
		}
		return
	}
	s.metrics.unreadRows.Add(int64(report.UndecodedRows))
	if w.unreadSince.IsZero() {
		w.unreadSince = now
		s.log.Warn().Str("worker", w.info.ID).Int("rows", report.UndecodedRows).Uint64("from_end", report.UndecodedFrom).
			Msg("rows of a worker's report cannot be read")
	}
}

// unreadFromAfter returns from which sequence on ends may be missing after a report, given the value before it. A partial
// report may have been cut off before rows that could not be decoded.
func unreadFromAfter(before uint64, report fleet.Report) uint64 {
	if !report.Partial || report.UndecodedFrom > 0 || before == 0 {
		return report.UndecodedFrom
	}
	if count := len(report.Ended); count > 0 {
		return max(before, report.Ended[count-1].Sequence+1)
	}
	return before
}

// recordPartial records whether a report is partial. The caller must hold s.mu.
func (s *Scheduler) recordPartial(w *worker, report fleet.Report, now time.Time) {
	if !report.Partial {
		w.partialSince = time.Time{}
		return
	}
	s.metrics.partialReports.Add(1)
	if w.partialSince.IsZero() {
		w.partialSince = now
		s.log.Warn().Str("worker", w.info.ID).Int("running", len(report.Running)).Int("ended", len(report.Ended)).
			Msg("a worker's report is too long to be read to its end")
	}
}

// mayBeUnread reports whether an attempt missing from the last report may be in a row that could
// not be decoded.
func (w *worker) mayBeUnread(now time.Time) bool {
	return !w.unreadSince.IsZero() && now.Sub(w.unreadSince) < unreadGracePeriod
}

// recordEndSequence marks an end as processed. Skipped sequences are those of ends that could not
// be decoded; these are processed once they can be.
func (w *worker) recordEndSequence(sequence uint64) {
	delete(w.unreadSequences, sequence)
	for missed := w.lastEndSequence + 1; w.unreadFrom > 0 && missed < sequence && len(w.unreadSequences) < maxUnreadSequences; missed++ {
		if w.unreadSequences == nil {
			w.unreadSequences = map[uint64]bool{}
		}
		w.unreadSequences[missed] = true
	}
	w.lastEndSequence = max(w.lastEndSequence, sequence)
}

// maxUnreadSequences limits the skipped sequences that are stored for a worker to the number of
// ends in one report.
const maxUnreadSequences = 500

// boundLeaseAtFirstReport limits the time for which anything not granted by this owner can run on a
// worker. The caller must hold s.mu.
func (s *Scheduler) boundLeaseAtFirstReport(w *worker, now time.Time) {
	if w.reusedID {
		// A call sent to the former incarnation but executed by this one may have granted a
		// lease by the former clock. The worker limits it to its longest lease.
		w.leaseExpiry = latestLeaseExpiry(now, s.maxLease)
		return
	}
	w.shortenLeaseBound(now, s.lease) // the worker now rejects calls from the former owner
}

// handleEndsOfEndedIncarnation processes ends in a report of an ended incarnation that arrived
// after one of the next incarnation. The caller must hold s.mu.
func (s *Scheduler) handleEndsOfEndedIncarnation(w *worker, report fleet.Report, sent time.Time) {
	if w.fromOtherIncarnation(report, sent) {
		return
	}
	for _, end := range report.Ended {
		if end.Sequence <= w.lastEndSequence {
			continue
		}
		w.lastEndSequence = end.Sequence
		if id, err := workload.ParseTaskID(end.Task); err == nil {
			s.handleLateEnd(id, end)
		}
	}
}

// handleRunning processes a running attempt in a report and reports whether it is the task's
// current attempt there.
func (s *Scheduler) handleRunning(w *worker, run fleet.Attempt, sent, now time.Time) bool {
	t := w.tasks[run.Task]
	if t == nil || t.attempt != run.Number {
		w.foreignAttempts++
		s.stopStray(w, run)
		return false
	}
	s.recordCheckpoint(t, run.Checkpoint)
	if t.state == taskStarting || t.state == taskGranted {
		s.markRunning(t, now)
	}
	s.recordShownRun(t)
	if t.stopOverdue(sent, s.times) {
		s.metrics.overdueStops.Add(1)
		s.log.Warn().Str("job", t.step.job.id).Str("task", run.Task).Int("attempt", run.Number).Str("worker", w.info.ID).
			Dur("since_stop", sent.Sub(t.stoppedAt)).Msg("attempt is running after its stop")
		s.startStopCalls(t) // the worker may have restarted after it confirmed the stop
	}
	s.progressSeen = s.progressSeen || run.Percent > 0
	s.sampleProgress(t, run.Percent, now)
	switch {
	case run.Percent > t.percent || t.progressedAt.IsZero():
		t.percent, t.progressedAt = run.Percent, now
	case s.stalled(t, now):
		s.stop(t, "no progress within its stall timeout")
	}
	if s.shouldMoveOffSlowWorker(t, now) {
		t.moved = true
		s.stop(t, "its worker is slow")
	}
	return true
}

// handleMissing processes an attempt that a report lists neither as running nor as ended.
func (s *Scheduler) handleMissing(t *task, sent time.Time) {
	running := t.state == taskRunning || t.state == taskDone
	switch {
	case running && !t.startedAt.IsZero() && t.startedAt.Before(sent):
		s.endAttempt(t, fleet.LeaseExpired, "", "not in the worker's report")
	case t.unwanted() && !t.stoppedAt.IsZero() && t.stoppedAt.Before(sent):
		s.endAttempt(t, fleet.Stopped, "", "stopped before it began")
	case t.state == taskStarting && t.recovered:
		s.endAttempt(t, fleet.Stopped, "", "its former owner did not start it")
	}
}

// handleEnd processes an end in a report.
func (s *Scheduler) handleEnd(w *worker, end fleet.EndedAttempt) {
	if end.Sequence <= w.lastEndSequence && !w.unreadSequences[end.Sequence] {
		return
	}
	late := end.Sequence <= w.lastEndSequence
	w.recordEndSequence(end.Sequence)
	pending := pendingEnd{sequence: end.Sequence}
	if t := w.tasks[end.Task]; t != nil && t.attempt == end.Number {
		j := t.step.job
		s.endAttempt(t, end.Outcome, end.Checkpoint, "listed by the worker")
		pending.job, pending.generation = j, j.generation
	} else if id, err := workload.ParseTaskID(end.Task); err == nil {
		s.handleLateEnd(id, end)
		if j := s.jobs[id.Job]; j != nil {
			pending.job, pending.generation = j, j.generation
		}
	}
	if late {
		w.delayAck(pending)
		return
	}
	w.pendingEnds = append(w.pendingEnds, pending)
}

// delayAck withholds the acknowledgement of an end that was decoded late, and of all later ones,
// until it is stored.
func (w *worker) delayAck(pending pendingEnd) {
	from := pending.sequence
	pending.sequence = max(pending.sequence, w.persistedSequence)
	w.persistedSequence = min(w.persistedSequence, from-1)
	w.pendingEnds = slices.Insert(w.pendingEnds, 0, pending)
}

// handleLateEnd processes the end of an attempt that this owner or a former one had given up or has already
// processed. A task that such an attempt completed is done, and a failure counts unless it has been counted.
func (s *Scheduler) handleLateEnd(id workload.TaskID, end fleet.EndedAttempt) {
	j := s.jobs[id.Job]
	if j == nil || j.state.Final() {
		return
	}
	t := j.findTask(id)
	if t == nil || t.state == taskDone {
		return
	}
	s.log.Warn().Str("job", j.id).Str("task", end.Task).Int("attempt", end.Number).Str("outcome", string(end.Outcome)).
		Msg("end of an attempt that was given up")
	if end.Outcome == fleet.Done && !t.step.spec.LongRunning {
		s.stop(t, "an earlier attempt is done")
		s.handleTaskDone(t)
	} else if !t.hosted() {
		s.recordCheckpoint(t, end.Checkpoint)
	}
	if end.Outcome == fleet.Failed && !t.step.spec.LongRunning {
		s.handleTaskFailure(t, end.Number)
	}
	s.markTaskDirty(t)
}
