package scheduler_test

import (
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// While it is in doubt whether one member of a gang has begun, the others are recalled: the
// gang can't come together any more, and they would wait for nothing with their room taken.
func TestAGangIsRecalledWhileOneMemberIsInDoubt(t *testing.T) {
	cases := []struct {
		name  string
		fault fleettest.Fault // of each call to the member's worker
	}{
		{"its worker is silent", fleettest.Fault{Lost: true}},
		{"its worker carries orders out and does not answer", fleettest.Fault{Mute: true}},
		{"its worker carries orders out late", fleettest.Fault{Late: 2500 * time.Millisecond}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, 8, func(c *cell) {
				o := c.rule()
				time.Sleep(time.Second)
				var from time.Time
				silent := ""
				c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
					if call == fleettest.CallStart && silent == "" {
						silent, from = worker, time.Now()
					}
					if worker == silent && time.Since(from) < 4*time.Second {
						return test.fault
					}
					return fleettest.Fault{}
				})
				if err := c.submit(o, "gang", gangOf(6, 9_000), work(time.Second)); err != nil {
					t.Fatal(err)
				}
				c.await(o, "gang", workload.Completed, 14*time.Second)
				if got := c.fleet.Alone(); got != 0 {
					t.Errorf("%d members waited for the others in vain", got)
				}
			})
		})
	}
}
