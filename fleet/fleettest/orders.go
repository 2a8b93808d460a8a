package fleettest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"chutereach/fleet"
	"chutereach/wait"
	"chutereach/workload"
)

var (
	errNoResponse       = errors.New("no response")
	errWrongIncarnation = errors.New("connection leads to another incarnation of the worker")
)

// call executes one call to a worker, subject to the fault injected into it.
func call[A any](ctx context.Context, f *Fleet, kind Call, info fleet.Worker, handle func(*worker) (A, error)) (A, error) {
	var zero A
	if wait.For(ctx, latency) != nil {
		return zero, &fleet.NoResponseError{Cause: ctx.Err()}
	}
	f.mu.Lock()
	w := f.workers[info.ID]
	fault := Fault{}
	if f.fault != nil {
		fault = f.fault(kind, info.ID)
	}
	silent := w == nil || w.dead || fault.RequestLost
	replaced := w != nil && w.replaced && !fault.RequestLost
	// Start and Stop are sent only over connections whose incarnation is known.
	wrongIncarnation := w != nil && kind != CallHold && info.HasStartTime() && w.info.Incarnation != info.Incarnation
	closed := w != nil && w.dead && w.refusesConnections && !fault.RequestLost
	f.mu.Unlock()
	switch {
	case closed && !replaced:
		return zero, &fleet.NoResponseError{Cause: syscall.ECONNREFUSED, Unsent: true, ConnectionClosed: true}
	case replaced:
		return zero, &fleet.ReplacedError{ID: info.ID}
	case wrongIncarnation:
		return zero, &fleet.NoResponseError{Cause: errWrongIncarnation, Unsent: true}
	case fault.Unavailable:
		return zero, &fleet.UnavailableError{ID: info.ID}
	case fault.Delay > 0:
		go func() {
			time.Sleep(fault.Delay)
			f.mu.Lock()
			defer f.mu.Unlock()
			// Calls carry the id only, so whichever incarnation has the id by then executes it.
			// If that one has received only such calls yet, no caller can prevent this: the attempt
			// is marked as misdelivered and not checked. Its end counts once a caller has read it.
			if receiver := f.workers[info.ID]; receiver != nil && !receiver.dead {
				f.misdelivered, f.delayed, f.responseLost = receiver != w && !receiver.contacted, true, true
				handle(receiver)
				f.misdelivered, f.delayed, f.responseLost = false, false, false
			}
		}()
		silent = true
	}
	if silent {
		<-ctx.Done()
		return zero, &fleet.NoResponseError{Cause: errNoResponse}
	}
	f.mu.Lock()
	f.responseLost = fault.ResponseLost
	answer, err := handle(w)
	f.responseLost = false
	f.mu.Unlock()
	if fault.ResponseLost {
		<-ctx.Done()
		return zero, &fleet.NoResponseError{Cause: errNoResponse}
	}
	return answer, err
}

// checkToken refuses an order with a lower fencing token than an earlier one.
func (f *Fleet) checkToken(w *worker, token uint64) error {
	if token < w.token {
		return f.refuse(w, fleet.Fenced)
	}
	w.token = token
	w.contacted = w.contacted || !f.misdelivered
	return nil
}

func (f *Fleet) refuse(w *worker, reason fleet.Reason) error {
	f.refused[reason]++
	return &fleet.RefusedError{Reason: reason, Clock: w.clock()}
}

// extendLease extends the lease of all attempts on the worker, at most to MaxLease from now.
func (f *Fleet) extendLease(w *worker, deadline fleet.Clock) {
	until := w.startedAt.Add(time.Duration(deadline) * time.Millisecond)
	if maxUntil := time.Now().Add(MaxLease); until.After(maxUntil) {
		until = maxUntil
	}
	if !until.After(w.leaseUntil) {
		return
	}
	w.leaseUntil = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(until), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || time.Now().Before(w.leaseUntil) {
			return
		}
		w.leaseExpiredThrough = w.lastSequence
		for _, r := range w.runs {
			f.endAttempt(w, r, fleet.LeaseExpired)
		}
	})
}

// Start implements fleet.Client.
func (f *Fleet) Start(ctx context.Context, info fleet.Worker, order fleet.StartOrder) (fleet.Clock, error) {
	return call(ctx, f, CallStart, info, func(w *worker) (fleet.Clock, error) { return f.start(w, order) })
}

func (f *Fleet) start(w *worker, order fleet.StartOrder) (fleet.Clock, error) {
	if err := f.checkToken(w, order.Token); err != nil {
		return 0, err
	}
	if order.Deadline < w.clock() {
		return 0, f.refuse(w, fleet.DeadlinePassed)
	}
	f.extendLease(w, order.Deadline)
	if r := w.runs[order.Task]; r != nil && r.number == order.Number {
		return w.clock(), nil
	}
	if order.Number <= w.highestAttempt[order.Task] || w.runs[order.Task] != nil {
		return 0, f.refuse(w, fleet.StaleAttempt)
	}
	task, err := workload.ParseTaskID(order.Task)
	if err != nil {
		return 0, f.refuse(w, fleet.Invalid)
	}
	spec := f.jobs[task.Job]
	if spec.NeedsTicket && !f.acceptsTicket(order.Ticket, task.StepName(), w) {
		return 0, f.refuse(w, fleet.InvalidTicket)
	}
	f.startAttempt(w, task, order, spec)
	return w.clock(), nil
}

// startAttempt starts an attempt and checks whether the start was allowed.
func (f *Fleet) startAttempt(w *worker, task workload.TaskID, order fleet.StartOrder, spec JobSpec) {
	f.starts++
	if !f.misdelivered {
		f.checkStart(w, task, order, spec)
		f.checkCrashes(task)
		f.checkHall(w, task)
		f.checkCancelledStart(w, task, order.Number)
	}
	r := &run{task: task, number: order.Number, resumedFrom: order.Checkpoint, misdelivered: f.misdelivered}
	if task.Step < len(spec.Request.Steps) {
		r.need = spec.Request.Steps[task.Step].Need
	}
	w.runs[order.Task] = r
	f.recordAttempt(w, r)
	f.checkQuota(spec.Account)
	r.timer = time.AfterFunc(time.Hour, func() {})
	if task.Step < len(spec.Request.Steps) && spec.Request.Steps[task.Step].Gang {
		f.joinGang(w, r, spec)
		return
	}
	f.runPlan(w, r, spec)
}

// runPlan starts the work of an attempt, which ends as its plan says.
func (f *Fleet) runPlan(w *worker, r *run, spec JobSpec) {
	r.startedAt = time.Now()
	plan := Plan{Work: time.Second}
	if spec.Plan != nil {
		plan = spec.Plan(r.task, r.number)
	}
	if override, ok := f.planOverrides[w.info.ID]; ok {
		plan = override
	}
	if plan.Hangs {
		return
	}
	r.plannedWork = plan.Work
	remaining := plan.Work - savedWork(r.resumedFrom)
	r.timer.Stop()
	r.timer = time.AfterFunc(max(0, remaining), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || w.runs[r.task.String()] != r {
			return
		}
		if plan.Crashes {
			f.crashWorker(w, r.task, max(0, remaining))
			return
		}
		outcome := plan.Outcome
		if outcome == "" {
			outcome = fleet.Done
		}
		f.endAttempt(w, r, outcome)
	})
}

// Stop implements fleet.Client.
func (f *Fleet) Stop(ctx context.Context, info fleet.Worker, order fleet.StopOrder) (fleet.Clock, error) {
	return call(ctx, f, CallStop, info, func(w *worker) (fleet.Clock, error) {
		if err := f.checkToken(w, order.Token); err != nil {
			return 0, err
		}
		w.highestAttempt[order.Task] = max(w.highestAttempt[order.Task], order.Number)
		r := w.runs[order.Task]
		if r == nil || r.number > order.Number || r.stopped {
			return w.clock(), nil
		}
		r.stopped = true
		time.AfterFunc(stopDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !w.dead {
				f.endAttempt(w, r, fleet.Stopped)
			}
		})
		return w.clock(), nil
	})
}

// Hold implements fleet.Client.
func (f *Fleet) Hold(ctx context.Context, info fleet.Worker, order fleet.HoldOrder) (fleet.Report, error) {
	deadline := time.Now().Add(order.Wait)
	if !f.connected(info.Incarnation) {
		order.AckedThrough = 0 // that incarnation has not answered on this connection
	}
	var (
		w       *worker       // the incarnation that executed the call
		changed chan struct{} // read along with the report, so that no later change is missed
	)
	report, err := call(ctx, f, CallHold, info, func(reached *worker) (fleet.Report, error) {
		w, changed = reached, reached.changed
		return f.hold(reached, order)
	})
	for err == nil && len(report.Ended) == 0 && time.Now().Before(deadline) {
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fleet.Report{}, &fleet.NoResponseError{Cause: ctx.Err()}
		}
		timer.Stop()
		order.Deadline = 0
		f.mu.Lock()
		if w.dead {
			closed := w.refusesConnections
			f.mu.Unlock()
			if closed {
				return fleet.Report{}, &fleet.NoResponseError{Cause: io.ErrUnexpectedEOF, ConnectionClosed: true}
			}
			<-ctx.Done()
			return fleet.Report{}, &fleet.NoResponseError{Cause: errNoResponse}
		}
		changed = w.changed
		report, err = f.hold(w, order)
		f.mu.Unlock()
	}
	return report, err
}

// connected reports whether an incarnation is the latest with its id and has answered a Hold, so
// that the caller has a connection that is known to lead to it. Its connections end with its process.
func (f *Fleet) connected(incarnation fleet.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[incarnation.ID]
	return w != nil && !w.dead && w.info.Incarnation == incarnation && w.reported
}

// maxReportedEnds is how many ended attempts a report lists.
const maxReportedEnds = 500

func (f *Fleet) hold(w *worker, order fleet.HoldOrder) (fleet.Report, error) {
	if err := f.checkToken(w, order.Token); err != nil {
		return fleet.Report{}, err
	}
	if order.Deadline > 0 {
		f.extendLease(w, order.Deadline)
	}
	f.acknowledge(w, order.AckedThrough)
	w.reported = true
	if !f.responseLost {
		clear(w.misdelivered)
	}
	listed := min(len(w.ended), maxReportedEnds)
	report := fleet.Report{
		StartTime: w.info.StartTime, Clock: w.clock(), Ended: slices.Clone(w.ended[:listed]), MoreEnds: listed == maxReportedEnds,
	}
	for name, r := range w.runs {
		report.Running = append(report.Running, fleet.Attempt{Task: name, Number: r.number, Checkpoint: r.checkpoint(), Percent: r.percent()})
	}
	return f.truncate(report), nil
}

// SetMaxReportRows makes the client read only so many attempts of a report, the running ones first. 0 means all.
func (f *Fleet) SetMaxReportRows(rows int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxReportRows = rows
}

// truncate returns the part of a report that the client reads. The lock is held.
func (f *Fleet) truncate(report fleet.Report) fleet.Report {
	if f.maxReportRows == 0 || len(report.Running)+len(report.Ended) <= f.maxReportRows {
		return report
	}
	report.Partial = true
	report.Running = report.Running[:min(len(report.Running), f.maxReportRows)]
	report.Ended = report.Ended[:min(len(report.Ended), f.maxReportRows-len(report.Running))]
	return report
}

// acknowledge removes the ended attempts up to a sequence number from the worker's reports.
func (f *Fleet) acknowledge(w *worker, upTo uint64) {
	var rest []fleet.EndedAttempt
	for _, end := range w.ended {
		switch {
		case end.Sequence > upTo:
			rest = append(rest, end)
		case end.Sequence <= w.leaseExpiredThrough:
			// The lease expired after this end, so the scheduler may have started the task
			// elsewhere. Its dependents may start nonetheless.
			f.succeeded[end.Task] = f.succeeded[end.Task] || end.Outcome == fleet.Done
		case w.misdelivered[end.Sequence]:
		case end.Outcome == fleet.Done:
			f.acknowledgedDone[end.Task], f.succeeded[end.Task] = true, true
			f.checkDone(end)
		case end.Outcome == fleet.Failed:
			f.failures.add(end.Task, end.Number)
		}
	}
	w.ended = rest
}

// ticket is a ticket for one incarnation of a worker.
type ticket struct {
	expires time.Time
	worker  *worker
}

// acceptsTicket reports whether a ticket is valid for a step on a worker now.
func (f *Fleet) acceptsTicket(text, step string, w *worker) bool {
	t, ok := f.tickets[text]
	return ok && strings.HasPrefix(text, step+"/"+w.info.ID+"/") && t.worker == w && !time.Now().After(t.expires)
}

const ticketLifetime = 2 * time.Second

// Advise implements fleet.Advisor. About two of three workers may run a step. The answer is the
// same for all incarnations at an address: otherwise, as steps crash workers, those left would
// be the ones that the steps may not run on.
func (f *Fleet) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	if wait.For(ctx, 10*time.Millisecond) != nil {
		return fleet.Advice{}, &fleet.AdvisorError{Cause: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adviceCalls++
	advice := fleet.Advice{Tickets: map[string]string{}, Valid: ticketLifetime}
	for _, id := range workers {
		if firstID := f.firstIDOf(id); (len(step)+int(firstID[len(firstID)-1]))%3 == 0 {
			continue
		}
		text := fmt.Sprintf("%s/%s/%d", step, id, f.adviceCalls)
		advice.Tickets[id] = text
		f.tickets[text] = ticket{time.Now().Add(ticketLifetime), f.workers[id]}
	}
	return advice, nil
}
