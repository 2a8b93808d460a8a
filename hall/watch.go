package hall

import (
	"context"
	"errors"
	"time"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// haltCall is a worker's Stop or Checkpoint.
type haltCall func(context.Context, string, provider.AttemptCall) (provider.AttemptState, error)

const (
	firstWatchPause = 100 * time.Millisecond
	lastWatchPause  = 2 * time.Second
	// renewalsPerLease is how often a lease is renewed before it lapses.
	renewalsPerLease = 3
)

// watchLoop renews the leases of a worker's tasks and takes in its reports. The
// first call asks what it runs; each one after holds until there is news.
func (u *Unit) watchLoop(w *workerState) {
	pause := firstWatchPause
	for u.ctx.Err() == nil {
		asked := time.Now()
		report, err := u.ask(w)
		if err != nil {
			if u.wasNudged(w) {
				continue
			}
			u.unheard(w)
			u.pause(pause)
			pause = min(2*pause, lastWatchPause)
			continue
		}
		pause = firstWatchPause
		u.heard(w, report, asked)
	}
}

// ask makes one call: List to a worker that is not known yet, else Renew.
func (u *Unit) ask(w *workerState) (provider.Report, error) {
	call, forget, known := u.renewCall(w)
	if !known {
		ctx, cancel := context.WithTimeout(u.ctx, u.set.Call)
		defer cancel()
		return u.deps.Workers.List(ctx, w.name())
	}
	ctx, cancel := context.WithTimeout(u.ctx, call.Wait+u.set.Call)
	defer cancel()
	u.mu.Lock()
	w.stopAsk = cancel
	u.mu.Unlock()
	report, err := u.deps.Workers.Renew(ctx, w.name(), call)
	if err != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		w.forget = append(w.forget, forget...)
		var refused *provider.RefusedError
		if errors.As(err, &refused) && refused.Reason == provider.RefusedBoot {
			w.boot = "" // ask anew what it runs
		}
	}
	return report, err
}

// renewCall makes the call that renews every lease on a worker. No lease goes
// beyond Sure plus the template's lease, so that it goes on through an outage of
// the table for as long as that bound allows.
func (u *Unit) renewCall(w *workerState) (call provider.RenewCall, forget []string, known bool) {
	sure := u.deps.Sure()
	u.mu.Lock()
	defer u.mu.Unlock()
	nudged := w.nudged
	w.nudged = false
	if w.boot == "" {
		return call, nil, false
	}
	now := time.Now()
	from := earlier(now, sure)
	call = provider.RenewCall{Boot: w.boot, Expires: now.Add(u.set.Call), Seen: w.seq, Wait: u.set.Watch}
	if !w.silent.IsZero() || nudged {
		call.Wait = 0 // ask for an answer at once
	}
	if expires, sure := u.surely(now); sure && len(w.forget) > 0 {
		call.Forget, call.Expires = w.forget, expires
		forget, w.forget = w.forget, nil
	}
	for attempt, t := range w.tasks {
		if t.phase != running {
			continue
		}
		lease := t.grant.Lease
		if until := from.Add(lease); until.Sub(t.until) > lease/(2*renewalsPerLease) {
			t.until = until
			call.Leases = append(call.Leases, provider.Lease{Attempt: attempt, Until: until})
		}
		call.Wait = min(call.Wait, lease/renewalsPerLease)
	}
	return call, forget, true
}

// nudge makes the watch ask a worker at once instead of waiting for news: a
// start had no answer, and it has become possible to tell if it took effect.
func (u *Unit) nudge(w *workerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.nudged = true
	if w.stopAsk != nil {
		w.stopAsk()
	}
}

// wasNudged reports whether a question was broken off by nudge. Then its failure
// says nothing of the worker.
func (u *Unit) wasNudged(w *workerState) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return w.nudged
}

// unheard notes that a worker did not answer.
func (u *Unit) unheard(w *workerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() == nil {
		u.silence(w)
	}
}

// silence closes a worker until its next report. The caller holds u.mu.
func (u *Unit) silence(w *workerState) {
	if !w.silent.IsZero() {
		return
	}
	w.silent = time.Now()
	u.reindex(w)
	u.note(timeline.Event{Kind: timeline.WorkerSilent, Worker: w.name()})
}

// heard takes in a worker's report, which was asked for at a time.
func (u *Unit) heard(w *workerState, r provider.Report, asked time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() != nil {
		return
	}
	first := w.boot == ""
	if !first && r.Boot != w.boot {
		u.note(timeline.Event{Kind: timeline.WorkerRebooted, Worker: w.name()})
	}
	w.boot, w.seq, w.usage = r.Boot, r.Seq, r.Usage
	if !w.silent.IsZero() {
		w.silent = time.Time{}
		u.reindex(w)
		u.note(timeline.Event{Kind: timeline.WorkerBack, Worker: w.name()})
		signal(u.decideWake)
	}
	seen := make(map[string]bool, len(r.Attempts))
	for _, state := range r.Attempts {
		seen[state.Attempt] = true
		u.reported(w, state)
	}
	u.missing(w, seen, asked)
}

// reported takes in one attempt of a report.
func (u *Unit) reported(w *workerState, state provider.AttemptState) {
	if t := w.tasks[state.Attempt]; t != nil {
		u.heardOf(w, t, state)
		return
	}
	a, err := job.ParseAttempt(state.Attempt)
	if err != nil || a.Job.Unit() != u.hold.Unit {
		return // another unit's, or not ours at all
	}
	if state.Phase != provider.PhaseRunning {
		// Its end is on record, or it would have a grant.
		w.forget = append(w.forget, state.Attempt)
		return
	}
	u.order(w, order{kind: orderStop, attempt: state.Attempt})
}

// heardOf goes on with a task of whose attempt the worker spoke.
func (u *Unit) heardOf(w *workerState, t *taskState, state provider.AttemptState) {
	if t.committing() {
		return
	}
	switch state.Phase {
	case provider.PhaseRunning:
		u.runs(t, state)
	case provider.PhaseEnded:
		u.ended(t, state)
	case provider.PhaseStopped:
		u.gone(t, state.Checkpoint, "stopped")
	}
}

func (u *Unit) runs(t *taskState, state provider.AttemptState) {
	if state.Until.After(t.until) {
		t.until = state.Until
	}
	if t.phase != starting {
		return
	}
	t.phase, t.endpoint, t.refusals = running, state.Endpoint, 0
	u.Stats.Started++
	u.Stats.Waits.record(t.job.job.Template.Class, time.Since(due(t)))
	u.note(timeline.Event{Kind: timeline.TaskStarted, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Account: t.job.job.Account})
	if t.job.job.Stopped {
		t.phase = stopping
		u.order(t.worker, order{kind: orderStop, attempt: t.attempt})
	}
}

// due returns since when a task could have run: a job's intended start, so that
// no wait is hidden, or the end of the attempt before.
func due(t *taskState) time.Time {
	if t.job.job.Start.After(t.ready) {
		return t.job.job.Start
	}
	return t.ready
}

// ended records an attempt that ran to its end.
func (u *Unit) ended(t *taskState, state provider.AttemptState) {
	u.Stats.Ended++
	next := t.task.WithEnd(t.job.job.Template, state.OK, state.Result, time.Now())
	if t.job.job.Stopped && next.State == job.Waiting {
		next = t.task.WithStopped(time.Now())
	}
	u.note(timeline.Event{Kind: timeline.TaskEnded, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Detail: string(next.State)})
	u.release(t, next, true)
}

// gone records an attempt that surely runs no more and did not reach its end.
func (u *Unit) gone(t *taskState, checkpoint, why string) {
	u.lost(t, t.task.WithLoss(t.job.job.Template, checkpoint, time.Now()), why)
}

// rebooted records an attempt of which the worker has rebooted.
func (u *Unit) rebooted(t *taskState) {
	next := t.task.WithReboot(t.job.job.Template, time.Now())
	why := "the worker rebooted"
	if next.State == job.Failed {
		why = "as many workers in a row have rebooted under it as are allowed"
	}
	u.lost(t, next, why)
}

// lost records what becomes of a task whose attempt did not reach its end.
func (u *Unit) lost(t *taskState, next job.Task, why string) {
	u.Stats.Lost++
	now := time.Now()
	if t.job.job.Stopped {
		next = next.WithStopped(now)
	}
	kind := timeline.TaskLost
	if next.State == job.Unknown {
		kind = timeline.TaskUnknown
	}
	u.note(timeline.Event{Kind: kind, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Detail: why})
	u.release(t, next, true)
}

// missing goes on with the attempts that a report does not speak of.
func (u *Unit) missing(w *workerState, seen map[string]bool, asked time.Time) {
	for _, g := range w.ledger.Grants() {
		t := w.tasks[g.Attempt]
		if t == nil || seen[g.Attempt] || t.committing() {
			continue
		}
		unstarted := t.unstarted()
		switch {
		case unstarted && g.Boot != w.boot:
			u.notRun(t, "the worker rebooted before the start")
		case unstarted:
		case g.Boot != w.boot:
			u.rebooted(t)
		case asked.After(t.startBy.Add(u.set.ClockError)):
			// The worker remembers every attempt until told to forget, and a
			// start call that is still on its way would come too late.
			u.notRunOrForgotten(t)
		}
	}
}

// notRunOrForgotten settles an attempt of which its worker knows nothing. One
// that was seen running and is unknown now breaks the worker's promise to
// remember; it counts as lost.
func (u *Unit) notRunOrForgotten(t *taskState) {
	if t.phase == starting {
		u.notRun(t, "the worker never heard of it")
		return
	}
	u.gone(t, "", "the worker has forgotten it")
}

// sweepLoop ends what silent workers ran once its leases have surely lapsed, and
// keeps the list of workers fresh.
func (u *Unit) sweepLoop() {
	fleet := time.Now()
	for u.pause(time.Second) {
		u.lapse()
		u.purge()
		u.planned()
		if time.Since(fleet) < u.set.Fleet {
			continue
		}
		fleet = time.Now()
		workers, err := u.fleet(u.ctx)
		if err == nil {
			u.mu.Lock()
			u.mergeFleet(workers)
			u.mu.Unlock()
		}
	}
}

// lapse releases the attempts on silent workers that surely run no more.
func (u *Unit) lapse() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, w := range u.workers {
		if w.silent.IsZero() {
			continue
		}
		for _, t := range w.tasks {
			if t.committing() || t.unstarted() {
				continue
			}
			if now.After(t.until.Add(u.set.ClockError)) && now.After(t.startBy.Add(u.set.ClockError)) {
				u.gone(t, "", "the worker is out of reach and the lease has lapsed")
			}
		}
	}
}
