package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// Guards against running a cancelled job again: if a worker does not accept the stop of an attempt until the
// state of the job would expire, the next owner must not find the job's record without its state.
func TestStopOutlastsCancelledJob(t *testing.T) {
	t.Run("owner replaced before the stop", func(t *testing.T) {
		withOverdueStop(t, func(c *cell, o *owner) {
			o = replaceOwner(c, o)
			c.awaitState(o, "job", workload.Cancelled, time.Second)
			time.Sleep(2 * time.Second)
			c.fleet.SetFault(nil)
		})
	})
	t.Run("owner replaced after the stop", func(t *testing.T) {
		withOverdueStop(t, func(c *cell, o *owner) {
			c.fleet.SetFault(nil)
			time.Sleep(2 * time.Second)
			replaceOwner(c, o)
		})
	})
	t.Run("state expires before the end of the attempt is stored", func(t *testing.T) {
		withOverdueStop(t, func(c *cell, o *owner) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 1500 * time.Millisecond} })
			time.Sleep(300 * time.Millisecond) // a transaction is in flight
			c.fleet.SetFault(nil)
			time.Sleep(3 * time.Second)
			o.caller.SetFault(nil)
			time.Sleep(2 * time.Second)
			replaceOwner(c, o)
		})
	})
}

// withOverdueStop cancels a job whose worker accepts no stops for longer than final jobs are kept. It expects
// that the job does not run after the test function and some time.
func withOverdueStop(t *testing.T, test func(*cell, *owner)) {
	t.Helper()
	withCell(t, 2, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Hour)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		c.injectFault(fleettest.CallStop, fleettest.Fault{Unavailable: true})
		if err := o.Cancel(c.ctx, "job"); err != nil {
			t.Fatal(err)
		}
		c.fleet.RecordCancelled("job")
		time.Sleep(keepFinal + 10*time.Second)
		test(c, o)
		time.Sleep(3 * time.Second)
		if got := c.fleet.Running(); got != 0 {
			t.Errorf("%d attempts of the cancelled job are running, want 0", got)
		}
	})
}

// Guards against running a cancelled job again: if a bundle stays in the store for longer than final jobs are kept,
// the next owner must not find the submission of the job in it without the later cancellation.
func TestBundleOutlastsCancelledJob(t *testing.T) {
	for name, next := range map[string]func(*cell, *owner) *owner{"same owner": keepOwner, "owner replaced": replaceOwner} {
		t.Run(name, func(t *testing.T) {
			withCell(t, 1, func(c *cell) {
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				if err := c.submit(o, "blocker", fullWorkerRequest(), succeedAfter(time.Hour)); err != nil {
					t.Fatal(err)
				}
				slowDownStore(o)
				time.Sleep(time.Second)
				for i := range 70 {
					c.submitAsync(o, fmt.Sprintf("job-%d", i), c.queue, newRequest(1, 1000))
				}
				time.Sleep(2 * time.Second)
				if c.store.RowsWritten("bundles") == 0 {
					t.Fatal("the jobs were not written in bundles")
				}
				if err := o.Cancel(c.ctx, "job-1"); err != nil {
					t.Fatal(err)
				}
				c.fleet.RecordCancelled("job-1")
				o = next(c, o)
				slowDownStore(o)
				time.Sleep(keepFinal + 10*time.Second)
				o = replaceOwner(c, o)
				c.addUnidentifiedWorker("w-10")
				time.Sleep(10 * time.Second)
				if !c.fleet.JobStarted("job-2") {
					t.Error("a job that was not cancelled has not started")
				}
				_, err := o.State(c.ctx, "job-1")
				wantError[*scheduler.UnknownJobError](t, "state of an expired job after the last bundle", err)
			})
		})
	}
}

// slowDownStore slows an owner's transactions down to where it leaves jobs in bundles.
func slowDownStore(o *owner) {
	o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 500 * time.Millisecond} })
}
