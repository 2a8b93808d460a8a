package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutereach/workload"
)

// RejectedError reports that a submission was rejected. The job will not run unless it
// is submitted again.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return "not taken: " + e.Reason }

// NotCarriedOutError reports that a call was not carried out and that its caller may repeat it. Unlike a
// RejectedError, it says nothing about earlier submissions of the same job, one of which may have been accepted.
type NotCarriedOutError struct{ Reason string }

func (e *NotCarriedOutError) Error() string { return "not carried out: " + e.Reason }

// UnknownJobError reports that no job has the ID, or that it belongs to another account.
type UnknownJobError struct{ ID string }

func (e *UnknownJobError) Error() string { return fmt.Sprintf("there is no job %s", e.ID) }

// UnconfirmedError reports that a change was not confirmed by the store in time. It may
// still take effect. It does not unwrap to its cause, as that must not decide what callers are told: the end of
// the term, for example, means "not carried out" if it comes before a change and says nothing after one.
type UnconfirmedError struct{ Cause error }

func (e *UnconfirmedError) Error() string { return fmt.Sprintf("not confirmed: %v", e.Cause) }

// storeDownAfter is how long the store may fail before new jobs are rejected and callers
// stop waiting for it. Until then another node that the store does answer may take the
// shard over.
const storeDownAfter = 1200 * time.Millisecond

// Submit accepts a job and returns once it is in the store. It is idempotent: if the
// account already has a job with the ID, that job is awaited.
func (s *Scheduler) Submit(ctx context.Context, id string, record workload.Record) error {
	s.mu.Lock()
	j := s.jobs[id]
	if j == nil {
		if err := s.admit(id, record); err != nil {
			s.mu.Unlock()
			return s.confirmRejection(ctx, id, record, err)
		}
		j = newJob(id, record, s.accountOf(record.Account), time.Now())
		j.countAgainstWeight()
		s.jobs[id], s.active[id] = j, j
		s.applyQueue(j)
		s.recordGangDemand(j, j.arrived)
		s.recordSize(j)
		s.weigh(j)
		s.markDirty(j)
		j.describe(s.log.Info()).Str("account", record.Account.Name).Int("steps", len(record.Request.Steps)).
			Float64("core_seconds", j.coreSeconds()).Dur("objective", j.deadline.Sub(j.arrived)).Bool("beyond", j.overShare).Msg("accepted")
		s.metrics.admission("accepted")
		wake(s.dispatchWake)
	} else if !j.belongsTo(record.Account.Name) {
		s.mu.Unlock()
		return s.confirmRejection(ctx, id, record, &RejectedError{"another account's job has the id", defaultRetryAfter})
	} else {
		s.metrics.admission("known")
	}
	return s.awaitAccepted(ctx, j)
}

// defaultRetryAfter is the retry delay that rejected submissions report.
const defaultRetryAfter = time.Second

// logRefused logs and counts a rejected submission; the line has the account if the quota
// was the reason. The lock is not held.
func (s *Scheduler) logRefused(id string, record workload.Record, err error) {
	event := s.log.Info().Str("job", id).Str("queue", record.Queue.Name).Err(err)
	var overQuota *QuotaError
	if errors.As(err, &overQuota) {
		event = event.Str("account", record.Account.Name)
		s.metrics.admission("over quota")
	} else {
		s.metrics.admission("refused")
	}
	event.Msg("refused")
}

// admit returns an error if a new job must be rejected. The lock is held.
func (s *Scheduler) admit(id string, record workload.Record) error {
	if err := s.termOver(); err != nil {
		return err
	}
	if err := s.undecodable[id]; err != nil {
		return &UnconfirmedError{err}
	}
	if s.storeIsDown() {
		return &RejectedError{(&StoreDownError{}).Error(), defaultRetryAfter}
	}
	if s.cancelledEarly(id, record.Account.Name) {
		return &RejectedError{"job " + id + " was cancelled before its submission", defaultRetryAfter}
	}
	if err := record.Request.CheckSize(); err != nil {
		return &RejectedError{err.Error(), neverFitsRetryAfter}
	}
	if err := s.checkMemory(record.Request); err != nil {
		return err
	}
	a := s.accountOf(record.Account)
	if err := checkQuota(record.Request, a.terms); err != nil {
		a.rejectedJobs++
		return err
	}
	return nil
}

// belongsTo reports whether callers of an account may query and cancel the job. A job
// without an account, from a public route or submitted before accounts existed, is open
// to all callers.
func (j *job) belongsTo(account string) bool {
	owner := j.record.Account.Name
	return owner == "" || owner == account
}

// awaitSaved waits until the job's current state is in the store. It releases the lock.
func (s *Scheduler) awaitSaved(ctx context.Context, j *job) error {
	return s.awaitSavedUnless(ctx, j, func() error { return nil })
}

// awaitSavedUnless is awaitSaved, but returns early when abort, polled every
// outageCheckInterval, returns an error.
func (s *Scheduler) awaitSavedUnless(ctx context.Context, j *job, abort func() error) error {
	if j.saved >= j.generation || (j.saved > 0 && j.savedState == j.state) {
		s.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	j.onSaved(func() { close(done) })
	return s.awaitCommit(ctx, done, abort)
}

// awaitCommit waits until a transaction has closed done, or abort returns an error. It releases the lock.
func (s *Scheduler) awaitCommit(ctx context.Context, done <-chan struct{}, abort func() error) error {
	runCtx := s.ctx
	s.mu.Unlock()
	if runCtx == nil {
		runCtx = context.Background()
	}
	tick := time.NewTicker(outageCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return &UnconfirmedError{ctx.Err()}
		case <-runCtx.Done():
			return &UnconfirmedError{context.Cause(runCtx)}
		case <-tick.C:
			if err := abort(); err != nil {
				return err
			}
			if s.storeIsDown() {
				return &UnconfirmedError{&StoreDownError{}}
			}
		}
	}
}

// outageCheckInterval is how often a caller that waits for the store checks whether to
// stop waiting.
const outageCheckInterval = 100 * time.Millisecond

// StoreDownError reports that the store has not answered for longer than storeDownAfter.
type StoreDownError struct{}

func (e *StoreDownError) Error() string { return "the store does not answer" }

// storeIsDown reports whether the store has failed for longer than storeDownAfter.
func (s *Scheduler) storeIsDown() bool {
	since := s.term.FailingSince()
	return !since.IsZero() && time.Since(since) > storeDownAfter
}

// Cancel cancels a job of an account and returns once the cancellation is in the store. It returns
// UnknownJobError if the account has no such job, in which case no later submission of that job is accepted.
func (s *Scheduler) Cancel(ctx context.Context, account, id string) error {
	s.mu.Lock()
	j := s.jobs[id]
	if j == nil || !j.belongsTo(account) {
		return s.cancelEarly(ctx, account, id)
	}
	if !j.state.Final() {
		s.finish(j, workload.Cancelled, "cancelled by its caller")
	}
	return s.awaitSaved(ctx, j)
}

// State returns the stored state of an account's job. If the job is about to become final,
// or is final only in memory, State waits briefly for the final state to be stored, so that
// callers need not poll again.
func (s *Scheduler) State(ctx context.Context, account, id string) (workload.State, error) {
	state, known := s.storedState(ctx, account, id)
	if known && (state.Final() || s.term.SinceLastCommit() <= maxStateAge) {
		return state, nil
	}
	if known {
		return s.confirmState(ctx, account, id, state)
	}
	if err := s.confirmTerm(ctx); err != nil {
		return "", err
	}
	if state, known := s.storedState(ctx, account, id); known {
		return state, nil
	}
	if err := s.undecodable[id]; err != nil { // written by Load only
		return "", &UnconfirmedError{err}
	}
	s.recordUnknownJob(callState, id)
	return "", &UnknownJobError{id}
}

// maxStateAge is how long after its last transaction an owner reports jobs that are not final without
// confirming its term. An owner without changes commits every idleCommitInterval.
const maxStateAge = 2 * idleCommitInterval

// confirmState returns the state of a job once this owner's term is confirmed. While the store does
// not answer, it returns the last known state, which is right unless the store answers another node that has
// taken the shard.
func (s *Scheduler) confirmState(ctx context.Context, account, id string, last workload.State) (workload.State, error) {
	limited, cancel := context.WithTimeout(ctx, finalCommitWait)
	defer cancel()
	s.confirmTerm(limited) // fails if the store does not answer
	s.mu.Lock()
	over := s.termOver()
	s.mu.Unlock()
	if over != nil {
		return "", over
	}
	if state, known := s.storedState(ctx, account, id); known {
		return state, nil
	}
	return last, nil
}

// storedState returns the stored state of an account's job as this owner knows it, and whether it knows the job.
func (s *Scheduler) storedState(ctx context.Context, account, id string) (state workload.State, known bool) {
	s.mu.Lock()
	j := s.jobs[id]
	if j != nil && !j.belongsTo(account) {
		j = nil // hidden from other accounts
	}
	if j != nil && j.allRunning() {
		ended := j.done
		s.mu.Unlock()
		timer := time.NewTimer(lastTasksWait)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
	}
	if j != nil && j.state.Final() && !j.savedState.Final() {
		limited, cancel := context.WithTimeout(ctx, finalCommitWait)
		defer cancel()
		s.awaitSaved(limited, j) // on failure the last stored state is returned
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	switch {
	case j == nil || j.saved == 0:
		return "", false
	case j.savedState.Final():
		return j.savedState, true
	case j.started:
		return workload.Running, true
	}
	return workload.Queued, true
}

// lastTasksWait is how long State waits for the end of a job whose unfinished tasks are all
// running: the report of the last end may be in transit.
const lastTasksWait = 60 * time.Millisecond

// finalCommitWait is how long State waits for a final state to be stored.
const finalCommitWait = 300 * time.Millisecond

// Pending returns the number of a queue's stored jobs of which no task has started. Jobs with
// due times of their own are not counted.
func (s *Scheduler) Pending(ctx context.Context, queue string) (int, error) {
	if s.term.SinceLastCommit() > maxPendingAge {
		if err := s.confirmTerm(ctx); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.termOver(); err != nil {
		return 0, err
	}
	count := 0
	for _, j := range s.active {
		if j.record.Queue.Name == queue && !j.started && !j.record.Request.Scheduled() && j.saved > 0 {
			count++
		}
	}
	return count, nil
}

// maxPendingAge is how long after its last transaction an owner counts pending jobs without confirming its
// term. Callers are promised a count that is at most 2 s old.
const maxPendingAge = 1500 * time.Millisecond
