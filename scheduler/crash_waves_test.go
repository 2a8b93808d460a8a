package scheduler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// Guards against blaming jobs for common-cause crashes: a third of all workers end at once, several
// times, and every job is completed.
func TestCrashWavesFailNoJob(t *testing.T) {
	withCell(t, 24, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		rng := rand.New(rand.NewPCG(1, 2))
		jobs := 0
		for tick := range 120 { // 12 s
			if tick%33 == 20 {
				c.crashRandomWorkers(rng, 3)
			}
			name := fmt.Sprintf("job-%d", jobs)
			if err := c.submit(o, name, newRequest(2, 2000), succeedAfter(700*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			jobs++
			time.Sleep(100 * time.Millisecond)
		}
		for i := range jobs {
			c.awaitState(o, fmt.Sprintf("job-%d", i), workload.Completed, 30*time.Second)
		}
	})
}

// crashRandomWorkers restarts a random share of the live workers at once, on average one in n.
func (c *cell) crashRandomWorkers(rng *rand.Rand, n int) {
	for _, w := range c.liveWorkers() {
		if rng.IntN(n) == 0 {
			c.fleet.Restart(w.ID)
		}
	}
}

// liveWorkers returns the listed workers whose process is running.
func (c *cell) liveWorkers() []fleet.Worker {
	var list []fleet.Worker
	for _, w := range c.fleet.List() {
		if c.fleet.Alive(w.ID) {
			list = append(list, w)
		}
	}
	return list
}

// Tasks that crash their workers at the same time are each identified and given up. The first crashes
// may have a common cause and are not conclusive; three more are.
func TestSimultaneousCrashingTasks(t *testing.T) {
	withCell(t, 24, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		const culprits = 6
		for i := range culprits {
			if err := c.submit(o, fmt.Sprintf("culprit-%d", i), newRequest(1, 9000), crashingPlan(0)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range culprits {
			c.awaitState(o, fmt.Sprintf("culprit-%d", i), workload.Failed, 40*time.Second)
			c.assertCrashes(fmt.Sprintf("culprit-%d.0.0.0", i), 4)
		}
	})
}

var (
	crashSeeds     = flag.Uint64("crashes.seeds", 30, "number of seeds of TestRandomCrashes")
	crashSeedFirst = flag.Uint64("crashes.first", 0, "first seed of TestRandomCrashes")
)

// Random sequences of crashing tasks, unrelated worker crashes, owner failures and partitions. Every
// crashing task is given up, and every other job is completed, however many workers have ended under
// its tasks.
func TestRandomCrashes(t *testing.T) {
	for seed := *crashSeedFirst; seed < *crashSeedFirst+*crashSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			withCell(t, 16, func(c *cell) { c.runRandomCrashes(rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func (c *cell) runRandomCrashes(rng *rand.Rand) {
	c.lease = shortLease
	if rng.IntN(2) == 0 {
		c.queue.Advice = workload.AdvicePolicy{CallLatency: 5 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second}
	}
	o := c.startOwner()
	time.Sleep(500 * time.Millisecond)
	var culprits, others []string
	for round := range 40 { // about 12 s
		name := fmt.Sprintf("job-%d", round)
		request := newRequest(1+rng.IntN(4), resource.MilliCPU(500+rng.IntN(4000)))
		request.Steps[0].Gang = rng.IntN(4) == 0
		if rng.IntN(3) == 0 {
			second := newStep(1+rng.IntN(3), 1000)
			second.DependsOn, second.Checkpoints = []int{0}, true
			request.Steps = append(request.Steps, second)
		}
		plan := succeedAfter(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		if rng.IntN(8) == 0 {
			plan = crashingPlan(0)
			culprits = append(culprits, name)
		} else {
			others = append(others, name)
		}
		c.registerJob(name, request, plan)
		o = c.submitWithRetry(o, name, request)
		o = c.applyRandomFault(o, rng)
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	o.caller.SetFault(nil)
	c.fleet.SetFault(nil)
	for _, name := range culprits {
		c.awaitState(o, name, workload.Failed, 20*time.Second)
	}
	for _, name := range others {
		c.awaitState(o, name, workload.Completed, 20*time.Second)
	}
	c.logCrashes(culprits, len(others))
}

// logCrashes logs how many workers each culprit has crashed, for measurements over many seeds.
func (c *cell) logCrashes(culprits []string, sound int) {
	var crashes []int
	for _, name := range culprits {
		crashes = append(crashes, c.fleet.CrashedWorkers(name+".0.0.0"))
	}
	c.t.Logf("workers crashed by each culprit: %v; %d sound jobs", crashes, sound)
}

// submitWithRetry submits a job until it is accepted, replacing the owner after each failure.
func (c *cell) submitWithRetry(o *owner, name string, request workload.Request) *owner {
	c.t.Helper()
	for range 5 {
		err := c.submit(o, name, request, c.fleet.PlanOf(name))
		if err == nil {
			return o
		}
		o.caller.SetFault(nil)
		o.kill()
		time.Sleep(300 * time.Millisecond)
		o = c.startOwner()
	}
	c.t.Errorf("job %s not accepted in 5 attempts", name)
	return o
}

// applyRandomFault applies a random fault or none, and returns the owner of the shard after it.
func (c *cell) applyRandomFault(o *owner, rng *rand.Rand) *owner {
	switch rng.IntN(12) {
	case 0:
		o.kill()
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		return c.startOwner()
	case 1:
		alive := c.liveWorkers()
		if len(alive) > 4 {
			c.fleet.Restart(alive[rng.IntN(len(alive))].ID)
		}
	case 2:
		cut := c.liveWorkers()[0].ID
		c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
			return fleettest.Fault{RequestLost: worker == cut}
		})
	case 3:
		c.fleet.SetFault(nil)
	case 4:
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		o.caller.SetFault(nil)
	case 5:
		o.client.pause()
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		o.client.resume()
	}
	return o
}
