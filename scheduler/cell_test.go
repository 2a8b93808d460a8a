package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/leadership"
	"chutereach/resource"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

const (
	testShard   = "main"
	testService = "desk"
	gigabyte    = 1 << 30
)

// cell is an in-memory row store, a fleet of workers and the owners of one shard.
type cell struct {
	t           *testing.T
	ctx         context.Context
	store       *memory.Store
	fleet       *fleettest.Fleet
	queue       workload.Queue
	lease       time.Duration
	workerTimes scheduler.WorkerTimes // zero: the defaults
	load        scheduler.LoadPolicy
	// evacuateWithin is how long after an evacuation attempts may still start in the data hall; 0
	// leaves owners without evacuation data.
	evacuateWithin time.Duration
	// answerLag, if not nil, returns how late an owner processes an answer of a worker that arrives now.
	answerLag func() time.Duration
	// blockedForNext is the worker whose calls get no answer at the owners that start next, until blockWorker.
	blockedForNext string
	// newestToken is the token of the owner started last.
	newestToken atomic.Uint64
}

// keepFinal is how long owners keep final jobs.
const keepFinal = 2 * time.Minute

// shortLease is the default lease of nodes.
const shortLease = 3 * time.Second

// owner is a scheduler that runs the shard for one term, with its connections.
type owner struct {
	*scheduler.Scheduler
	caller    *memory.Client
	client    *pausableClient
	kill      context.CancelFunc
	runResult chan error
}

// pausableClient is a fleet client whose calls a test can suspend, or block to one worker.
type pausableClient struct {
	fleet.Client
	mu      sync.Mutex
	resumed chan struct{} // closed: calls go through
	blocked string        // the worker whose calls get no answer
	// extendedAt is the time of the last call that extended a lease.
	extendedAt time.Time
}

func (c *pausableClient) lastExtended() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extendedAt
}

// blockWorker blocks this owner's calls to a worker. Calls of other owners go through.
func (c *pausableClient) blockWorker(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = worker
}

func (c *pausableClient) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed = make(chan struct{})
}

func (c *pausableClient) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.resumed)
}

func (c *pausableClient) wait(ctx context.Context, worker string) error {
	c.mu.Lock()
	open, lacks := c.resumed, c.blocked
	c.mu.Unlock()
	if lacks == worker {
		<-ctx.Done()
		return &fleet.NoResponseError{Cause: ctx.Err()}
	}
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return &fleet.NoResponseError{Cause: ctx.Err()}
	}
}

func (c *pausableClient) Start(ctx context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Clock, error) {
	if err := c.wait(ctx, w.ID); err != nil {
		return 0, err
	}
	return c.Client.Start(ctx, w, o)
}

func (c *pausableClient) Stop(ctx context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Clock, error) {
	if err := c.wait(ctx, w.ID); err != nil {
		return 0, err
	}
	return c.Client.Stop(ctx, w, o)
}

func (c *pausableClient) Hold(ctx context.Context, w fleet.Worker, o fleet.HoldOrder) (fleet.Report, error) {
	if err := c.wait(ctx, w.ID); err != nil {
		return fleet.Report{}, err
	}
	if o.Deadline > 0 {
		c.mu.Lock()
		c.extendedAt = time.Now()
		c.mu.Unlock()
	}
	return c.Client.Hold(ctx, w, o)
}

// Cancel and State act without a client account, like submit.
func (o *owner) Cancel(ctx context.Context, id string) error {
	return o.Scheduler.Cancel(ctx, "", id)
}

func (o *owner) State(ctx context.Context, id string) (workload.State, error) {
	return o.Scheduler.State(ctx, "", id)
}

// withCell runs a test on a cell, in a synctest bubble, and fails it for every violation that the
// fleet has recorded.
func withCell(t *testing.T, workers int, test func(*cell)) {
	t.Helper()
	withCheckedCell(t, workers, (*fleettest.Fleet).Violations, test)
}

// withCheckedCell is withCell, but fails the test only for the violations that a function returns. It logs the others.
func withCheckedCell(t *testing.T, workers int, violations func(*fleettest.Fleet) []string, test func(*cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cell{
			t: t, ctx: ctx, store: memory.New(), fleet: fleettest.New(), lease: fleettest.MaxLease,
			queue: workload.Queue{Name: "diagnostics", Service: testService, Priority: 1, MaxFailures: 3, ObjectiveFactor: 2, ObjectiveOffset: time.Second},
		}
		c.store.LimitSizes()
		for i := range workers {
			c.fleet.Add(fleet.Worker{
				Incarnation: fleet.Incarnation{ID: fmt.Sprintf("w-%02d", i), StartTime: int64(1 + i)}, Service: testService, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: hallOf(i), Rack: fmt.Sprintf("r1-%d", i/2), Labels: []string{"a"},
				Capacity: resource.Amount{CPU: 16_000, Memory: 64 * gigabyte},
			})
		}
		test(c)
		cancel()
		synctest.Wait()
		checked := violations(c.fleet)
		for _, broken := range c.fleet.Violations() {
			if slices.Contains(checked, broken) {
				t.Error(broken)
			} else {
				t.Log(broken)
			}
		}
		time.Sleep(time.Minute) // lets delayed calls finish within the bubble
	})
}

// startOwner takes the shard over with a new term and runs its owner.
func (c *cell) startOwner() *owner {
	c.t.Helper()
	return c.startOwnerOf(func(store rowstore.Store) rowstore.Store { return store })
}

// startOwnerOf does the same for an owner of a build that sees and writes the store through a view.
func (c *cell) startOwnerOf(build func(rowstore.Store) rowstore.Store) *owner {
	c.t.Helper()
	caller := c.store.NewClient()
	view := build(caller)
	for {
		seen, err := leadership.ReadOwner(c.ctx, caller, testShard)
		if err != nil {
			c.t.Fatal(err)
		}
		term, err := leadership.Acquire(c.ctx, view, testShard, "node", "address", seen)
		var deposed *leadership.DeposedError
		if errors.As(err, &deposed) {
			continue // the previous owner wrote to the row in between
		}
		if err != nil {
			c.t.Fatal(err)
		}
		return c.runOwner(caller, view, term)
	}
}

// runOwner runs the owner of a term. Its calls to the store go through view, and then through caller.
func (c *cell) runOwner(caller *memory.Client, view rowstore.Store, term *leadership.Term) *owner {
	c.t.Helper()
	ctx, kill := context.WithCancel(c.ctx)
	client := &pausableClient{Client: c.fleet, resumed: make(chan struct{}), blocked: c.blockedForNext}
	if c.answerLag != nil {
		client.Client = lateClient{c.fleet, c.answerLag}
	}
	client.resume()
	config := scheduler.Config{TimerLag: c.answerLag, Shard: testShard, Lease: c.lease, LongestLease: fleettest.MaxLease, KeepFinal: keepFinal, WorkerTimes: c.workerTimes, Load: c.load}
	config.ConfirmSoleOwner = func(context.Context) error { return c.confirmNewest(term.Token()) }
	c.newestToken.Store(term.Token())
	if c.evacuateWithin > 0 {
		config.EvacuateWithin, config.Evacuations = c.evacuateWithin, c.followEvacuations(ctx, caller)
	}
	o := &owner{
		Scheduler: scheduler.New(config, view, client, term, scheduler.NewMetrics(), zerolog.Nop()),
		caller:    caller, client: client, kill: kill, runResult: make(chan error, 1),
	}
	if err := o.Load(ctx); err != nil {
		c.t.Fatal(err)
	}
	o.SetQueues([]workload.Queue{c.queue})
	o.SetAdviceNodes([]scheduler.AdviceNode{{Node: "node", Self: true, Advisor: c.fleet}})
	o.SetWorkers(c.fleet.List())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			o.SetWorkers(c.fleet.List())
		}
	}()
	go func() { o.runResult <- o.Run(ctx) }()
	return o
}

// confirmNewest answers for the other nodes whether any of them has owned the shard since an owner was started.
func (c *cell) confirmNewest(token uint64) error {
	if c.newestToken.Load() != token {
		return errors.New("another node has owned the shard")
	}
	return nil
}

// submit registers a job with the fleet and submits it without a client account.
func (c *cell) submit(o *owner, id string, request workload.Request, plan func(workload.TaskID, int) fleettest.Plan) error {
	c.registerJob(id, request, plan)
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	return o.Submit(ctx, id, workload.Record{Request: request, Queue: c.queue, AcceptedAt: time.Now().UnixMilli()})
}

func (c *cell) registerJob(id string, request workload.Request, plan func(workload.TaskID, int) fleettest.Plan) {
	c.fleet.RegisterJob(id, fleettest.JobSpec{Request: request, MaxFailures: c.queue.MaxFailures, NeedsTicket: c.queue.Advice.Enabled(), Plan: plan})
}

// awaitState polls until a job is in a state, and fails the test if it is not within a time.
func (c *cell) awaitState(o *owner, id string, want workload.State, within time.Duration) {
	c.t.Helper()
	state := workload.State("")
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		state, _ = o.State(c.ctx, id)
		if state == want {
			return
		}
	}
	c.t.Errorf("job %s is %q after %v, want %q", id, state, within, want)
}

// assertFailedWithCause fails the test if a job is reported as failed although none of its tasks, and none of its
// gangs in different attempts, has failed as often as allowed. It is for jobs that crash no workers.
func (c *cell) assertFailedWithCause(id string, state workload.State) {
	c.t.Helper()
	if state == workload.Failed && !c.fleet.AttemptsExhausted(id) {
		c.t.Errorf("job %s is reported as failed, but none of its tasks or gangs has failed as often as allowed", id)
	}
}

// newRequest returns a request with one step.
func newRequest(count int, cpu resource.MilliCPU) workload.Request {
	return workload.Request{Spec: "spec", Steps: []workload.Step{newStep(count, cpu)}}
}

func newStep(count int, cpu resource.MilliCPU) workload.Step {
	return workload.Step{Count: count, Need: resource.Amount{CPU: cpu, Memory: gigabyte}, Estimate: time.Second}
}

// succeedAfter returns a plan in which every attempt succeeds after a time.
func succeedAfter(d time.Duration) func(workload.TaskID, int) fleettest.Plan {
	return func(workload.TaskID, int) fleettest.Plan { return fleettest.Plan{Work: d} }
}

func (o *owner) workerCapacity() resource.Amount {
	return resource.Amount{CPU: 16_000, Memory: 64 * gigabyte}
}
