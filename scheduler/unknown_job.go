package scheduler

import "context"

// An owner keeps all jobs of the shard in memory, but may have been replaced without noticing. It answers
// that a job is unknown only after a transaction that started later than the call: the transaction fails if
// another node has taken the shard, which may have accepted the job.

// denyCancellation returns UnknownJobError once this owner's term is confirmed.
func (s *Scheduler) denyCancellation(ctx context.Context, id string) error {
	if err := s.confirmTerm(ctx); err != nil {
		return err
	}
	s.recordUnknownJob(callCancel, id)
	return &UnknownJobError{id}
}

// confirmTerm waits for a transaction that starts after the call. Its success proves that this node owned the
// shard at the time of the call.
func (s *Scheduler) confirmTerm(ctx context.Context) error {
	s.mu.Lock()
	if err := s.termOver(); err != nil {
		s.mu.Unlock()
		return err
	}
	confirmed := make(chan struct{})
	s.confirmations = append(s.confirmations, confirmed)
	wake(s.commitWake)
	return s.awaitCommit(ctx, confirmed, func() error { return nil })
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

// recordUnknownJob logs and counts a call that is answered with UnknownJobError.
func (s *Scheduler) recordUnknownJob(call jobCall, id string) {
	s.metrics.unknownJobs.Add(string(call), 1)
	s.log.Info().Str("job", id).Str("call", string(call)).Msg("job is unknown")
}
