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
	errNoAnswer    = errors.New("no answer")
	errAnotherLife = errors.New("another life than was meant")
)

// call carries one call out, with its fault.
func call[A any](ctx context.Context, f *Fleet, kind Call, info fleet.Worker, do func(*worker) (A, error)) (A, error) {
	var none A
	if wait.For(ctx, latency) != nil {
		return none, &fleet.UnansweredError{Cause: ctx.Err()}
	}
	f.mu.Lock()
	w := f.workers[info.ID]
	fault := Fault{}
	if f.fault != nil {
		fault = f.fault(kind, info.ID)
	}
	silent := w == nil || w.dead || fault.Lost
	replaced := w != nil && w.replaced && !fault.Lost
	// Orders go over connections of which it is known which life they lead to.
	another := w != nil && kind != CallHold && info.Known() && w.info.Life != info.Life
	closed := w != nil && w.dead && w.closed && !fault.Lost
	f.mu.Unlock()
	switch {
	case closed && !replaced:
		return none, &fleet.UnansweredError{Cause: syscall.ECONNREFUSED, Unsent: true, Closed: true}
	case replaced:
		return none, &fleet.ReplacedError{ID: info.ID}
	case another:
		return none, &fleet.UnansweredError{Cause: errAnotherLife, Unsent: true}
	case fault.Busy:
		return none, &fleet.BusyError{ID: info.ID}
	case fault.Late > 0:
		go func() {
			time.Sleep(fault.Late)
			f.mu.Lock()
			defer f.mu.Unlock()
			// The life that has the id then takes it: a call names no other life. What it begins
			// so before it has been called is nobody's promise to keep: no caller can prevent it.
			if taker := f.workers[info.ID]; taker != nil && !taker.dead {
				f.stray, f.late = taker != w && taker.token == 0, true
				do(taker)
				f.stray, f.late = false, false
			}
		}()
		silent = true
	}
	if silent {
		<-ctx.Done()
		return none, &fleet.UnansweredError{Cause: errNoAnswer}
	}
	f.mu.Lock()
	answer, err := do(w)
	f.mu.Unlock()
	if fault.Mute {
		<-ctx.Done()
		return none, &fleet.UnansweredError{Cause: errNoAnswer}
	}
	return answer, err
}

func (f *Fleet) refuse(w *worker, reason fleet.Reason) error {
	f.refused[reason]++
	return &fleet.RefusedError{Reason: reason, Clock: w.clock()}
}

// extend lengthens the lease of everything on the worker.
func (f *Fleet) extend(w *worker, deadline fleet.Clock) {
	until := w.booted.Add(time.Duration(deadline) * time.Millisecond)
	if most := time.Now().Add(MostLease); until.After(most) {
		until = most
	}
	if !until.After(w.lease) {
		return
	}
	w.lease = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(until), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || time.Now().Before(w.lease) {
			return
		}
		w.lapsed = w.next
		for _, r := range w.runs {
			f.end(w, r, fleet.Lapsed)
		}
	})
}

// Start implements fleet.Client.
func (f *Fleet) Start(ctx context.Context, info fleet.Worker, order fleet.StartOrder) (fleet.Clock, error) {
	return call(ctx, f, CallStart, info, func(w *worker) (fleet.Clock, error) { return f.start(w, order) })
}

func (f *Fleet) start(w *worker, order fleet.StartOrder) (fleet.Clock, error) {
	if order.Token < w.token {
		return 0, f.refuse(w, fleet.Fenced)
	}
	w.token = order.Token
	if order.Deadline < w.clock() {
		return 0, f.refuse(w, fleet.Late)
	}
	f.extend(w, order.Deadline)
	if r := w.runs[order.Task]; r != nil && r.number == order.Number {
		return w.clock(), nil
	}
	if order.Number <= w.highest[order.Task] || w.runs[order.Task] != nil {
		return 0, f.refuse(w, fleet.Outdated)
	}
	task, err := workload.ParseTaskID(order.Task)
	if err != nil {
		return 0, f.refuse(w, fleet.Invalid)
	}
	kind := f.kinds[task.Job]
	if kind.Advised && !f.honours(order.Ticket, task.StepName(), w) {
		return 0, f.refuse(w, fleet.NoTicket)
	}
	f.begin(w, task, order, kind)
	return w.clock(), nil
}

// begin runs an attempt, and judges whether it may.
func (f *Fleet) begin(w *worker, task workload.TaskID, order fleet.StartOrder, kind Kind) {
	f.starts++
	if !f.stray {
		f.judge(w, task, order, kind)
		f.judgeCrashes(task)
		f.judgeHall(w, task)
	}
	r := &run{task: task, number: order.Number, saved: order.Checkpoint, stray: f.stray}
	if task.Step < len(kind.Request.Steps) {
		r.need = kind.Request.Steps[task.Step].Need
	}
	w.runs[order.Task] = r
	f.judgeQuota(kind.Account)
	r.timer = time.AfterFunc(time.Hour, func() {})
	if task.Step < len(kind.Request.Steps) && kind.Request.Steps[task.Step].Gang {
		f.join(w, r, kind)
		return
	}
	f.work(w, r, kind)
}

// work lets an attempt run to its end.
func (f *Fleet) work(w *worker, r *run, kind Kind) {
	r.began = time.Now()
	plan := Plan{Work: time.Second}
	if kind.Plan != nil {
		plan = kind.Plan(r.task, r.number)
	}
	if sick, ok := f.sick[w.info.ID]; ok {
		plan = sick
	}
	if plan.Hangs {
		return
	}
	r.work = plan.Work
	left := plan.Work - savedWork(r.saved)
	r.timer.Stop()
	r.timer = time.AfterFunc(max(0, left), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || w.runs[r.task.String()] != r {
			return
		}
		if plan.Crashes {
			f.crashUnder(w, r.task)
			return
		}
		outcome := plan.Outcome
		if outcome == "" {
			outcome = fleet.Done
		}
		f.end(w, r, outcome)
	})
}

// Stop implements fleet.Client.
func (f *Fleet) Stop(ctx context.Context, info fleet.Worker, order fleet.StopOrder) (fleet.Clock, error) {
	return call(ctx, f, CallStop, info, func(w *worker) (fleet.Clock, error) {
		if order.Token < w.token {
			return 0, f.refuse(w, fleet.Fenced)
		}
		w.token = order.Token
		w.highest[order.Task] = max(w.highest[order.Task], order.Number)
		r := w.runs[order.Task]
		if r == nil || r.number > order.Number || r.stopped {
			return w.clock(), nil
		}
		r.stopped = true
		time.AfterFunc(stopWithin, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !w.dead {
				f.end(w, r, fleet.Stopped)
			}
		})
		return w.clock(), nil
	})
}

// Hold implements fleet.Client.
func (f *Fleet) Hold(ctx context.Context, info fleet.Worker, order fleet.HoldOrder) (fleet.Report, error) {
	deadline := time.Now().Add(order.Wait)
	if !f.connected(info.Life) {
		order.Noted = 0 // the life that is meant has not answered over the connection
	}
	var (
		w       *worker       // the life that took the call
		changed chan struct{} // as of the report, so that no end is missed
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
			return fleet.Report{}, &fleet.UnansweredError{Cause: ctx.Err()}
		}
		timer.Stop()
		order.Deadline = 0
		f.mu.Lock()
		if w.dead {
			closed := w.closed
			f.mu.Unlock()
			if closed {
				return fleet.Report{}, &fleet.UnansweredError{Cause: io.ErrUnexpectedEOF, Closed: true}
			}
			<-ctx.Done()
			return fleet.Report{}, &fleet.UnansweredError{Cause: errNoAnswer}
		}
		changed = w.changed
		report, err = f.hold(w, order)
		f.mu.Unlock()
	}
	return report, err
}

// connected reports whether a life has its id now and has told of itself before: then a
// connection to it is open.
func (f *Fleet) connected(life fleet.Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[life.ID]
	return w != nil && w.info.Life == life && w.told
}

func (f *Fleet) hold(w *worker, order fleet.HoldOrder) (fleet.Report, error) {
	if order.Token < w.token {
		return fleet.Report{}, f.refuse(w, fleet.Fenced)
	}
	w.token = order.Token
	if order.Deadline > 0 {
		f.extend(w, order.Deadline)
	}
	f.note(w, order.Noted)
	w.told = true
	report := fleet.Report{Born: w.info.Born, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for name, r := range w.runs {
		report.Running = append(report.Running, fleet.Attempt{Task: name, Number: r.number, Checkpoint: r.checkpoint(), Percent: r.percent()})
	}
	return report, nil
}

// note forgets ends that an owner has taken note of.
func (f *Fleet) note(w *worker, upTo uint64) {
	var rest []fleet.End
	for _, end := range w.ended {
		switch {
		case end.Sequence > upTo:
			rest = append(rest, end)
		case end.Sequence <= w.lapsed:
			// Its owner had to give it up when the lease ran out, and may have started
			// the task elsewhere. Well done it is all the same.
			f.well[end.Task] = f.well[end.Task] || end.Outcome == fleet.Done
		case w.strays[end.Sequence]:
		case end.Outcome == fleet.Done:
			f.dones[end.Task], f.well[end.Task] = true, true
			f.judgeDone(end)
		case end.Outcome == fleet.Failed:
			f.failed[end.Task]++
		}
	}
	w.ended = rest
}

// ticket is good for one life of a worker.
type ticket struct {
	expires time.Time
	life    *worker
}

// honours reports whether a ticket is good for a step on a worker now.
func (f *Fleet) honours(text, step string, w *worker) bool {
	t, ok := f.tickets[text]
	return ok && strings.HasPrefix(text, step+"/"+w.info.ID+"/") && t.life == w && !time.Now().After(t.expires)
}

// ticketValid is for how long a ticket is good.
const ticketValid = 2 * time.Second

// Advise implements fleet.Advisor: two of three workers may run a step, whichever of their
// lives. If that hung on the life, the lives that stay would be those that no step that
// crashes workers may go to.
func (f *Fleet) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	if wait.For(ctx, 10*time.Millisecond) != nil {
		return fleet.Advice{}, &fleet.AdvisorError{Cause: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advice++
	advice := fleet.Advice{Tickets: map[string]string{}, Valid: ticketValid}
	for _, id := range workers {
		if place := f.placeOf(id); (len(step)+int(place[len(place)-1]))%3 == 0 {
			continue
		}
		text := fmt.Sprintf("%s/%s/%d", step, id, f.advice)
		advice.Tickets[id] = text
		f.tickets[text] = ticket{time.Now().Add(ticketValid), f.workers[id]}
	}
	return advice, nil
}
