// Package fleettest keeps workers and an advice service in memory, for tests.
// The workers do what package fleet says of workers, by the clock of the test,
// and a judge looks at every attempt that begins: it records each promise that a
// scheduler breaks.
package fleettest

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chutereach/fleet"
	"chutereach/resource"
	"chutereach/workload"
)

// Plan is how an attempt goes.
type Plan struct {
	Work    time.Duration
	Outcome fleet.Outcome // Done if empty
	Hangs   bool
	Crashes bool // the worker's process ends with the attempt, and is back after RestartTime
}

// Kind is what the judge knows of the tasks of a step.
type Kind struct {
	Request  workload.Request
	Attempts int
	Advised  bool   // a ticket is needed
	Account  string // whose the tasks are
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
	dones   map[string]bool // tasks with an end done that was noted and binds, by name
	well    map[string]bool // tasks with an end done that was noted, by name
	failed  map[string]int  // noted failures
	crashes map[string]*crashes
	under   map[string]int // workers that ended while a task ran there
	gangs   map[string]*gang
	tickets map[string]ticket
	broken  []string
	starts  int
	alone   int // members of gangs that waited for the others in vain
	lives   int // that have ended and were started again
	news    News
	grace   time.Duration // see SetResizeGrace
	advice  int
	fault   func(call Call, worker string) Fault
	sick    map[string]Plan // how every attempt goes on a worker
	refused map[fleet.Reason]int
	begun   map[string]bool // jobs of which a task was started
	quotas  map[string][]quotaInForce
	most    map[string]resource.Amount // that each account has had running

	unlisted  bool // discovery names nobody
	entries   map[string]func(fleet.Worker) fleet.Worker
	crashAway time.Duration        // see SetStartAgain
	timeOfDay time.Duration        // by which the workers' time of day has stepped
	stray     bool                 // the order at hand is carried out by a later life than was meant
	late      bool                 // the order at hand is carried out late
	closed    map[string]time.Time // from when on nothing may begin in a data hall
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		workers: map[string]*worker{}, kinds: map[string]Kind{}, gangs: map[string]*gang{}, tickets: map[string]ticket{},
		dones: map[string]bool{}, well: map[string]bool{}, failed: map[string]int{}, begun: map[string]bool{},
		crashes: map[string]*crashes{}, under: map[string]int{}, quotas: map[string][]quotaInForce{}, most: map[string]resource.Amount{},
		entries: map[string]func(fleet.Worker) fleet.Worker{}, closed: map[string]time.Time{},
		sick: map[string]Plan{}, refused: map[fleet.Reason]int{}, news: noNews{}, grace: resizeGrace,
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
	stray   bool          // a late order of a former life's began it
	work    time.Duration // that its plan takes; 0: none
}

// percent is how much of the work is done.
func (r *run) percent() int {
	if r.began.IsZero() || r.work <= 0 {
		return 0
	}
	return min(99, int(100*(savedWork(r.saved)+time.Since(r.began))/r.work))
}

type worker struct {
	info    fleet.Worker
	base    string // the name of the first life at its address; empty: its own
	booted  time.Time
	token   uint64
	lease   time.Time
	lapse   *time.Timer
	lapsed  uint64 // ends up to this one were listed when the lease last ran out
	runs    map[string]*run
	highest map[string]int // the highest attempt that was stopped or has ended here
	ended   []fleet.End
	next    uint64
	dead    bool
	// replaced is whether another life answers at the address of a dead one.
	replaced bool
	// closed is whether the machine of a dead one refuses its connections; it is silent if not.
	closed  bool
	dropped bool            // discovery names it no more
	told    bool            // a report of this life has been given
	strays  map[uint64]bool // ends of stray attempts
	former  []formerCapacity
	changed chan struct{}
}

// Add adds a worker.
func (f *Fleet) Add(info fleet.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addLife(info)
}

// addLife adds a life of a worker, which begins now. A worker that is given a Born tells it.
func (f *Fleet) addLife(info fleet.Worker) {
	f.workers[info.ID] = &worker{
		info: info, booted: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
		strays: map[uint64]bool{},
	}
}

// Unlist has discovery name no worker, or all again.
func (f *Fleet) Unlist(all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted = all
}

// Drop has discovery name a worker no more, which lives on.
func (f *Fleet) Drop(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].dropped = true
}

// List returns the workers that live and are listed.
func (f *Fleet) List() []fleet.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unlisted {
		return nil
	}
	var list []fleet.Worker
	for _, w := range f.workers {
		if !w.dropped && (!w.dead || w.replaced || w.closed) {
			list = append(list, f.entryOf(w))
		}
	}
	slices.SortFunc(list, func(a, b fleet.Worker) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// entryOf returns what discovery says of a worker.
func (f *Fleet) entryOf(w *worker) fleet.Worker {
	if change := f.entries[w.info.ID]; change != nil {
		return change(w.info)
	}
	return w.info
}

// SetEntry has discovery say something else of a worker than that it says of itself; nil: no more.
func (f *Fleet) SetEntry(id string, change func(fleet.Worker) fleet.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[id] = change
}

// Crash ends a worker's life and all it runs.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.die(f.workers[id])
}

// die ends a life and all it runs. The other members of gangs there end soon after.
func (f *Fleet) die(w *worker) {
	w.dead = true
	for name, r := range w.runs {
		r.timer.Stop()
		f.under[name]++
		if g := f.gangs[gangName(r.task, r.number)]; g != nil {
			g.lost = true
			time.AfterFunc(brokenAfter, func() { f.breakUp(r) })
		}
	}
	clear(w.runs)
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.wake()
}

// Replace ends a worker's life and has another answer at its address. Discovery goes
// on naming the former.
func (f *Fleet) Replace(id string, next fleet.Worker) {
	f.Crash(id)
	f.Add(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].replaced = true
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

// Starts returns how many attempts have begun.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Alone counts the members of gangs that ended since the others did not come in time.
func (f *Fleet) Alone() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alone
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

// HostOf returns the worker that runs a task, or "" if none does.
func (f *Fleet) HostOf(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.workers {
		if w.runs[task] != nil {
			return id
		}
	}
	return ""
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clock() fleet.Clock { return fleet.Clock(time.Since(w.booted).Milliseconds() + 1) }

// end ends an attempt, and with it its gang.
func (f *Fleet) end(w *worker, r *run, outcome fleet.Outcome) {
	name := r.task.String()
	if w.runs[name] != r {
		return
	}
	r.timer.Stop()
	if g := f.gangs[gangName(r.task, r.number)]; g != nil && g.lost && outcome == fleet.Done {
		outcome = fleet.Broken
	}
	delete(w.runs, name)
	w.highest[name] = max(w.highest[name], r.number)
	w.next++
	w.strays[w.next] = r.stray
	w.ended = append(w.ended, fleet.End{Sequence: w.next, Task: name, Number: r.number, Outcome: outcome, Checkpoint: r.checkpoint()})
	w.wake()
	if outcome == fleet.Done {
		f.endGang(r, fleet.Done)
	} else {
		f.endGang(r, fleet.Broken)
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

// RunningOn returns how many attempts run on a worker.
func (f *Fleet) RunningOn(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return len(w.runs)
	}
	return 0
}
