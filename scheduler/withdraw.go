package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"chutereach/urgency"
)

// withdrawOutage is how long the store may fail before unsent jobs are withdrawn. Until
// then another node that the store does answer may take the shard over, which took 0.65 s after
// the loss of an owner in a run.
const withdrawOutage = 700 * time.Millisecond

// awaitAccepted waits until a submitted job is in the store or has been withdrawn. It releases the lock.
//
// A job is withdrawn if no transaction has included it, the store does not answer and the job can no longer be
// completed in time. Its submitter then gets a definite rejection; otherwise the outcome would be unknown and the job
// would run after its deadline. Jobs that can still be completed in time are kept, and so are those for which nothing
// proves that no other node has accepted them from an earlier submission.
func (s *Scheduler) awaitAccepted(ctx context.Context, j *job) error {
	for {
		err := s.awaitSavedUnless(ctx, j, func() error { return s.checkLate(j) })
		var late *lateError
		if !errors.As(err, &late) {
			return err
		}
		if err := s.confirmByPeers(ctx); err == nil && s.withdrawIfLate(j, time.Now()) {
			return s.checkNotAccepted(j.id, j.record.Account.Name, &RejectedError{(&StoreDownError{}).Error(), defaultRetryAfter})
		}
		if s.storeIsDown() {
			return &UnconfirmedError{&StoreDownError{}}
		}
		s.mu.Lock()
	}
}

// lateError reports that a job may be withdrawn.
type lateError struct{}

func (e *lateError) Error() string { return "the job can no longer be completed in time" }

// checkLate returns a lateError if a job may be withdrawn.
func (s *Scheduler) checkLate(j *job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.withdrawn || s.mayWithdraw(j, time.Now()) {
		return &lateError{}
	}
	return nil
}

// withdrawIfLate withdraws a job that may be withdrawn, and reports whether it is withdrawn.
func (s *Scheduler) withdrawIfLate(j *job, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.withdrawn && s.mayWithdraw(j, now) {
		s.withdraw(j, now)
	}
	return j.withdrawn
}

// mayWithdraw reports whether no transaction has included a job, the store does not answer and the job can no longer
// be completed in time. The lock is held.
func (s *Scheduler) mayWithdraw(j *job, now time.Time) bool {
	since := s.term.FailingSince()
	if j.sent || j.saved > 0 || j.state.Final() || since.IsZero() || now.Sub(since) < withdrawOutage {
		return false
	}
	return !j.record.Request.Scheduled() && !j.rounds[0].urgency(now).InTime()
}

// urgency returns the urgency of the round's first step.
func (r *round) urgency(now time.Time) urgency.Assessment {
	return urgency.Assess(workOf(r.steps[0], now), now)
}

// withdraw removes a job that no transaction has included. The lock is held.
func (s *Scheduler) withdraw(j *job, now time.Time) {
	j.withdrawn = true
	j.eachTask(func(t *task) { s.stop(t, "its job is withdrawn") })
	s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
	j.queued = true // so that change does not queue it again
	delete(s.jobs, j.id)
	delete(s.active, j.id)
	s.unweigh(j)
	s.metrics.admission("given back")
	s.log.Info().Str("job", j.id).Str("queue", j.record.Queue.Name).Dur("age", now.Sub(j.arrived)).
		Dur("slack", j.deadline.Sub(now)).Dur("store_silent", now.Sub(s.term.FailingSince())).
		Msg("given back")
}
