package scheduler

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"

	"chutereach/account"
	"chutereach/workload"
)

// An owner keeps all jobs of the shard in memory, but may have been replaced without noticing. It answers
// that a job is unknown only after a transaction that started later than the call: the transaction fails if
// another node has taken the shard, which may have accepted the job.

// cancelEarly records the cancellation of a job that an account does not have, so that no submission of it that
// arrives later is accepted, and returns UnknownJobError once that is in the store. It releases the lock.
//
// The cancellation is stored like a final job, under an ID that no job has.
func (s *Scheduler) cancelEarly(ctx context.Context, accountName, id string) error {
	if err := s.termOver(); err != nil {
		s.mu.Unlock()
		return err
	}
	if err := s.undecodable[id]; err != nil {
		s.mu.Unlock()
		return &UnconfirmedError{err}
	}
	name := earlyCancellationID(id, accountName)
	j := s.jobs[name]
	if j == nil {
		terms := account.Terms{Name: accountName}
		j = &job{id: name, record: workload.Record{Account: terms}, account: s.accountOf(terms), state: workload.Cancelled}
		s.addFinal(j)
	}
	j.finalAt, j.expired = newFinalTime(s.storeClock), false // a repeated cancellation is kept as long as the first one
	s.markDirty(j)
	saved := make(chan struct{})
	j.onSaved(func() { close(saved) })
	if err := s.awaitCommit(ctx, saved, func() error { return nil }); err != nil {
		return err
	}
	s.recordUnknownJob(callCancel, id)
	return &UnknownJobError{id}
}

// earlyCancellationSeparator separates the ID of a job from the account in the ID of an early cancellation. No
// job ID contains it.
const earlyCancellationSeparator = "/"

// earlyCancellationID returns the ID under which the cancellation of an unknown job is stored. The account is
// hashed because the store limits the length of row names, but not that of accounts.
func earlyCancellationID(id, accountName string) string {
	hash := fnv.New64a()
	hash.Write([]byte(accountName))
	return fmt.Sprintf("%s%s%016x", id, earlyCancellationSeparator, hash.Sum64())
}

// cancelledEarly reports whether a caller that may cancel the job has done so before its submission. A job
// without an account may be cancelled by callers of all accounts. The lock is held.
func (s *Scheduler) cancelledEarly(id, accountName string) bool {
	if accountName == "" {
		return s.earlyCancellations[id] > 0
	}
	return s.jobs[earlyCancellationID(id, accountName)] != nil
}

// addFinal adds a final job without tasks, or an early cancellation. The lock is held.
func (s *Scheduler) addFinal(j *job) {
	s.jobs[j.id] = j
	s.weigh(j)
	if id, _, early := strings.Cut(j.id, earlyCancellationSeparator); early {
		s.earlyCancellations[id]++
	}
}

// removeFinal removes an expired job or early cancellation. The lock is held.
func (s *Scheduler) removeFinal(name string) {
	s.unweigh(s.jobs[name])
	delete(s.jobs, name)
	id, _, early := strings.Cut(name, earlyCancellationSeparator)
	if !early {
		return
	}
	if s.earlyCancellations[id]--; s.earlyCancellations[id] <= 0 {
		delete(s.earlyCancellations, id)
	}
}

// confirmTerm waits for a transaction that starts after the call. Its success proves that this node owned the
// shard at the time of the call. If the term ends first, it returns a DeposedError, because the caller has changed
// nothing yet.
func (s *Scheduler) confirmTerm(ctx context.Context) error {
	s.mu.Lock()
	if err := s.termOver(); err != nil {
		s.mu.Unlock()
		return err
	}
	confirmed := make(chan struct{})
	s.confirmations = append(s.confirmations, confirmed)
	wake(s.commitWake)
	err := s.awaitCommit(ctx, confirmed, func() error { return nil })
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if over := s.termOver(); over != nil {
		return over
	}
	return err
}

// takeConfirmations returns the channels to close once the next transaction is applied.
func (s *Scheduler) takeConfirmations() []chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.confirmations
	s.confirmations = nil
	return taken
}

// termOver returns a DeposedError if the term has ended, even if Run has not returned yet. The lock is held.
func (s *Scheduler) termOver() error {
	if s.deposed != nil {
		return s.deposed
	}
	if s.ctx != nil && s.ctx.Err() != nil {
		return &DeposedError{context.Cause(s.ctx).Error()}
	}
	return nil
}

// jobCall is a kind of call about a job, in log lines and metrics.
type jobCall string

const (
	callCancel jobCall = "cancel"
	callState  jobCall = "state"
)

// unknownJobLogBurst is the maximum number of log lines per second for unknown jobs, as a caller may repeat such
// calls indefinitely.
const unknownJobLogBurst = 50

// recordUnknownJob logs and counts a call that is answered with UnknownJobError.
func (s *Scheduler) recordUnknownJob(call jobCall, id string) {
	s.metrics.unknownJobs.Add(string(call), 1)
	s.sampledLog.Info().Str("job", id).Str("call", string(call)).Msg("job is unknown")
}
