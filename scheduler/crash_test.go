package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// Guards against unlimited attempts of a task that crashes its workers: a crashed worker reports no
// failed attempt, so crashes must be counted apart from failures.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	cases := []struct {
		name       string
		request    workload.Request
		during     func(c *cell, o *owner) *owner
		maxCrashes int // a new owner does not know which connections its predecessor saw break
	}{
		{"alone", newRequest(1, 1000), keepOwner, 3},
		{"with sound tasks in the same step", newRequest(6, 1000), keepOwner, 3},
		{"in a gang", newGangRequest(3, 2000), keepOwner, 3},
		{"in a lasting step", newLastingRequest(1, 1000), keepOwner, 3},
		{"owner killed after each crash", newRequest(1, 1000), killOwnerAfterCrashes, 5},
		{"owner killed after the leases expired", newRequest(1, 1000), killOwnerAfterLeases, 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 12, func(c *cell) {
				c.lease = shortLease
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				if err := c.submit(o, "culprit", test.request, crashingPlan(0)); err != nil {
					t.Fatal(err)
				}
				o = test.during(c, o)
				c.awaitState(o, "culprit", workload.Failed, 30*time.Second)
				time.Sleep(10 * time.Second)
				c.assertCrashes("culprit.0.0.0", test.maxCrashes)
			})
		})
	}
}

// Guards against failing the job of a task whose workers end after it has outlived its start, and against such a task
// crashing many workers in a short time. It runs on one worker at a time, fleettest checks that it is not started within 2 s
// of its last crash, and jobs beside it complete.
func TestTaskThatCrashesLateIsSlowedDown(t *testing.T) {
	const observed = 60 * time.Second
	for _, work := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond} {
		for _, sameID := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %v, same ids %v", work, sameID), func(t *testing.T) {
				withCell(t, 100, func(c *cell) {
					c.lease = shortLease
					if sameID {
						c.fleet.SetSameIDRestart(200 * time.Millisecond)
					}
					o := c.startOwner()
					time.Sleep(5 * time.Second)
					plan := func(workload.TaskID, int) fleettest.Plan { return fleettest.Plan{Work: work, Crashes: true} }
					if err := c.submit(o, "culprit", newRequest(1, 1000), plan); err != nil {
						t.Fatal(err)
					}
					c.runBeside(o, observed)
					if state, err := o.State(c.ctx, "culprit"); state != workload.Running || err != nil {
						t.Errorf("job is %q (%v), want %q", state, err, workload.Running)
					}
					// Two crashes come before the starts are spread over time.
					c.assertCrashes("culprit.0.0.0", 2+int((observed+maxIdleTime)/(2*time.Second+work)))
					c.assertCancelled(o, "culprit")
				})
			})
		}
	}
}

// runBeside submits a job every second for a time, and fails the test unless each is completed.
func (c *cell) runBeside(o *owner, duration time.Duration) {
	c.t.Helper()
	for i := range int(duration / time.Second) {
		if err := c.submit(o, fmt.Sprintf("bystander-%d", i), newRequest(2, 1000), succeedAfter(800*time.Millisecond)); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	for i := range int(duration / time.Second) {
		c.awaitState(o, fmt.Sprintf("bystander-%d", i), workload.Completed, maxIdleTime)
	}
}

// assertCancelled cancels a job and checks that none of its tasks crashes a worker afterwards.
func (c *cell) assertCancelled(o *owner, job string) {
	c.t.Helper()
	if err := o.Cancel(c.ctx, job); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	before := c.fleet.Restarts()
	time.Sleep(10 * time.Second)
	if after := c.fleet.Restarts(); after != before {
		c.t.Errorf("%d workers ended after the job was cancelled, want none", after-before)
	}
}

// crashingPlan returns a plan in which the task with an index crashes its worker after 10 ms, and
// the others succeed after a second.
func crashingPlan(index int) func(workload.TaskID, int) fleettest.Plan {
	return func(task workload.TaskID, _ int) fleettest.Plan {
		if task.Index == index {
			return fleettest.Plan{Work: 10 * time.Millisecond, Crashes: true}
		}
		return fleettest.Plan{Work: time.Second}
	}
}

func keepOwner(_ *cell, o *owner) *owner { return o }

// killOwnerAfterCrashes replaces the owner after each crash, until the job is final.
func killOwnerAfterCrashes(c *cell, o *owner) *owner { return c.killOwners(o, 0) }

// killOwnerAfterLeases replaces the owner after each crash, once the leases of the lost attempts
// have expired.
func killOwnerAfterLeases(c *cell, o *owner) *owner { return c.killOwners(o, 3250*time.Millisecond) }

func (c *cell) killOwners(o *owner, after time.Duration) *owner {
	c.t.Helper()
	for count := 1; c.awaitCrashes(o, count); count++ {
		time.Sleep(after)
		o.kill()
		time.Sleep(500 * time.Millisecond)
		o = c.startOwner()
	}
	return o
}

// awaitCrashes waits until a number of workers have crashed or the culprit job is final, and reports
// whether it was the former.
func (c *cell) awaitCrashes(o *owner, count int) bool {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c.fleet.Restarts() >= count {
			return true
		}
		if state, err := o.State(c.ctx, "culprit"); err == nil && state.Final() {
			return false
		}
	}
	c.t.Errorf("%d workers crashed within 20 s, want %d or a final job", c.fleet.Restarts(), count)
	return false
}

// assertCrashes checks that a task has crashed at least one worker and at most a number of them.
func (c *cell) assertCrashes(task string, limit int) {
	c.t.Helper()
	if got := c.fleet.CrashedWorkers(task); got == 0 || got > limit {
		c.t.Errorf("%d workers crashed under %s, want 1 to %d", got, task, limit)
	}
}

func newGangRequest(count int, cpu resource.MilliCPU) workload.Request {
	request := newRequest(count, cpu)
	request.Steps[0].Gang = true
	return request
}

func newLastingRequest(count int, cpu resource.MilliCPU) workload.Request {
	request := newRequest(count, cpu)
	request.Steps[0].LongRunning = true
	return request
}

// Guards against failing jobs for the crashes of others: jobs that share workers with a task that
// crashes them are completed.
func TestJobsBesideCrashingTaskComplete(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		for round := range 4 {
			culprit := fmt.Sprintf("culprit-%d", round)
			if err := c.submit(o, culprit, newRequest(1, 1000), crashingPlan(0)); err != nil {
				t.Fatal(err)
			}
			for i := range 6 {
				if err := c.submit(o, fmt.Sprintf("bystander-%d-%d", round, i), newRequest(2, 1000), succeedAfter(800*time.Millisecond)); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(700 * time.Millisecond)
		}
		for round := range 4 {
			c.awaitState(o, fmt.Sprintf("culprit-%d", round), workload.Failed, 30*time.Second)
			for i := range 6 {
				c.awaitState(o, fmt.Sprintf("bystander-%d-%d", round, i), workload.Completed, 30*time.Second)
			}
		}
	})
}
