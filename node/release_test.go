package node_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// Guards against a long-running task that does not run again in time after its worker and then its owner have gone: an owner
// that hands the shard over can tell that it extends no leases any more.
func TestLostTaskRunsAgainSoonAfterHandover(t *testing.T) {
	runInCell(t, 3, func(c *cell) {
		lasting := request()
		lasting.Steps[0].Count, lasting.Steps[0].LongRunning = 1, true
		c.fleet.RegisterJob("lasting", fleettest.JobSpec{Request: lasting, MaxFailures: 3, Plan: func(workload.TaskID, int) fleettest.Plan {
			return fleettest.Plan{Work: time.Hour}
		}})
		if err := c.owner().Submit(c.ctx, "lasting", workload.Record{Request: lasting, Queue: queue, AcceptedAt: time.Now().UnixMilli()}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		c.fleet.Crash(c.fleet.WorkerOf("lasting.0.0.0"))
		time.Sleep(100 * time.Millisecond) // the owner has not noticed that
		handedOverAt := time.Now()
		c.owner().Stop(c.ctx)
		for c.fleet.Starts() < 2 && time.Since(handedOverAt) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took, want := time.Since(handedOverAt), fleettest.MaxLease+time.Second; took > want {
			t.Errorf("the task ran again %v after the handover, want at most %v", took, want)
		}
	})
}
