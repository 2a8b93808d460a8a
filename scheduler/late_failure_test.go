package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// Guards against an attempt too many: a former owner's delayed start fails on a restarted worker, and
// the owner reads and acknowledges that end after it has given the attempt up.
func TestLateFailureCounts(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		c.lease = shortLease
		former := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		c.injectFault(fleettest.CallStart, fleettest.Fault{Delay: time.Second})
		failing := fleettest.Plan{Work: 600 * time.Millisecond, Outcome: fleet.Failed}
		if err := c.submit(former, "job", fullWorkerRequest(), func(workload.TaskID, int) fleettest.Plan { return failing }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		former.kill()
		c.fleet.SetFault(nil)
		o := c.startOwner()
		time.Sleep(200 * time.Millisecond)
		o.client.blockWorker("w-00")
		c.fleet.RestartSameID("w-00", 50*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		o.client.blockWorker("")
		c.awaitState(o, "job", workload.Failed, 20*time.Second)
	})
}
