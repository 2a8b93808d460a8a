package scheduler

import (
	"fmt"
	"slices"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// taskState is where a task stands.
type taskState int

const (
	taskWaiting  taskState = iota
	taskGranted            // has room on a worker; the grant is being written
	taskStarting           // the worker is being told
	taskRunning
	taskStopping // the attempt is unwanted or in doubt, and not yet known to be over
	taskDone
)

// task is one task of a step.
type task struct {
	step       *step
	index      int
	state      taskState
	attempt    int
	failures   int
	worker     *worker // where the attempt may be; nil: nowhere
	checkpoint string
	ticket     string
	begunAt    time.Time // when the worker confirmed the attempt
	stoppedAt  time.Time // when the worker confirmed a stop
	recovered  bool      // granted by a former owner; not yet seen
	percent    int
	movedAt    time.Time // when percent last rose
	sampledAt  time.Time // when speed was last measured
	sampled    int       // percent then
	failedOn   *worker   // where it failed last
	movedOnce  bool      // off a worker that had turned slow
	preempted  int       // how often it gave way
	told       bool      // the worker may have begun the attempt
	cutShort   bool      // a call with its start ended with its connection, as when the worker's process ends
	crashes    workload.Crashes
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.id, Round: t.step.round, Step: t.step.index, Index: t.index}
}

// attemptName names an attempt in log lines: TASK#ATTEMPT.
func (t *task) attemptName(number int) string { return fmt.Sprintf("%s#%d", t.id(), number) }

// unwanted reports whether the attempt at hand is to be stopped: it is in doubt, or the
// task turned out to be done by an earlier one.
func (t *task) unwanted() bool {
	return t.state == taskStopping || t.state == taskDone && t.hosted()
}

// hosted reports whether the task takes room on a worker.
func (t *task) hosted() bool { return t.worker != nil }

// step is one step of one round.
type step struct {
	job    *job
	round  int
	index  int
	spec   *workload.Step
	tasks  []*task
	left   int // tasks not done
	advice adviceState
	// onWorker counts the step's tasks on each worker.
	onWorker map[*worker]int
	// heldAt is since when its account's quota holds the step back; zero: it does not.
	heldAt time.Time
	// retryAt holds the step back after a refusal.
	retryAt time.Time
	// tried is the serial of the last look that found no room for more tasks, and pressed
	// whether others could have been stopped for them then.
	tried   uint64
	pressed bool
	// reserved are workers whose room is kept for the step until roomUntil.
	reserved  []*worker
	roomUntil time.Time
	// suspected is whether a task may have crashed its worker, and passed whether a worker
	// has survived a trial of the step since.
	suspected bool
	passed    bool
}

func (st *step) done() bool { return st.left == 0 }

// notePressed has all workers looked at again once others may be stopped for the step.
func (st *step) notePressed(pressed bool) {
	if pressed && !st.pressed {
		st.tried = 0
	}
	st.pressed = pressed
}

// waiting returns the tasks that could be placed.
func (st *step) waiting() []*task {
	var list []*task
	for _, t := range st.tasks {
		if t.mayStart() {
			list = append(list, t)
		}
	}
	return list
}

// mayStart reports whether the task could be placed now.
func (t *task) mayStart() bool { return t.state == taskWaiting && !t.crashes.Held() }

// anyHeld reports whether a task waits for the fate of a worker.
func (st *step) anyHeld() bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.state != taskDone && t.crashes.Held() })
}

// anyWaiting reports whether a task could be placed.
func (st *step) anyWaiting() bool {
	return slices.ContainsFunc(st.tasks, (*task).mayStart)
}

// idle reports whether no task of the step is on a worker.
func (st *step) idle() bool {
	for _, t := range st.tasks {
		if t.hosted() {
			return false
		}
	}
	return true
}

// round is one run of a job's steps.
type round struct {
	due   int64 // ms since 1970; 0: at once
	steps []*step
	left  int           // steps not done
	rest  time.Duration // estimated work of the longest chain that is left
	known bool          // rest is as the steps are
}

// job is a job in the owner's memory.
type job struct {
	id      string
	record  workload.Record
	account *accountState
	beyond  bool // it came on top of what its account is owed
	hosted  int  // tasks that take room on workers
	// idleSince is since when nothing of it has been on a worker.
	idleSince time.Time
	rounds    []*round
	left      int // rounds not done
	state     workload.State
	begun     bool
	finalAt   int64
	arrived   time.Time
	deadline  time.Time // by which it should be completed

	// generation counts changes, saved the last one that is in the store.
	generation uint64
	saved      uint64
	savedState workload.State
	queued     bool      // for the next transaction
	sent       bool      // a transaction has held it
	withdrawn  bool      // its caller was told that it was not taken
	inserted   bool      // the record's row is in the store
	forgotten  bool      // its rows are to be deleted
	bundle     *bundle   // that holds its latest row; nil: the row is its own
	inherited  []*bundle // of a former owner that may hold its latest row
	afterSave  []saveAction
	ended      chan struct{} // closed once the job is final in memory
}

// saveAction is done, under the lock, once a generation is in the store.
type saveAction struct {
	generation uint64
	do         func()
}

func newJob(id string, record workload.Record, owner *accountState, now time.Time) *job {
	j := &job{id: id, record: record, account: owner, state: workload.Queued, savedState: workload.Queued, ended: make(chan struct{})}
	age := now.Sub(time.UnixMilli(record.Accepted))
	j.arrived = now.Add(-max(0, age))
	j.deadline = j.arrived.Add(record.Queue.Objective(record.Request))
	for number := range record.Request.RoundCount() {
		r := &round{due: record.Request.Due(number)}
		for i := range record.Request.Steps {
			st := &step{job: j, round: number, index: i, spec: &record.Request.Steps[i], onWorker: map[*worker]int{}}
			st.left = st.spec.Count
			for index := range st.spec.Count {
				st.tasks = append(st.tasks, &task{step: st, index: index})
			}
			r.steps = append(r.steps, st)
		}
		r.left = len(r.steps)
		j.rounds = append(j.rounds, r)
	}
	j.left = len(j.rounds)
	j.idleSince = j.arrived
	return j
}

// idle returns for how long nothing of the job has been on a worker.
func (j *job) idle(now time.Time) time.Duration {
	if j.hosted > 0 {
		return 0
	}
	return now.Sub(j.idleSince)
}

// ready reports whether the steps that a step depends on are done.
func (r *round) ready(st *step) bool {
	for _, earlier := range st.spec.After {
		if !r.steps[earlier].done() {
			return false
		}
	}
	return true
}

// underWay reports whether every task that is not done runs.
func (j *job) underWay() bool {
	if j.state.Final() || !j.begun {
		return false
	}
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				if t.state != taskDone && t.state != taskRunning {
					return false
				}
			}
		}
	}
	return true
}

// chainLeft returns the estimated work of the longest chain that is left.
func (r *round) chainLeft(request *workload.Request) time.Duration {
	if !r.known {
		r.rest, r.known = request.Chain(func(i int) bool { return r.steps[i].done() }), true
	}
	return r.rest
}

// find returns a task, or nil.
func (j *job) find(id workload.TaskID) *task {
	if id.Round >= len(j.rounds) || id.Step >= len(j.rounds[id.Round].steps) {
		return nil
	}
	st := j.rounds[id.Round].steps[id.Step]
	if id.Index >= len(st.tasks) {
		return nil
	}
	return st.tasks[id.Index]
}

// slim drops what nobody asks of a final job, once nothing of it is on a worker.
func (j *job) slim() {
	if j.hosted == 0 {
		j.rounds, j.record.Request = nil, workload.Request{}
	}
}

// eachTask calls f for every task.
func (j *job) eachTask(f func(*task)) {
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				f(t)
			}
		}
	}
}

// markDone notes that a task is done.
func (t *task) markDone() {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	st := t.step
	st.left--
	if st.left > 0 {
		return
	}
	r := st.job.rounds[st.round]
	r.left--
	r.known = false
	if r.left == 0 {
		st.job.left--
	}
}

// progress returns what must last of the job.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, Begun: j.begun, FinalAt: j.finalAt, Generation: j.generation}
	if j.state.Final() {
		p.Account = j.record.Account.Name
	}
	if j.state.Final() && j.hosted == 0 {
		return p
	}
	for _, r := range j.rounds {
		for _, st := range r.steps {
			if sp, begun := st.progress(); begun {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

func (st *step) progress() (workload.StepProgress, bool) {
	sp := workload.StepProgress{Round: st.round, Step: st.index}
	if st.done() {
		sp.All = true
		return sp, true
	}
	addressed := map[*worker]bool{}
	for _, t := range st.tasks {
		switch {
		case t.state == taskDone:
			sp.Done = workload.SetBit(sp.Done, t.index)
		case t.attempt > 0 || t.checkpoint != "":
			tp := workload.TaskProgress{Index: t.index, Attempt: t.attempt, Failures: t.failures, Checkpoint: t.checkpoint, Crashes: t.crashes}
			if t.worker != nil {
				tp.Worker, tp.Born = t.worker.info.ID, t.worker.info.Born
				if !addressed[t.worker] { // once is enough: rows are written anew with each change
					tp.Address, addressed[t.worker] = t.worker.info.Address, true
				}
			}
			sp.Tasks = append(sp.Tasks, tp)
		}
	}
	return sp, sp.Done != nil || sp.Tasks != nil
}

// restore applies what lasted of the job. hosts returns a life of a worker.
func (j *job) restore(p workload.Progress, hosts func(life fleet.Life, address string) *worker) {
	j.state, j.savedState, j.begun, j.finalAt = p.State, p.State, p.Begun, p.FinalAt
	j.generation, j.saved = max(1, p.Generation), max(1, p.Generation)
	for _, sp := range p.Steps {
		if sp.Round >= len(j.rounds) || sp.Step >= len(j.rounds[sp.Round].steps) {
			continue
		}
		j.rounds[sp.Round].steps[sp.Step].restore(sp, hosts)
	}
}

func (st *step) restore(sp workload.StepProgress, hosts func(life fleet.Life, address string) *worker) {
	for _, t := range st.tasks {
		if sp.All || workload.HasBit(sp.Done, t.index) {
			t.markDone()
		}
	}
	for _, tp := range sp.Tasks {
		if tp.Index >= len(st.tasks) || st.tasks[tp.Index].state == taskDone {
			continue
		}
		t := st.tasks[tp.Index]
		t.attempt, t.failures, t.checkpoint, t.crashes = tp.Attempt, tp.Failures, tp.Checkpoint, tp.Crashes
		st.suspected = st.suspected || t.crashes.Suspect
		if tp.Worker != "" {
			hosts(fleet.Life{ID: tp.Worker, Born: tp.Born}, tp.Address).host(t, taskStarting)
			t.recovered, t.told = true, true
		}
		for _, lost := range t.crashes.Open {
			w := hosts(lost.Life(), "")
			w.lost = append(w.lost, lostAttempt{t, t.attempt})
		}
	}
}
