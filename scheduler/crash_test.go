package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// Symptom: a task was started 34 times, and 34 workers ended under it, each with all that
// ran there.
//
// Sequence: a worker's process ends 10 ms after it has begun the task. Its owner sees the
// connection break, waits until the lease has run out, and grants the task again 20 ms later
// to another worker, which ends likewise. Another life answers at the first one's address 0.2 s
// after that.
//
// Cause: an attempt that was lost with its worker left no trace in the task. Only ends that a
// worker lists as failed were counted, and a worker that has ended lists nothing.
//
// What settled it: the lines "attempt over", outcome lapsed, with failures 0 at each of the 34,
// and "worker is over", why "another life answers at its address", 0.2 s after each.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	cases := []struct {
		name    string
		request workload.Request
		during  func(c *cell, o *owner) *owner
		crashes int // at the most; a new owner does not know what the former one saw
	}{
		{"alone", jobOf(1, 1000), undisturbed, 2},
		{"beside tasks of its step that do not", jobOf(6, 1000), undisturbed, 2},
		{"in a gang", gangOf(3, 2000), undisturbed, 2},
		{"that lasts", newLastingRequest(1, 1000), undisturbed, 2},
		{"and the owner is killed after each crash", jobOf(1, 1000), killOwnerAfterCrashes, 5},
		{"and the owner is killed between a crash and its cause", jobOf(1, 1000), killOwnerAfterLeases, 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, 12, func(c *cell) {
				c.lease = shortLease
				o := c.rule()
				time.Sleep(500 * time.Millisecond)
				if err := c.submit(o, "culprit", test.request, crashingPlan(0)); err != nil {
					t.Fatal(err)
				}
				o = test.during(c, o)
				c.await(o, "culprit", workload.Failed, 30*time.Second)
				time.Sleep(10 * time.Second)
				c.assertCrashes("culprit.0.0.0", test.crashes)
			})
		})
	}
}

// crashingPlan returns a plan in which one task of each step crashes its worker as soon as it
// has begun, and the others take a second.
func crashingPlan(index int) func(workload.TaskID, int) fleettest.Plan {
	return func(task workload.TaskID, _ int) fleettest.Plan {
		if task.Index == index {
			return fleettest.Plan{Work: 10 * time.Millisecond, Crashes: true}
		}
		return fleettest.Plan{Work: time.Second}
	}
}

func undisturbed(_ *cell, o *owner) *owner { return o }

// killOwnerAfterCrashes kills each of three owners as soon as a worker has crashed.
func killOwnerAfterCrashes(c *cell, o *owner) *owner { return c.killOwners(o, 0) }

// killOwnerAfterLeases kills owners when the lease of what was lost has run out.
func killOwnerAfterLeases(c *cell, o *owner) *owner { return c.killOwners(o, 3250*time.Millisecond) }

func (c *cell) killOwners(o *owner, after time.Duration) *owner {
	c.t.Helper()
	for count := 1; c.awaitCrashes(o, count); count++ {
		time.Sleep(after)
		o.kill()
		time.Sleep(500 * time.Millisecond)
		o = c.rule()
	}
	return o
}

// awaitCrashes waits until a number of workers have crashed, and reports whether they did
// before the culprit's job was final.
func (c *cell) awaitCrashes(o *owner, count int) bool {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c.fleet.Lives() >= count {
			return true
		}
		if state, err := o.State(c.ctx, "culprit"); err == nil && state.Final() {
			return false
		}
	}
	c.t.Errorf("%d workers crashed within 20 s, and the job is not final", c.fleet.Lives())
	return false
}

// assertCrashes checks how many workers a task has crashed.
func (c *cell) assertCrashes(task string, most int) {
	c.t.Helper()
	if got := c.fleet.Crashed(task); got == 0 || got > most {
		c.t.Errorf("%d workers crashed under %s, want 1 to %d", got, task, most)
	}
}

func gangOf(count int, cpu resource.MilliCPU) workload.Request {
	request := jobOf(count, cpu)
	request.Steps[0].Gang = true
	return request
}

func newLastingRequest(count int, cpu resource.MilliCPU) workload.Request {
	request := jobOf(count, cpu)
	request.Steps[0].Lasting = true
	return request
}

// Jobs whose tasks were on a worker that another job's task has crashed are completed, and
// none of them is given up, however they are placed when they are started again.
func TestJobsBesideCrashingTaskComplete(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		c.lease = shortLease
		o := c.rule()
		time.Sleep(500 * time.Millisecond)
		for round := range 4 {
			culprit := fmt.Sprintf("culprit-%d", round)
			if err := c.submit(o, culprit, jobOf(1, 1000), crashingPlan(0)); err != nil {
				t.Fatal(err)
			}
			for i := range 6 {
				if err := c.submit(o, fmt.Sprintf("bystander-%d-%d", round, i), jobOf(2, 1000), work(800*time.Millisecond)); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(700 * time.Millisecond)
		}
		for round := range 4 {
			c.await(o, fmt.Sprintf("culprit-%d", round), workload.Failed, 30*time.Second)
			for i := range 6 {
				c.await(o, fmt.Sprintf("bystander-%d-%d", round, i), workload.Completed, 30*time.Second)
			}
		}
	})
}
