package hall

import (
	"context"
	"errors"
	"time"

	"chutereach/provider"
	"chutereach/timeline"
)

// callKind is the type of call to make for an attempt.
type callKind int

const (
	callStart callKind = iota
	callStop
	callCheckpoint
)

// workerCall is a pending call to a worker.
type workerCall struct {
	kind    callKind
	attempt string
}

// enqueueCall appends a call to a worker's pending calls. The caller holds u.mu.
func (u *Unit) enqueueCall(w *workerState, c workerCall) {
	w.pendingCalls = append(w.pendingCalls, c)
	notify(w.callSignal)
}

// callLoop makes the pending calls to a worker in sequence.
func (u *Unit) callLoop(w *workerState) {
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-w.callSignal:
		}
		for {
			c, more := u.nextCall(w)
			if !more || u.ctx.Err() != nil {
				break
			}
			u.makeCall(w, c)
		}
	}
}

func (u *Unit) nextCall(w *workerState) (workerCall, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(w.pendingCalls) == 0 {
		return workerCall{}, false
	}
	c := w.pendingCalls[0]
	w.pendingCalls = w.pendingCalls[1:]
	return c, true
}

func (u *Unit) makeCall(w *workerState, c workerCall) {
	switch c.kind {
	case callStart:
		u.startAttempt(w, c.attempt)
	case callStop:
		u.stopAttempt(w, c.attempt, u.deps.Workers.Stop)
	case callCheckpoint:
		u.stopAttempt(w, c.attempt, u.deps.Workers.Checkpoint)
	}
}

// startAttempt makes the start call of an attempt. If the call fails and may still
// have taken effect, the worker is polled once the call has expired, and its report
// determines whether the attempt runs.
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
		return // a report was processed first
	}
	var refused *provider.RefusedError
	switch {
	case err == nil:
		u.handleAttemptState(w, t, state)
	case errors.As(err, &refused):
		if refused.Reason == provider.RefusedStaleBoot {
			u.markUnresponsive(w) // place no tasks on it until its next report
		}
		u.releaseNotStarted(t, string(refused.Reason))
	case provider.NotApplied(err):
		u.releaseNotStarted(t, err.Error())
	default:
		expired := t.startExpires.Add(u.settings.ClockError + time.Millisecond)
		time.AfterFunc(time.Until(expired), func() { u.pollNow(w) })
	}
}

// newStartCall returns the start call of an attempt and whether to make it. An owner
// whose ownership may have expired starts nothing, and tasks of stopped jobs are not
// started; the task is then released, since no call was made for the attempt.
func (u *Unit) newStartCall(w *workerState, attempt string) (provider.StartCall, bool) {
	ownedUntil := u.deps.OwnedUntil()
	u.mu.Lock()
	defer u.mu.Unlock()
	t := w.tasks[attempt]
	if t == nil || t.phase != starting {
		return provider.StartCall{}, false
	}
	if t.job.job.Stopped {
		u.releaseNotStarted(t, "the job was stopped")
		return provider.StartCall{}, false
	}
	now := time.Now()
	if !now.Before(ownedUntil) {
		u.releaseNotStarted(t, "the ownership of the unit may have expired")
		return provider.StartCall{}, false
	}
	t.startExpires = earlier(now.Add(u.settings.CallTimeout), ownedUntil)
	t.leaseUntil = now.Add(t.grant.Lease)
	return provider.StartCall{
		// Use the boot ID of the grant, not the worker's current one: if the worker has
		// rebooted since, the attempt counts as ended and must not be started.
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

// ownerCallExpiry returns the expiry for a stop or forget call, and whether this box
// is still certain to own the unit. An owner that lost the unit while its process was
// suspended must not stop attempts that the new owner started, nor make a worker
// forget attempts whose outcome the new owner has not read yet.
func (u *Unit) ownerCallExpiry(now time.Time) (expires time.Time, owned bool) {
	end := u.deps.OwnedUntil().Add(-u.settings.ClockError)
	return earlier(now.Add(u.settings.CallTimeout), end), now.Before(end)
}

// stopRetryInterval is the delay before a failed stop call is repeated.
const stopRetryInterval = time.Second

// stopAttempt stops an attempt by a Stop or Checkpoint call and processes the state
// in the response. If the call fails, a Stop is repeated until a report or the
// expiry of the lease shows that the attempt no longer runs.
func (u *Unit) stopAttempt(w *workerState, attempt string, call stopFunc) {
	u.mu.Lock()
	boot := w.boot
	_, granted := w.tasks[attempt]
	u.mu.Unlock()
	expires, owned := u.ownerCallExpiry(time.Now())
	if !owned {
		if granted {
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
	if err != nil && granted && t != nil && t.phase == stopping {
		time.AfterFunc(stopRetryInterval, func() { u.retryStop(w, attempt) })
	}
}

// retryStop schedules another Stop if the attempt has not ended yet.
func (u *Unit) retryStop(w *workerState, attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := w.tasks[attempt]; t != nil && t.phase == stopping && u.ctx.Err() == nil {
		u.enqueueCall(w, workerCall{kind: callStop, attempt: attempt})
	}
}

// releaseNotStarted releases a task whose attempt is known never to have started. The
// task waits again, or is final if its job was stopped. The caller holds u.mu.
func (u *Unit) releaseNotStarted(t *taskState, reason string) {
	u.Stats.NotRun++
	t.failedStarts++
	u.recordEvent(timeline.Event{Kind: timeline.TaskNotRun, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Detail: reason})
	next := t.task.WithoutStart(time.Now())
	if t.job.job.Stopped {
		next = t.task.WithStopped(time.Now())
	}
	u.release(t, next, false)
}
