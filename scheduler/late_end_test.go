package scheduler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// Guards against leaking capacity: a task is granted to a second worker after the lease on an
// unreachable one has expired, and the start is lost. When the first worker then reports the task
// as done, the capacity reserved on the second must be freed.
func TestCapacityOfRedundantAttemptIsFreed(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "job", newRequest(1, 9000), succeedAfter(2*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(1, time.Second)
		first := c.fleet.WorkerOf("job.0.0.0")
		var reachable atomic.Bool
		c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
			return fleettest.Fault{RequestLost: worker == first && !reachable.Load() || worker != first && call == fleettest.CallStart}
		})
		time.Sleep(5200 * time.Millisecond) // the lease has expired, and the task is granted to the other worker
		reachable.Store(true)
		c.awaitState(o, "job", workload.Completed, 2*time.Second)
		c.fleet.SetFault(nil)
		time.Sleep(1500 * time.Millisecond) // the next report
		if err := c.submit(o, "wide", newRequest(2, 16000), succeedAfter(500*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "wide", workload.Completed, 900*time.Millisecond) // both tasks at once
	})
}
