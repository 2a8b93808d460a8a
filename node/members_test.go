package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// The owner sends the members again to a restarted node, which may be unable to read them from the store.
func TestRestartedNodeLearnsMembers(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		restarted := c.nodeOtherThan(c.owner())
		c.stop(restarted)
		time.Sleep(500 * time.Millisecond)
		c.start(restarted)
		restarted.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		time.Sleep(2 * time.Second)
		if got := restarted.MemberCount(); got != len(c.nodes) {
			t.Errorf("the restarted node knows %d members, want %d", got, len(c.nodes))
		}
		for _, m := range c.nodes {
			if got := m.MemberCount(); got != len(c.nodes) {
				t.Errorf("%s knows %d members, want %d", m.name, got, len(c.nodes))
			}
		}
		restarted.storeCaller.SetFault(nil)
	})
}
