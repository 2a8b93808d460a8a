package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// failsOnce returns a plan in which the first attempt of a member fails after a time that depends on the member,
// and later attempts succeed.
func failsOnce(after func(index int) time.Duration) func(workload.TaskID, int) fleettest.Plan {
	return func(task workload.TaskID, attempt int) fleettest.Plan {
		if attempt == 1 {
			return fleettest.Plan{Work: after(task.Index), Outcome: fleet.Failed}
		}
		return fleettest.Plan{Work: time.Second}
	}
}

// Guards against a gang that is reported as failed after one of two allowed attempts: workers end the other members
// of a gang some time after the first, and until then these can fail by themselves.
func TestMembersOfGangFailInOneAttempt(t *testing.T) {
	cases := []struct {
		name  string
		after func(index int) time.Duration
	}{
		{"at the same time", func(int) time.Duration { return 300 * time.Millisecond }},
		{"one after the other", func(index int) time.Duration { return 300*time.Millisecond + time.Duration(index)*30*time.Millisecond }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 4, func(c *cell) {
				c.queue.MaxFailures = 2
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				if err := c.submit(o, "gang", newGangRequest(4, 9_000), failsOnce(test.after)); err != nil {
					t.Fatal(err)
				}
				c.awaitState(o, "gang", workload.Completed, 10*time.Second)
			})
		})
	}
}

// Guards against the same across a change of owner: one owner reads the failure of a member, and the next one
// that of another member in the same attempt.
func TestMembersOfGangFailUnderTwoOwners(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.queue.MaxFailures = 2
		c.fleet.SetGangBreakDelay(3 * time.Second)
		former := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		after := func(index int) time.Duration { return time.Duration(1+index) * 500 * time.Millisecond }
		if err := c.submit(former, "gang", newGangRequest(2, 9_000), failsOnce(after)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(2, time.Second)
		former.client.blockWorker(c.fleet.WorkerOf("gang.0.0.1"))
		time.Sleep(800 * time.Millisecond)
		former.kill()
		time.Sleep(400 * time.Millisecond)
		c.awaitState(c.startOwner(), "gang", workload.Completed, 15*time.Second)
	})
}
