package hall

import (
	"context"
	"errors"
	"time"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// stopFunc is a worker's Stop or Checkpoint.
type stopFunc func(context.Context, string, provider.AttemptCall) (provider.AttemptState, error)

const (
	minPollBackoff = 100 * time.Millisecond
	maxPollBackoff = 2 * time.Second
	// renewalsPerLease is how many times a lease is renewed per lease duration.
	renewalsPerLease = 3
)

// pollLoop polls a worker, which renews the leases of its tasks and returns reports.
// The first call lists its attempts; the following ones are long polls.
func (u *Unit) pollLoop(w *workerState) {
	pause := minPollBackoff
	for u.ctx.Err() == nil {
		requestedAt := time.Now()
		report, err := u.poll(w)
		if err != nil {
			if u.pollWasInterrupted(w) {
				continue
			}
			u.pollFailed(w)
			u.sleep(pause)
			pause = min(2*pause, maxPollBackoff)
			continue
		}
		pause = minPollBackoff
		u.handleReport(w, report, requestedAt)
	}
}

// poll calls List if the worker's boot ID is unknown, else Renew.
func (u *Unit) poll(w *workerState) (provider.Report, error) {
	call, forget, known := u.newRenewCall(w)
	if !known {
		ctx, cancel := context.WithTimeout(u.ctx, u.settings.CallTimeout)
		defer cancel()
		return u.deps.Workers.List(ctx, w.name())
	}
	ctx, cancel := context.WithTimeout(u.ctx, call.Wait+u.settings.CallTimeout)
	defer cancel()
	u.mu.Lock()
	w.cancelPoll = cancel
	u.mu.Unlock()
	report, err := u.deps.Workers.Renew(ctx, w.name(), call)
	if err != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		w.toForget = append(w.toForget, forget...)
		var refused *provider.RefusedError
		if errors.As(err, &refused) && refused.Reason == provider.RefusedStaleBoot {
			w.boot = "" // the next poll calls List
		}
	}
	return report, err
}

// newRenewCall returns the next Renew call to a worker. Leases are counted from now
// or from Deps.OwnedUntil, whichever is earlier, so during an outage of the table they
// end at OwnedUntil plus the lease duration. A lease is included only if that extends
// it by more than half a renewal interval. forget lists the attempts that
// the worker may forget; if the call fails, the caller must restore them. known is false if the
// worker must be listed first.
func (u *Unit) newRenewCall(w *workerState) (call provider.RenewCall, forget []string, known bool) {
	ownedUntil := u.deps.OwnedUntil()
	u.mu.Lock()
	defer u.mu.Unlock()
	interrupted := w.pollInterrupted
	w.pollInterrupted = false
	if w.boot == "" {
		return call, nil, false
	}
	now := time.Now()
	from := earlier(now, ownedUntil)
	call = provider.RenewCall{Boot: w.boot, Expires: now.Add(u.settings.CallTimeout), Seen: w.reportSeq, Wait: u.settings.ReportWait}
	if !w.unresponsiveSince.IsZero() || interrupted {
		call.Wait = 0 // request an immediate response
	}
	if expires, owned := u.ownerCallExpiry(now); owned && len(w.toForget) > 0 {
		call.Forget, call.Expires = w.toForget, expires
		forget, w.toForget = w.toForget, nil
	}
	for attempt, t := range w.tasks {
		if t.phase != running {
			continue
		}
		lease := t.grant.Lease
		if until := from.Add(lease); until.Sub(t.leaseUntil) > lease/(2*renewalsPerLease) {
			t.leaseUntil = until
			call.Leases = append(call.Leases, provider.Lease{Attempt: attempt, Until: until})
		}
		call.Wait = min(call.Wait, lease/renewalsPerLease)
	}
	return call, forget, true
}

// pollNow interrupts the long poll of a worker and polls it at once. It is called
// when a start call without a response has expired, so that the next report shows
// whether it took effect.
func (u *Unit) pollNow(w *workerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.pollInterrupted = true
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// pollWasInterrupted reports whether a poll was canceled by pollNow. Its error then
// does not mean that the worker is unresponsive.
func (u *Unit) pollWasInterrupted(w *workerState) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return w.pollInterrupted
}

// pollFailed handles a poll to which the worker did not respond.
func (u *Unit) pollFailed(w *workerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() == nil {
		u.markUnresponsive(w)
	}
}

// markUnresponsive excludes a worker from placement until its next report. The caller
// holds u.mu.
func (u *Unit) markUnresponsive(w *workerState) {
	if !w.unresponsiveSince.IsZero() {
		return
	}
	w.unresponsiveSince = time.Now()
	u.reindex(w)
	u.recordEvent(timeline.Event{Kind: timeline.WorkerSilent, Worker: w.name()})
}

// handleReport processes a worker's report that was requested at requestedAt.
func (u *Unit) handleReport(w *workerState, r provider.Report, requestedAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() != nil {
		return
	}
	first := w.boot == ""
	lostAt := time.Now()
	if !w.unresponsiveSince.IsZero() {
		lostAt = w.unresponsiveSince
	}
	if !first && r.Boot != w.boot {
		u.reboots.add(w, lostAt)
		u.recordEvent(timeline.Event{Kind: timeline.WorkerRebooted, Worker: w.name()})
	}
	w.boot, w.reportSeq, w.usage = r.Boot, r.Seq, r.Usage
	if !w.unresponsiveSince.IsZero() {
		w.unresponsiveSince = time.Time{}
		u.reindex(w)
		u.recordEvent(timeline.Event{Kind: timeline.WorkerBack, Worker: w.name()})
		notify(u.placementSignal)
	}
	seen := make(map[string]bool, len(r.Attempts))
	for _, state := range r.Attempts {
		seen[state.Attempt] = true
		u.handleReportedAttempt(w, state)
	}
	u.handleMissing(w, seen, requestedAt, lostAt)
}

// handleReportedAttempt processes one attempt of a report. An attempt of this unit
// without a grant is stopped if it runs, else the worker is told to forget it. The
// caller holds u.mu.
func (u *Unit) handleReportedAttempt(w *workerState, state provider.AttemptState) {
	if t := w.tasks[state.Attempt]; t != nil {
		u.handleAttemptState(w, t, state)
		return
	}
	a, err := job.ParseAttempt(state.Attempt)
	if err != nil || a.Job.Unit() != u.assignment.Unit {
		return // not an attempt of this unit
	}
	if state.Phase != provider.PhaseRunning {
		// It has no grant, so its end has been committed.
		w.toForget = append(w.toForget, state.Attempt)
		return
	}
	u.enqueueCall(w, workerCall{kind: callStop, attempt: state.Attempt})
}

// handleAttemptState updates a task from the state of its attempt on the worker. The
// caller holds u.mu.
func (u *Unit) handleAttemptState(w *workerState, t *taskState, state provider.AttemptState) {
	if t.commitPending() {
		return
	}
	switch state.Phase {
	case provider.PhaseRunning:
		u.attemptRunning(t, state)
	case provider.PhaseEnded:
		u.attemptEnded(t, state)
	case provider.PhaseStopped:
		u.attemptLost(t, state.Checkpoint, "stopped")
	}
}

// attemptRunning handles an attempt that the worker reports as running. The caller
// holds u.mu.
func (u *Unit) attemptRunning(t *taskState, state provider.AttemptState) {
	if state.Until.After(t.leaseUntil) {
		t.leaseUntil = state.Until
	}
	if t.phase != starting {
		return
	}
	t.phase, t.endpoint, t.failedStarts = running, state.Endpoint, 0
	u.Stats.Started++
	u.Stats.Waits.record(t.job.job.Template.Class, time.Since(runnableSince(t)))
	u.recordEvent(timeline.Event{Kind: timeline.TaskStarted, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Account: t.job.job.Account})
	if t.job.job.Stopped {
		t.phase = stopping
		u.enqueueCall(t.worker, workerCall{kind: callStop, attempt: t.attempt})
	}
}

// runnableSince returns the time since which a task has been able to run: the later
// of the job's start time and the time when the task began to wait.
func runnableSince(t *taskState) time.Time {
	if t.job.job.Start.After(t.waitingSince) {
		return t.job.job.Start
	}
	return t.waitingSince
}

// attemptEnded records an attempt that ran to completion. The caller holds u.mu.
func (u *Unit) attemptEnded(t *taskState, state provider.AttemptState) {
	u.Stats.Ended++
	next := t.task.WithEnd(t.job.job.Template, state.OK, state.Result, time.Now())
	if t.job.job.Stopped && next.State == job.Waiting {
		next = t.task.WithStopped(time.Now())
	}
	u.recordEvent(timeline.Event{Kind: timeline.TaskEnded, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Detail: string(next.State)})
	u.release(t, next, true)
}

// attemptLost records an attempt that no longer runs and did not complete. The
// caller holds u.mu.
func (u *Unit) attemptLost(t *taskState, checkpoint, reason string) {
	u.recordLoss(t, t.task.WithLoss(t.job.job.Template, checkpoint, time.Now()), reason)
}

// attemptRebooted records an attempt whose worker has rebooted. The caller holds u.mu.
func (u *Unit) attemptRebooted(w *workerState, t *taskState, lostAt time.Time) {
	soon := lostAt.Sub(t.task.Changed) <= u.reboots.blameTime(w, len(u.workers), time.Now())
	next := t.task.WithReboot(t.job.job.Template, soon, time.Now())
	reason := "the worker rebooted"
	if next.State == job.Failed {
		reason = "the task has reached the limit of consecutive worker reboots"
	}
	u.recordLoss(t, next, reason)
}

// recordLoss releases a task whose attempt did not complete. The caller holds u.mu.
func (u *Unit) recordLoss(t *taskState, next job.Task, reason string) {
	u.Stats.Lost++
	now := time.Now()
	if t.job.job.Stopped {
		next = next.WithStopped(now)
	}
	kind := timeline.TaskLost
	if next.State == job.Unknown {
		kind = timeline.TaskUnknown
	}
	u.recordEvent(timeline.Event{Kind: kind, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Detail: reason})
	u.release(t, next, true)
}

// handleMissing handles the granted attempts that are absent from a report. lostAt is when they
// were lost if the worker has rebooted. The caller holds u.mu.
func (u *Unit) handleMissing(w *workerState, seen map[string]bool, requestedAt, lostAt time.Time) {
	for _, g := range w.ledger.Grants() {
		t := w.tasks[g.Attempt]
		if t == nil || seen[g.Attempt] || t.commitPending() {
			continue
		}
		unstarted := t.startNotSent()
		switch {
		case unstarted && g.Boot != w.boot:
			u.releaseNotStarted(t, "the worker rebooted before the start")
		case unstarted:
		case g.Boot != w.boot:
			u.attemptRebooted(w, t, lostAt)
		case requestedAt.After(t.startExpires.Add(u.settings.ClockError)):
			// The worker lists every attempt until told to forget it, and a start
			// call that has not arrived yet has expired.
			u.attemptNotListed(t)
		}
	}
}

// attemptNotListed releases an attempt that its worker does not list. If it is still
// starting, it never ran. Otherwise the worker has violated the contract to list
// attempts until told to forget them, and the attempt counts as lost. The caller
// holds u.mu.
func (u *Unit) attemptNotListed(t *taskState) {
	if t.phase == starting {
		u.releaseNotStarted(t, "the worker has no record of the attempt")
		return
	}
	u.attemptLost(t, "", "the worker no longer lists the attempt")
}

// sweepLoop periodically releases attempts whose leases have expired on unresponsive
// workers, purges old jobs, applies planned stops and refreshes the list of workers.
func (u *Unit) sweepLoop() {
	fleet := time.Now()
	for u.sleep(time.Second) {
		u.releaseExpired()
		u.purge()
		u.applyPlannedStops()
		if time.Since(fleet) < u.settings.FleetInterval {
			continue
		}
		fleet = time.Now()
		workers, err := u.listWorkers(u.ctx)
		if err == nil {
			u.mu.Lock()
			u.updateWorkers(workers)
			u.mu.Unlock()
		}
	}
}

// releaseExpired releases the attempts on unresponsive workers whose lease and start
// call have expired, clock error included.
func (u *Unit) releaseExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, w := range u.workers {
		if w.unresponsiveSince.IsZero() {
			continue
		}
		for _, t := range w.tasks {
			if t.commitPending() || t.startNotSent() {
				continue
			}
			if now.After(t.leaseUntil.Add(u.settings.ClockError)) && now.After(t.startExpires.Add(u.settings.ClockError)) {
				u.attemptLost(t, "", "the worker is unreachable and the lease has expired")
			}
		}
	}
}
