package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
)

// No attempt of a cancelled job keeps running, even if a worker executes the start late or the
// owner that sent it has been replaced.
func TestCancelledJobDoesNotRun(t *testing.T) {
	const startDelay = 1400 * time.Millisecond // below the 1.5 s after which a start is void
	cases := []struct {
		name       string
		faults     func(worker string) fleettest.Fault // injected into calls other than starts
		afterStart func(c *cell, o *owner) *owner
	}{
		{"start executed late", func(string) fleettest.Fault { return fleettest.Fault{} }, keepOwner},
		{"owner replaced", func(string) fleettest.Fault { return fleettest.Fault{} }, replaceOwner},
		{"owner replaced, successor cannot reach the worker", func(string) fleettest.Fault {
			return fleettest.Fault{RequestLost: true}
		}, replaceOwner},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 3, func(c *cell) {
				c.lease = shortLease
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
					if call == fleettest.CallStart {
						return fleettest.Fault{Delay: startDelay}
					}
					return test.faults(worker)
				})
				if err := c.submit(o, "job", newRequest(4, 2000), succeedAfter(time.Hour)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond) // the starts are in flight
				o = test.afterStart(c, o)
				if err := o.Cancel(c.ctx, "job"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				c.fleet.SetFault(nil)
				time.Sleep(3 * time.Second)
				if got := c.fleet.Running(); got != 0 {
					t.Errorf("%d attempts of the cancelled job are running, want 0", got)
				}
			})
		})
	}
}

// replaceOwner kills an owner and starts its successor.
func replaceOwner(c *cell, o *owner) *owner {
	o.kill()
	return c.startOwner()
}
