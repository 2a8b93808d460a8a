package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// Members are told once, and again to a node that began anew, though the store does
// not serve it.
func TestANodeThatBeginsAnewIsToldTheMembers(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		anew := c.another(c.owner())
		c.stop(anew)
		time.Sleep(500 * time.Millisecond)
		c.start(anew)
		anew.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Refuse: true} })
		time.Sleep(2 * time.Second)
		if got := anew.MemberCount(); got != len(c.nodes) {
			t.Errorf("it knows %d nodes, want %d", got, len(c.nodes))
		}
		for _, m := range c.nodes {
			if got := m.MemberCount(); got != len(c.nodes) {
				t.Errorf("%s knows %d nodes, want %d", m.name, got, len(c.nodes))
			}
		}
		anew.caller.SetFault(nil)
	})
}
