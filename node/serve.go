package node

import (
	"context"
	"errors"
	"time"

	"chutereach/peer"
	"chutereach/routing"
	"chutereach/scheduler"
	"chutereach/wait"
	"chutereach/workload"
)

const (
	// patience is how long a call waits for its owner's answer, at most, and
	// ownerPatience how long for there to be an owner.
	patience      = 2500 * time.Millisecond
	ownerPatience = 1300 * time.Millisecond
	// ownerCall is how long one call to the owner may take.
	ownerCall = 2400 * time.Millisecond
	ownerWait = 25 * time.Millisecond
)

// Submit takes a job to the owner and returns once it is in the store. Besides the
// scheduler's errors, of which OverloadedError says that the job was not taken and
// UnconfirmedError that it may have been, it returns those of routing.Table.Recheck.
func (n *Node) Submit(ctx context.Context, caller routing.Caller, id string, record workload.Record) error {
	err := n.serve(ctx, id, func(ctx context.Context, own *scheduler.Scheduler) error {
		return own.Submit(ctx, id, record)
	}, func(ctx context.Context, address string, within time.Duration) error {
		_, err := peer.Call[nothing](ctx, n.client, address, submitPath, submitCall{id, record, within, caller})
		return err
	})
	var overloaded *scheduler.RejectedError
	if errors.As(err, &overloaded) {
		return &scheduler.RejectedError{Reason: overloaded.Reason, RetryAfter: record.Queue.RetryAfter(record.Request)}
	}
	return err
}

// Cancel cancels a job and returns once that is in the store.
func (n *Node) Cancel(ctx context.Context, caller routing.Caller, id string) error {
	return n.serve(ctx, id, func(ctx context.Context, own *scheduler.Scheduler) error {
		return own.Cancel(ctx, caller.Account, id)
	}, func(ctx context.Context, address string, within time.Duration) error {
		_, err := peer.Call[nothing](ctx, n.client, address, cancelPath, jobCall{id, within, caller})
		return err
	})
}

// State returns a job's state.
func (n *Node) State(ctx context.Context, caller routing.Caller, id string) (state workload.State, err error) {
	err = n.serve(ctx, id, func(ctx context.Context, own *scheduler.Scheduler) error {
		state, err = own.State(ctx, caller.Account, id)
		return err
	}, func(ctx context.Context, address string, within time.Duration) error {
		state, err = peer.Call[workload.State](ctx, n.client, address, statePath, jobCall{id, within, caller})
		return err
	})
	return state, err
}

// Pending counts a queue's jobs of which no task has begun.
func (n *Node) Pending(ctx context.Context, caller routing.Caller, queue string) (count int, err error) {
	err = n.serve(ctx, queue, func(_ context.Context, own *scheduler.Scheduler) error {
		count = own.Pending(queue)
		return nil
	}, func(ctx context.Context, address string, _ time.Duration) error {
		count, err = peer.Call[int](ctx, n.client, address, pendingPath, pendingCall{queue, caller})
		return err
	})
	return count, err
}

// serve does a call at the owner, here or at another node, and waits for one if
// there is none. A call that was not carried out for certain is tried again, and
// so is one that may have been: every call may be repeated.
func (n *Node) serve(ctx context.Context, id string, here func(context.Context, *scheduler.Scheduler) error, there func(context.Context, string, time.Duration) error) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	begun := time.Now()
	var unsettled error // what a try that may have been carried out came to
	for {
		err := n.serveOnce(ctx, id, here, there)
		var (
			notOwner    *NotOwnerError
			unreachable *peer.UnreachableError
			lost        *peer.LostError
			unconfirmed *scheduler.UnconfirmedError
			overloaded  *scheduler.RejectedError
		)
		switch {
		case errors.As(err, &notOwner), errors.As(err, &unreachable):
		case errors.As(err, &lost), errors.As(err, &unconfirmed):
			unsettled = err
		case errors.As(err, &overloaded) && unsettled != nil:
			return &scheduler.UnconfirmedError{Cause: unsettled}
		default:
			return err
		}
		if wait.For(ctx, ownerWait) != nil || time.Since(begun) > ownerPatience {
			if unsettled != nil {
				return &scheduler.UnconfirmedError{Cause: unsettled}
			}
			return &scheduler.RejectedError{Reason: "no owner: " + err.Error(), RetryAfter: retryAfter}
		}
	}
}

func (n *Node) serveOnce(ctx context.Context, id string, here func(context.Context, *scheduler.Scheduler) error, there func(context.Context, string, time.Duration) error) error {
	n.mu.Lock()
	own, owner, changed := n.own, n.owner, n.changed
	n.mu.Unlock()
	if own != nil {
		return n.serveHere(ctx, own, here)
	}
	if owner.Address == "" || owner.Address == n.config.Self.Address {
		return &NotOwnerError{}
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCall)
	defer cancel()
	go func() { // a new owner ends the call to the former one
		select {
		case <-changed:
			cancel()
		case <-callCtx.Done():
		}
	}()
	err := there(callCtx, owner.Address, ownerCall)
	if isRefused(err) {
		n.doubtOwner(owner)
	}
	return decodeError(id, err)
}

// serveHere does a call at this node's scheduler, once that has loaded.
func (n *Node) serveHere(ctx context.Context, own *scheduler.Scheduler, here func(context.Context, *scheduler.Scheduler) error) error {
	if err := n.awaitLoaded(ctx, own); err != nil {
		return err
	}
	err := here(ctx, own)
	var deposed *scheduler.DeposedError
	if errors.As(err, &deposed) {
		return &NotOwnerError{}
	}
	return err
}

// loadWait is how long one call waits for a scheduler to load; serve asks again.
const loadWait = 400 * time.Millisecond

// awaitLoaded waits until the scheduler may be asked. While the store does not let it
// load, calls are refused at once: nothing can be done for them, and nothing was.
func (n *Node) awaitLoaded(ctx context.Context, own *scheduler.Scheduler) error {
	select {
	case <-own.Loaded:
		return nil
	default:
	}
	if n.loadFails.Load() {
		return &scheduler.RejectedError{Reason: "the store does not let the shard be loaded", RetryAfter: retryAfter}
	}
	timer := time.NewTimer(loadWait)
	defer timer.Stop()
	select {
	case <-own.Loaded:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return &NotOwnerError{}
}

// atOwner does another node's call, if this node owns the shard and its table, where it is
// the newer one, lets the caller in too: a node that has missed a change of the
// configuration would serve by the old one.
func (n *Node) atOwner(ctx context.Context, caller routing.Caller, within time.Duration, here func(context.Context, *scheduler.Scheduler) error) error {
	n.mu.Lock()
	own := n.own
	n.mu.Unlock()
	if own == nil {
		return &NotOwnerError{}
	}
	if table, ok := n.routes.Current(); ok {
		if err := table.Recheck(caller); err != nil {
			return encodeError(err)
		}
	}
	if within > 0 {
		limited, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		ctx = limited
	}
	return encodeError(n.serveHere(ctx, own, here))
}

func (n *Node) answerSubmit(ctx context.Context, call submitCall) (nothing, error) {
	return nothing{}, n.atOwner(ctx, call.Caller, call.Within, func(ctx context.Context, own *scheduler.Scheduler) error {
		return own.Submit(ctx, call.ID, call.Record)
	})
}

func (n *Node) answerCancel(ctx context.Context, call jobCall) (nothing, error) {
	return nothing{}, n.atOwner(ctx, call.Caller, call.Within, func(ctx context.Context, own *scheduler.Scheduler) error {
		return own.Cancel(ctx, call.Caller.Account, call.ID)
	})
}

func (n *Node) answerState(ctx context.Context, call jobCall) (state workload.State, err error) {
	err = n.atOwner(ctx, call.Caller, call.Within, func(ctx context.Context, own *scheduler.Scheduler) error {
		state, err = own.State(ctx, call.Caller.Account, call.ID)
		return err
	})
	return state, err
}

func (n *Node) answerPending(ctx context.Context, call pendingCall) (count int, err error) {
	err = n.atOwner(ctx, call.Caller, 0, func(_ context.Context, own *scheduler.Scheduler) error {
		count = own.Pending(call.Queue)
		return nil
	})
	return count, err
}
