// Package fleettest keeps workers and an advice service in memory, for tests.
// The workers do what package fleet says of workers, by the clock of the test,
// and a judge looks at every attempt that begins: it records each promise that a
// scheduler breaks.
package fleettest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"chutereach/fleet"
	"chutereach/resource"
	"chutereach/wait"
	"chutereach/workload"
)

// Plan is how an attempt goes.
type Plan struct {
	Work    time.Duration
	Outcome fleet.Outcome // Done if empty
	Hangs   bool
}

// Kind is what the judge knows of the tasks of a step.
type Kind struct {
	Request  workload.Request
	Attempts int
	Advised  bool // a ticket is needed
	Plan     func(task workload.TaskID, attempt int) Plan
}

// Fault is what happens to a call to a worker.
type Fault struct {
	Lost bool          // it is not carried out, and there is no answer
	Mute bool          // it is carried out, and there is no answer
	Late time.Duration // it is carried out this much later, and there is no answer
	Busy bool          // it is refused for now
}

// Call names a kind of call.
type Call string

// The kinds of calls.
const (
	CallStart Call = "start"
	CallStop  Call = "stop"
	CallHold  Call = "hold"
)

const (
	latency     = time.Millisecond
	stopWithin  = 100 * time.Millisecond
	gangTimeout = 3 * time.Second
	saveEvery   = 500 * time.Millisecond
	// MostLease is the longest lease that a worker gives.
	MostLease = 6 * time.Second
)

// Fleet is a set of workers.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*worker
	kinds   map[string]Kind // by job
	dones   map[string]bool // tasks with an end done that was noted, by name
	failed  map[string]int  // noted failures
	gangs   map[string]*gang
	tickets map[string]time.Time
	broken  []string
	starts  int
	advice  int
	fault   func(call Call, worker string) Fault
	sick    map[string]Plan // how every attempt goes on a worker
	refused map[fleet.Reason]int
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		workers: map[string]*worker{}, kinds: map[string]Kind{}, dones: map[string]bool{}, failed: map[string]int{},
		gangs: map[string]*gang{}, tickets: map[string]time.Time{}, sick: map[string]Plan{}, refused: map[fleet.Reason]int{},
	}
}

type run struct {
	task    workload.TaskID
	number  int
	need    resource.Amount
	began   time.Time // when its work began; zero for a gang that waits
	saved   string
	timer   *time.Timer
	stopped bool
	work    time.Duration // that its plan takes; 0: none
}

// percent is how much of the work is done.
func (r *run) percent() int {
	if r.began.IsZero() || r.work <= 0 {
		return 0
	}
	return min(99, int(100*(savedWork(r.saved)+time.Since(r.began))/r.work))
}

type gang struct{ members map[int]*worker }

type worker struct {
	info    fleet.Worker
	booted  time.Time
	token   uint64
	lease   time.Time
	lapse   *time.Timer
	runs    map[string]*run
	highest map[string]int // the highest attempt that was stopped or has ended here
	ended   []fleet.End
	next    uint64
	noted   uint64
	dead    bool
	changed chan struct{}
}

// Add adds a worker.
func (f *Fleet) Add(info fleet.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[info.ID] = &worker{
		info: info, booted: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

// List returns the workers that live.
func (f *Fleet) List() []fleet.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []fleet.Worker
	for _, w := range f.workers {
		if !w.dead {
			list = append(list, w.info)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Worker) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Crash ends a worker's life and all it runs.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.dead = true
	for _, r := range w.runs {
		r.timer.Stop()
	}
	clear(w.runs)
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.wake()
}

// SetDraining marks a worker.
func (f *Fleet) SetDraining(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].info.Draining = true
}

// SetSick makes every attempt on a worker go by one plan.
func (f *Fleet) SetSick(id string, plan Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sick[id] = plan
}

// Know tells the judge of a job before it is handed in.
func (f *Fleet) Know(job string, kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[job] = kind
}

// SetFault has decide say what happens to each call; nil: nothing does.
func (f *Fleet) SetFault(decide func(call Call, worker string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = decide
}

// Broken returns the promises that were broken.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Starts returns how many attempts have begun.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Refused returns how many orders were refused for a reason.
func (f *Fleet) Refused(reason fleet.Reason) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[reason]
}

// Running returns how many attempts run.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		count += len(w.runs)
	}
	return count
}

func (f *Fleet) breaks(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clock() fleet.Clock { return fleet.Clock(time.Since(w.booted).Milliseconds() + 1) }

var errNoAnswer = errors.New("no answer")

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
	f.mu.Unlock()
	switch {
	case fault.Busy:
		return none, &fleet.BusyError{ID: info.ID}
	case fault.Late > 0:
		go func() {
			time.Sleep(fault.Late)
			f.mu.Lock()
			defer f.mu.Unlock()
			if !w.dead {
				do(w)
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
	if kind.Advised && !f.honours(order.Ticket, task.StepName(), w.info.ID) {
		return 0, f.refuse(w, fleet.NoTicket)
	}
	f.begin(w, task, order, kind)
	return w.clock(), nil
}

// begin runs an attempt, and judges whether it may.
func (f *Fleet) begin(w *worker, task workload.TaskID, order fleet.StartOrder, kind Kind) {
	f.starts++
	f.judge(w, task, order, kind)
	r := &run{task: task, number: order.Number, saved: order.Checkpoint}
	if task.Step < len(kind.Request.Steps) {
		r.need = kind.Request.Steps[task.Step].Need
	}
	w.runs[order.Task] = r
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
		outcome := plan.Outcome
		if outcome == "" {
			outcome = fleet.Done
		}
		f.end(w, r, outcome)
	})
}

func gangName(task workload.TaskID, number int) string {
	return fmt.Sprintf("%s#%d", task.StepName(), number)
}

// join adds a member to its gang, and starts the work once all are there.
func (f *Fleet) join(w *worker, r *run, kind Kind) {
	name := gangName(r.task, r.number)
	g := f.gangs[name]
	if g == nil {
		g = &gang{members: map[int]*worker{}}
		f.gangs[name] = g
	}
	g.members[r.task.Index] = w
	if len(g.members) == kind.Request.Steps[r.task.Step].Count {
		for index, host := range g.members {
			member := r.task
			member.Index = index
			if other := host.runs[member.String()]; other != nil && !host.dead {
				other.timer.Stop()
				f.work(host, other, kind)
			}
		}
		return
	}
	r.timer = time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.runs[r.task.String()] == r && r.began.IsZero() {
			f.end(w, r, fleet.Alone)
		}
	})
}

// end ends an attempt, and with it its gang.
func (f *Fleet) end(w *worker, r *run, outcome fleet.Outcome) {
	name := r.task.String()
	if w.runs[name] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, name)
	w.highest[name] = max(w.highest[name], r.number)
	w.next++
	w.ended = append(w.ended, fleet.End{Sequence: w.next, Task: name, Number: r.number, Outcome: outcome, Checkpoint: r.checkpoint()})
	w.wake()
	g := f.gangs[gangName(r.task, r.number)]
	if g == nil {
		return
	}
	rest := fleet.Broken
	if outcome == fleet.Done {
		rest = fleet.Done
	}
	delete(f.gangs, gangName(r.task, r.number))
	for index, host := range g.members {
		member := r.task
		member.Index = index
		if other := host.runs[member.String()]; other != nil && !host.dead && other.number == r.number {
			f.end(host, other, rest)
		}
	}
}

// checkpoint is the work saved so far, as text.
func (r *run) checkpoint() string {
	if r.began.IsZero() {
		return r.saved
	}
	done := savedWork(r.saved) + time.Since(r.began).Truncate(saveEvery)
	if done == 0 {
		return ""
	}
	return r.task.StepName() + "@" + done.String()
}

func savedWork(text string) time.Duration {
	_, saved, _ := strings.Cut(text, "@")
	done, err := time.ParseDuration(saved)
	if err != nil {
		return 0
	}
	return done
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
	report, err := call(ctx, f, CallHold, info, func(w *worker) (fleet.Report, error) { return f.hold(w, order) })
	for err == nil && len(report.Ended) == 0 && time.Now().Before(deadline) {
		f.mu.Lock()
		changed := f.workers[info.ID].changed
		f.mu.Unlock()
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
		w := f.workers[info.ID]
		if w.dead {
			f.mu.Unlock()
			<-ctx.Done()
			return fleet.Report{}, &fleet.UnansweredError{Cause: errNoAnswer}
		}
		report, err = f.hold(w, order)
		f.mu.Unlock()
	}
	return report, err
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
	report := fleet.Report{Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for name, r := range w.runs {
		report.Running = append(report.Running, fleet.Attempt{Task: name, Number: r.number, Checkpoint: r.checkpoint(), Percent: r.percent()})
	}
	return report, nil
}

// note forgets ends that an owner has taken note of.
func (f *Fleet) note(w *worker, upTo uint64) {
	if upTo <= w.noted {
		return
	}
	w.noted = upTo
	var rest []fleet.End
	for _, end := range w.ended {
		switch {
		case end.Sequence > upTo:
			rest = append(rest, end)
		case end.Outcome == fleet.Done:
			f.dones[end.Task] = true
			f.judgeDone(end)
		case end.Outcome == fleet.Failed:
			f.failed[end.Task]++
		}
	}
	w.ended = rest
}

// judgeDone looks at an end done that is noted: no later attempt may run.
func (f *Fleet) judgeDone(end fleet.End) {
	for _, other := range f.workers {
		if r := other.runs[end.Task]; r != nil && !other.dead && r.number > end.Number && !r.stopped {
			f.breaks("attempt %d of %s runs on %s, and the end done of attempt %d was noted", r.number, end.Task, other.info.ID, end.Number)
		}
	}
}

// judge looks at an attempt that begins.
func (f *Fleet) judge(w *worker, task workload.TaskID, order fleet.StartOrder, kind Kind) {
	name := task.String()
	if kind.Request.Steps == nil {
		f.breaks("%s was started, and nobody handed it in", name)
		return
	}
	if f.dones[name] {
		f.breaks("%s was started again after an end done was noted", name)
	}
	for _, other := range f.workers {
		if r := other.runs[name]; r != nil && !other.dead {
			f.breaks("%s runs twice, on %s as %d and on %s as %d", name, other.info.ID, r.number, w.info.ID, order.Number)
		}
	}
	if f.failed[name] >= kind.Attempts {
		f.breaks("%s was started after %d failures", name, f.failed[name])
	}
	f.judgeStep(w, task, order, kind)
}

func (f *Fleet) judgeStep(w *worker, task workload.TaskID, order fleet.StartOrder, kind Kind) {
	step := kind.Request.Steps[task.Step]
	used, same := step.Need, 1
	for _, r := range w.runs {
		used = used.Plus(r.need)
		if r.task.StepName() == task.StepName() {
			same++
		}
	}
	if !used.Fits(w.info.Capacity) {
		f.breaks("%s brings %s over its capacity", task, w.info.ID)
	}
	if step.PerWorker > 0 && same > step.PerWorker {
		f.breaks("%s is one of %d of its step on %s", task, same, w.info.ID)
	}
	if !w.info.HasLabel(step.Label) {
		f.breaks("%s was started on %s, which has not the label %s", task, w.info.ID, step.Label)
	}
	if owner, _, saved := strings.Cut(order.Checkpoint, "@"); saved && owner != task.StepName() {
		f.breaks("%s was given the checkpoint %s", task, order.Checkpoint)
	}
	for _, earlier := range step.After {
		for index := range kind.Request.Steps[earlier].Count {
			before := workload.TaskID{Job: task.Job, Round: task.Round, Step: earlier, Index: index}
			if !f.endedDone(before.String()) {
				f.breaks("%s was started before %s was done", task, before)
			}
		}
	}
}

// endedDone reports whether some attempt of a task has ended well.
func (f *Fleet) endedDone(name string) bool {
	if f.dones[name] {
		return true
	}
	for _, w := range f.workers {
		for _, end := range w.ended {
			if end.Task == name && end.Outcome == fleet.Done {
				return true
			}
		}
	}
	return false
}

// honours reports whether a ticket is good for a step on a worker now.
func (f *Fleet) honours(text, step, worker string) bool {
	expires, ok := f.tickets[text]
	return ok && strings.HasPrefix(text, step+"/"+worker+"/") && !time.Now().After(expires)
}

// ticketValid is for how long a ticket is good.
const ticketValid = 2 * time.Second

// Advise implements fleet.Advisor: two of three workers may run a step.
func (f *Fleet) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	if wait.For(ctx, 10*time.Millisecond) != nil {
		return fleet.Advice{}, &fleet.AdvisorError{Cause: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advice++
	advice := fleet.Advice{Tickets: map[string]string{}, Valid: ticketValid}
	for _, id := range workers {
		if (len(step)+int(id[len(id)-1]))%3 == 0 {
			continue
		}
		text := fmt.Sprintf("%s/%s/%d", step, id, f.advice)
		advice.Tickets[id] = text
		f.tickets[text] = time.Now().Add(ticketValid)
	}
	return advice, nil
}
