package ownership

import (
	"testing"
	"testing/synctest"
	"time"

	"chutereach/clock/clocktest"
	"chutereach/provider"
	"chutereach/standin"
)

// A box whose machine was suspended is sure of its units no longer than one whose was not:
// other boxes count from its last heartbeat.
func TestASuspendedBoxIsNotSure(t *testing.T) {
	for _, suspended := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(suspended.String(), func(t *testing.T) {
			machine := clocktest.New(t)
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 1, 2)
				defer c.stop()
				time.Sleep(5 * time.Second)
				n := c.nodes[0]
				n.cut.faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
				before := n.Sure()
				machine.Suspend(suspended)
				if got := before.Sub(n.Sure()); got != suspended {
					t.Errorf("after %v it is sure for %v less", suspended, got)
				}
			})
		})
	}
}
