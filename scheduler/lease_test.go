package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// inLeaseCell runs a test with short leases and one lasting task, and tells where the
// task runs.
func inLeaseCell(t *testing.T, test func(c *cell, o *owner, host string)) {
	t.Helper()
	inCell(t, 4, func(c *cell) {
		c.lease = shortLease
		o := c.rule()
		time.Sleep(500 * time.Millisecond)
		lasting := jobOf(1, 2000)
		lasting.Steps[0].Lasting = true
		if err := c.submit(o, "lasting", lasting, work(time.Hour)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(1, time.Second)
		time.Sleep(2 * time.Second)
		test(c, o, c.fleet.HostOf("lasting.0.0.0"))
	})
}

// awaitStarts waits until a number of attempts have begun.
func (c *cell) awaitStarts(count int, within time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c.fleet.Starts() >= count {
			return
		}
	}
	c.t.Errorf("%d attempts began within %v, want %d", c.fleet.Starts(), within, count)
}

// assertUndisturbed checks that nothing began anew.
func (c *cell) assertUndisturbed(host string) {
	c.t.Helper()
	if got := c.fleet.Starts(); got != 1 || c.fleet.HostOf("lasting.0.0.0") != host {
		c.t.Errorf("%d attempts, now on %q; want 1 on %q", got, c.fleet.HostOf("lasting.0.0.0"), host)
	}
}

// What lasts must run again soon after its worker has gone, and must not end for an
// outage that the users' platform has.
func TestLeases(t *testing.T) {
	t.Run("a worker vanishes", func(t *testing.T) {
		inLeaseCell(t, func(c *cell, _ *owner, host string) {
			c.fleet.Crash(host)
			c.awaitStarts(2, 5*time.Second)
		})
	})
	t.Run("a worker vanishes and the owner dies", func(t *testing.T) {
		inLeaseCell(t, func(c *cell, o *owner, host string) {
			c.fleet.Crash(host)
			o.kill()
			time.Sleep(500 * time.Millisecond)
			c.rule()
			c.awaitStarts(2, 9*time.Second)
		})
	})
	t.Run("the store is down for longer than a lease", func(t *testing.T) {
		inLeaseCell(t, func(c *cell, o *owner, host string) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
			time.Sleep(7 * time.Second)
			o.caller.SetFault(nil)
			time.Sleep(10 * time.Second)
			c.assertUndisturbed(host)
		})
	})
	t.Run("a worker that is cut off runs on", func(t *testing.T) {
		inLeaseCell(t, func(c *cell, _ *owner, host string) {
			c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
				return fleettest.Fault{Lost: worker == host}
			})
			c.awaitStarts(2, 5*time.Second) // the judge sees that the first has ended
			c.fleet.SetFault(nil)
			time.Sleep(3 * time.Second)
			if c.fleet.Running() != 1 {
				t.Errorf("%d attempts run", c.fleet.Running())
			}
		})
	})
	t.Run("a takeover, and the former owner still reaches a worker that the new one does not", func(t *testing.T) {
		inLeaseCell(t, func(c *cell, o *owner, host string) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
			next := c.rule()
			next.client.cutOff(host)
			c.awaitStarts(2, 10*time.Second)
		})
	})
}

// The lease of a worker runs out while the grants of a gang there wait for the store:
// the end of one member takes back the others.
func TestALeaseRunsOutUnderAGangThatIsOnlyGranted(t *testing.T) {
	inCell(t, 1, func(c *cell) {
		c.lease = shortLease
		o := c.rule()
		time.Sleep(time.Second)
		gang := jobOf(3, 2000)
		gang.Steps[0].Gang = true
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
		c.fleet.SetFault(func(fleettest.Call, string) fleettest.Fault { return fleettest.Fault{Lost: true} })
		go c.submit(o, "gang", gang, work(time.Second))
		time.Sleep(6 * time.Second)
		o.caller.SetFault(nil)
		c.fleet.SetFault(nil)
		c.await(o, "gang", workload.Completed, 10*time.Second)
	})
}
