package scheduler

import (
	"context"
	"errors"
	"time"

	"chutereach/fleet"
	"chutereach/wait"
)

const (
	// startWithin bounds how late a start may be carried out.
	startWithin = 1500 * time.Millisecond
	// orderTimeout is how long one call with an order may take.
	orderTimeout = 250 * time.Millisecond
	orderPause   = 5 * time.Millisecond
	// busyPause keeps new tasks from a worker that refused one for now.
	busyPause = 500 * time.Millisecond
)

// begin tells a worker to start an attempt whose grant is in the store. The lock
// is held.
func (s *Scheduler) begin(t *task, number int) {
	if t.state != taskGranted || t.attempt != number {
		return
	}
	if !s.ticketLasts(t, time.Now()) {
		s.metrics.refused("ticket ran out before the start")
		s.endAttempt(t, fleet.Stopped, "", "its ticket ran out while the grant was written")
		return
	}
	t.state = taskStarting
	s.running.Go(func() { s.start(s.ctx, t, number) })
}

// ticketLasts reports whether the task's ticket, if it needs one, is still good.
// Writing a grant takes long while the store is down.
func (s *Scheduler) ticketLasts(t *task, now time.Time) bool {
	if !t.step.job.record.Queue.Advice.Needed() {
		return true
	}
	text, ok := t.step.advice.ticketFor(t.worker, now)
	t.ticket = text // a newer one may have come since the grant
	return ok
}

// start calls the worker until it answers or the order is void.
func (s *Scheduler) start(ctx context.Context, t *task, number int) {
	void := time.Now().Add(startWithin)
	doubtful := false // an earlier call had no answer and may have been carried out
	for ctx.Err() == nil {
		info, order, next := s.startOrder(t, number, void)
		switch next {
		case startOver:
			return
		case startHeld:
			wait.For(ctx, heldPause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, s.answerLimit())
		begun := time.Now()
		clock, err := s.client.Start(callCtx, info, order)
		cancel()
		s.metrics.start(time.Since(begun), err)
		if s.startAnswered(t, number, startResult{info.Life, order.Token, clock, err, time.Since(begun), void, doubtful}) {
			return
		}
		doubtful = doubtful || !fleet.IsUnsent(err)
		wait.For(ctx, orderPause)
	}
}

// startNext is what is done next about a start.
type startNext int

const (
	startSent startNext = iota // the worker is called
	startHeld                  // it is looked at again after heldPause
	startOver                  // it is no longer wanted
)

// startOrder returns the order, if the worker is to be called now.
func (s *Scheduler) startOrder(t *task, number int, void time.Time) (fleet.Worker, fleet.StartOrder, startNext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != taskStarting || t.attempt != number || t.worker == nil {
		return fleet.Worker{}, fleet.StartOrder{}, startOver
	}
	w := t.worker
	if !t.told && w.overfull() {
		s.metrics.refused("its worker has shrunk since the grant")
		s.endAttempt(t, fleet.Stopped, "", "its worker has shrunk since the grant")
		return fleet.Worker{}, fleet.StartOrder{}, startOver
	}
	if next := s.admitStart(t, void); next != startSent {
		return fleet.Worker{}, fleet.StartOrder{}, next
	}
	w.extends(void, 0)
	t.told = true
	return w.info, fleet.StartOrder{
		Task: t.id().String(), Number: number, Spec: t.step.job.record.Request.Spec,
		Checkpoint: t.checkpoint, Ticket: t.ticket, Token: s.tokenOf(w.info.ID), Deadline: w.clockNow(void),
	}, startSent
}

// answerLimit returns how long the answer to a start is waited for before it is sent
// again, which does no harm: a worker starts an attempt once.
func (s *Scheduler) answerLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.limit() + s.patience()
}

// startResult is what came of one call with a start.
type startResult struct {
	life     fleet.Life // that was meant
	token    uint64
	clock    fleet.Clock
	err      error
	took     time.Duration
	void     time.Time // when the order is void
	doubtful bool
}

// startAnswered takes in the answer to a start, and tells whether that settles
// it.
func (s *Scheduler) startAnswered(t *task, number int, result startResult) bool {
	err := result.err
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.answers.took(result.took) // without answer: as long as was waited, at the least
	if t.attempt != number || t.worker == nil {
		return true
	}
	w := t.worker
	if fleet.IsClosed(err) && !fleet.IsUnsent(err) {
		t.cutShort = true
	}
	if fleet.IsUnsent(err) && !result.doubtful && t.state == taskStarting {
		t.told = false // until the call is tried again
	}
	if err == nil {
		w.sawClockOf(result.life, result.clock, now)
		if t.state == taskStarting {
			s.began(t, now)
		}
		return true
	}
	var (
		refused  *fleet.RefusedError
		replaced *fleet.ReplacedError
		busy     *fleet.BusyError
	)
	switch {
	case errors.As(err, &refused):
		w.sawClockOf(result.life, refused.Clock, now)
		s.startRefused(t, refused.Reason, result)
	case errors.As(err, &replaced):
		s.endLife(w, "another life answers at its address")
	case errors.As(err, &busy):
		w.blockedUntil = now.Add(busyPause)
		s.notStarted(t, "busy", result.doubtful)
	case t.state != taskStarting:
		return true
	case w.failing && fleet.IsUnsent(err) && !result.doubtful:
		s.notStarted(t, "out of reach", false)
	case now.After(result.void):
		s.log.Warn().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", number).
			Str("worker", w.info.ID).Err(err).Msg("start has no answer")
		s.stop(t, "its start has no answer")
	default:
		return false
	}
	return true
}

func (s *Scheduler) startRefused(t *task, reason fleet.Reason, result startResult) {
	if t.state != taskStarting {
		return // a report has shown it since, or it is being stopped
	}
	w := t.worker
	switch reason {
	case fleet.Fenced:
		s.fenced(w, result.token)
	case fleet.NoRoom:
		w.blockedUntil = time.Now().Add(busyPause)
	case fleet.NoTicket:
		t.step.advice.drop(w)
	}
	s.notStarted(t, string(reason), result.doubtful || reason == fleet.Outdated)
}

// notStarted takes back a grant whose start the worker has refused. If an earlier
// call had no answer, the attempt may have begun, and even ended: then only a
// later report tells. The lock is held.
func (s *Scheduler) notStarted(t *task, reason string, doubtful bool) {
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("reason", reason).Bool("doubtful", doubtful).Msg("start refused")
	s.metrics.refused(reason)
	if doubtful {
		s.stop(t, "refused after a call without answer")
		return
	}
	t.told = false
	s.endAttempt(t, fleet.Stopped, "", "refused: "+reason)
}

// began takes in that an attempt runs. The lock is held.
func (s *Scheduler) began(t *task, now time.Time) {
	t.state, t.begunAt, t.movedAt, t.percent = taskRunning, now, now, 0
	t.recovered = false
	t.step.job.begun = true
	s.log.Debug().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Msg("started")
}

// stop ends an attempt that is unwanted or in doubt, and with it its gang. The lock is held.
func (s *Scheduler) stop(t *task, why string) {
	switch t.state {
	case taskGranted:
		s.endAttempt(t, fleet.Stopped, "", why)
		return
	case taskStarting, taskRunning:
	default:
		return
	}
	s.recall(t, why)
	if t.step.spec.Gang {
		s.breakGang(t.step, t.attempt, "with its gang: "+why)
	}
}

// recall has a worker told to stop an attempt that was sent to it. The lock is held.
func (s *Scheduler) recall(t *task, why string) {
	t.state = taskStopping
	s.metrics.stops.Add(1)
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("why", why).Msg("stopping")
	s.sendStops(t)
}

// sendStops has a worker called until it has taken the order to stop an unwanted attempt. The
// lock is held.
func (s *Scheduler) sendStops(t *task) {
	t.stoppedAt = time.Time{}
	if s.ctx == nil {
		return
	}
	w, number := t.worker, t.attempt
	s.running.Go(func() { s.sendStop(s.ctx, w, t, number) })
}

// sendStop calls the worker until it confirms the stop or the attempt is over.
func (s *Scheduler) sendStop(ctx context.Context, w *worker, t *task, number int) {
	order := fleet.StopOrder{Task: t.id().String(), Number: number}
	for ctx.Err() == nil {
		s.mu.Lock()
		wanted := t.worker == w && t.attempt == number && t.unwanted()
		info := w.info
		order.Token = s.tokenOf(info.ID)
		s.mu.Unlock()
		if !wanted {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := s.client.Stop(callCtx, info, order)
		cancel()
		if s.stopAnswered(w, t, order, err) {
			if err == nil {
				s.look(ctx, w, t, number)
			}
			return
		}
		wait.For(ctx, holdPause)
	}
}

// look asks for a report at once if it is not known that a stopped attempt ever
// began: no end will come of one that did not, and the call that is held open
// waits for an end.
func (s *Scheduler) look(ctx context.Context, w *worker, t *task, number int) {
	s.mu.Lock()
	wanted := t.worker == w && t.attempt == number && t.unwanted() && t.begunAt.IsZero()
	order := fleet.HoldOrder{Token: s.tokenOf(w.info.ID), Noted: w.acknowledged()}
	info, sent := w.info, time.Now()
	s.mu.Unlock()
	if !wanted {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if report, err := s.client.Hold(callCtx, info, order); err == nil {
		s.takeReport(w, report, sent)
	}
}

func (s *Scheduler) stopAnswered(w *worker, t *task, order fleet.StopOrder, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var (
		refused  *fleet.RefusedError
		replaced *fleet.ReplacedError
	)
	switch {
	case err == nil:
		if t.worker == w && t.attempt == order.Number {
			t.stoppedAt = time.Now()
		}
		return true
	case errors.As(err, &refused) && refused.Reason == fleet.Fenced:
		return s.fenced(w, order.Token)
	case errors.As(err, &replaced):
		s.endLife(w, "another life answers at its address")
		return true
	}
	return false
}

// fenced takes in that a worker has seen a higher token than that of a call, and reports whether
// the term is over for it: not if a later life under the worker's id was called by this owner
// meanwhile. The lock is held.
func (s *Scheduler) fenced(w *worker, token uint64) bool {
	if w.over || token < s.tokenOf(w.info.ID) {
		return false
	}
	s.deposeLocked("worker " + w.info.ID + " has seen a higher token")
	return true
}

// stopForeign stops an attempt that the worker should not run.
func (s *Scheduler) stopForeign(w *worker, run fleet.Attempt) {
	key := run.Task + "#" + w.info.ID
	if s.stopping[key] || s.ctx == nil {
		return
	}
	s.stopping[key] = true
	s.log.Warn().Str("task", run.Task).Int("attempt", run.Number).Str("worker", w.info.ID).Msg("stopping a stray attempt")
	info := w.info
	order := fleet.StopOrder{Task: run.Task, Number: run.Number, Token: s.tokenOf(info.ID)}
	s.running.Go(func() {
		callCtx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		s.client.Stop(callCtx, info, order) // the next report tells whether it helped
		s.mu.Lock()
		delete(s.stopping, key)
		s.mu.Unlock()
	})
}
