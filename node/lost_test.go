package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// Who takes the shard for its owner's silence waits for nothing from the former owner,
// until that answers again.
func TestSilentOwnerIsMarkedLost(t *testing.T) {
	runInCell(t, 3, func(c *cell) {
		former := c.owner()
		for _, other := range c.nodes {
			c.network.Cut(former.name, other.name)
			c.network.Cut(other.name, former.name)
		}
		former.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
		begun := time.Now()
		next := c.awaitOtherOwner(former, 1500*time.Millisecond)
		if next == nil {
			t.Fatal("no successor")
		}
		t.Logf("succeeded after %v", time.Since(begun))
		if !next.IsPeerLost(former.name) {
			t.Error("the former owner is not counted as lost at the takeover")
		}
		for _, other := range c.nodes {
			c.network.Heal(former.name, other.name)
			c.network.Heal(other.name, former.name)
		}
		former.storeCaller.SetFault(nil)
		time.Sleep(3 * time.Second)
		if owner := c.owner(); owner != nil && owner != former && owner.IsPeerLost(former.name) {
			t.Error("the former owner answers and still counts as lost")
		}
	})
}

// replacementLimit is how soon a machine that falls silent owns the shard no more: it is overdue 0.2 s
// after its last heartbeat, its row must stand for 0.35 s, and two looks and a transaction are left.
const replacementLimit = 680 * time.Millisecond

// An owner whose machine falls silent is replaced without one more wait for its answer.
func TestHowSoonASilentOwnerIsReplaced(t *testing.T) {
	for _, after := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runInCell(t, 9, func(c *cell) {
				time.Sleep(after)
				former := c.owner()
				for _, other := range c.nodes {
					c.network.Cut(former.name, other.name)
					c.network.Cut(other.name, former.name)
				}
				former.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
				if c.awaitOtherOwner(former, replacementLimit) == nil {
					t.Errorf("nobody has replaced it after %v", replacementLimit)
				}
			})
		})
	}
}

// awaitOtherOwner waits until a node other than one owns the shard.
func (c *cell) awaitOtherOwner(former *member, within time.Duration) *member {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range c.nodes {
			if m != former && m.Owns() {
				return m
			}
		}
	}
	return nil
}
