package scheduler

import (
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
	// confirmedFor is how long an owner goes on extending leases after the store
	// last confirmed its term. With a lease of 3 s, what runs outlives an outage of
	// the store of 7 s, as long as any was seen; a successor waits as long before it
	// takes a worker that it does not reach for idle.
	confirmedFor = 5 * time.Second
	// tickEvery is how often the owner looks for work that time alone makes due,
	// dispatchGap how long it collects news between two looks.
	tickEvery   = 25 * time.Millisecond
	dispatchGap = 2 * time.Millisecond
	// housekeeping is how often final jobs and lost workers are looked for.
	housekeeping = time.Second
)

// Config is what a Scheduler goes by.
type Config struct {
	Shard string
	// Lease is for how long a worker runs on without word from the owner, and LongestLease the
	// longest lease that a worker takes; 0: no longer than Lease.
	Lease, LongestLease time.Duration
	// KeepFinal is how long the state of a final job can be asked for.
	KeepFinal time.Duration
	// PartitionWrites is how many transactions a second the store takes of the
	// shard's partition; 0: not known.
	PartitionWrites float64
	// Workers are what stops and restarts take; zero: what they take on most deployments.
	Workers WorkerTimes
	// RemoteFactor is how many times as long a task takes away from its data; 0: not known.
	RemoteFactor float64
	// Lateness, if given, tells by how much this process serves its timers late.
	Lateness func() time.Duration
	// Evacuations, if given, tells which data halls are evacuated.
	Evacuations func() evacuation.View
	// EvacuateWithin is how long after an evacuation starts may still begin in the data hall; 0:
	// not bounded.
	EvacuateWithin time.Duration
}

// lateness returns by how much this process is late; answers that have come wait as
// long, and more, to be taken in.
func (c Config) lateness() time.Duration {
	if c.Lateness == nil {
		return 0
	}
	return c.Lateness()
}

func (c Config) workerTimes() WorkerTimes {
	if c.Workers == (WorkerTimes{}) {
		return defaultTimes
	}
	return c.Workers
}

// defaultFactor is the remote factor of most deployments at hand.
const defaultFactor = 1.5

func (c Config) remoteFactor() float64 {
	if c.RemoteFactor <= 1 {
		return defaultFactor
	}
	return c.RemoteFactor
}

// Scheduler runs one shard's jobs for the time of one term.
type Scheduler struct {
	// Loaded is closed, by who calls Load, once the shard may be asked.
	Loaded chan struct{}

	shard     string
	lateness  func() time.Duration
	gate      evacuationGate
	lease     time.Duration
	longest   time.Duration // the longest lease that a worker takes
	keepFinal time.Duration
	commitGap time.Duration // the least time between the starts of two transactions
	times     WorkerTimes
	// remoteFactor is how many times as long a task takes away from its data.
	remoteFactor float64
	store        rowstore.Store
	client       fleet.Client
	term         *leadership.Term
	log          zerolog.Logger
	metrics      *Metrics

	mu      sync.Mutex
	jobs    map[string]*job // all whose state can be asked for
	active  map[string]*job // those that are not final
	workers map[fleet.Life]*worker
	// identities are what is known of the lives under each id.
	identities map[string]*identity
	// past are ended lives that discovery still names.
	past   map[fleet.Life]bool
	dirty  []*job
	queues map[string]workload.Queue
	// directory is of the newest configuration; accounts are those that have jobs here.
	directory account.Directory
	accounts  map[string]*accountState
	// demands are what gangs have asked for of late, by service.
	demands map[string]headroom.Demand
	lanes   []*lane
	// formerLeasesEnd is when everything that a former owner started has ended on
	// a worker that was not reached since.
	formerLeasesEnd time.Time
	stopping        map[string]bool    // stray attempts that are being stopped
	serial          uint64             // counts looks at what could be placed
	healthy         map[string]float64 // share of workers that may run a step, by queue
	bundles         map[string]*bundle
	deadBundles     []rowstore.Key // to be deleted
	bundleCount     uint64
	fleetSpeed      float64       // mean speed of all tasks against their estimates
	percentSeen     bool          // workers report progress
	answers         answers       // of workers to calls
	breaks          []breakage    // of connections to workers, of late
	freshBuffer     []share       // of freshRoom
	commitTurn      chan struct{} // holds a token while a transaction is under way
	deposed         error
	paused          bool

	ctx          context.Context
	end          context.CancelCauseFunc
	running      wait.Group
	firstCalls   *callGate // of first calls to workers
	commitWake   chan struct{}
	dispatchWake chan struct{}
}

// New returns a Scheduler for a term. Load must follow, then Run.
func New(config Config, store rowstore.Store, client fleet.Client, term *leadership.Term, metrics *Metrics, log zerolog.Logger) *Scheduler {
	return &Scheduler{
		shard: config.Shard, lateness: config.lateness, gate: newEvacuationGate(config), lease: config.Lease, keepFinal: config.KeepFinal,
		store: store, client: client, term: term, log: log.With().Uint64("token", term.Token()).Logger(), metrics: metrics,
		commitGap: commitGapFor(config.PartitionWrites), times: config.workerTimes(), remoteFactor: config.remoteFactor(),
		jobs: map[string]*job{}, active: map[string]*job{}, workers: map[fleet.Life]*worker{},
		identities: map[string]*identity{}, past: map[fleet.Life]bool{}, longest: max(config.Lease, config.LongestLease),
		queues: map[string]workload.Queue{}, accounts: map[string]*accountState{}, demands: map[string]headroom.Demand{},
		stopping: map[string]bool{}, bundles: map[string]*bundle{}, healthy: map[string]float64{}, fleetSpeed: 1,
		formerLeasesEnd: leaseEnd(term.FormerSuccess().Add(confirmedFor), config.Lease), Loaded: make(chan struct{}),
		firstCalls: newCallGate(maxFirstCalls),
		commitWake: make(chan struct{}, 1), dispatchWake: make(chan struct{}, 1), commitTurn: make(chan struct{}, 1),
	}
}

// wake makes a loop look again soon.
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

// DeposedError says that the term is over.
type DeposedError struct{ Why string }

func (e *DeposedError) Error() string { return "the term is over: " + e.Why }

func (s *Scheduler) deposeLocked(why string) {
	if s.deposed != nil {
		return
	}
	s.deposed = &DeposedError{why}
	if s.end != nil {
		s.end(s.deposed)
	}
}

// Run runs the shard until ctx ends or the term does. It returns why.
func (s *Scheduler) Run(parent context.Context) error {
	ctx, end := context.WithCancelCause(parent)
	defer end(nil)
	s.mu.Lock()
	s.ctx, s.end = ctx, end
	s.recallFinal()
	s.watchAll()
	deposed := s.deposed
	s.mu.Unlock()
	if deposed != nil {
		return deposed
	}
	s.running.Go(func() { s.dispatchLoop(ctx) })
	err := s.commitLoop(ctx)
	end(err)
	s.running.Close()
	s.failWaiters()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// Pause keeps new tasks from starting, before a planned handover.
func (s *Scheduler) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = true
}

// Resume undoes Pause.
func (s *Scheduler) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = false
	wake(s.dispatchWake)
}

// Hold lets the transaction under way end and starts no other until release is
// called, so that a successor can take the shard over.
func (s *Scheduler) Hold(ctx context.Context) (release func(), err error) {
	select {
	case s.commitTurn <- struct{}{}:
		return func() { <-s.commitTurn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// failWaiters lets callers know that their changes were not confirmed.
func (s *Scheduler) failWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deposeLocked("stopped")
}

// SetQueues tells the policies of the queues in force. Jobs whose queue is gone
// keep the policy that they came with.
func (s *Scheduler) SetQueues(queues []workload.Queue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.queues)
	for _, queue := range queues {
		s.queues[queue.Name] = queue
	}
	for _, j := range s.active {
		s.applyQueue(j)
	}
	wake(s.dispatchWake)
}

func (s *Scheduler) applyQueue(j *job) {
	queue, ok := s.queues[j.record.Queue.Name]
	if !ok {
		return
	}
	j.record.Queue = queue
	j.deadline = j.arrived.Add(queue.Objective(j.record.Request))
}

// recallFinal stops what still runs of jobs that were final before this term. The lock is
// held.
func (s *Scheduler) recallFinal() {
	for _, j := range s.jobs {
		if !j.state.Final() {
			continue
		}
		j.eachTask(func(t *task) { s.stop(t, "its job is "+string(j.state)) })
	}
}

// forgetOld drops final jobs whose state need not be told any more, and accounts without
// jobs. The lock is held.
func (s *Scheduler) forgetOld(now time.Time) {
	s.forgetAccounts()
	s.forgetIdentities(now)
	for id, j := range s.jobs {
		if j.forgotten && j.saved >= j.generation {
			delete(s.jobs, id)
			continue
		}
		if j.state.Final() && j.saved >= j.generation {
			j.slim()
		}
		if !j.state.Final() || j.forgotten || now.Sub(time.UnixMilli(j.finalAt)) < s.keepFinal {
			continue
		}
		j.forgotten = true
		s.change(j)
	}
}
