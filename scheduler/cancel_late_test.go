package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
)

// Nothing runs of a job that was cancelled, also where a worker carries its start out late,
// and where the owner that sent it is gone for good.
func TestNothingRunsOfACancelledJob(t *testing.T) {
	const late = 1400 * time.Millisecond // a start is void 1.5 s after it was sent
	cases := []struct {
		name   string
		faults func(worker string) fleettest.Fault // of calls while the start is on its way
		then   func(c *cell, o *owner) *owner
	}{
		{"its start is carried out late", func(string) fleettest.Fault { return fleettest.Fault{} }, undisturbed},
		{"its owner is removed", func(string) fleettest.Fault { return fleettest.Fault{} }, replaced},
		{"its owner is removed, and the next one does not reach the worker", func(string) fleettest.Fault {
			return fleettest.Fault{Lost: true}
		}, replaced},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, 3, func(c *cell) {
				c.lease = shortLease
				o := c.rule()
				time.Sleep(500 * time.Millisecond)
				c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
					if call == fleettest.CallStart {
						return fleettest.Fault{Late: late}
					}
					return test.faults(worker)
				})
				if err := c.submit(o, "job", jobOf(4, 2000), work(time.Hour)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond) // the starts are on their way
				o = test.then(c, o)
				if err := o.Cancel(c.ctx, "job"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				c.fleet.SetFault(nil)
				time.Sleep(3 * time.Second)
				if got := c.fleet.Running(); got != 0 {
					t.Errorf("%d attempts run", got)
				}
			})
		})
	}
}

// replaced ends an owner for good and has another one rule.
func replaced(c *cell, o *owner) *owner {
	o.kill()
	return c.rule()
}
