package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutereach/workload"
)

// OverloadedError says that a job was not taken and never will be under this
// handing in.
type OverloadedError struct {
	Why        string
	RetryAfter time.Duration
}

func (e *OverloadedError) Error() string { return "not taken: " + e.Why }

// NotJobError says that there is no such job.
type NotJobError struct{ ID string }

func (e *NotJobError) Error() string { return fmt.Sprintf("there is no job %s", e.ID) }

// UnconfirmedError says that the store has not confirmed a change in time; it
// may come to be.
type UnconfirmedError struct{ Cause error }

func (e *UnconfirmedError) Error() string { return fmt.Sprintf("not confirmed: %v", e.Cause) }

func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// refuseAfter is how long the store may fail before new jobs are refused. Until
// then a node that the store does answer may take the shard over.
const refuseAfter = 1200 * time.Millisecond

// Submit takes a job in, and returns once it is in the store. A job that is
// known already is the same job, if it is the same account's.
func (s *Scheduler) Submit(ctx context.Context, id string, record workload.Record) error {
	s.mu.Lock()
	j := s.jobs[id]
	if j == nil {
		if err := s.admit(record); err != nil {
			s.mu.Unlock()
			s.logRefused(id, record, err)
			return err
		}
		j = newJob(id, record, s.accountOf(record.Account), time.Now())
		j.noteArrival()
		s.jobs[id], s.active[id] = j, j
		s.applyQueue(j)
		s.noteDemand(j, j.arrived)
		s.change(j)
		s.log.Info().Str("job", id).Str("queue", record.Queue.Name).Str("account", record.Account.Name).
			Int("steps", len(record.Request.Steps)).Bool("beyond", j.beyond).Msg("accepted")
		s.metrics.admission("accepted")
		wake(s.dispatchWake)
	} else if !j.belongsTo(record.Account.Name) {
		s.mu.Unlock()
		s.log.Info().Str("job", id).Str("account", record.Account.Name).Msg("refused: another account's job has its id")
		s.metrics.admission("refused")
		return &OverloadedError{"the job's id is in use", soonestReturn}
	} else {
		s.metrics.admission("known")
	}
	return s.confirmNew(ctx, j)
}

// confirmNew waits until a job that was handed in is in the store, or is known not to be taken.
// It releases the lock.
func (s *Scheduler) confirmNew(ctx context.Context, j *job) error {
	hopeless := func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.withdrawHopeless(j, time.Now()) {
			return &OverloadedError{(&StoreDownError{}).Error(), soonestReturn}
		}
		return nil
	}
	return s.confirmUnless(ctx, j, hopeless)
}

// soonestReturn is when a caller that was refused may come again, where nothing better is known.
const soonestReturn = time.Second

// logRefused writes a line for a job that was not taken; it names the account if its quota
// is why. The lock is not held.
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

// admit decides whether a new job is taken. The lock is held.
func (s *Scheduler) admit(record workload.Record) error {
	if s.deposed != nil {
		return s.deposed
	}
	if s.storeIsDown() {
		return &OverloadedError{(&StoreDownError{}).Error(), soonestReturn}
	}
	a := s.accountOf(record.Account)
	if err := checkQuota(record.Request, a.terms); err != nil {
		a.refused++
		return err
	}
	return nil
}

// belongsTo reports whether callers of an account may ask for the job and cancel it. A job
// without an account, from a public route or from before there were any, is anybody's.
func (j *job) belongsTo(account string) bool {
	owner := j.record.Account.Name
	return owner == "" || owner == account
}

// confirm waits until a job as it is now is in the store. It releases the lock.
func (s *Scheduler) confirm(ctx context.Context, j *job) error {
	return s.confirmUnless(ctx, j, func() error { return nil })
}

// confirmUnless is confirm, and gives up as soon as hopeless returns why.
func (s *Scheduler) confirmUnless(ctx context.Context, j *job, hopeless func() error) error {
	if j.saved >= j.generation || (j.saved > 0 && j.savedState == j.state) {
		s.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	j.onceSaved(func() { close(done) })
	own := s.ctx
	s.mu.Unlock()
	if own == nil {
		own = context.Background()
	}
	tick := time.NewTicker(outageCheck)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return &UnconfirmedError{ctx.Err()}
		case <-own.Done():
			return &UnconfirmedError{context.Cause(own)}
		case <-tick.C:
			if err := hopeless(); err != nil {
				return err
			}
			if s.storeIsDown() {
				return &UnconfirmedError{&StoreDownError{}}
			}
		}
	}
}

// outageCheck is how often a caller that waits for the store is spared a wait
// that has become hopeless.
const outageCheck = 100 * time.Millisecond

// StoreDownError says that the store has not answered for a while.
type StoreDownError struct{}

func (e *StoreDownError) Error() string { return "the store does not answer" }

func (s *Scheduler) storeIsDown() bool {
	since := s.term.FailingSince()
	return !since.IsZero() && time.Since(since) > refuseAfter
}

// Cancel cancels a job of an account and returns once that is in the store.
func (s *Scheduler) Cancel(ctx context.Context, account, id string) error {
	s.mu.Lock()
	j := s.jobs[id]
	if j == nil || !j.belongsTo(account) {
		s.mu.Unlock()
		return &NotJobError{id}
	}
	if !j.state.Final() {
		s.finish(j, workload.Cancelled, "its caller cancelled it")
	}
	return s.confirm(ctx, j)
}

// State returns the state of an account's job as the store has it. A job that has just
// become final is waited for until that is in the store, for who asks seldom asks twice.
func (s *Scheduler) State(ctx context.Context, account, id string) (workload.State, error) {
	s.mu.Lock()
	j := s.jobs[id]
	if j != nil && !j.belongsTo(account) {
		j = nil // to a caller of another account it is not there
	}
	if j != nil && j.underWay() {
		ended := j.ended
		s.mu.Unlock()
		timer := time.NewTimer(endWait)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
	}
	if j != nil && j.state.Final() && !j.savedState.Final() {
		limited, cancel := context.WithTimeout(ctx, finalWait)
		defer cancel()
		s.confirm(limited, j) // the answer below is true whether it came or not
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	switch {
	case j == nil || j.saved == 0:
		return "", &NotJobError{id}
	case j.savedState.Final():
		return j.savedState, nil
	case j.begun:
		return workload.Running, nil
	}
	return workload.Queued, nil
}

// endWait is how long a caller is kept waiting whose job has all its last tasks
// under way: the end of one may be on its way here.
const endWait = 60 * time.Millisecond

// finalWait is how long a caller that asks for a state is kept waiting.
const finalWait = 300 * time.Millisecond

// Pending counts a queue's jobs of which no task has begun.
func (s *Scheduler) Pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, j := range s.active {
		if j.record.Queue.Name == queue && !j.begun && !j.record.Request.Timed() && j.saved > 0 {
			count++
		}
	}
	return count
}
