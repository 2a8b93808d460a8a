package scheduler_test

import (
	"testing"
	"time"

	"chutereach/clock/clocktest"
	"chutereach/rowstore/memory"
)

// Guards against overlapping owners: time in which the owner's machine is suspended counts towards
// the limit for extending leases without confirmation by the store, since a successor computes their
// expiry from that limit.
func TestSuspendedOwnerDoesNotExtendLeases(t *testing.T) {
	const confirmedFor = 5 * time.Second
	cases := []struct{ suspended, extends time.Duration }{
		{0, confirmedFor},
		{2 * time.Second, confirmedFor - 2*time.Second},
		{10 * time.Second, 0},
		{time.Minute, 0},
	}
	for _, test := range cases {
		t.Run(test.suspended.String(), func(t *testing.T) {
			machine := clocktest.New(t)
			withCell(t, 2, func(c *cell) {
				c.lease = shortLease
				o := c.startOwner()
				time.Sleep(2 * time.Second)
				o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
				machine.Suspend(test.suspended)
				resumed := time.Now()
				time.Sleep(8 * time.Second)
				if got := o.client.lastExtended().Sub(resumed); got > test.extends {
					t.Errorf("last lease extension %v after the machine resumed, want %v at most", got, test.extends)
				}
			})
		})
	}
}
