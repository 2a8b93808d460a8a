package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// Workers that leave serve on for many seconds, whether they have said so or only their
// entry has gone. What runs there goes on; nothing new begins; when they end at last, what
// they still ran begins elsewhere.
func TestWorkersThatLeave(t *testing.T) {
	ways := []struct {
		name  string
		leave func(*fleettest.Fleet, string)
	}{
		{"that drain", func(f *fleettest.Fleet, id string) { f.SetDraining(id) }},
		{"that never say so", func(f *fleettest.Fleet, id string) { f.Drop(id) }},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			inCell(t, 2, func(c *cell) {
				c.lease = shortLease
				o := c.rule()
				time.Sleep(time.Second)
				if err := c.submit(o, "running", jobOf(1, 2000), work(9*time.Second)); err != nil {
					t.Fatal(err)
				}
				lasting := jobOf(1, 2000)
				lasting.Steps[0].Lasting = true
				if err := c.submit(o, "lasting", lasting, work(time.Hour)); err != nil {
					t.Fatal(err)
				}
				c.awaitStarts(2, time.Second)
				host := c.fleet.HostOf("lasting.0.0.0")
				way.leave(c.fleet, host)
				time.Sleep(time.Second)
				for _, id := range []string{"a0", "a1", "a2", "a3"} {
					if err := c.submit(o, id, jobOf(1, 2000), work(2*time.Second)); err != nil {
						t.Fatal(err)
					}
					time.Sleep(100 * time.Millisecond)
					if got := c.fleet.HostOf(id + ".0.0.0"); got == host {
						t.Errorf("job %s began on the worker that leaves", id)
					}
				}
				c.await(o, "running", workload.Completed, 10*time.Second)
				if c.fleet.HostOf("lasting.0.0.0") != host || c.fleet.Starts() != 6 {
					t.Errorf("%d starts; what ran there did not go on", c.fleet.Starts())
				}
				c.fleet.Crash(host)
				c.awaitStarts(7, 5*time.Second)
			})
		})
	}
}
