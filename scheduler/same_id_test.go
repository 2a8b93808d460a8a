package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// Guards against repeated tasks: a worker that restarts under the same ID numbers its ends from 1
// again, so an acknowledgement from before the restart must not make it discard unread ends.
func TestWorkerRestartsUnderSameID(t *testing.T) {
	cases := []struct {
		name         string
		plan         fleettest.Plan
		want         workload.State
		noStartTimes bool // workers do not report their start time
	}{
		{"tasks succeed", fleettest.Plan{Work: 300 * time.Millisecond}, workload.Completed, false},
		{"tasks fail", fleettest.Plan{Work: 300 * time.Millisecond, Outcome: fleet.Failed}, workload.Failed, false},
		{"start times are not reported", fleettest.Plan{Work: 300 * time.Millisecond}, workload.Completed, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 3, func(c *cell) {
				c.lease = shortLease
				if test.noStartTimes {
					c.hideStartTimes()
				}
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				c.runShortTasks(o, "before", 30)
				c.restartAllWorkers(200 * time.Millisecond)
				time.Sleep(time.Second)
				plan := func(workload.TaskID, int) fleettest.Plan { return test.plan }
				for i := range 6 {
					if err := c.submit(o, fmt.Sprintf("after-%d", i), newRequest(1, 1000), plan); err != nil {
						t.Fatal(err)
					}
				}
				for i := range 6 {
					c.awaitState(o, fmt.Sprintf("after-%d", i), test.want, 10*time.Second)
				}
			})
		})
	}
}

// runShortTasks completes a job of short tasks, so that the workers' sequence numbers of ends rise.
func (c *cell) runShortTasks(o *owner, id string, tasks int) {
	c.t.Helper()
	if err := c.submit(o, id, newRequest(tasks, 1000), succeedAfter(100*time.Millisecond)); err != nil {
		c.t.Fatal(err)
	}
	c.awaitState(o, id, workload.Completed, 10*time.Second)
}

// hideStartTimes makes workers omit their start time, so that only the clock shows a restart.
func (c *cell) hideStartTimes() {
	for _, w := range c.fleet.List() {
		w.StartTime = 0
		c.fleet.Add(w)
	}
}

// restartAllWorkers ends every worker and restarts it under its ID after a pause.
func (c *cell) restartAllWorkers(pause time.Duration) {
	for _, w := range c.fleet.List() {
		c.fleet.RestartSameID(w.ID, pause)
	}
}
