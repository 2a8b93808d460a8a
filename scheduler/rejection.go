package scheduler

import (
	"context"
	"errors"
	"fmt"

	"chutereach/workload"
)

// A rejected submission must never run, whichever node has accepted an earlier submission of the same job. An
// owner may have been replaced without noticing, so it rejects a submission only with a proof that it has owned the shard
// since the call: a transaction or, while the store does not answer, the word of the other nodes. Without a proof the
// caller learns only that the call was not carried out.

// confirmRejection logs the rejection of a submission and returns its error once it is proved that this node has owned
// the shard at a moment after the call, as another owner may have accepted the job from an earlier submission. Without
// a proof it returns another error, which does not say that the job will not run.
func (s *Scheduler) confirmRejection(ctx context.Context, id string, record workload.Record, rejection error) error {
	var (
		deposed     *DeposedError
		unconfirmed *UnconfirmedError
	)
	if errors.As(rejection, &deposed) || errors.As(rejection, &unconfirmed) {
		return rejection
	}
	if err := s.confirmOwnership(ctx); err != nil {
		return s.withoutProof(id, rejection, err)
	}
	if err := s.checkNotAccepted(id, record.Account.Name, rejection); err != rejection {
		return err
	}
	s.logRefused(id, record, rejection)
	return rejection
}

// ConfirmAbsent returns nil once it is proved that no account had a job with the ID at a moment after the call.
func (s *Scheduler) ConfirmAbsent(ctx context.Context, id string) error {
	if err := s.checkAbsent(id); err != nil {
		return err
	}
	if err := s.confirmOwnership(ctx); err != nil {
		return err
	}
	return s.checkAbsent(id)
}

// checkAbsent returns an error if this owner has a job with the ID or may have one.
func (s *Scheduler) checkAbsent(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[id] != nil || s.undecodable[id] != nil {
		return &JobExistsError{id}
	}
	return nil
}

// JobExistsError reports that there is, or may be, a job with the ID.
type JobExistsError struct{ ID string }

func (e *JobExistsError) Error() string { return "job " + e.ID + " may exist" }

// confirmOwnership proves that this node has owned the shard at a moment after the call: by a transaction or, while
// the store does not answer, by the other nodes.
func (s *Scheduler) confirmOwnership(ctx context.Context) error {
	if !s.storeIsDown() {
		err := s.confirmTerm(ctx)
		if err == nil || !s.storeIsDown() {
			return err
		}
	}
	return s.confirmByPeers(ctx)
}

// confirmByPeers proves without the store that no other node has accepted a job since the last transaction of this
// term, until a moment after the call.
func (s *Scheduler) confirmByPeers(ctx context.Context) error {
	if s.confirmSoleOwner == nil {
		return &StoreDownError{}
	}
	err := s.confirmSoleOwner(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if over := s.termOver(); over != nil {
		return over
	}
	return err
}

// withoutProof returns the error for a submission whose rejection could not be proved.
func (s *Scheduler) withoutProof(id string, rejection, cause error) error {
	var (
		deposed     *DeposedError
		unconfirmed *UnconfirmedError
	)
	if errors.As(cause, &deposed) || errors.As(cause, &unconfirmed) {
		return cause
	}
	s.metrics.admission("unproven")
	s.sampledLog.Info().Str("job", id).AnErr("rejection", rejection).Err(cause).Msg("rejection not proved")
	return &NotCarriedOutError{fmt.Sprintf("%v, but nothing proves that no other node has accepted the job: %v", rejection, cause)}
}

// checkNotAccepted returns the rejection of a job, or another error if the account's job was accepted while the
// rejection was being confirmed.
func (s *Scheduler) checkNotAccepted(id, account string, rejection error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.belongsTo(account) {
		return &UnconfirmedError{&AcceptedMeanwhileError{id}}
	}
	return rejection
}

// AcceptedMeanwhileError reports that a job was accepted while the rejection of another submission of it was
// being confirmed.
type AcceptedMeanwhileError struct{ ID string }

func (e *AcceptedMeanwhileError) Error() string { return "job " + e.ID + " was accepted meanwhile" }
