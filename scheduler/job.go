package scheduler

import (
	"fmt"
	"slices"
	"time"

	"chutereach/workload"
)

// taskState is the scheduling state of a task.
type taskState int

const (
	taskWaiting  taskState = iota
	taskGranted            // placed on a worker; the grant is being written
	taskStarting           // the start is being sent to the worker
	taskRunning
	taskStopping // the attempt is being stopped and may still be running
	taskDone
)

// task is one task of a step.
type task struct {
	step                  *step
	index                 int
	state                 taskState
	attempt               int
	failures              workload.FailedAttempts // the members of a gang share it
	guessedThrough        int                     // last attempt of which it is unknown whether failures counts it, as an earlier build stored only a number
	worker                *worker                 // where the attempt is or may be; nil if nowhere
	urgent                bool                    // the queue had priority 0 when the attempt was assigned to its worker
	checkpoint            string
	ticket                string
	placedAt              time.Time // when this owner placed the attempt; zero if a former one did
	startedAt             time.Time // when this owner learned that the worker had started the attempt
	exposure              exposure  // for how long the attempt has run
	stoppedAt             time.Time // when the worker confirmed a stop
	recovered             bool      // granted by a former owner and not yet reported by its worker
	percent               int
	progressedAt          time.Time // when percent last increased or the attempt began
	sampledAt             time.Time // time of the last speed sample
	sampledPercent        int       // percent at sampledAt
	lastFailedOn          *worker   // worker of the last failure
	moved                 bool      // moved off a slow worker
	preemptions           int       // number of preemptions
	startSent             bool      // the start may have reached the worker
	startConnectionClosed bool      // the connection closed during the start call, as when the worker's process exits
	crashes               workload.CrashHistory
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.id, Round: t.step.round.number, Step: t.step.index, Index: t.index}
}

// attemptName returns the name of an attempt in log lines, TASK#ATTEMPT.
func (t *task) attemptName(number int) string { return fmt.Sprintf("%s#%d", t.id(), number) }

// unwanted reports whether the current attempt must be stopped: it is in state
// taskStopping, or an earlier attempt has completed the task.
func (t *task) unwanted() bool {
	return t.state == taskStopping || t.state == taskDone && t.hosted()
}

// stopOverdue reports whether an attempt that a report lists as running should have ended by its stop, given
// when the report was requested.
func (t *task) stopOverdue(sent time.Time, times WorkerTimes) bool {
	return t.unwanted() && !t.stoppedAt.IsZero() && sent.Sub(t.stoppedAt) > times.Stop
}

// hosted reports whether the task occupies capacity on a worker.
func (t *task) hosted() bool { return t.worker != nil }

// step is one step of a round.
type step struct {
	job       *job
	round     *round
	index     int
	spec      *workload.Step
	tasks     []*task
	tasksLeft int // tasks not done
	advice    adviceState
	parts     []part // if the job is parted and the step is not done
	// onWorker is the number of the step's tasks on each worker.
	onWorker map[*worker]int
	// quotaHeldSince is when the account's quota began to hold the step back; zero if it does not.
	quotaHeldSince time.Time
	// waits is how long the step has waited for each cause.
	waits waitTimes
	// gangRoom records the step's use of room for gangs, for logging.
	gangRoom gangRoomState
	// claimsSince is since when the step has claimed capacity in vain, from its promotion if claimsPromoted.
	claimsSince    time.Time
	claimsPromoted bool
	// lateness records when the step passed its latest start, to detect overload.
	lateness stepLateness
	// retryAt is the earliest time to place tasks again, after a failure or refusal.
	retryAt time.Time
	// lastFullPass is the serial of the last pass that found no capacity for more tasks.
	// mayPreempt is whether the last pass allowed the step to preempt other tasks.
	lastFullPass uint64
	mayPreempt   bool
	// latestCheckpoint is the checkpoint that a task of the step has reported last to this owner.
	latestCheckpoint string
	// spread is whether the step, which prefers a single rack, no longer waits for one.
	spread bool
	// distrusts is whether a worker with room was avoided when workers were last considered, and recheckedAt when
	// all of them were considered again because of that.
	distrusts   bool
	recheckedAt time.Time
	// waitingSince is since when tasks of the step have waited without a break; zero if none waits.
	waitingSince time.Time
	// reserved are the workers with capacity reserved for the step until reservedUntil.
	reserved      []*worker
	reservedUntil time.Time
	// suspected is whether a task of the step may have crashed its worker, and passed
	// whether a worker has since survived a trial of the step.
	suspected   bool
	trialPassed bool
}

func (st *step) done() bool { return st.tasksLeft == 0 }

// delayRetry keeps the step from being placed before a time.
func (st *step) delayRetry(until time.Time) {
	if until.After(st.retryAt) {
		st.retryAt = until
	}
}

// setMayPreempt sets mayPreempt. When it becomes true, the next pass considers all
// workers again.
func (st *step) setMayPreempt(allowed bool) {
	if allowed && !st.mayPreempt {
		st.lastFullPass = 0
	}
	st.mayPreempt = allowed
}

// placeableTasks returns the tasks that can be placed.
func (st *step) placeableTasks() []*task {
	var list []*task
	for _, t := range st.tasks {
		if t.placeable() {
			list = append(list, t)
		}
	}
	return list
}

// placeable reports whether the task can be placed now.
func (t *task) placeable() bool { return t.state == taskWaiting && !t.crashes.MustWait() }

// anyHeldByLoss reports whether a task waits until it is known whether its lost worker
// has ended.
func (st *step) anyHeldByLoss() bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.state != taskDone && t.crashes.MustWait() })
}

// anyPlaceable reports whether a task can be placed.
func (st *step) anyPlaceable() bool {
	return slices.ContainsFunc(st.tasks, (*task).placeable)
}

// idle reports whether no task of the step occupies capacity on a worker.
func (st *step) idle() bool {
	for _, t := range st.tasks {
		if t.hosted() {
			return false
		}
	}
	return true
}

// job is the in-memory state of a job.
type job struct {
	id        string
	record    workload.Record
	account   *accountState
	overShare bool // it is over its account's share
	// expiryLogged is whether the log has the line that the job waits although its completion has no value.
	expiryLogged bool
	hosted       int // tasks that occupy capacity on workers
	// idleSince is when its last task left its worker, initially its arrival.
	idleSince  time.Time
	rounds     []*round // open rounds in ascending order, and for a job without a schedule its only one
	opened     int      // rounds that have been opened, the first ones
	roundsLeft int      // rounds not done
	state      workload.State
	started    bool
	finalAt    finalTime
	arrived    time.Time
	deadline   time.Time // completion objective

	// generation is the number of the last change, and saved that of the last change in
	// the store.
	generation       uint64
	saved            uint64
	savedState       workload.State
	queued           bool      // in Scheduler.dirty
	sent             bool      // included in a transaction at least once
	withdrawn        bool      // its submitter was told that it was not accepted
	inserted         bool      // the store has a row for the record
	expired          bool      // expired; its rows are to be deleted
	bundle           *bundle   // holds its latest progress; nil if that is in a row of its own
	inheritedBundles []*bundle // bundles of former owners that may hold its latest progress
	bundleEntries    int       // number of bundles in the store that may have an entry for it
	parted           bool      // its tasks are stored in parts
	partedStored     bool      // the store has a row that says so
	obsoleteParts    []string  // rows of parts to be deleted
	unstorable       bool      // the store rejects its state
	closable         bool      // a round may be over
	weight           int64     // of the job in Scheduler.memory
	afterSave        []saveAction
	done             chan struct{} // closed once the job is final in memory
}

// saveAction is a callback that runs, with the lock held, once a generation is in the store.
type saveAction struct {
	generation uint64
	run        func()
}

func newJob(id string, record workload.Record, account *accountState, now time.Time) *job {
	j := &job{id: id, record: record, account: account, state: workload.Queued, savedState: workload.Queued, done: make(chan struct{})}
	age := now.Sub(time.UnixMilli(record.AcceptedAt))
	j.arrived = now.Add(-max(0, age))
	j.deadline = j.arrived.Add(record.Queue.Objective(record.Request))
	j.roundsLeft = record.Request.RoundCount()
	if !record.Request.Scheduled() {
		j.openRound()
	}
	j.idleSince = j.arrived
	return j
}

// idle returns how long the job has had no task on a worker.
func (j *job) idle(now time.Time) time.Duration {
	if j.hosted > 0 {
		return 0
	}
	return now.Sub(j.idleSince)
}

// allRunning reports whether the job has started and all its unfinished tasks are running.
func (j *job) allRunning() bool {
	if j.state.Final() || !j.started || j.opened < j.record.Request.RoundCount() {
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

// compact frees the rounds and the request of a final job that has no task on a worker.
func (j *job) compact() {
	if j.hosted == 0 {
		j.rounds, j.record.Request = nil, workload.Request{}
	}
}
