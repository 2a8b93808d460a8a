package ownership

import (
	"testing"
	"testing/synctest"
	"time"

	"chutereach/clock/clocktest"
	"chutereach/provider"
	"chutereach/standin"
)

// Time during which the machine is suspended must count against the validity of
// ownership, as other boxes count from the last heartbeat.
func TestSuspensionCountsAgainstOwnership(t *testing.T) {
	for _, suspended := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(suspended.String(), func(t *testing.T) {
			machine := clocktest.New(t)
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 1, 2)
				defer c.stop()
				time.Sleep(5 * time.Second)
				n := c.boxes[0]
				n.table.faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
				before := n.OwnedUntil()
				machine.Suspend(suspended)
				if got := before.Sub(n.OwnedUntil()); got != suspended {
					t.Errorf("ownership validity after a suspension of %v is shorter by %v, want %v", suspended, got, suspended)
				}
			})
		})
	}
}
