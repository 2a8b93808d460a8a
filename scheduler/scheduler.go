package scheduler

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chutereach/account"
	"chutereach/evacuation"
	"chutereach/fleet"
	"chutereach/headroom"
	"chutereach/leadership"
	"chutereach/rowstore"
	"chutereach/wait"
	"chutereach/workload"
)

const (
	// leaseExtensionWindow is how long an owner keeps extending worker leases after the
	// store last confirmed its term. With a 3 s lease, running tasks survive a store
	// outage of 7 s, the longest observed. A new owner waits this long plus a lease
	// before it treats a worker that it cannot reach as idle.
	leaseExtensionWindow = 5 * time.Second
	// dispatchInterval is how often a dispatch pass runs without any change, for work
	// that becomes due by time alone. minDispatchGap is the minimum time between two
	// passes, so that one pass covers several changes.
	dispatchInterval = 25 * time.Millisecond
	minDispatchGap   = 2 * time.Millisecond
	// housekeepingInterval is how often expired final jobs are pruned and lost
	// workers are checked.
	housekeepingInterval = time.Second
)

// Config configures a Scheduler.
type Config struct {
	Shard string
	// Lease is how long a worker keeps running tasks without a call from the owner.
	// LongestLease is the longest lease that workers accept; 0 means Lease.
	Lease, LongestLease time.Duration
	// KeepFinal is how long the state of a final job is retained.
	KeepFinal time.Duration
	// RowBytes is the largest value that the store accepts in a row; 0 means defaultRowBytes.
	RowBytes int
	// Memory returns the memory in bytes of the smallest machine that may own the shard; 0 or nil: unknown.
	Memory func() int64
	// PartitionWrites is how many transactions per second the store accepts for the
	// shard's partition; 0 means unknown.
	PartitionWrites float64
	// WorkerTimes holds the times that workers take to stop and to restore a task; the zero
	// value means defaultWorkerTimes.
	WorkerTimes WorkerTimes
	// RemoteFactor is the ratio of a task's run time away from its data to its run time
	// near it; values up to 1 mean unknown.
	RemoteFactor float64
	// TimerLag, if not nil, returns how late timers currently fire in this process.
	TimerLag func() time.Duration
	// Evacuations, if not nil, returns the current view of evacuated data halls.
	Evacuations func() evacuation.View
	// EvacuateWithin is how long after an evacuation is ordered tasks may still start
	// in the data hall; 0 means no limit.
	EvacuateWithin time.Duration
	// Load selects the policies for work under hard load.
	Load LoadPolicy
	// ConfirmSoleOwner, if not nil, proves without the store that no other node has accepted a job from this
	// term's last transaction until a moment after the call. It returns an error if there is no such proof.
	ConfirmSoleOwner func(context.Context) error
}

// LoadPolicy selects the policies for work under hard load. The zero value disables all of them.
type LoadPolicy struct {
	// BoundedGangRoom keeps as much room for waiting gangs as they need, instead of every worker
	// that they could use.
	BoundedGangRoom bool
	// MeasuredAdvice divides the lanes for advice by measured load, instead of in fixed shares.
	MeasuredAdvice bool
	// SizeOrder places in-time steps with the least remaining work first under overload, instead of
	// those with the earliest latest start.
	SizeOrder bool
}

// lateness returns how late timers fire in this process. Answers that have arrived are
// processed at least as late.
func (c Config) lateness() time.Duration {
	if c.TimerLag == nil {
		return 0
	}
	return c.TimerLag()
}

func (c Config) workerTimes() WorkerTimes {
	if c.WorkerTimes == (WorkerTimes{}) {
		return defaultWorkerTimes
	}
	return c.WorkerTimes
}

// defaultRemoteFactor is used if Config.RemoteFactor is unknown.
const defaultRemoteFactor = 1.5

func (c Config) remoteFactor() float64 {
	if c.RemoteFactor <= 1 {
		return defaultRemoteFactor
	}
	return c.RemoteFactor
}

// Scheduler runs the jobs of one shard for one leadership term.
type Scheduler struct {
	// Loaded is closed by the caller of Load once the shard can serve requests.
	Loaded chan struct{}

	shard     string
	lateness  func() time.Duration
	gate      evacuationGate
	lease     time.Duration
	maxLease  time.Duration // the longest lease that workers accept
	keepFinal time.Duration
	load      LoadPolicy
	// confirmSoleOwner is Config.ConfirmSoleOwner.
	confirmSoleOwner func(context.Context) error
	commitInterval   time.Duration // minimum time between the starts of two transactions
	times            WorkerTimes
	// remoteFactor is the ratio of run times away from a task's data and near it.
	remoteFactor float64
	store        rowstore.Store
	client       fleet.Client
	term         *leadership.Term
	log          zerolog.Logger
	sampledLog   zerolog.Logger // for calls about unknown jobs
	metrics      *Metrics

	mu   sync.Mutex
	jobs map[string]*job // all jobs whose state is retained, by ID
	// earlyCancellations counts the early cancellations of each job, which are in jobs as well.
	earlyCancellations map[string]int
	undecodable        map[string]error // why the stored rows of some jobs cannot be decoded, by ID
	active             map[string]*job  // jobs that are not final, by ID
	workers            map[fleet.Incarnation]*worker
	// identities tracks the successive incarnations of each worker ID.
	identities map[string]*identity
	// endedIncarnations holds ended incarnations that discovery still lists.
	endedIncarnations map[fleet.Incarnation]bool
	dirty             []*job // changed since they were last written
	// confirmations are closed once a transaction that starts after their insertion is applied.
	confirmations []chan struct{}
	queues        map[string]workload.Queue
	// directory lists the accounts of the current configuration; accounts holds the
	// state of those with jobs in this shard.
	directory account.Directory
	accounts  map[string]*accountState
	// demands holds what gangs have requested recently, by service.
	demands     map[string]headroom.Demand
	adviceNodes []*adviceNode
	budget      adviceBudget
	// formerLeaseExpiry is when the last lease that a former owner may have granted
	// has expired.
	formerLeaseExpiry time.Time
	leaseBounds       leaseBounds
	released          leadership.Release // the release of this owner's leases that is in force, or zero
	releaseEndedAt    time.Time
	commitTook        time.Duration           // how long the last transaction took
	stoppingStrays    map[string]bool         // stray attempts with a stop call in flight, as TASK#WORKER
	passSerial        uint64                  // number of dispatch passes
	passes            passSummary             // of the passes since they were last logged
	eligibleShares    map[string]float64      // share of workers that may run a step, by queue
	services          map[string]serviceState // as of the last pass
	sizeOrder         sizeOrder
	bundles           map[string]*bundle
	obsoleteBundles   []*bundle // bundles that no job needs, to be deleted
	orphanParts       []string  // parts that no job needs, to be deleted
	writeLimit        int       // jobs in the next transaction, after one was rejected; 0: not limited
	limits            rowLimits
	memory            memoryBudget
	bundleCount       uint64
	fleetSpeed        float64       // mean speed of tasks relative to their estimates
	progressSeen      bool          // whether workers report progress
	answers           callStats     // response times and losses of calls to workers
	workerEnds        workerEnds    // recent ends of workers
	unaskedBuffer     []workerSlots // reused by unaskedWorkers
	commitSlot        chan struct{} // semaphore of size 1, held during a transaction
	deposed           error
	paused            bool
	storeClock        storeClock

	ctx          context.Context
	cancel       context.CancelCauseFunc
	running      wait.Group
	firstCalls   *callLimiter // limits concurrent first calls to workers
	commitWake   chan struct{}
	dispatchWake chan struct{}
}

// New returns a Scheduler for a term. The caller must call Load and then Run.
func New(config Config, store rowstore.Store, client fleet.Client, term *leadership.Term, metrics *Metrics, log zerolog.Logger) *Scheduler {
	limits := rowLimits{row: cmp.Or(config.RowBytes, defaultRowBytes), transaction: maxTransactionBytes}
	log = log.With().Uint64("token", term.Token()).Logger()
	return &Scheduler{
		shard: config.Shard, load: config.Load, confirmSoleOwner: config.ConfirmSoleOwner, lateness: config.lateness, gate: newEvacuationGate(config), lease: config.Lease, keepFinal: config.KeepFinal,
		store: store, client: client, term: term, log: log, sampledLog: log.Sample(&zerolog.BurstSampler{Burst: unknownJobLogBurst, Period: time.Second}), metrics: metrics,
		commitInterval: commitIntervalFor(config.PartitionWrites), times: config.workerTimes(), remoteFactor: config.remoteFactor(),
		jobs: map[string]*job{}, earlyCancellations: map[string]int{}, undecodable: map[string]error{}, active: map[string]*job{}, workers: map[fleet.Incarnation]*worker{},
		identities: map[string]*identity{}, endedIncarnations: map[fleet.Incarnation]bool{}, maxLease: max(config.Lease, config.LongestLease),
		queues: map[string]workload.Queue{}, accounts: map[string]*accountState{}, demands: map[string]headroom.Demand{},
		stoppingStrays: map[string]bool{}, bundles: map[string]*bundle{}, eligibleShares: map[string]float64{}, sizeOrder: newSizeOrder(), fleetSpeed: 1,
		formerLeaseExpiry: latestFormerLease(term, config.Lease), Loaded: make(chan struct{}),
		firstCalls: newCallLimiter(maxFirstCalls), workerEnds: workerEnds{observedSince: time.Now()},
		limits: limits, memory: memoryBudget{machine: config.Memory},
		commitWake: make(chan struct{}, 1), dispatchWake: make(chan struct{}, 1), commitSlot: make(chan struct{}, 1),
	}
}

// wake signals a loop without blocking. Signals that are not yet received coalesce.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Token returns the fencing token of the term.
func (s *Scheduler) Token() uint64 { return s.term.Token() }

// Term returns the term.
func (s *Scheduler) Term() *leadership.Term { return s.term }

// DeposedError reports that the term has ended and why.
type DeposedError struct{ Reason string }

func (e *DeposedError) Error() string { return "the term is over: " + e.Reason }

// deposeLocked ends the term, unless it has ended already. The lock is held.
func (s *Scheduler) deposeLocked(reason string) {
	if s.deposed != nil {
		return
	}
	s.deposed = &DeposedError{reason}
	if s.cancel != nil {
		s.cancel(s.deposed)
	}
}

// Run runs the shard until ctx is done or the term ends, and returns the cause.
func (s *Scheduler) Run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	s.mu.Lock()
	s.ctx, s.cancel = ctx, cancel
	s.stopFinalJobs()
	s.startPollingAll()
	s.reviewLeaseBounds()
	deposed := s.deposed
	s.mu.Unlock()
	if deposed != nil {
		return deposed
	}
	s.running.Go(func() { s.dispatchLoop(ctx) })
	s.running.Go(func() { s.followStoreClock(ctx) })
	err := s.commitLoop(ctx)
	cancel(err)
	s.running.Close()
	s.failWaiters()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// Pause stops dispatching new tasks, in preparation for a planned handover.
func (s *Scheduler) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = true
}

// Resume resumes dispatching after Pause.
func (s *Scheduler) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = false
	wake(s.dispatchWake)
}

// HoldCommits waits for the transaction in progress and blocks further ones until release
// is called, so that another node can take the shard over.
func (s *Scheduler) HoldCommits(ctx context.Context) (release func(), err error) {
	select {
	case s.commitSlot <- struct{}{}:
		return func() { <-s.commitSlot }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// failWaiters marks the term as ended once Run stops. Callers that still wait for
// a transaction have failed with the end of the run's context.
func (s *Scheduler) failWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deposeLocked("scheduler stopped")
	s.metrics.overloaded.Add(-int64(s.sizeOrder.overloads()))
	s.metrics.adviceLeftOut.Set(0)
	s.sizeOrder = newSizeOrder()
}

// stopFinalJobs stops the running attempts of jobs that became final in an earlier term.
// The lock is held.
func (s *Scheduler) stopFinalJobs() {
	for _, j := range s.jobs {
		if !j.state.Final() {
			continue
		}
		j.eachTask(func(t *task) { s.stop(t, "its job is "+string(j.state)) })
	}
}

// prune removes final jobs older than keepFinal, and unused accounts and worker identities.
// It frees what is no longer needed of the other final jobs. A job whose attempts are still being
// stopped is kept: the next owner needs its record and state. The lock is held.
func (s *Scheduler) prune(now time.Time) {
	s.removeIdleAccounts()
	s.expireIdentities(now)
	for id, j := range s.jobs {
		if j.expired && j.saved >= j.generation {
			s.removeFinal(id)
			continue
		}
		if j.state.Final() && j.saved >= j.generation {
			j.compact()
			s.weigh(j)
		}
		if !j.state.Final() || j.expired || j.hosted > 0 || len(j.obsoleteParts) > 0 || j.mayBeInOlderBundle() || !j.finalAt.isPast(s.keepFinal, s.storeClock) {
			continue
		}
		j.expired = true
		s.markDirty(j)
	}
}
