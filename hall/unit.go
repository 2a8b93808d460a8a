package hall

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"chutereach/commit"
	"chutereach/config"
	"chutereach/control"
	"chutereach/job"
	"chutereach/ledger"
	"chutereach/ownership"
	"chutereach/placement"
	"chutereach/provider"
	"chutereach/queue"
	"chutereach/resource"
	"chutereach/timeline"
	"chutereach/wait"
)

// Settings are the timeouts, intervals and limits of a unit.
type Settings struct {
	ClockError        time.Duration // maximum difference between the clocks of a worker and this box
	CallTimeout       time.Duration // timeout of a call to a worker
	ReportWait        time.Duration // how long a worker may delay a report that has no changes
	InboxInterval     time.Duration // interval between reads of the inbox
	FleetInterval     time.Duration // interval between reads of the list of workers
	BoxInterval       time.Duration // interval between reads of the platform's list of boxes
	ConcurrentCommits int           // number of concurrent transactions
	BatchRows         int           // number of rows from which a transaction takes no further changes
	AgingPeriod       time.Duration // wait after which a job competes with the next higher class
	JobRetention      time.Duration // how long ended jobs are kept
}

// DefaultSettings are the default settings.
var DefaultSettings = Settings{
	ClockError:        500 * time.Millisecond,
	CallTimeout:       2 * time.Second,
	ReportWait:        10 * time.Second,
	InboxInterval:     time.Second,
	FleetInterval:     10 * time.Second,
	BoxInterval:       2 * time.Second,
	ConcurrentCommits: 4,
	BatchRows:         400,
	AgingPeriod:       time.Hour,
	JobRetention:      24 * time.Hour,
}

// Deps are the dependencies of a unit.
type Deps struct {
	Workers provider.Workers
	Boxes   provider.BoxList
	Sender  *commit.Sender
	// OwnedUntil returns the time until which no other box can have taken over the unit.
	OwnedUntil func() time.Time
	// Config returns the current configuration revision.
	Config func() config.Revision
	Events *timeline.Ring
	Log    zerolog.Logger
}

// Unit schedules the jobs of a unit while this box owns it.
type Unit struct {
	assignment ownership.Assignment
	settings   Settings
	deps       Deps
	log        zerolog.Logger

	placementSignal chan struct{}
	flushSignal     chan struct{}
	inboxSignal     chan struct{}
	group           sync.WaitGroup // all goroutines that may send requests
	loaded          chan struct{}  // closed once the unit is restored from the table
	done            chan struct{}  // closed when no more requests will be sent
	ctx             context.Context
	cancel          context.CancelCauseFunc

	mu                sync.Mutex
	jobs              map[job.ID]*jobState
	queue             *queue.Queue[*jobState]
	workers           map[string]*workerState
	index             *placement.Index
	capacity          resource.Amount
	reboots           rebootLog
	dirtyWorkers      []*workerState // workers with a dirty ledger, in the order they were marked
	rowChanges        []change       // pending changes that involve no ledger
	uncommittedGrants int            // number of grants whose commit is pending
	summary           Summary
	summaryTime       time.Time // when summary was computed
	Stats             Stats
}

// Stats are counters of a unit, guarded by Unit.mu.
type Stats struct {
	Decisions, Commits, Rows int64
	Placed, Started, Ended   int64
	NotRun, Lost             int64
	Waits                    WaitHistograms
}

// jobState is a job with the state of its tasks.
type jobState struct {
	job           job.Job
	version       uint64 // of the job's row
	inboxVersion  uint64 // version of the last inbox row whose removal was scheduled
	tasks         []*taskState
	waiting       []int // indexes of the tasks to place, in order
	queued        bool
	rowPending    bool          // a commit of the job's row is pending
	stopStored    chan struct{} // closed once the stop is stored; nil if none was requested
	finalTasks    int           // number of final tasks
	endedAt       time.Time
	replicaCounts map[string]int // granted replicas of a service by worker and by rack
}

// Class implements queue.Item.
func (j *jobState) Class() config.Class { return j.job.Template.Class }

// Account implements queue.Item.
func (j *jobState) Account() string { return j.job.Account }

// QueuedAt implements queue.Item.
func (j *jobState) QueuedAt() time.Time { return j.job.Created }

// phase is the stage of a task's current attempt.
type phase int

const (
	idle      phase = iota // no attempt: the task waits or is final
	granting               // the commit of the grant is pending
	starting               // the grant is committed; a start call may have been sent
	running                // the worker reported the attempt as running
	stopping               // a stop call is pending or has been made
	releasing              // the commit of the release is pending
)

// taskState is a task with its current attempt, if any.
type taskState struct {
	job     *jobState
	task    job.Task
	version uint64 // of the task's row; 0 if it has none
	phase   phase

	// The current attempt:
	attempt      string
	grant        ledger.Grant
	worker       *workerState
	leaseUntil   time.Time // end of the longest lease that may have been granted
	startExpires time.Time // when the start call expires; zero if none was made
	endpoint     string
	waitingSince time.Time // start of the current wait, for the wait histograms
	failedStarts int       // consecutive attempts that were not started

	settled chan struct{} // closed after the pending commit of a settlement; nil if there is none
}

// commitPending reports whether the commit of the task's grant or release is pending.
// Reports about the attempt are ignored until then.
func (t *taskState) commitPending() bool { return t.phase == granting || t.phase == releasing }

// startNotSent reports whether the start call is still pending.
func (t *taskState) startNotSent() bool { return t.phase == starting && t.startExpires.IsZero() }

// workerState is the state of a worker in the unit.
type workerState struct {
	id             string // immutable, so it can be read without holding Unit.mu
	ledger         ledger.Ledger
	version        uint64 // of the ledger's row
	tasks          map[string]*taskState
	changes        []change // pending changes to commit with the ledger
	dirty          bool     // is in Unit.dirtyWorkers
	commitInFlight bool     // a transaction with its ledger is in flight

	boot              string // boot ID from the last report; empty if unknown
	reportSeq         uint64
	unresponsiveSince time.Time // zero while the worker responds
	unlisted          bool      // it is no longer in the platform's list of workers
	leaving           bool      // the platform lists its box as leaving
	pendingCalls      []workerCall

	cancelPoll      context.CancelFunc // cancels the poll in flight
	pollInterrupted bool               // the poll was canceled by pollNow
	callSignal      chan struct{}
	toForget        []string
	usage           resource.Amount
}

func (w *workerState) name() string { return w.id }

// LostError reports that this box can no longer run a unit.
type LostError struct {
	Unit  string
	Cause error
}

func (e *LostError) Error() string {
	return "unit " + e.Unit + " can no longer be run by this box: " + e.Cause.Error()
}

func (e *LostError) Unwrap() error { return e.Cause }

// errStopped is the cancellation cause of a unit ended by Stop.
var errStopped = errors.New("unit stopped")

// New returns a unit that is ready to Run.
func New(h ownership.Assignment, set Settings, deps Deps) *Unit {
	u := &Unit{
		assignment: h, settings: set, deps: deps, log: deps.Log.With().Str("unit", h.Unit).Logger(),
		placementSignal: make(chan struct{}, 1), flushSignal: make(chan struct{}, 1), inboxSignal: make(chan struct{}, 1),
		loaded: make(chan struct{}), done: make(chan struct{}),
		jobs: map[job.ID]*jobState{}, workers: map[string]*workerState{},
		queue: queue.New[*jobState](set.AgingPeriod), index: placement.NewIndex(),
	}
	u.ctx, u.cancel = context.WithCancelCause(context.Background())
	return u
}

// Run loads the unit and runs it until Stop is called or it fails. It returns after
// all goroutines of the unit have ended: nil after Stop, else a LostError.
func (u *Unit) Run() error {
	defer close(u.done)
	defer u.group.Wait()
	if err := u.load(); err != nil {
		return u.runError(err)
	}
	u.recordEvent(timeline.Event{Kind: timeline.UnitReady})
	for range u.settings.ConcurrentCommits {
		u.group.Go(u.flushLoop)
	}
	u.group.Go(u.placementLoop)
	u.group.Go(u.inboxLoop)
	u.group.Go(u.sweepLoop)
	u.group.Go(u.boxesLoop)
	<-u.ctx.Done()
	return u.runError(context.Cause(u.ctx))
}

// Stop ends the unit and waits until Run returns. It must not be called without Run.
// It returns the latest time from which the unit can have counted a lease.
func (u *Unit) Stop() time.Time {
	u.cancel(errStopped)
	<-u.done
	return time.Now()
}

// abort ends the unit with an error. The cause is wrapped to record the stack trace
// here, since Run returns it only after all goroutines have ended.
func (u *Unit) abort(cause error) { u.cancel(eris.Wrap(cause, "commit")) }

// runError returns the result of Run for err: nil after Stop, else a LostError.
func (u *Unit) runError(err error) error {
	if errors.Is(context.Cause(u.ctx), errStopped) {
		return nil
	}
	return &LostError{u.assignment.Unit, err}
}

// recordEvent adds an event of the unit to the timeline.
func (u *Unit) recordEvent(e timeline.Event) {
	e.Unit = u.assignment.Unit
	u.deps.Events.Add(e)
}

// notify sends on c without blocking. A notification that is already pending is
// enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or until the unit ends, and reports whether the unit is still
// running.
func (u *Unit) sleep(d time.Duration) bool { return wait.For(u.ctx, d) == nil }

// owns reports whether a worker belongs to the unit according to the configuration.
func (u *Unit) owns(w provider.Worker) bool {
	h, declared := u.deps.Config().Set.Halls[w.Hall]
	return declared && control.UnitForRack(h, w.Rack) == u.assignment.Unit
}
