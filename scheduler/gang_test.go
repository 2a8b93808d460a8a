package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// If it is unknown whether one member of a gang has started, the other members are stopped.
// Otherwise they would hold capacity while waiting for a gang that cannot become complete.
func TestGangStoppedWhileMemberStartUnknown(t *testing.T) {
	cases := []struct {
		name  string
		fault fleettest.Fault // injected into each call to the member's worker
	}{
		{"its worker does not receive calls", fleettest.Fault{RequestLost: true}},
		{"its worker executes calls without answering", fleettest.Fault{ResponseLost: true}},
		{"its worker executes calls late", fleettest.Fault{Delay: 2500 * time.Millisecond}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 8, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				var faultySince time.Time
				faulty := ""
				c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
					if call == fleettest.CallStart && faulty == "" {
						faulty, faultySince = worker, time.Now()
					}
					if worker == faulty && time.Since(faultySince) < 4*time.Second {
						return test.fault
					}
					return fleettest.Fault{}
				})
				if err := c.submit(o, "gang", newGangRequest(6, 9_000), succeedAfter(time.Second)); err != nil {
					t.Fatal(err)
				}
				c.awaitState(o, "gang", workload.Completed, 14*time.Second)
				if got := c.fleet.GangTimeouts(); got != 0 {
					t.Errorf("%d gang members timed out waiting for the others, want 0", got)
				}
			})
		})
	}
}
