package hall

import (
	"context"
	"errors"
	"time"

	"chutereach/provider"
	"chutereach/timeline"
)

// orderKind is what a worker is told to do with an attempt.
type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderCheckpoint
)

// order is one call to make to a worker.
type order struct {
	kind    orderKind
	attempt string
}

// enqueueOrder adds to a worker's orders. The caller holds u.mu.
func (u *Unit) enqueueOrder(w *workerState, o order) {
	w.orders = append(w.orders, o)
	notify(w.orderSignal)
}

// orderLoop carries out a worker's orders, one after the other.
func (u *Unit) orderLoop(w *workerState) {
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-w.orderSignal:
		}
		for {
			o, more := u.nextOrder(w)
			if !more || u.ctx.Err() != nil {
				break
			}
			u.execute(w, o)
		}
	}
}

func (u *Unit) nextOrder(w *workerState) (order, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(w.orders) == 0 {
		return order{}, false
	}
	o := w.orders[0]
	w.orders = w.orders[1:]
	return o, true
}

func (u *Unit) execute(w *workerState, o order) {
	switch o.kind {
	case orderStart:
		u.startAttempt(w, o.attempt)
	case orderStop:
		u.stopAttempt(w, o.attempt, u.deps.Workers.Stop)
	case orderCheckpoint:
		u.stopAttempt(w, o.attempt, u.deps.Workers.Checkpoint)
	}
}

// startAttempt makes the startAttempt call of an attempt. Whatever the worker's answer leaves
// open, its next report settles.
func (u *Unit) startAttempt(w *workerState, attempt string) {
	call, ok := u.newStartCall(w, attempt)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(u.ctx, u.settings.CallTimeout)
	defer cancel()
	state, err := u.deps.Workers.Start(ctx, w.name(), call)
	u.mu.Lock()
	defer u.mu.Unlock()
	t := w.tasks[attempt]
	if t == nil || t.phase != starting {
		return // a report was faster
	}
	var refused *provider.RefusedError
	switch {
	case err == nil:
		u.handleAttemptState(w, t, state)
	case errors.As(err, &refused):
		if refused.Reason == provider.RefusedBoot {
			u.markSilent(w) // place nothing there until its next report
		}
		u.putBackNotRun(t, string(refused.Reason))
	case provider.NotApplied(err):
		u.putBackNotRun(t, err.Error())
	default:
		known := t.startExpires.Add(u.settings.ClockError + time.Millisecond)
		time.AfterFunc(time.Until(known), func() { u.pollNow(w) })
	}
}

// newStartCall makes the call, or says that this is not the time for one: an owner
// that is not sure of its ownership starts nothing. The attempt is then put
// back as not run, since no call for it was ever made.
func (u *Unit) newStartCall(w *workerState, attempt string) (provider.StartCall, bool) {
	sure := u.deps.Sure()
	u.mu.Lock()
	defer u.mu.Unlock()
	t := w.tasks[attempt]
	if t == nil || t.phase != starting {
		return provider.StartCall{}, false
	}
	now := time.Now()
	if !now.Before(sure) {
		u.putBackNotRun(t, "ownership is not sure")
		return provider.StartCall{}, false
	}
	t.startExpires = earlier(now.Add(u.settings.CallTimeout), sure)
	t.leaseUntil = now.Add(t.grant.Lease)
	return provider.StartCall{
		// The boot of the grant, not the worker's newest: a worker that has booted
		// since counts the attempt as over, and must not begin it.
		Attempt: attempt, Boot: t.grant.Boot, Expires: t.startExpires, Until: t.leaseUntil,
		Need: t.grant.Need, Command: t.job.job.Template.Command,
		Params: t.job.job.Params, Checkpoint: t.task.Checkpoint,
	}, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ownerCallExpiry returns the expiry for a call that only a unit's owner may make, and
// whether this box is one for certain. An owner that was deposed while it was
// paused, and does not know yet, must not stop what its successor has started,
// nor have a worker forget what its successor has yet to hear.
func (u *Unit) ownerCallExpiry(now time.Time) (expires time.Time, sure bool) {
	end := u.deps.Sure().Add(-u.settings.ClockError)
	return earlier(now.Add(u.settings.CallTimeout), end), now.Before(end)
}

// stopRetryInterval is the pause before a stop that had no answer is ordered again.
const stopRetryInterval = time.Second

// stopAttempt stops an attempt by call and takes in the answer, which confirms that it
// runs no more. A stop without an answer is ordered again, until a report or
// the lapse of the lease settles the matter.
func (u *Unit) stopAttempt(w *workerState, attempt string, call stopCall) {
	u.mu.Lock()
	boot := w.boot
	_, there := w.tasks[attempt]
	u.mu.Unlock()
	expires, sure := u.ownerCallExpiry(time.Now())
	if !sure {
		if there {
			time.AfterFunc(stopRetryInterval, func() { u.retryStop(w, attempt) })
		}
		return
	}
	c := provider.AttemptCall{Attempt: attempt, Boot: boot, Expires: expires}
	ctx, cancel := context.WithTimeout(u.ctx, u.settings.CallTimeout)
	defer cancel()
	state, err := call(ctx, w.name(), c)
	u.mu.Lock()
	defer u.mu.Unlock()
	t := w.tasks[attempt]
	if err == nil && t != nil {
		u.handleAttemptState(w, t, state)
		return
	}
	if err != nil && there && t != nil && t.phase == stopping {
		time.AfterFunc(stopRetryInterval, func() { u.retryStop(w, attempt) })
	}
}

func (u *Unit) retryStop(w *workerState, attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := w.tasks[attempt]; t != nil && t.phase == stopping && u.ctx.Err() == nil {
		u.enqueueOrder(w, order{kind: orderStop, attempt: attempt})
	}
}

// putBackNotRun puts back a task whose attempt surely never ran. The caller holds
// u.mu.
func (u *Unit) putBackNotRun(t *taskState, why string) {
	u.Stats.NotRun++
	t.failedStarts++
	u.recordEvent(timeline.Event{Kind: timeline.TaskNotRun, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Detail: why})
	next := t.task.WithoutStart(time.Now())
	if t.job.job.Stopped {
		next = t.task.WithStopped(time.Now())
	}
	u.release(t, next, false)
}
