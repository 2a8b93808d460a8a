// Package fleettest provides an in-memory fleet of workers with an advice service for tests.
// The workers behave as package fleet specifies, on the clock of the test. Every attempt that
// starts is checked against the scheduler's guarantees; Fleet records the violations.
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

// Plan is the course of an attempt.
type Plan struct {
	Work    time.Duration
	Outcome fleet.Outcome // Done if empty
	Hangs   bool          // runs until it is stopped or its lease expires
	Crashes bool          // the worker's process crashes when Work is done; see SetSameIDRestart
}

// JobSpec describes the tasks of a job.
type JobSpec struct {
	Request     workload.Request
	MaxFailures int    // limit on failed attempts of a task
	NeedsTicket bool   // starts need a ticket from Advise
	Account     string // the client account that the job belongs to
	Plan        func(task workload.TaskID, attempt int) Plan
}

// Fault is a fault injected into a call to a worker.
type Fault struct {
	RequestLost  bool          // the request is lost
	ResponseLost bool          // the call is executed and the response is lost
	Delay        time.Duration // the call is executed after this delay and the response is lost
	Unavailable  bool          // the worker is temporarily unavailable
}

// Call names a method of fleet.Client.
type Call string

const (
	CallStart Call = "start"
	CallStop  Call = "stop"
	CallHold  Call = "hold"
)

const (
	latency            = time.Millisecond
	stopDelay          = 100 * time.Millisecond
	gangTimeout        = 3 * time.Second
	checkpointInterval = 500 * time.Millisecond
	// MaxLease is the longest lease that a worker grants.
	MaxLease = 6 * time.Second
)

// Fleet is a set of workers. It implements fleet.Client and fleet.Advisor.
type Fleet struct {
	mu                     sync.Mutex
	workers                map[string]*worker
	jobs                   map[string]JobSpec // by job id
	acknowledgedDone       map[string]bool    // tasks acknowledged as done, which must not be started again
	succeeded              map[string]bool    // tasks with a completed attempt that workers no longer report
	failures               attemptSet         // acknowledged failed attempts by task
	crashes                map[string]*crashRecord
	workersLost            map[string]int // workers that ended while they ran a task, by task
	gangs                  map[string]*gang
	gangBreakDelay         time.Duration // see SetGangBreakDelay
	tickets                map[string]ticket
	violations             []string
	cancellationViolations []string // part of violations
	starts                 int
	gangTimeouts           int // gang members that ended because the others did not start in time
	restarts               int // worker processes that ended and were started again
	observer               Observer
	grace                  time.Duration // see SetGrace
	adviceCalls            int
	fault                  func(call Call, worker string) Fault
	planOverrides          map[string]Plan // by worker; they replace the plans of the jobs
	refused                map[fleet.Reason]int
	startedJobs            map[string]bool       // jobs with a task that was started
	attempts               map[string][]*Attempt // by job, in the order of their starts
	cancelledAt            map[string]time.Time  // when the cancellation of a job was acknowledged; see RecordCancelled
	quotas                 map[string][]quotaPeriod
	peakUsage              map[string]resource.Amount // by account, of each resource

	discoveryEmpty     bool // discovery lists no worker
	entryOverrides     map[string]func(fleet.Worker) fleet.Worker
	sameIDRestartDelay time.Duration        // see SetSameIDRestart
	wallClockOffset    time.Duration        // total of StepWallClock
	misdelivered       bool                 // the order being executed reached a later incarnation, which had received only such orders before
	delayed            bool                 // the order being executed was delayed by Fault.Delay
	responseLost       bool                 // the caller gets no response to the order being executed
	closedHalls        map[string]time.Time // evacuation deadlines by data hall
	maxReportRows      int                  // see SetMaxReportRows
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		workers: map[string]*worker{}, jobs: map[string]JobSpec{}, gangs: map[string]*gang{}, tickets: map[string]ticket{},
		acknowledgedDone: map[string]bool{}, succeeded: map[string]bool{}, failures: attemptSet{}, startedJobs: map[string]bool{}, attempts: map[string][]*Attempt{},
		crashes: map[string]*crashRecord{}, workersLost: map[string]int{}, quotas: map[string][]quotaPeriod{}, peakUsage: map[string]resource.Amount{},
		entryOverrides: map[string]func(fleet.Worker) fleet.Worker{}, cancelledAt: map[string]time.Time{}, closedHalls: map[string]time.Time{},
		planOverrides: map[string]Plan{}, refused: map[fleet.Reason]int{}, observer: noopObserver{}, grace: resizeGrace, gangBreakDelay: defaultGangBreakDelay,
	}
}

// run is an attempt on a worker.
type run struct {
	task         workload.TaskID
	number       int
	need         resource.Amount
	startedAt    time.Time // zero while a gang member waits for the others
	resumedFrom  string
	timer        *time.Timer
	stopped      bool
	misdelivered bool          // started by an order for a former incarnation
	plannedWork  time.Duration // 0 if the attempt hangs
	record       *Attempt
}

// percent returns the progress of the attempt, at most 99.
func (r *run) percent() int {
	if r.startedAt.IsZero() || r.plannedWork <= 0 {
		return 0
	}
	return min(99, int(100*(savedWork(r.resumedFrom)+time.Since(r.startedAt))/r.plannedWork))
}

// worker is one incarnation of a worker.
type worker struct {
	info                fleet.Worker
	firstID             string // id of the first incarnation at its address; empty: its own
	startedAt           time.Time
	token               uint64
	contacted           bool // has executed an order that was not misdelivered
	leaseUntil          time.Time
	leaseTimer          *time.Timer
	leaseExpiredThrough uint64 // last ended attempt when the lease last expired
	runs                map[string]*run
	highestAttempt      map[string]int // by task: highest attempt number that was stopped or has ended
	ended               []fleet.EndedAttempt
	lastSequence        uint64
	dead                bool
	// replaced is set if the worker is dead and another incarnation answers at its address.
	replaced bool
	// refusesConnections is set if the machine of a dead worker refuses connections. Otherwise
	// calls to a dead worker get no response.
	refusesConnections bool
	delisted           bool            // removed from discovery
	reported           bool            // this incarnation has answered a Hold
	misdelivered       map[uint64]bool // sequence numbers of unreported ended attempts with run.misdelivered
	formerCapacities   []formerCapacity
	changed            chan struct{}
}

// Add adds a worker whose process starts now.
func (f *Fleet) Add(info fleet.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addIncarnation(info)
}

// addIncarnation adds a worker whose process starts now. It replaces a worker with the same id.
func (f *Fleet) addIncarnation(info fleet.Worker) {
	f.workers[info.ID] = &worker{
		info: info, startedAt: time.Now(), runs: map[string]*run{}, highestAttempt: map[string]int{}, changed: make(chan struct{}),
		misdelivered: map[uint64]bool{},
	}
}

// SetDiscoveryEmpty makes List return no workers, or all listed ones again.
func (f *Fleet) SetDiscoveryEmpty(empty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discoveryEmpty = empty
}

// Delist removes a worker from discovery. The worker keeps running.
func (f *Fleet) Delist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].delisted = true
}

// Relist adds a worker to discovery again after Delist.
func (f *Fleet) Relist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].delisted = false
}

// List returns the workers in discovery, sorted by id.
func (f *Fleet) List() []fleet.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discoveryEmpty {
		return nil
	}
	var list []fleet.Worker
	for _, w := range f.workers {
		if !w.delisted && (!w.dead || w.replaced || w.refusesConnections) {
			list = append(list, f.discoveryEntry(w))
		}
	}
	slices.SortFunc(list, func(a, b fleet.Worker) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// discoveryEntry returns a worker's entry in discovery.
func (f *Fleet) discoveryEntry(w *worker) fleet.Worker {
	if change := f.entryOverrides[w.info.ID]; change != nil {
		return change(w.info)
	}
	return w.info
}

// OverrideEntry makes discovery list what change returns for a worker instead of the worker itself.
// A nil change restores the worker's own entry.
func (f *Fleet) OverrideEntry(id string, change func(fleet.Worker) fleet.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryOverrides[id] = change
}

// Crash ends a worker and all attempts on it. Calls to it get no response.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.terminate(f.workers[id])
}

// terminate ends a worker and all attempts on it, and breaks their gangs.
func (f *Fleet) terminate(w *worker) {
	w.dead = true
	for name, r := range w.runs {
		r.timer.Stop()
		r.record.Ended = time.Now()
		f.workersLost[name]++
		f.breakGang(r)
	}
	clear(w.runs)
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.signalChange()
}

// Replace ends a worker and starts next at its address. Discovery keeps listing the former one.
func (f *Fleet) Replace(id string, next fleet.Worker) {
	f.Crash(id)
	f.Add(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].replaced = true
}

// SetDraining marks a worker as draining.
func (f *Fleet) SetDraining(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].info.Draining = true
}

// OverridePlan makes every attempt on a worker follow plan instead of its job's plan.
func (f *Fleet) OverridePlan(id string, plan Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planOverrides[id] = plan
}

// RegisterJob registers a job. It must be called before the job is submitted.
func (f *Fleet) RegisterJob(job string, spec JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job] = spec
}

// SetFault makes decide choose the fault of each call; nil: no faults.
func (f *Fleet) SetFault(decide func(call Call, worker string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = decide
}

// Starts returns the number of attempts that were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// GangTimeouts returns the number of gang members that ended because the others did not start in time.
func (f *Fleet) GangTimeouts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gangTimeouts
}

// Refused returns the number of orders that were refused for a reason.
func (f *Fleet) Refused(reason fleet.Reason) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[reason]
}

// Running returns the number of running attempts.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		count += len(w.runs)
	}
	return count
}

// WorkerOf returns the worker that runs a task, or "" if none does.
func (f *Fleet) WorkerOf(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.workers {
		if w.runs[task] != nil {
			return id
		}
	}
	return ""
}

func (w *worker) signalChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clock() fleet.Clock { return fleet.Clock(time.Since(w.startedAt).Milliseconds() + 1) }

// endAttempt ends an attempt and its gang.
func (f *Fleet) endAttempt(w *worker, r *run, outcome fleet.Outcome) {
	name := r.task.String()
	if w.runs[name] != r {
		return
	}
	r.timer.Stop()
	if g := f.gangs[gangKey(r.task, r.number)]; g != nil && g.broken && outcome == fleet.Done {
		outcome = fleet.GangBroken
	}
	delete(w.runs, name)
	r.record.Ended, r.record.Outcome = time.Now(), outcome
	w.highestAttempt[name] = max(w.highestAttempt[name], r.number)
	w.lastSequence++
	w.misdelivered[w.lastSequence] = r.misdelivered
	w.ended = append(w.ended, fleet.EndedAttempt{Sequence: w.lastSequence, Task: name, Number: r.number, Outcome: outcome, Checkpoint: r.checkpoint()})
	w.signalChange()
	if outcome == fleet.Done {
		f.endGang(r, fleet.Done)
	} else {
		f.breakGang(r)
	}
}

// checkpoint returns the attempt's latest checkpoint: the step and the work done.
func (r *run) checkpoint() string {
	if r.startedAt.IsZero() {
		return r.resumedFrom
	}
	done := savedWork(r.resumedFrom) + time.Since(r.startedAt).Truncate(checkpointInterval)
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

// RunningOn returns the number of running attempts on a worker.
func (f *Fleet) RunningOn(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return len(w.runs)
	}
	return 0
}
