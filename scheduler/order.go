package scheduler

import (
	"context"
	"errors"
	"time"

	"chutereach/fleet"
	"chutereach/wait"
)

const (
	// startValidity is how long after it is issued a start order may be carried out.
	startValidity = 1500 * time.Millisecond
	// orderTimeout is the timeout of stop calls and of requests for a report.
	orderTimeout    = 250 * time.Millisecond
	orderRetryDelay = 5 * time.Millisecond
	// refusalBackoff is how long a worker gets no new tasks after it refused a start
	// because it was busy or had no capacity.
	refusalBackoff = 500 * time.Millisecond
)

// beginStart starts an attempt whose grant is in the store. The lock is held.
func (s *Scheduler) beginStart(t *task, number int) {
	if t.state != taskGranted || t.attempt != number {
		return
	}
	if !s.refreshTicket(t, time.Now()) {
		s.metrics.startRefused("ticket ran out before the start")
		s.endAttempt(t, fleet.Stopped, "", "its ticket ran out while the grant was written")
		return
	}
	t.state = taskStarting
	s.running.Go(func() { s.start(s.ctx, t, number) })
}

// refreshTicket replaces the task's ticket by the latest one and reports whether it is
// valid, or not needed. The ticket may have expired while the grant was written.
func (s *Scheduler) refreshTicket(t *task, now time.Time) bool {
	if !t.step.job.record.Queue.Advice.Enabled() {
		return true
	}
	text, ok := t.step.advice.ticketFor(t.worker, now)
	t.ticket = text // there may be a newer one than at the grant
	return ok
}

// start calls the worker until it answers or the order has expired.
func (s *Scheduler) start(ctx context.Context, t *task, number int) {
	expiry := time.Now().Add(startValidity)
	uncertain := false // whether an earlier unanswered call may have started the attempt
	for ctx.Err() == nil {
		info, order, decision := s.startOrder(t, number, expiry)
		switch decision {
		case startAbandon:
			return
		case startHold:
			wait.For(ctx, heldStartDelay)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, s.startCallTimeout())
		sentAt := time.Now()
		clock, err := s.client.Start(callCtx, info, order)
		cancel()
		s.metrics.start(time.Since(sentAt), err)
		if s.handleStartResult(t, number, startResult{info.Incarnation, order.Token, clock, err, time.Since(sentAt), expiry, uncertain}) {
			return
		}
		uncertain = uncertain || !fleet.IsUnsent(err)
		wait.For(ctx, orderRetryDelay)
	}
}

// startDecision is the next action for a start.
type startDecision int

const (
	startSend    startDecision = iota // call the worker
	startHold                         // check again after heldStartDelay
	startAbandon                      // the start is no longer wanted
)

// startOrder decides whether to call the worker now, and returns the order if so.
func (s *Scheduler) startOrder(t *task, number int, expiry time.Time) (fleet.Worker, fleet.StartOrder, startDecision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != taskStarting || t.attempt != number || t.worker == nil {
		return fleet.Worker{}, fleet.StartOrder{}, startAbandon
	}
	w := t.worker
	if reason := t.overcommitted(); reason != "" {
		s.revokeStart(t, reason)
		return fleet.Worker{}, fleet.StartOrder{}, startAbandon
	}
	if !s.mayExtendLease(w) { // a start extends the lease
		if w.extensionBlocked && !t.startSent || time.Now().After(expiry) {
			s.revokeStart(t, "the lease of its worker must not be extended")
			return fleet.Worker{}, fleet.StartOrder{}, startAbandon
		}
		return fleet.Worker{}, fleet.StartOrder{}, startHold
	}
	if decision := s.admitStart(t, expiry); decision != startSend {
		return fleet.Worker{}, fleet.StartOrder{}, decision
	}
	w.extendLeaseBound(expiry, 0)
	if !t.startSent {
		t.startSent, t.exposure.sentAt = true, time.Now()
		if t.crashes.Suspected {
			s.checkSurvival(w)
		}
	}
	return w.info, fleet.StartOrder{
		Task: t.id().String(), Number: number, Spec: t.step.job.record.Request.Spec,
		Checkpoint: t.checkpoint, Ticket: t.ticket, Token: s.tokenOf(w.info.ID), Deadline: w.estimateClock(expiry),
	}, startSend
}

// overcommitted returns why a granted task may no longer start: more is granted than its worker's
// capacity or its account's quota, one of which has shrunk. It returns "" if neither has.
func (t *task) overcommitted() string {
	switch {
	case t.worker.overcommitted():
		return "its worker has shrunk since the grant"
	case t.step.job.account.overcommitted():
		return "its account's quota has shrunk since the grant"
	}
	return ""
}

// revokeStart revokes the grant of a task that may no longer start. An earlier call that is unanswered
// may still reach the worker as long as the order is valid, so the attempt is then stopped; the worker
// refuses that call from then on. The lock is held.
func (s *Scheduler) revokeStart(t *task, reason string) {
	s.metrics.startRefused(reason)
	if t.startSent {
		s.stop(t, reason)
		return
	}
	s.endAttempt(t, fleet.Stopped, "", reason)
}

// startCallTimeout returns the timeout of a start call. Retries are safe because workers
// start an attempt at most once.
func (s *Scheduler) startCallTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.timeout() + s.latenessAllowance()
}

// startResult is the result of one start call.
type startResult struct {
	incarnation fleet.Incarnation // the incarnation the call was addressed to
	token       uint64
	clock       fleet.Clock
	err         error
	took        time.Duration
	expiry      time.Time // when the order expires
	uncertain   bool      // an earlier unanswered call may have started the attempt
}

// handleStartResult processes the result of a start call and reports whether no further
// call is needed.
func (s *Scheduler) handleStartResult(t *task, number int, result startResult) bool {
	err := result.err
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.answers.addLatency(result.took) // without an answer, the time waited is a lower bound
	if t.attempt != number || t.worker == nil {
		return true
	}
	w := t.worker
	if fleet.IsConnectionClosed(err) && !fleet.IsUnsent(err) {
		t.startConnectionClosed = true
	}
	if fleet.IsUnsent(err) && !result.uncertain && t.state == taskStarting {
		t.startSent = false // until the next call is sent
	}
	if err == nil {
		w.observeIncarnationClock(result.incarnation, result.clock, now)
		if t.state == taskStarting {
			s.markRunning(t, now)
		}
		switch {
		case w.info.Incarnation != result.incarnation:
		case t.step.spec.Gang:
			t.exposure.gangAnswer = startAnswer{result.clock, now.Add(-result.took)}
		default:
			t.exposure = t.exposure.withStartAnswer(result.clock)
		}
		return true
	}
	var (
		refused  *fleet.RefusedError
		replaced *fleet.ReplacedError
		busy     *fleet.UnavailableError
	)
	switch {
	case errors.As(err, &refused):
		w.observeIncarnationClock(result.incarnation, refused.Clock, now)
		s.handleStartRefusal(t, refused.Reason, result)
	case errors.As(err, &replaced):
		s.endIncarnation(w, "another incarnation answers at its address")
	case errors.As(err, &busy):
		w.blockedUntil = now.Add(refusalBackoff)
		s.rejectStart(t, "busy", result.uncertain)
	case t.state != taskStarting:
		return true
	case w.unresponsive && fleet.IsUnsent(err) && !result.uncertain:
		s.rejectStart(t, "out of reach", false)
	case now.After(result.expiry):
		s.log.Warn().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", number).
			Str("worker", w.info.ID).Err(err).Msg("start has no answer")
		s.stop(t, "its start was not answered")
	default:
		return false
	}
	return true
}

// handleStartRefusal processes the refusal of a start by the worker. The lock is held.
func (s *Scheduler) handleStartRefusal(t *task, reason fleet.Reason, result startResult) {
	if t.state != taskStarting {
		return // a report has since listed the attempt, or it is being stopped
	}
	w := t.worker
	switch reason {
	case fleet.Fenced:
		s.handleFenced(w, result.token)
	case fleet.InsufficientCapacity:
		w.blockedUntil = time.Now().Add(refusalBackoff)
	case fleet.InvalidTicket:
		t.step.advice.invalidate(w)
	}
	s.rejectStart(t, string(reason), result.uncertain || reason == fleet.StaleAttempt)
}

// rejectStart revokes the grant of a task whose start was refused or could not be sent. If
// an earlier call was not answered, the attempt may have started or even ended, so it is
// stopped and remains in doubt until a later report. The lock is held.
func (s *Scheduler) rejectStart(t *task, reason string, uncertain bool) {
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("reason", reason).Bool("doubtful", uncertain).Msg("start refused")
	s.metrics.startRefused(reason)
	if uncertain {
		s.stop(t, "refused after an unanswered call")
		return
	}
	t.startSent = false
	s.endAttempt(t, fleet.Stopped, "", "refused: "+reason)
}

// markRunning records that an attempt is running. The lock is held.
func (s *Scheduler) markRunning(t *task, now time.Time) {
	t.state, t.startedAt, t.progressedAt, t.percent = taskRunning, now, now, 0
	t.recovered = false
	t.step.job.started = true
	s.log.Debug().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Msg("started")
}

// stop stops an attempt that is unwanted or in doubt, and with it the other members of its
// gang. The lock is held.
func (s *Scheduler) stop(t *task, reason string) {
	switch t.state {
	case taskGranted:
		s.endAttempt(t, fleet.Stopped, "", reason)
		return
	case taskStarting, taskRunning:
	default:
		return
	}
	s.beginStop(t, reason)
	if t.step.spec.Gang {
		s.stopGang(t.step, t.attempt, "with its gang: "+reason)
	}
}

// beginStop has the worker stop an attempt whose start may have reached it. The lock is held.
func (s *Scheduler) beginStop(t *task, reason string) {
	t.state = taskStopping
	s.metrics.stops.Add(1)
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("why", reason).Msg("stopping")
	s.startStopCalls(t)
}

// startStopCalls calls the worker in the background until it confirms the stop of an unwanted
// attempt. The lock is held.
func (s *Scheduler) startStopCalls(t *task) {
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
		if s.handleStopResult(w, t, order, err) {
			if err == nil {
				s.requestReport(ctx, w, t, number)
			}
			return
		}
		wait.For(ctx, holdRetryDelay)
	}
}

// requestReport requests a report at once if a stopped attempt is not known to have started.
// An attempt that never started has no end to report, so the open hold call would not
// return early for it.
func (s *Scheduler) requestReport(ctx context.Context, w *worker, t *task, number int) {
	s.mu.Lock()
	wanted := t.worker == w && t.attempt == number && t.unwanted() && t.startedAt.IsZero()
	order := fleet.HoldOrder{Token: s.tokenOf(w.info.ID), AckedThrough: w.ackableSequence()}
	info, sent := w.info, time.Now()
	s.mu.Unlock()
	if !wanted {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if report, err := s.client.Hold(callCtx, info, order); err == nil {
		s.handleReport(w, report, sent)
	}
}

// handleStopResult processes the result of a stop call and reports whether no further call
// is needed.
func (s *Scheduler) handleStopResult(w *worker, t *task, order fleet.StopOrder, err error) bool {
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
		return s.handleFenced(w, order.Token)
	case errors.As(err, &replaced):
		s.endIncarnation(w, "another incarnation answers at its address")
		return true
	}
	return false
}

// handleFenced handles the refusal of a call by a worker that has seen a higher fencing token. It
// ends the term and reports true, unless this owner itself has since used a higher token for the
// worker's ID or the worker has ended. The lock is held.
func (s *Scheduler) handleFenced(w *worker, token uint64) bool {
	if w.ended || token < s.tokenOf(w.info.ID) {
		return false
	}
	s.deposeLocked("worker " + w.info.ID + " has seen a higher fencing token")
	return true
}

// stopStray stops an attempt that a worker reports although it is not assigned to the worker.
// The lock is held.
func (s *Scheduler) stopStray(w *worker, run fleet.Attempt) {
	key := run.Task + "#" + w.info.ID
	if s.stoppingStrays[key] || s.ctx == nil {
		return
	}
	s.stoppingStrays[key] = true
	s.log.Warn().Str("task", run.Task).Int("attempt", run.Number).Str("worker", w.info.ID).Msg("stopping a stray attempt")
	info := w.info
	order := fleet.StopOrder{Task: run.Task, Number: run.Number, Token: s.tokenOf(info.ID)}
	s.running.Go(func() {
		callCtx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		s.client.Stop(callCtx, info, order) // if this fails, the next report triggers another call
		s.mu.Lock()
		delete(s.stoppingStrays, key)
		s.mu.Unlock()
	})
}
