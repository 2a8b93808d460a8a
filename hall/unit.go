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

// Settings are the times and sizes by which a unit is run.
type Settings struct {
	ClockError        time.Duration // by which a worker's clock may differ from this box's
	CallTimeout       time.Duration // for which a call to a worker may be under way
	ReportWait        time.Duration // for which a worker may hold back a report without news
	InboxInterval     time.Duration // between reads of the inbox
	FleetInterval     time.Duration // between reads of the list of workers
	BoxInterval       time.Duration // between reads of the platform's list of boxes
	ConcurrentCommits int           // transactions on their way at once
	BatchRows         int           // rows of a transaction
	AgingPeriod       time.Duration // after which waiting work goes a class up
	JobRetention      time.Duration // for which ended jobs are kept
}

// Defaults are the settings in use unless an operator says otherwise.
var Defaults = Settings{
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

// Deps are what a unit works with.
type Deps struct {
	Workers provider.Workers
	Boxes   provider.BoxList
	Sender  *commit.Sender
	// Sure returns until when no other box can have taken the unit over.
	Sure func() time.Time
	// Config returns the revision in force.
	Config func() config.Revision
	Events *timeline.Ring
	Log    zerolog.Logger
}

// Unit is a unit while this box owns it.
type Unit struct {
	hold     ownership.Hold
	settings Settings
	deps     Deps
	log      zerolog.Logger

	decideSignal chan struct{}
	flushSignal  chan struct{}
	inboxSignal  chan struct{}
	group        sync.WaitGroup // every goroutine that may send something
	done         chan struct{}  // closed when nothing more will be sent
	ctx          context.Context
	cancel       context.CancelCauseFunc

	mu                sync.Mutex
	ready             bool
	jobs              map[job.ID]*jobState
	queue             *queue.Queue[*jobState]
	workers           map[string]*workerState
	index             *placement.Index
	capacity          resource.Amount
	dirtyWorkers      []*workerState // ledgers to commit, in the order of their marking
	rowChanges        []change       // changes that touch no ledger
	uncommittedGrants int            // grants not yet committed
	summary           Summary
	summaryTime       time.Time // when summary was worked out
	Stats             Stats
}

// Stats counts what a unit did. They are read under the unit's lock.
type Stats struct {
	Decisions, Commits, Rows int64
	Placed, Started, Ended   int64
	NotRun, Lost             int64
	Waits                    Waits
}

// jobState is a job and what is known of its tasks.
type jobState struct {
	job              job.Job
	version          uint64 // of the job's row
	inboxVersion     uint64 // version of the last inbox row that was removed, or is being so
	tasks            []*taskState
	waiting          []int // tasks to place, the next first
	queued           bool
	templateUpdating bool // another form of its template is being committed
	finalTasks       int  // tasks that run no more
	endedAt          time.Time
	replicaCounts    map[string]int // granted tasks by worker and by rack, of services
}

// Class implements queue.Item.
func (j *jobState) Class() config.Class { return j.job.Template.Class }

// Account implements queue.Item.
func (j *jobState) Account() string { return j.job.Account }

// Since implements queue.Item.
func (j *jobState) Since() time.Time { return j.job.Created }

// phase is where a task stands between its owner and its worker.
type phase int

const (
	idle      phase = iota // waits, or is final
	granting               // its grant is being committed
	starting               // a start call may be under way
	running                // its worker says so
	stopping               // a stop is ordered
	releasing              // its end is being committed
)

// taskState is a task and its attempt under way, if it has one.
type taskState struct {
	job     *jobState
	task    job.Task
	version uint64 // of the task's row; 0 while it has none
	phase   phase

	// Of the attempt under way:
	attempt      string
	grant        ledger.Grant
	worker       *workerState
	leaseUntil   time.Time // the longest lease that may have been given
	startExpires time.Time // until when a start call may take effect
	endpoint     string
	waitingSince time.Time // when the task began to wait, for measuring
	failedStarts int       // starts in a row that surely did not happen
}

// commitPending reports whether a grant or an end of the task is on its way to the
// table: until it is there nothing new is decided of the task.
func (t *taskState) commitPending() bool { return t.phase == granting || t.phase == releasing }

// startNotSent reports whether a start is ordered and no call was made for it yet.
func (t *taskState) startNotSent() bool { return t.phase == starting && t.startExpires.IsZero() }

// workerState is a worker of the unit.
type workerState struct {
	id             string // does not change, and so may be read without the lock
	ledger         ledger.Ledger
	version        uint64 // of the ledger's row
	tasks          map[string]*taskState
	changes        []change // to commit with the ledger
	dirty          bool     // is among the unit's dirty
	commitInFlight bool     // its ledger is on its way

	boot        string // "" until heard of
	reportSeq   uint64
	silentSince time.Time // since when it has not answered; zero while it does
	unlisted    bool      // the platform lists it no more
	leaving     bool      // the platform says that it is leaving
	orders      []order

	cancelPoll      context.CancelFunc // breaks off the question under way
	pollInterrupted bool               // it was broken off on purpose
	orderSignal     chan struct{}
	toForget        []string
	usage           resource.Amount
}

func (w *workerState) name() string { return w.id }

// LostError says that a unit can no longer be run by this box.
type LostError struct {
	Unit  string
	Cause error
}

func (e *LostError) Error() string { return "unit " + e.Unit + " is lost: " + e.Cause.Error() }

func (e *LostError) Unwrap() error { return e.Cause }

// errStopped ends a unit that this box gives up.
var errStopped = errors.New("the box gave the unit up")

// New returns a unit that Run will run.
func New(h ownership.Hold, set Settings, deps Deps) *Unit {
	u := &Unit{
		hold: h, settings: set, deps: deps, log: deps.Log.With().Str("unit", h.Unit).Logger(),
		decideSignal: make(chan struct{}, 1), flushSignal: make(chan struct{}, 1), inboxSignal: make(chan struct{}, 1),
		done: make(chan struct{}),
		jobs: map[job.ID]*jobState{}, workers: map[string]*workerState{},
		queue: queue.New[*jobState](set.AgingPeriod), index: placement.NewIndex(),
	}
	u.ctx, u.cancel = context.WithCancelCause(context.Background())
	return u
}

// Run loads the unit and runs it until Stop or until it is lost. It returns a
// LostError, or nil after Stop, when nothing more will be sent for the unit.
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
	u.group.Go(u.decideLoop)
	u.group.Go(u.inboxLoop)
	u.group.Go(u.sweepLoop)
	u.group.Go(u.boxesLoop)
	<-u.ctx.Done()
	return u.runError(context.Cause(u.ctx))
}

// Stop ends the unit, which Run must have been called for, and waits until
// nothing more will be sent for it. It returns until when leases were counted
// from.
func (u *Unit) Stop() time.Time {
	u.cancel(errStopped)
	<-u.done
	return time.Now()
}

// abort ends a unit that cannot be run here any more. The cause keeps where it
// came from: by the time it is logged, every goroutine of the unit has ended.
func (u *Unit) abort(cause error) { u.cancel(eris.Wrap(cause, "commit")) }

func (u *Unit) runError(err error) error {
	if errors.Is(context.Cause(u.ctx), errStopped) {
		return nil
	}
	return &LostError{u.hold.Unit, err}
}

// recordEvent records an event of the unit.
func (u *Unit) recordEvent(e timeline.Event) {
	e.Unit = u.hold.Unit
	u.deps.Events.Add(e)
}

// notify wakes whoever waits on c, once.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or until the unit ends, and reports whether it goes on.
func (u *Unit) sleep(d time.Duration) bool { return wait.For(u.ctx, d) == nil }

// owns reports whether a worker belongs to the unit.
func (u *Unit) owns(w provider.Worker) bool {
	h, declared := u.deps.Config().Set.Halls[w.Hall]
	return declared && control.UnitOf(h, w.Rack) == u.hold.Unit
}
