package node

import (
	"context"
	"errors"
	"math"
	"time"

	"chutereach/peer"
	"chutereach/routing"
	"chutereach/scheduler"
	"chutereach/wait"
	"chutereach/workload"
)

const (
	// serveTimeout bounds a call including retries. noOwnerTimeout bounds the time for which it is
	// retried while no owner carries it out.
	serveTimeout   = 2500 * time.Millisecond
	noOwnerTimeout = 1300 * time.Millisecond
	// ownerCallTimeout is the timeout of one call to the owner.
	ownerCallTimeout = 2400 * time.Millisecond
	ownerRetryDelay  = 25 * time.Millisecond
)

// ownerCall is a call about a job or a queue that the owner carries out: local at this node if it is the owner, else
// remote at the owner's address. All calls are idempotent.
type ownerCall struct {
	id     string // of the job, or the name of the queue
	local  func(context.Context, *scheduler.Scheduler) error
	remote func(ctx context.Context, address string, timeout time.Duration) error
	// overrides reports whether the result of a try is right whether or not an earlier try with an unknown
	// outcome has been, or will be, carried out.
	overrides func(error) bool
}

// Submit passes a job to the owner and returns once it is in the store. Besides the scheduler's
// errors it returns those of routing.Table.Recheck. After an UnconfirmedError the job may have been
// accepted, and after a NotCarriedOutError an earlier submission of it may have been. All other errors of the scheduler
// and of Recheck mean that it was not.
func (n *Node) Submit(ctx context.Context, caller routing.Caller, id string, record workload.Record) error {
	err := n.serve(ctx, ownerCall{
		id:    id,
		local: n.submitTo(id, record),
		remote: func(ctx context.Context, address string, timeout time.Duration) error {
			_, err := peer.Call[empty](ctx, n.client, address, submitPath, submitRequest{id, record, timeout, caller})
			return err
		},
		// An earlier try may still reach an owner after a later one was rejected.
		overrides: func(err error) bool { return err == nil },
	})
	var overloaded *scheduler.RejectedError
	if err != nil {
		n.logCall(id, err, "submission not accepted")
	}
	if errors.As(err, &overloaded) {
		return &scheduler.RejectedError{Reason: overloaded.Reason, RetryAfter: record.Queue.RetryAfter(record.Request)}
	}
	return err
}

// submitTo returns a function that submits a job to a scheduler of this node once it may accept jobs.
func (n *Node) submitTo(id string, record workload.Record) func(context.Context, *scheduler.Scheduler) error {
	return func(ctx context.Context, own *scheduler.Scheduler) error {
		n.mu.Lock()
		current, sole := n.scheduler == own, n.soleOwner
		n.mu.Unlock()
		if !current {
			return &NotOwnerError{}
		}
		if !waitFor(ctx, sole.acceptable, loadTimeout) {
			return &NotOwnerError{}
		}
		return own.Submit(ctx, id, record)
	}
}

// Cancel cancels a job and returns once that is in the store.
func (n *Node) Cancel(ctx context.Context, caller routing.Caller, id string) error {
	startedAt := time.Now()
	err := n.serve(ctx, ownerCall{
		id: id,
		local: func(ctx context.Context, own *scheduler.Scheduler) error {
			return own.Cancel(ctx, caller.Account, id)
		},
		remote: func(ctx context.Context, address string, timeout time.Duration) error {
			_, err := peer.Call[empty](ctx, n.client, address, cancelPath, jobRequest{id, timeout, caller})
			return err
		},
		// Once a job is cancelled or unknown, an earlier try that arrives late changes nothing. Other errors say
		// that the job is not cancelled, which an earlier try may yet do.
		overrides: func(err error) bool {
			var unknownJob *scheduler.UnknownJobError
			return err == nil || errors.As(err, &unknownJob)
		},
	})
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	n.log.Info().Str("job", id).Str("owner", owner.Node).Uint64("token", owner.Token).Dur("took", time.Since(startedAt)).Err(err).
		Msg("cancellation answered")
	return err
}

// State returns a job's state.
func (n *Node) State(ctx context.Context, caller routing.Caller, id string) (state workload.State, err error) {
	err = n.serve(ctx, ownerCall{
		id: id,
		local: func(ctx context.Context, own *scheduler.Scheduler) error {
			state, err = own.State(ctx, caller.Account, id)
			return err
		},
		remote: func(ctx context.Context, address string, timeout time.Duration) error {
			state, err = peer.Call[workload.State](ctx, n.client, address, statePath, jobRequest{id, timeout, caller})
			return err
		},
		overrides: anyResult,
	})
	return state, err
}

// Pending returns the number of a queue's jobs of which no task has started.
func (n *Node) Pending(ctx context.Context, caller routing.Caller, queue string) (count int, err error) {
	err = n.serve(ctx, ownerCall{
		id: queue,
		local: func(ctx context.Context, own *scheduler.Scheduler) error {
			count, err = own.Pending(ctx, queue)
			return err
		},
		remote: func(ctx context.Context, address string, _ time.Duration) error {
			count, err = peer.Call[int](ctx, n.client, address, pendingPath, pendingRequest{queue, caller})
			return err
		},
		overrides: anyResult,
	})
	return count, err
}

// ConfirmAbsent returns nil if no account has a job with the ID, so that a submission of it may be rejected.
func (n *Node) ConfirmAbsent(ctx context.Context, id string) error {
	return n.serve(ctx, ownerCall{
		id: id,
		local: func(ctx context.Context, own *scheduler.Scheduler) error {
			return own.ConfirmAbsent(ctx, id)
		},
		remote: func(ctx context.Context, address string, timeout time.Duration) error {
			_, err := peer.Call[empty](ctx, n.client, address, absentPath, jobRequest{ID: id, Timeout: timeout})
			return err
		},
		overrides: anyResult,
	})
}

// anyResult is the overrides of calls that change nothing.
func anyResult(error) bool { return true }

// serve carries out a call at the owner, which is this node or another one, and waits for an owner
// if there is none. It retries calls that were not carried out and calls that may have been.
func (n *Node) serve(ctx context.Context, call ownerCall) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	startedAt := time.Now()
	var uncertain error // error of a try that may have been carried out
	for {
		err := n.tryServe(ctx, call)
		switch outcomeOf(err) {
		case definite:
			if uncertain != nil && !call.overrides(err) {
				return &scheduler.UnconfirmedError{Cause: uncertain}
			}
			return err
		case unknown:
			uncertain = err
			n.logCall(call.id, err, "outcome of a try is unknown")
		case notCarriedOut:
		}
		if wait.For(ctx, ownerRetryDelay) != nil || time.Since(startedAt) > noOwnerTimeout {
			if uncertain != nil {
				return &scheduler.UnconfirmedError{Cause: uncertain}
			}
			return &scheduler.NotCarriedOutError{Reason: "no owner is available: " + err.Error()}
		}
	}
}

// tryOutcome tells what the result of a try at the owner says about the call.
type tryOutcome int

const (
	definite      tryOutcome = iota // the owner has answered
	notCarriedOut                   // no owner was reached
	unknown                         // the owner may have carried out the call, or may yet do so
)

// outcomeOf classifies the result of a try. An error that says that the outcome is unknown does not unwrap to its
// cause, so that the cause cannot make it another one.
func outcomeOf(err error) tryOutcome {
	var (
		notOwner    *NotOwnerError
		unreachable *peer.UnreachableError
		lost        *peer.NoResponseError
		unconfirmed *scheduler.UnconfirmedError
	)
	switch {
	case errors.As(err, &lost), errors.As(err, &unconfirmed):
		return unknown
	case errors.As(err, &notOwner), errors.As(err, &unreachable):
		return notCarriedOut
	}
	return definite
}

// logCall logs a call that was not carried out or may not have been, with the owner known by then.
func (n *Node) logCall(id string, err error, message string) {
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	n.sampledLog.Info().Str("job", id).Str("owner", owner.Node).Uint64("token", owner.Token).Err(err).Msg(message)
}

// tryServe tries a call once at the currently known owner.
func (n *Node) tryServe(ctx context.Context, call ownerCall) error {
	n.mu.Lock()
	own, owner, changed := n.scheduler, n.owner, n.changed
	n.mu.Unlock()
	if own != nil {
		return n.serveLocal(ctx, own, call.local)
	}
	if owner.Address == "" || owner.Address == n.config.Self.Address {
		return &NotOwnerError{}
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	go func() { // cancel the call if the owner changes
		select {
		case <-changed:
			cancel()
		case <-callCtx.Done():
		}
	}()
	err := call.remote(callCtx, owner.Address, ownerCallTimeout)
	if isRefused(err) {
		n.suspectOwner(owner)
	}
	return decodeError(call.id, err)
}

// serveLocal carries out a call at this node's scheduler once that has loaded.
func (n *Node) serveLocal(ctx context.Context, own *scheduler.Scheduler, local func(context.Context, *scheduler.Scheduler) error) error {
	if err := n.awaitLoaded(ctx, own); err != nil {
		return err
	}
	err := local(ctx, own)
	var deposed *scheduler.DeposedError
	if errors.As(err, &deposed) {
		return &NotOwnerError{}
	}
	return err
}

// loadTimeout bounds how long one try waits for the scheduler to load or to be acknowledged; serve retries.
const loadTimeout = 400 * time.Millisecond

// awaitLoaded waits until the scheduler has loaded. Calls are not carried out while loading from
// the store fails, and fail at once. They may be about jobs that are in the store.
func (n *Node) awaitLoaded(ctx context.Context, own *scheduler.Scheduler) error {
	select {
	case <-own.Loaded:
		return nil
	default:
	}
	if n.loadFailing.Load() {
		return &scheduler.NotCarriedOutError{Reason: "loading the shard from the store fails"}
	}
	if !waitFor(ctx, own.Loaded, loadTimeout) {
		return &NotOwnerError{}
	}
	return nil
}

// waitFor waits until a channel is closed, and reports whether it is before a time limit or the end of ctx.
func waitFor(ctx context.Context, done <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// serveAsOwner carries out a call from another node if this node owns the shard. It checks the
// caller against this node's table again, as the other node may have an older one.
func (n *Node) serveAsOwner(ctx context.Context, caller routing.Caller, timeout time.Duration, local func(context.Context, *scheduler.Scheduler) error) error {
	n.mu.Lock()
	own := n.scheduler
	n.mu.Unlock()
	if own == nil {
		return &NotOwnerError{}
	}
	if table, ok := n.routes.Current(); ok {
		if err := table.Recheck(caller); err != nil {
			return encodeError(err)
		}
	}
	if timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	return encodeError(n.serveLocal(ctx, own, local))
}

func (n *Node) answerSubmit(ctx context.Context, call submitRequest) (empty, error) {
	return empty{}, n.serveAsOwner(ctx, call.Caller, call.Timeout, n.submitTo(call.ID, call.Record))
}

func (n *Node) answerCancel(ctx context.Context, call jobRequest) (empty, error) {
	return empty{}, n.serveAsOwner(ctx, call.Caller, call.Timeout, func(ctx context.Context, own *scheduler.Scheduler) error {
		return own.Cancel(ctx, call.Caller.Account, call.ID)
	})
}

func (n *Node) answerState(ctx context.Context, call jobRequest) (state workload.State, err error) {
	err = n.serveAsOwner(ctx, call.Caller, call.Timeout, func(ctx context.Context, own *scheduler.Scheduler) error {
		state, err = own.State(ctx, call.Caller.Account, call.ID)
		return err
	})
	return state, err
}

func (n *Node) answerAbsent(ctx context.Context, call jobRequest) (empty, error) {
	anyAccount := routing.Caller{Version: math.MaxUint64} // no table is newer, so none rejects the call
	return empty{}, n.serveAsOwner(ctx, anyAccount, call.Timeout, func(ctx context.Context, own *scheduler.Scheduler) error {
		return own.ConfirmAbsent(ctx, call.ID)
	})
}

func (n *Node) answerPending(ctx context.Context, call pendingRequest) (count int, err error) {
	err = n.serveAsOwner(ctx, call.Caller, 0, func(ctx context.Context, own *scheduler.Scheduler) error {
		count, err = own.Pending(ctx, call.Queue)
		return err
	})
	return count, err
}
