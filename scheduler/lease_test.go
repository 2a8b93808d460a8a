package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// withLastingTask runs a test in a cell with short leases and one long-running task, and passes
// it the task's worker.
func withLastingTask(t *testing.T, test func(c *cell, o *owner, host string)) {
	t.Helper()
	withLastingTaskAndLease(t, shortLease, test)
}

// withLastingTaskAndLease is withLastingTask with leases of another length.
func withLastingTaskAndLease(t *testing.T, lease time.Duration, test func(c *cell, o *owner, host string)) {
	t.Helper()
	withCell(t, 4, func(c *cell) {
		c.lease = lease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		lasting := newRequest(1, 2000)
		lasting.Steps[0].LongRunning = true
		if err := c.submit(o, "lasting", lasting, succeedAfter(time.Hour)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(1, time.Second)
		time.Sleep(2 * time.Second)
		test(c, o, c.fleet.WorkerOf("lasting.0.0.0"))
	})
}

// awaitStarts waits until a number of attempts have started.
func (c *cell) awaitStarts(count int, within time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c.fleet.Starts() >= count {
			return
		}
	}
	c.t.Errorf("%d attempts started within %v, want %d", c.fleet.Starts(), within, count)
}

// assertNotRestarted checks that the long-running task is still in its first attempt on a worker.
func (c *cell) assertNotRestarted(host string) {
	c.t.Helper()
	if got := c.fleet.Starts(); got != 1 || c.fleet.WorkerOf("lasting.0.0.0") != host {
		c.t.Errorf("%d attempts started, the last on %q; want 1 on %q", got, c.fleet.WorkerOf("lasting.0.0.0"), host)
	}
}

// A long-running task restarts soon after its worker is lost, and survives an outage of the
// platform's store.
func TestLeases(t *testing.T) {
	t.Run("worker crashes", func(t *testing.T) {
		withLastingTask(t, func(c *cell, _ *owner, host string) {
			c.fleet.Crash(host)
			c.awaitStarts(2, 5*time.Second)
		})
	})
	t.Run("worker crashes and owner is killed", func(t *testing.T) {
		withLastingTask(t, func(c *cell, o *owner, host string) {
			c.fleet.Crash(host)
			o.kill()
			time.Sleep(500 * time.Millisecond)
			c.startOwner()
			c.awaitStarts(2, 9*time.Second)
		})
	})
	t.Run("store down for longer than a lease", func(t *testing.T) {
		withLastingTask(t, func(c *cell, o *owner, host string) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
			time.Sleep(7 * time.Second)
			o.caller.SetFault(nil)
			time.Sleep(10 * time.Second)
			c.assertNotRestarted(host)
		})
	})
	t.Run("worker partitioned but running", func(t *testing.T) {
		withLastingTask(t, func(c *cell, _ *owner, host string) {
			c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
				return fleettest.Fault{RequestLost: worker == host}
			})
			c.awaitStarts(2, 5*time.Second) // fleettest checks that the first attempt has ended
			c.fleet.SetFault(nil)
			time.Sleep(3 * time.Second)
			if c.fleet.Running() != 1 {
				t.Errorf("%d attempts are running, want 1", c.fleet.Running())
			}
		})
	})
	t.Run("takeover with the worker reachable only by the former owner", func(t *testing.T) {
		withLastingTask(t, func(c *cell, o *owner, host string) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
			next := c.startOwner()
			next.client.blockWorker(host)
			c.awaitStarts(2, 10*time.Second)
		})
	})
}

// A gang whose worker lease expires while its grants are being written is revoked as a whole and
// placed again.
func TestLeaseExpiresWithGangGranted(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(time.Second)
		gang := newRequest(3, 2000)
		gang.Steps[0].Gang = true
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		c.fleet.SetFault(func(fleettest.Call, string) fleettest.Fault { return fleettest.Fault{RequestLost: true} })
		go c.submit(o, "gang", gang, succeedAfter(time.Second))
		time.Sleep(6 * time.Second)
		o.caller.SetFault(nil)
		c.fleet.SetFault(nil)
		c.awaitState(o, "gang", workload.Completed, 10*time.Second)
	})
}
