package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// What happened: workers ended and started again under the ids that they had. Tasks that they
// were given then were done there, and were started again elsewhere all the same; tasks that
// failed there had more attempts than allowed.
//
// Why: a worker numbers its ends anew from 1 in each life. The owner kept the number of the last
// end that it had taken in by the worker's id alone, and sent it with each call as word of what
// may be forgotten. So the next life forgot its own ends unread, and the owner took their attempts
// for lost.
//
// What settled it: of 181 attempts over as "not in the worker's report" in two recorded days each
// was on a worker that had started again under its id before (105 of 105, and 76 of 76). One was
// done at 6.703 s, and the owner wrote "lapsed", "ran": 494.8, at 6.799 s.
func TestWorkerRestartsUnderSameID(t *testing.T) {
	cases := []struct {
		name   string
		plan   fleettest.Plan
		want   workload.State
		untold bool // the workers do not say when they were born
	}{
		{"and its tasks are done", fleettest.Plan{Work: 300 * time.Millisecond}, workload.Completed, false},
		{"and its tasks fail", fleettest.Plan{Work: 300 * time.Millisecond, Outcome: fleet.Failed}, workload.Failed, false},
		{"and does not say so", fleettest.Plan{Work: 300 * time.Millisecond}, workload.Completed, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, 3, func(c *cell) {
				c.lease = shortLease
				if test.untold {
					c.hideBirthTimes()
				}
				o := c.rule()
				time.Sleep(500 * time.Millisecond)
				c.runShortTasks(o, "before", 30)
				c.restartAllWorkers(200 * time.Millisecond)
				time.Sleep(time.Second)
				plan := func(workload.TaskID, int) fleettest.Plan { return test.plan }
				for i := range 6 {
					if err := c.submit(o, fmt.Sprintf("after-%d", i), jobOf(1, 1000), plan); err != nil {
						t.Fatal(err)
					}
				}
				for i := range 6 {
					c.await(o, fmt.Sprintf("after-%d", i), test.want, 10*time.Second)
				}
			})
		})
	}
}

// runShortTasks has a number of tasks done on all workers, so that their ends are numbered on.
func (c *cell) runShortTasks(o *owner, id string, tasks int) {
	c.t.Helper()
	if err := c.submit(o, id, jobOf(tasks, 1000), work(100*time.Millisecond)); err != nil {
		c.t.Fatal(err)
	}
	c.await(o, id, workload.Completed, 10*time.Second)
}

// hideBirthTimes has no worker say when it was born: only its clock tells a later life apart.
func (c *cell) hideBirthTimes() {
	for _, w := range c.fleet.List() {
		w.Born = 0
		c.fleet.Add(w)
	}
}

// restartAllWorkers has every worker end and start again under its id after a pause.
func (c *cell) restartAllWorkers(pause time.Duration) {
	for _, w := range c.fleet.List() {
		c.fleet.StartAgain(w.ID, pause)
	}
}
