package scheduler

import (
	"context"
	"errors"
	"time"

	"chutereach/fleet"
	"chutereach/wait"
)

const (
	// holdWait is the long-poll timeout: how long a worker may wait for an end before it answers.
	holdWait = time.Second
	// holdGrace is added to the long-poll timeout to get the timeout of the call.
	holdGrace = 400 * time.Millisecond
	// holdRetryDelay is the delay after a failed call, and persistTimeout the longest delay after a
	// call that reported ends, to have them stored.
	holdRetryDelay = 200 * time.Millisecond
	persistTimeout = 300 * time.Millisecond
	// finalExtensionMargin is how long before an owner must stop extending leases it extends them
	// for the last time.
	finalExtensionMargin = 150 * time.Millisecond
	// unconfirmedWait replaces holdWait while the owner may not extend leases, so that it resumes
	// soon after the store recovers.
	unconfirmedWait = 250 * time.Millisecond
	// lossyWait and lossyGrace replace holdWait and holdGrace while calls are lost: a lost call
	// hides the ends on its worker until it times out.
	lossyWait  = 250 * time.Millisecond
	lossyGrace = 100 * time.Millisecond
	// partialWait replaces holdWait after a partial report. The rest of the lease is left to the transfer of the next
	// one, for which longReportGrace extends the timeout.
	partialWait     = 250 * time.Millisecond
	longReportGrace = 1250 * time.Millisecond
	// reportMaxAge is the maximum age of the last report of a worker that gets new tasks.
	reportMaxAge = holdWait + holdGrace + holdRetryDelay
	// clockDrift and clockSlack extend a lease that is measured by another clock.
	clockDrift = 0.03
	clockSlack = 200 * time.Millisecond
)

// pollWorker polls a worker until its incarnation ends or ctx is cancelled. The first call waits
// for a slot, because a takeover opens new connections to all workers at once.
func (s *Scheduler) pollWorker(ctx context.Context, w *worker, slot callSlot) {
	if s.firstCalls.acquire(ctx, slot) != nil {
		return
	}
	release := s.firstCalls.releaseAfter(firstCallTimeout)
	result := s.hold(ctx, w)
	release()
	for s.handleHoldResult(ctx, w, result) {
		result = s.hold(ctx, w)
	}
}

// holdResult is the result of a hold call.
type holdResult struct {
	report fleet.Report
	order  fleet.HoldOrder
	sent   time.Time
	err    error
}

// hold makes one hold call, which long-polls a worker for its report and extends its lease.
func (s *Scheduler) hold(ctx context.Context, w *worker) holdResult {
	order, sent := s.holdOrder(w)
	callCtx, cancel := context.WithTimeout(ctx, s.holdTimeout(w, order))
	defer cancel()
	report, err := s.client.Hold(callCtx, s.workerInfo(w), order)
	return holdResult{report, order, sent, err}
}

// handleHoldResult processes the result of a call and waits until the next one is due. It returns
// false if there is none.
func (s *Scheduler) handleHoldResult(ctx context.Context, w *worker, result holdResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.err != nil {
		if s.handleHoldFailure(w, result) {
			return false
		}
		wait.For(ctx, s.retryDelay(w))
		return ctx.Err() == nil
	}
	if s.handleReport(w, result.report, result.sent) {
		s.awaitPersisted(ctx, w)
	}
	return ctx.Err() == nil
}

const (
	// maxFirstCalls limits the number of first calls that hold a slot at the same time.
	maxFirstCalls = 32
	// firstCallTimeout is how long a first call holds its slot. An unreachable worker delays the
	// others by no more than that; its call continues without a slot.
	firstCallTimeout = 25 * time.Millisecond
)

// holdTimeout returns the timeout of a call. A call to an unresponsive worker ends with its lease,
// so that its tasks are placed again at once.
func (s *Scheduler) holdTimeout(w *worker, order fleet.HoldOrder) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := order.Wait + holdGrace
	if s.answers.lossy {
		timeout = order.Wait + max(lossyGrace, s.answers.timeout())
	}
	timeout += s.latenessAllowance()
	if !w.partialSince.IsZero() {
		timeout += longReportGrace
	}
	if remaining := time.Until(w.leaseExpiry); w.unresponsive && remaining > 0 {
		timeout = min(timeout, remaining+time.Millisecond)
	}
	return timeout
}

func (s *Scheduler) workerInfo(w *worker) fleet.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.info
}

// holdOrder returns the next order for a worker and the time at which it is sent. An order does not
// extend the lease while the store has not confirmed the term recently, while it has a bound of the lease, nor after an
// unanswered call, so that the known lease expiry remains an upper bound.
func (s *Scheduler) holdOrder(w *worker) (fleet.HoldOrder, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	order := fleet.HoldOrder{Token: s.tokenOf(w.info.ID), AckedThrough: w.ackableSequence(), Wait: holdWait}
	if s.answers.lossy {
		order.Wait = lossyWait
	}
	if w.trial.step != nil {
		order.Wait = min(order.Wait, trialWait)
	}
	if !w.partialSince.IsZero() {
		order.Wait = min(order.Wait, partialWait)
	}
	first := w.lastReportAt.IsZero()
	if first || w.unresponsive || w.awaitsTransaction() {
		order.Wait = 0
	}
	remaining := leaseExtensionWindow - s.term.SinceLastCommit()
	extends := remaining >= 0 && s.mayExtendLease(w)
	if !extends {
		order.Wait = min(order.Wait, unconfirmedWait)
	}
	if w.unresponsive || first || !extends {
		return order, now
	}
	if remaining > finalExtensionMargin && remaining < holdWait {
		order.Wait = min(order.Wait, remaining-finalExtensionMargin) // returns in time for a final extension
	}
	order.Deadline = w.estimateClock(now) + fleet.Clock(s.lease.Milliseconds())
	w.extendLeaseBound(now, s.lease)
	return order, now
}

// retryDelay counts a failed call and returns the delay before the next one, which is at most the
// remaining lease.
func (s *Scheduler) retryDelay(w *worker) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.failedCalls++
	if w.failedCalls == 1 && !w.lastReportAt.IsZero() && s.lateness() < lateThreshold {
		return 0 // a single call may have been lost
	}
	if remaining := time.Until(w.leaseExpiry); remaining > 0 {
		return min(holdRetryDelay, remaining)
	}
	return holdRetryDelay
}

// handleHoldFailure processes a failed call and reports whether the worker's incarnation has ended.
func (s *Scheduler) handleHoldFailure(w *worker, result holdResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := result.err
	var refused *fleet.RefusedError
	if errors.As(err, &refused) && refused.Reason == fleet.Fenced {
		return s.handleFenced(w, result.order.Token)
	}
	var replaced *fleet.ReplacedError
	if errors.As(err, &replaced) {
		s.endIncarnation(w, "another incarnation answers at its address")
		return true
	}
	s.markTokenStale(w.info.ID)
	// A single call may have been lost. Withdrawing the bound of a worker that answers again takes two transactions.
	w.silent = w.silent || w.unresponsive || !fleet.IsConnectionClosed(err) && s.storeIsQuick()
	if !w.unresponsive {
		s.recordCallResult(false)
		w.unresponsive, w.unresponsiveSince, w.connectionClosed = true, time.Now(), fleet.IsConnectionClosed(err)
		if w.connectionClosed {
			w.brokeOpenCall = w.unresponsiveSince.Sub(result.sent) > openCallTime+s.lateness()
			s.recordWorkerEnd(w, w.unresponsiveSince)
		}
		s.log.Warn().Str("worker", w.info.ID).Int("attempts", len(w.tasks)).Bool("reached", !w.lastReportAt.IsZero()).
			Dur("lease_left", time.Until(w.leaseExpiry)).Err(err).Msg("worker does not answer")
	}
	s.reviewLeaseBound(w)
	if time.Now().After(w.leaseExpiry) {
		s.expireAttempts(w, "lease expired")
		if !w.discovered {
			s.endIncarnation(w, "removed from discovery, and its lease has expired")
			return true
		}
	}
	return false
}

// expireAttempts ends every attempt on a worker whose lease has expired or whose incarnation has
// ended. Ending a gang member cancels other granted members, so each attempt is checked again. The
// caller must hold s.mu.
func (s *Scheduler) expireAttempts(w *worker, why string) {
	for _, t := range w.taskList() {
		if t.worker == w {
			s.recordLost(t)
			s.endAttempt(t, fleet.LeaseExpired, "", why)
		}
	}
}

// endIncarnation ends all attempts on a worker and removes it. The caller must hold s.mu.
func (s *Scheduler) endIncarnation(w *worker, why string) {
	if w.ended {
		return
	}
	w.ended = true
	s.recordWorkerEnd(w, time.Now())
	s.expireAttempts(w, why)
	s.log.Info().Str("worker", w.info.ID).Str("why", why).Strs("lost", attemptNames(w.lostAttempts)).Bool("leaving", w.leaving).
		Dur("silent", time.Since(w.lastReportAt)).Msg("worker incarnation ended")
	s.countLost(w)
	s.reviewLeaseBound(w)
	if w.cancel != nil {
		w.cancel()
	}
	s.removeIncarnation(w)
	if w.discovered && !s.sharesDiscoveryEntry(w) {
		s.endedIncarnations[w.discoveredIncarnation] = true
	}
	wake(s.dispatchWake)
}

// awaitsTransaction reports whether processed ends of the worker are not stored yet, or its lease bound is not withdrawn yet.
func (w *worker) awaitsTransaction() bool { return len(w.pendingEnds) > 0 || w.extensionBlocked }

// awaitPersisted waits up to persistTimeout until the processed ends are stored and the worker's lease bound is withdrawn. A
// call before that would return the same ends at once, or not extend the lease.
func (s *Scheduler) awaitPersisted(ctx context.Context, w *worker) {
	timer := time.NewTimer(persistTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.persistedWake:
		}
		s.mu.Lock()
		waits := w.awaitsTransaction()
		s.mu.Unlock()
		if !waits {
			return
		}
	}
}
