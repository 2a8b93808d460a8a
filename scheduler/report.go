package scheduler

import (
	"slices"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// takeReport takes a worker's report in, and tells whether it held ends.
func (s *Scheduler) takeReport(w *worker, report fleet.Report, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if w.over {
		s.handleEndsOfEndedLife(w, report, sent)
		return false
	}
	if answering := s.resolveAnsweringLife(w, report, sent); answering != w {
		w = answering
	}
	if w.contact.IsZero() {
		s.boundLeaseAtFirstReport(w, now)
	}
	if w.failing || w.contact.IsZero() {
		s.log.Info().Str("worker", w.info.ID).Int64("born", report.Born).Int64("clock", int64(report.Clock)).Int64("clock_before", int64(w.clock)).
			Uint64("noted", w.persistedSequence).Int("running", len(report.Running)).Msg("worker answers")
	}
	if !w.failing {
		s.noteAnswer(true)
	}
	w.contact, w.failing, w.failedCalls = now, false, 0
	s.clearLost(w)
	w.observeClock(report.Clock, now)
	s.recordUnread(w, report, now)
	for _, end := range report.Ended {
		s.handleEnd(w, end)
	}
	w.foreignAttempts = 0
	listed := make(map[string]bool, len(report.Running))
	for _, run := range report.Running {
		if s.handleRunning(w, run, now) {
			listed[run.Task] = true
		}
	}
	for name, t := range w.tasks {
		if !listed[name] && !w.mayBeUnread(now) {
			s.handleMissing(t, sent)
		}
	}
	w.advanceNoted()
	s.finishTrial(w, now)
	wake(s.dispatchWake)
	return len(w.pendingEnds) > 0
}

// unreadGracePeriod is for how long an attempt that a report does not show may be in a row that could
// not be read. After it the attempt counts as lost, like one whose worker does not answer; its end,
// if there was one, is not acknowledged.
const unreadGracePeriod = 3 * time.Second

// recordUnread takes in how much of a report could not be read. The lock is held.
func (s *Scheduler) recordUnread(w *worker, report fleet.Report, now time.Time) {
	w.unreadFrom = report.UnreadFrom
	if report.Unread == 0 {
		w.unreadSince = time.Time{}
		return
	}
	s.metrics.rowsUnread.Add(int64(report.Unread))
	if w.unreadSince.IsZero() {
		w.unreadSince = now
		s.log.Warn().Str("worker", w.info.ID).Int("rows", report.Unread).Uint64("from_end", report.UnreadFrom).
			Msg("rows of a worker's report cannot be read")
	}
}

// mayBeUnread reports whether an attempt that the last report did not show may be in a row of it
// that could not be read.
func (w *worker) mayBeUnread(now time.Time) bool {
	return !w.unreadSince.IsZero() && now.Sub(w.unreadSince) < unreadGracePeriod
}

// recordEndSequence notes that an end is taken in. Ends that it leaves out could not be read, and are
// taken in when they can.
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

// maxUnreadSequences bounds the ends that are remembered as not read: as many as one report lists.
const maxUnreadSequences = 500

// boundLeaseAtFirstReport bounds until when anything can run on a worker without this owner's word. The lock
// is held.
func (s *Scheduler) boundLeaseAtFirstReport(w *worker, now time.Time) {
	if w.reusedID {
		// A call meant for the former life, carried out late by this one, may have given a
		// lease by the former clock, which the worker cuts to its longest.
		w.leaseExpiry = leaseEnd(now, s.longest)
		return
	}
	w.shortenLeaseBound(now, s.lease) // from now on it refuses the former owner
}

// handleEndsOfEndedLife takes in the ends that a life which is over has told of, in an answer that was
// overtaken by one of the next life. The lock is held.
func (s *Scheduler) handleEndsOfEndedLife(w *worker, report fleet.Report, sent time.Time) {
	if w.fromOtherLife(report, sent) {
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

// handleRunning takes in that a worker runs an attempt, and tells whether it is
// one that the worker should run.
func (s *Scheduler) handleRunning(w *worker, run fleet.Attempt, now time.Time) bool {
	t := w.tasks[run.Task]
	if t == nil || t.attempt != run.Number {
		w.foreignAttempts++
		s.stopForeign(w, run)
		return false
	}
	if run.Checkpoint != "" && t.step.spec.Checkpoints {
		t.checkpoint = run.Checkpoint
	}
	if t.state == taskStarting || t.state == taskGranted {
		s.began(t, now)
	}
	s.percentSeen = s.percentSeen || run.Percent > 0
	s.sampleProgress(t, run.Percent, now)
	switch {
	case run.Percent > t.percent || t.movedAt.IsZero():
		t.percent, t.movedAt = run.Percent, now
	case s.stalled(t, now):
		s.stop(t, "its progress stands still")
	}
	if s.shouldMoveOffSlowWorker(t, now) {
		t.movedOnce = true
		s.stop(t, "its worker has turned slow")
	}
	return true
}

// handleMissing judges an attempt that a report did not show, neither as running nor
// as ended.
func (s *Scheduler) handleMissing(t *task, sent time.Time) {
	running := t.state == taskRunning || t.state == taskDone
	switch {
	case running && !t.begunAt.IsZero() && t.begunAt.Before(sent):
		s.endAttempt(t, fleet.Lapsed, "", "not in the worker's report")
	case t.unwanted() && !t.stoppedAt.IsZero() && t.stoppedAt.Before(sent):
		s.endAttempt(t, fleet.Stopped, "", "stopped before it began")
	case t.state == taskStarting && t.recovered:
		s.endAttempt(t, fleet.Stopped, "", "its former owner did not start it")
	}
}

// handleEnd takes in one end that a worker lists.
func (s *Scheduler) handleEnd(w *worker, end fleet.End) {
	if end.Sequence <= w.lastEndSequence && !w.unreadSequences[end.Sequence] {
		return
	}
	late := end.Sequence <= w.lastEndSequence
	w.recordEndSequence(end.Sequence)
	note := pendingEnd{sequence: end.Sequence}
	if t := w.tasks[end.Task]; t != nil && t.attempt == end.Number {
		j := t.step.job
		s.endAttempt(t, end.Outcome, end.Checkpoint, "listed by the worker")
		note.job, note.generation = j, j.generation
	} else if id, err := workload.ParseTaskID(end.Task); err == nil {
		s.handleLateEnd(id, end)
	}
	if late {
		w.delayAck(note)
		return
	}
	w.pendingEnds = append(w.pendingEnds, note)
}

// delayAck has the ends from one on be acknowledged only once that one is in the store: later ones
// were taken in before it could be read.
func (w *worker) delayAck(note pendingEnd) {
	from := note.sequence
	note.sequence = max(note.sequence, w.persistedSequence)
	w.persistedSequence = min(w.persistedSequence, from-1)
	w.pendingEnds = slices.Insert(w.pendingEnds, 0, note)
}

// handleLateEnd takes in the end of an attempt that the owner had given up. A task
// that is done is done, whoever counted on it.
func (s *Scheduler) handleLateEnd(id workload.TaskID, end fleet.End) {
	j := s.jobs[id.Job]
	if j == nil || j.state.Final() {
		return
	}
	t := j.find(id)
	if t == nil || t.state == taskDone {
		return
	}
	s.log.Warn().Str("job", j.id).Str("task", end.Task).Int("attempt", end.Number).Str("outcome", string(end.Outcome)).
		Msg("end of an attempt that was given up")
	if end.Outcome == fleet.Done && !t.step.spec.Lasting {
		s.stop(t, "an earlier attempt is done")
		s.handleTaskDone(t)
	} else if end.Checkpoint != "" && t.step.spec.Checkpoints && !t.hosted() {
		t.checkpoint = end.Checkpoint
	}
	s.change(j)
}
