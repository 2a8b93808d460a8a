package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// faultCase is a fault that is injected into a run for a while.
type faultCase struct {
	name string
	// begin injects the fault and returns the function that ends it.
	begin func(*faultRun) func()
}

// faultRun is a cell with its current owner.
type faultRun struct {
	*cell
	mu      sync.Mutex
	current *owner
	rng     *lockedRand
	added   int // workers added in place of crashed ones
}

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (d *lockedRand) Float64() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

func (d *lockedRand) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// replaceOwner takes the shard over with a new owner. The previous one keeps running.
func (r *faultRun) replaceOwner() {
	next := r.startOwner()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = next
}

func (r *faultRun) owner() *owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *faultRun) injectStoreFault(fault func(write bool) memory.Fault) func() {
	caller := r.owner().caller
	caller.SetFault(fault)
	return func() { caller.SetFault(nil) }
}

func (r *faultRun) injectFleetFault(fault func(call fleettest.Call, worker string) fleettest.Fault) func() {
	r.fleet.SetFault(fault)
	return func() { r.fleet.SetFault(nil) }
}

// injectRandomFault applies a fault to a share of the calls of some kinds.
func (r *faultRun) injectRandomFault(share float64, fault fleettest.Fault, kinds ...fleettest.Call) func() {
	return r.injectFleetFault(func(call fleettest.Call, _ string) fleettest.Fault {
		for _, kind := range kinds {
			if kind == call && r.rng.Float64() < share {
				return fault
			}
		}
		return fleettest.Fault{}
	})
}

var noCleanup = func() {}

// restartWorkers ends workers at once and restarts each under its ID after a random delay.
func (r *faultRun) restartWorkers(ids ...string) {
	for _, id := range ids {
		r.fleet.RestartSameID(id, r.rng.restartDelay())
	}
}

// restartDelay returns a random time that a worker takes to restart.
func (d *lockedRand) restartDelay() time.Duration {
	return time.Duration(50+d.IntN(4950)) * time.Millisecond
}

// faultCases are the faults that tests inject, alone and in pairs.
var faultCases = []faultCase{
	{"starts delayed", func(r *faultRun) func() {
		return r.injectRandomFault(0.3, fleettest.Fault{Delay: 2 * time.Second}, fleettest.CallStart)
	}},
	{"orders delayed beyond their leases", func(r *faultRun) func() {
		return r.injectRandomFault(0.2, fleettest.Fault{Delay: 11 * time.Second}, fleettest.CallStart, fleettest.CallStop, fleettest.CallHold)
	}},
	{"worker responses lost", func(r *faultRun) func() {
		return r.injectRandomFault(0.3, fleettest.Fault{ResponseLost: true}, fleettest.CallStart, fleettest.CallStop, fleettest.CallHold)
	}},
	{"workers busy", func(r *faultRun) func() {
		return r.injectRandomFault(0.3, fleettest.Fault{Unavailable: true}, fleettest.CallStart)
	}},
	{"a worker unreachable", func(r *faultRun) func() {
		return r.injectFleetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
			return fleettest.Fault{RequestLost: worker == "w-01"}
		})
	}},
	{"a worker crashes", func(r *faultRun) func() {
		r.fleet.Crash("w-02")
		r.added++
		id := fmt.Sprintf("w-2%d", r.added)
		return func() {
			r.fleet.Add(fleet.Worker{
				Incarnation: fleet.Incarnation{ID: id}, Service: testService, Rack: "r1-1", Labels: []string{"a"},
				Capacity: resource.Amount{CPU: 16_000, Memory: 64 * gigabyte},
			})
		}
	}},
	{"a worker restarts under its id", func(r *faultRun) func() {
		r.fleet.RestartSameID("w-03", r.rng.restartDelay())
		return noCleanup
	}},
	{"most workers restart twice", func(r *faultRun) func() {
		r.restartWorkers("w-00", "w-01", "w-02")
		return func() { r.restartWorkers("w-01", "w-02", "w-03") }
	}},
	{"store slow", func(r *faultRun) func() {
		return r.injectStoreFault(func(bool) memory.Fault { return memory.Fault{Delay: 300 * time.Millisecond} })
	}},
	{"store refuses calls", func(r *faultRun) func() {
		return r.injectStoreFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
	}},
	{"store does not answer", func(r *faultRun) func() {
		return r.injectStoreFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
	}},
	{"store responses lost", func(r *faultRun) func() {
		return r.injectStoreFault(func(write bool) memory.Fault { return memory.Fault{DropResponse: write && r.rng.Float64() < 0.35} })
	}},
	{"writes delayed", func(r *faultRun) func() {
		return r.injectStoreFault(func(write bool) memory.Fault {
			if write && r.rng.Float64() < 0.35 {
				return memory.Fault{ApplyDelay: time.Duration(1+r.rng.IntN(5)) * time.Second}
			}
			return memory.Fault{}
		})
	}},
	{"owner crashes", func(r *faultRun) func() {
		r.owner().kill()
		return r.replaceOwner
	}},
	{"owner is deposed without notice", func(r *faultRun) func() {
		r.replaceOwner()
		return noCleanup
	}},
	{"owner stalls and resumes", func(r *faultRun) func() {
		old := r.owner()
		old.client.pause()
		old.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		r.replaceOwner()
		return func() {
			old.client.resume()
			old.caller.SetFault(nil)
		}
	}},
	{"planned handover", func(r *faultRun) func() {
		r.owner().Pause()
		r.replaceOwner()
		return noCleanup
	}},
}

// submitJobs submits a plain job, a gang, a chain of steps and one spread over workers.
func (r *faultRun) submitJobs(prefix string) []string {
	gang := newRequest(4, 4500)
	gang.Steps[0].Gang, gang.Steps[0].Checkpoints = true, true
	chain := newRequest(5, 1000)
	next := newStep(3, 2000)
	next.DependsOn, next.Checkpoints = []int{0}, true
	chain.Steps = append(chain.Steps, next)
	spread := newRequest(6, 900)
	spread.Steps[0].MaxPerWorker = 2
	var ids []string
	for i, request := range []workload.Request{newRequest(2, 1400), gang, chain, spread} {
		id := fmt.Sprintf("%s%d", prefix, i)
		r.registerJob(id, request, r.plan)
		ids = append(ids, id)
		go r.submitUntilAccepted(id, request)
	}
	return ids
}

// submitUntilAccepted retries a submission, as a client does.
func (r *faultRun) submitUntilAccepted(id string, request workload.Request) {
	for range 60 {
		if r.submit(r.owner(), id, request, r.plan) == nil || r.ctx.Err() != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// plan varies the duration by task, and fails the first attempt of some.
func (r *faultRun) plan(task workload.TaskID, attempt int) fleettest.Plan {
	seed := task.Index*7 + task.Step*3 + len(task.Job)
	plan := fleettest.Plan{Work: time.Duration(400+200*(seed%9)) * time.Millisecond}
	if attempt == 1 && seed%5 == 0 {
		plan.Outcome = fleet.Failed
	}
	return plan
}

// runFaults injects faults at random times while jobs run, and expects that every job completes.
func runFaults(t *testing.T, seed uint64, lease time.Duration, faults ...faultCase) {
	t.Helper()
	withCell(t, 4, func(c *cell) {
		c.lease = lease
		random := &lockedRand{rng: rand.New(rand.NewPCG(seed, 1))}
		c.queue.MaxFailures = 30 // no job may reach its limit of failures
		r := &faultRun{cell: c, rng: random}
		r.replaceOwner()
		time.Sleep(100 * time.Millisecond)
		ids := r.submitJobs("a")
		for i, fault := range faults {
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			end := fault.begin(r)
			ids = append(ids, r.submitJobs(string(rune('b'+i)))...)
			time.AfterFunc(time.Duration(2000+random.IntN(3000))*time.Millisecond, end)
		}
		time.Sleep(6 * time.Second)
		for _, id := range ids {
			r.awaitCompleted(id, 60*time.Second)
		}
	})
}

// awaitCompleted waits until the current owner reports a job as completed.
func (r *faultRun) awaitCompleted(id string, within time.Duration) {
	r.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		state, err := r.owner().State(r.ctx, id)
		if err == nil && state == workload.Completed {
			return
		}
	}
	state, err := r.owner().State(r.ctx, id)
	r.t.Errorf("job %s is %q (%v) after %v", id, state, err, within)
}

func TestSingleFaults(t *testing.T) {
	for _, one := range faultCases {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				runFaults(t, seed, fleettest.MaxLease, one)
				runFaults(t, seed, shortLease, one)
			}
		})
	}
}

func TestFaultPairs(t *testing.T) {
	for _, one := range faultCases {
		for _, two := range faultCases {
			t.Run(one.name+" and "+two.name, func(t *testing.T) {
				t.Parallel()
				runFaults(t, 11, fleettest.MaxLease, one, two)
				runFaults(t, 12, shortLease, one, two)
			})
		}
	}
}

// Guards against losing an attempt that ends before its start is answered: the response is lost,
// and the worker refuses the repeated start as outdated.
func TestAttemptEndsBeforeStartIsAnswered(t *testing.T) {
	for _, outcome := range []fleet.Outcome{fleet.Done, fleet.Failed} {
		t.Run(string(outcome), func(t *testing.T) {
			withCell(t, 3, func(c *cell) {
				c.queue.MaxFailures = 2
				// Reports are lost for two seconds, and so is the response to the first start on
				// each worker.
				began, started := time.Now(), map[string]bool{}
				var mu sync.Mutex
				c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
					mu.Lock()
					defer mu.Unlock()
					first := call == fleettest.CallStart && !started[worker]
					started[worker] = started[worker] || first
					age := time.Since(began)
					reportLost := call == fleettest.CallHold && age > 500*time.Millisecond && age < 2500*time.Millisecond
					return fleettest.Fault{ResponseLost: first || reportLost}
				})
				o := c.startOwner()
				plan := func(_ workload.TaskID, attempt int) fleettest.Plan {
					if attempt == 1 {
						return fleettest.Plan{Work: 40 * time.Millisecond, Outcome: outcome}
					}
					return fleettest.Plan{Work: time.Second}
				}
				time.Sleep(1600 * time.Millisecond) // calls opened before the reports are lost have ended
				if err := c.submit(o, "job", newRequest(3, 9000), plan); err != nil {
					t.Fatal(err)
				}
				c.awaitState(o, "job", workload.Completed, 8*time.Second)
			})
		})
	}
}

// A grant that is written to the store only after its ticket has expired is dropped without a call
// to the worker.
func TestNoStartWithExpiredTicket(t *testing.T) {
	withCell(t, 9, func(c *cell) {
		c.queue.Advice = workload.AdvicePolicy{CallLatency: 5 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second}
		o := c.startOwner()
		time.Sleep(time.Second)
		if err := c.submit(o, "taken", newRequest(2, 16_000), succeedAfter(700*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if err := c.submit(o, "waiting", newRequest(30, 16_000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		time.Sleep(5 * time.Second)
		o.caller.SetFault(nil)
		c.awaitState(o, "waiting", workload.Completed, 20*time.Second)
		if got := c.fleet.Refused(fleet.InvalidTicket); got != 0 {
			t.Errorf("%d starts refused for their tickets, want 0", got)
		}
	})
}
