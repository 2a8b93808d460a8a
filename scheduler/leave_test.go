package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// A worker that is draining or no longer listed keeps its running tasks and gets no new ones.
// Once its process ends, the remaining tasks restart on other workers.
func TestDepartingWorkers(t *testing.T) {
	cases := []struct {
		name  string
		leave func(*fleettest.Fleet, string)
	}{
		{"draining", func(f *fleettest.Fleet, id string) { f.SetDraining(id) }},
		{"removed from discovery", func(f *fleettest.Fleet, id string) { f.Delist(id) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				c.lease = shortLease
				o := c.startOwner()
				time.Sleep(time.Second)
				if err := c.submit(o, "running", newRequest(1, 2000), succeedAfter(9*time.Second)); err != nil {
					t.Fatal(err)
				}
				lasting := newRequest(1, 2000)
				lasting.Steps[0].LongRunning = true
				if err := c.submit(o, "lasting", lasting, succeedAfter(time.Hour)); err != nil {
					t.Fatal(err)
				}
				c.awaitStarts(2, time.Second)
				host := c.fleet.WorkerOf("lasting.0.0.0")
				test.leave(c.fleet, host)
				time.Sleep(time.Second)
				for _, id := range []string{"a0", "a1", "a2", "a3"} {
					if err := c.submit(o, id, newRequest(1, 2000), succeedAfter(2*time.Second)); err != nil {
						t.Fatal(err)
					}
					time.Sleep(100 * time.Millisecond)
					if got := c.fleet.WorkerOf(id + ".0.0.0"); got == host {
						t.Errorf("job %s started on departing worker %s", id, host)
					}
				}
				c.awaitState(o, "running", workload.Completed, 10*time.Second)
				if c.fleet.WorkerOf("lasting.0.0.0") != host || c.fleet.Starts() != 6 {
					t.Errorf("%d attempts started, want 6; long-running task on worker %q, want %q", c.fleet.Starts(), c.fleet.WorkerOf("lasting.0.0.0"), host)
				}
				c.fleet.Crash(host)
				c.awaitStarts(7, 5*time.Second)
			})
		})
	}
}
