package scheduler_test

import (
	"sync"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// recordFirstCalls records the order of the first Hold calls to workers from now on.
func (c *cell) recordFirstCalls() func() []string {
	var mu sync.Mutex
	var order []string
	seen := map[string]bool{}
	c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call == fleettest.CallHold && !seen[worker] {
			seen[worker] = true
			order = append(order, worker)
		}
		return fleettest.Fault{}
	})
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return order
	}
}

// A new owner takes in finished tasks before discovery lists any worker.
func TestSuccessorDoesNotWaitForDiscovery(t *testing.T) {
	withCell(t, 6, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(time.Second)
		if err := c.submit(o, "job", newRequest(6, 8000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		c.fleet.SetDiscoveryEmpty(true)
		o.kill()
		next := c.startOwner()
		c.awaitState(next, "job", workload.Completed, time.Second)
		c.fleet.SetDiscoveryEmpty(false)
		time.Sleep(time.Second)
		if err := c.submit(next, "another", newRequest(6, 8000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(next, "another", workload.Completed, 3*time.Second)
	})
}

// Guards against delayed takeovers: workers that do not answer must not block the first calls to
// others.
func TestUnresponsiveWorkersDoNotDelayFirstCalls(t *testing.T) {
	const (
		workers = 400
		within  = 500 * time.Millisecond
	)
	withCell(t, workers, func(c *cell) {
		var mu sync.Mutex
		called := map[string]bool{}
		c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
			mu.Lock()
			defer mu.Unlock()
			called[worker] = true
			return fleettest.Fault{RequestLost: worker[len(worker)-1]%2 == 0}
		})
		c.startOwner()
		time.Sleep(within)
		mu.Lock()
		defer mu.Unlock()
		if len(called) != workers {
			t.Errorf("%d of %d workers were called within %v", len(called), workers, within)
		}
	})
}

// After a takeover, workers with attempts are called before idle ones, since clients wait for the
// results there.
func TestSuccessorCallsBusyWorkersFirst(t *testing.T) {
	const (
		workers = 400
		tasks   = 40
		// concurrentCalls is how many first calls may go out before the busy workers are queued.
		concurrentCalls = 32
	)
	withCell(t, workers, func(c *cell) {
		o := c.startOwner()
		time.Sleep(2 * time.Second)
		if err := c.submit(o, "job", newRequest(tasks, 8000), succeedAfter(3*time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		busy := map[string]bool{}
		for index := range tasks {
			busy[c.fleet.WorkerOf(workload.TaskID{Job: "job", Index: index}.String())] = true
		}
		o.kill()
		order := c.recordFirstCalls()
		next := c.startOwner()
		time.Sleep(time.Second)
		called := order()
		if len(called) != workers {
			t.Fatalf("%d of %d workers were called", len(called), workers)
		}
		last := 0
		for i, worker := range called {
			if busy[worker] {
				last = i
			}
		}
		if limit := len(busy) + concurrentCalls; last >= limit {
			t.Errorf("the last of %d busy workers was called after %d others, want fewer than %d", len(busy), last, limit)
		}
		c.awaitState(next, "job", workload.Completed, 5*time.Second)
	})
}
