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
		s.takeLastEnds(w, report, sent)
		return false
	}
	if answering := s.settleLives(w, report, sent); answering != w {
		w = answering
	}
	if w.contact.IsZero() {
		s.firstContact(w, now)
	}
	if w.failing || w.contact.IsZero() {
		s.log.Info().Str("worker", w.info.ID).Int64("born", report.Born).Int64("clock", int64(report.Clock)).Int64("clock_before", int64(w.clock)).
			Uint64("noted", w.noted).Int("running", len(report.Running)).Msg("worker answers")
	}
	if !w.failing {
		s.noteAnswer(true)
	}
	w.contact, w.failing, w.failures = now, false, 0
	s.settleFound(w)
	w.sawClock(report.Clock, now)
	s.noteUnread(w, report, now)
	for _, end := range report.Ended {
		s.takeEnd(w, end)
	}
	w.foreign = 0
	listed := make(map[string]bool, len(report.Running))
	for _, run := range report.Running {
		if s.takeRunning(w, run, now) {
			listed[run.Task] = true
		}
	}
	for name, t := range w.tasks {
		if !listed[name] && !w.mayBeUnread(now) {
			s.missing(t, sent)
		}
	}
	w.advanceNoted()
	s.settleTrial(w, now)
	wake(s.dispatchWake)
	return len(w.pending) > 0
}

// unreadPatience is for how long an attempt that a report does not show may be in a row that could
// not be read. After it the attempt counts as lost, like one whose worker does not answer; its end,
// if there was one, is not acknowledged.
const unreadPatience = 3 * time.Second

// noteUnread takes in how much of a report could not be read. The lock is held.
func (s *Scheduler) noteUnread(w *worker, report fleet.Report, now time.Time) {
	w.unreadFrom = report.UnreadFrom
	if report.Unread == 0 {
		w.unreadAt = time.Time{}
		return
	}
	s.metrics.rowsUnread.Add(int64(report.Unread))
	if w.unreadAt.IsZero() {
		w.unreadAt = now
		s.log.Warn().Str("worker", w.info.ID).Int("rows", report.Unread).Uint64("from_end", report.UnreadFrom).
			Msg("rows of a worker's report cannot be read")
	}
}

// mayBeUnread reports whether an attempt that the last report did not show may be in a row of it
// that could not be read.
func (w *worker) mayBeUnread(now time.Time) bool {
	return !w.unreadAt.IsZero() && now.Sub(w.unreadAt) < unreadPatience
}

// noteSequence notes that an end is taken in. Ends that it leaves out could not be read, and are
// taken in when they can.
func (w *worker) noteSequence(sequence uint64) {
	delete(w.gaps, sequence)
	for missed := w.seen + 1; w.unreadFrom > 0 && missed < sequence && len(w.gaps) < mostGaps; missed++ {
		if w.gaps == nil {
			w.gaps = map[uint64]bool{}
		}
		w.gaps[missed] = true
	}
	w.seen = max(w.seen, sequence)
}

// mostGaps bounds the ends that are remembered as not read: as many as one report lists.
const mostGaps = 500

// firstContact bounds until when anything can run on a worker without this owner's word. The lock
// is held.
func (s *Scheduler) firstContact(w *worker, now time.Time) {
	if w.again {
		// A call meant for the former life, carried out late by this one, may have given a
		// lease by the former clock, which the worker cuts to its longest.
		w.leaseEnds = leaseEnd(now, s.longest)
		return
	}
	w.shorten(now, s.lease) // from now on it refuses the former owner
}

// takeLastEnds takes in the ends that a life which is over has told of, in an answer that was
// overtaken by one of the next life. The lock is held.
func (s *Scheduler) takeLastEnds(w *worker, report fleet.Report, sent time.Time) {
	if w.another(report, sent) {
		return
	}
	for _, end := range report.Ended {
		if end.Sequence <= w.seen {
			continue
		}
		w.seen = end.Sequence
		if id, err := workload.ParseTaskID(end.Task); err == nil {
			s.takeLateEnd(id, end)
		}
	}
}

// takeRunning takes in that a worker runs an attempt, and tells whether it is
// one that the worker should run.
func (s *Scheduler) takeRunning(w *worker, run fleet.Attempt, now time.Time) bool {
	t := w.tasks[run.Task]
	if t == nil || t.attempt != run.Number {
		w.foreign++
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
	s.sample(t, run.Percent, now)
	switch {
	case run.Percent > t.percent || t.movedAt.IsZero():
		t.percent, t.movedAt = run.Percent, now
	case s.stalled(t, now):
		s.stop(t, "its progress stands still")
	}
	if s.dragging(t, now) {
		t.movedOnce = true
		s.stop(t, "its worker has turned slow")
	}
	return true
}

// missing judges an attempt that a report did not show, neither as running nor
// as ended.
func (s *Scheduler) missing(t *task, sent time.Time) {
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

// takeEnd takes in one end that a worker lists.
func (s *Scheduler) takeEnd(w *worker, end fleet.End) {
	if end.Sequence <= w.seen && !w.gaps[end.Sequence] {
		return
	}
	late := end.Sequence <= w.seen
	w.noteSequence(end.Sequence)
	note := pendingNote{sequence: end.Sequence}
	if t := w.tasks[end.Task]; t != nil && t.attempt == end.Number {
		j := t.step.job
		s.endAttempt(t, end.Outcome, end.Checkpoint, "listed by the worker")
		note.job, note.generation = j, j.generation
	} else if id, err := workload.ParseTaskID(end.Task); err == nil {
		s.takeLateEnd(id, end)
	}
	if late {
		w.holdBack(note)
		return
	}
	w.pending = append(w.pending, note)
}

// holdBack has the ends from one on be acknowledged only once that one is in the store: later ones
// were taken in before it could be read.
func (w *worker) holdBack(note pendingNote) {
	from := note.sequence
	note.sequence = max(note.sequence, w.noted)
	w.noted = min(w.noted, from-1)
	w.pending = slices.Insert(w.pending, 0, note)
}

// takeLateEnd takes in the end of an attempt that the owner had given up. A task
// that is done is done, whoever counted on it.
func (s *Scheduler) takeLateEnd(id workload.TaskID, end fleet.End) {
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
		s.taskDone(t)
	} else if end.Checkpoint != "" && t.step.spec.Checkpoints && !t.hosted() {
		t.checkpoint = end.Checkpoint
	}
	s.change(j)
}
