package scheduler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// A worker out of reach has done a task that its owner has given up there and is about to
// start elsewhere; that start is lost. Once the first worker's report tells that the task is
// done, the room that the second attempt was given is free again.
func TestCapacityOfRedundantAttemptIsFreed(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		c.lease = shortLease
		o := c.rule()
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "job", jobOf(1, 9000), work(2*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(1, time.Second)
		first := c.fleet.HostOf("job.0.0.0")
		var reachable atomic.Bool
		c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
			return fleettest.Fault{Lost: worker == first && !reachable.Load() || worker != first && call == fleettest.CallStart}
		})
		time.Sleep(5200 * time.Millisecond) // the lease has run out, and the task is started elsewhere
		reachable.Store(true)
		c.await(o, "job", workload.Completed, 2*time.Second)
		c.fleet.SetFault(nil)
		time.Sleep(1500 * time.Millisecond) // the next report
		if err := c.submit(o, "wide", jobOf(2, 16000), work(500*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		c.await(o, "wide", workload.Completed, 900*time.Millisecond) // both tasks at once
	})
}
