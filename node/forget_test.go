package node_test

import (
	"testing"
	"time"
)

// longGone is how long a node is away until it is certainly forgotten.
const longGone = 4 * time.Minute

func (c *cell) wantMembers(want int) {
	c.t.Helper()
	for _, m := range c.nodes {
		if got := m.MemberCount(); got != want && !m.Stopped() {
			c.t.Errorf("%s knows %d nodes, want %d", m.name, got, want)
		}
	}
}

// Nodes that are gone for good are forgotten by all, and known again if they come back.
func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		gone := c.another(c.owner())
		c.stop(gone)
		time.Sleep(time.Minute)
		c.wantMembers(4)
		time.Sleep(longGone)
		c.wantMembers(3)
		c.start(gone)
		time.Sleep(5 * time.Second)
		c.wantMembers(4)
	})
}

// A node that was cut off from its owner for so long that it was forgotten is known again once the
// cut heals.
func TestANodeThatWasForgottenRegistersAgain(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		away := c.another(c.owner())
		for _, m := range c.nodes {
			c.network.Cut(m.name, away.name)
			c.network.Cut(away.name, m.name)
		}
		time.Sleep(longGone)
		for _, m := range c.nodes {
			c.network.Heal(m.name, away.name)
			c.network.Heal(away.name, m.name)
		}
		time.Sleep(time.Minute)
		c.wantMembers(4)
		if away.FollowedOwner() != c.owner().name {
			t.Errorf("it follows %q, want %s", away.FollowedOwner(), c.owner().name)
		}
	})
}
