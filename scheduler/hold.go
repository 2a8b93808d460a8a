package scheduler

import (
	"context"
	"errors"
	"time"

	"chutereach/fleet"
	"chutereach/wait"
)

const (
	// holdWait is how long a worker may keep a call open until an end comes.
	holdWait = time.Second
	// holdGrace is how much longer the answer is waited for.
	holdGrace = 400 * time.Millisecond
	// holdPause follows a call that failed, noteWait one whose ends are not yet
	// in the store.
	holdPause      = 200 * time.Millisecond
	persistTimeout = 300 * time.Millisecond
	// finalExtensionMargin is how long before an owner must stop to extend leases it does so
	// for the last time.
	finalExtensionMargin = 150 * time.Millisecond
	// unconfirmedWait is holdWait for an owner that may not extend leases, so that it
	// does so soon after the store's return.
	unconfirmedWait = 250 * time.Millisecond
	// lossyWait and lossySlack take the place of holdWait and holdSlack while answers
	// are lost: until a call is given up, no end on its worker is heard of.
	lossyWait  = 250 * time.Millisecond
	lossyGrace = 100 * time.Millisecond
	// reportMaxAge is how old a report may be for a worker to get new tasks.
	reportMaxAge = holdWait + holdGrace + holdPause
	// clockDrift and clockSlack widen a lease that is counted on another clock.
	clockDrift = 0.03
	clockSlack = 200 * time.Millisecond
)

// pollWorker holds a worker until its life is over or ctx ends. Its first call waits for its turn: at a
// takeover they all come at once, each with a new connection.
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

// holdResult is what came of a call that holds a worker, with what order and when it was sent.
type holdResult struct {
	report fleet.Report
	order  fleet.HoldOrder
	sent   time.Time
	err    error
}

// hold makes one call to a worker.
func (s *Scheduler) hold(ctx context.Context, w *worker) holdResult {
	order, sent := s.holdOrder(w)
	callCtx, cancel := context.WithTimeout(ctx, s.holdTimeout(w, order))
	defer cancel()
	report, err := s.client.Hold(callCtx, s.workerInfo(w), order)
	return holdResult{report, order, sent, err}
}

// handleHoldResult takes in what came of a call, waits until the next is due, and reports whether there
// is to be one.
func (s *Scheduler) handleHoldResult(ctx context.Context, w *worker, result holdResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.err != nil {
		if s.handleHoldFailure(w, result.order, result.err) {
			return false
		}
		wait.For(ctx, s.retryDelay(w))
		return ctx.Err() == nil
	}
	if s.takeReport(w, result.report, result.sent) {
		s.awaitPersisted(ctx, w)
	}
	return ctx.Err() == nil
}

const (
	// maxFirstCalls bounds the first calls to workers that have their turn.
	maxFirstCalls = 32
	// firstCallTimeout is for how long a first call has its turn. A worker that has not answered by
	// then may be gone, and costs no more than the wait for it: where many are gone, the others
	// would wait for all of them.
	firstCallTimeout = 25 * time.Millisecond
)

// holdTimeout returns how long a call may take. One to a worker that has not answered
// ends with its lease, so that what ran there is placed anew at once.
func (s *Scheduler) holdTimeout(w *worker, order fleet.HoldOrder) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := order.Wait + holdGrace
	if s.answers.lossy {
		limit = order.Wait + max(lossyGrace, s.answers.limit())
	}
	limit += s.patience()
	if rest := time.Until(w.leaseExpiry); w.failing && rest > 0 {
		limit = min(limit, rest+time.Millisecond)
	}
	return limit
}

func (s *Scheduler) workerInfo(w *worker) fleet.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.info
}

// holdOrder says what to ask of a worker next. Nothing is extended while the
// store has not confirmed the term for a while, nor after a call without answer:
// then the time by which everything there has ended stays certain.
func (s *Scheduler) holdOrder(w *worker) (fleet.HoldOrder, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	order := fleet.HoldOrder{Token: s.tokenOf(w.info.ID), Noted: w.acknowledged(), Wait: holdWait}
	if s.answers.lossy {
		order.Wait = lossyWait
	}
	if w.trial.step != nil {
		order.Wait = min(order.Wait, trialWait)
	}
	first := w.contact.IsZero()
	if first || w.failing || len(w.pendingEnds) > 0 {
		order.Wait = 0
	}
	rest := confirmedFor - s.term.Unconfirmed()
	if rest < 0 {
		order.Wait = min(order.Wait, unconfirmedWait)
	}
	if w.failing || first || rest < 0 {
		return order, now
	}
	if rest > finalExtensionMargin && rest < holdWait {
		order.Wait = min(order.Wait, rest-finalExtensionMargin) // then it is extended once more
	}
	order.Deadline = w.clockNow(now) + fleet.Clock(s.lease.Milliseconds())
	w.extends(now, s.lease)
	return order, now
}

// retryDelay returns how long to wait before the next call to a worker that
// does not answer; not beyond the end of its lease.
func (s *Scheduler) retryDelay(w *worker) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.failedCalls++
	if w.failedCalls == 1 && !w.contact.IsZero() && s.lateness() < lateThreshold {
		return 0 // it may be the one call that was lost
	}
	if rest := time.Until(w.leaseExpiry); rest > 0 {
		return min(holdPause, rest)
	}
	return holdPause
}

// handleHoldFailure notes a failed call and reports whether the life is over.
func (s *Scheduler) handleHoldFailure(w *worker, order fleet.HoldOrder, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refused *fleet.RefusedError
	if errors.As(err, &refused) && refused.Reason == fleet.Fenced {
		return s.fenced(w, order.Token)
	}
	var replaced *fleet.ReplacedError
	if errors.As(err, &replaced) {
		s.endLife(w, "another life answers at its address")
		return true
	}
	s.markTokenStale(w.info.ID)
	if !w.failing {
		s.noteAnswer(false)
		w.failing, w.unresponsiveSince, w.connectionClosed = true, time.Now(), fleet.IsClosed(err)
		if w.connectionClosed {
			s.recordDisconnect(w, w.unresponsiveSince)
		}
		s.log.Warn().Str("worker", w.info.ID).Err(err).Msg("worker does not answer")
	}
	if time.Now().After(w.leaseExpiry) {
		s.expireAttempts(w, "lease ran out")
		if !w.known {
			s.endLife(w, "gone and its lease has run out")
			return true
		}
	}
	return false
}

// expireAttempts ends every attempt on a worker whose lease has run out or whose life is over. The end
// of one member of a gang takes back the others that were only granted, so each is looked at
// anew. The lock is held.
func (s *Scheduler) expireAttempts(w *worker, why string) {
	for _, t := range w.taskList() {
		if t.worker == w {
			s.recordLost(t)
			s.endAttempt(t, fleet.Lapsed, "", why)
		}
	}
}

// endLife forgets a worker and everything on it. The lock is held.
func (s *Scheduler) endLife(w *worker, why string) {
	if w.over {
		return
	}
	w.over = true
	s.expireAttempts(w, why)
	s.log.Info().Str("worker", w.info.ID).Str("why", why).Strs("lost", attemptNames(w.lost)).Bool("leaving", w.leaving).
		Dur("silent", time.Since(w.contact)).Msg("worker is over")
	s.countLost(w)
	if w.cancel != nil {
		w.cancel()
	}
	s.removeLife(w)
	if w.known && !s.sharesDiscoveryEntry(w) {
		s.past[w.discoveredLife] = true
	}
	wake(s.dispatchWake)
}

// awaitPersisted waits until the ends that were just taken in are in the store, so
// that the next call does not return at once with the same ends.
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
		rest := len(w.pendingEnds)
		s.mu.Unlock()
		if rest == 0 {
			return
		}
	}
}
