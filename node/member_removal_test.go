package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore"
)

// removedAfter exceeds memberRemovalDelay and one cleanup interval.
const removedAfter = 4 * time.Minute

func (c *cell) assertMemberCount(want int) {
	c.t.Helper()
	for _, m := range c.nodes {
		if got := m.MemberCount(); got != want && !m.Stopped() {
			c.t.Errorf("%s knows %d members, want %d", m.name, got, want)
		}
	}
}

// All nodes remove a member that stays stopped, and add it again after it restarts.
func TestAbsentNodesAreRemoved(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		stopped := c.nodeOtherThan(c.owner())
		c.stop(stopped)
		time.Sleep(time.Minute)
		c.assertMemberCount(4)
		time.Sleep(removedAfter)
		c.assertMemberCount(3)
		c.start(stopped)
		time.Sleep(5 * time.Second)
		c.assertMemberCount(4)
	})
}

// A node that was removed during a network partition registers again after the partition heals.
func TestRemovedNodeRegistersAgain(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		isolated := c.nodeOtherThan(c.owner())
		for _, m := range c.nodes {
			c.network.Partition(m.name, isolated.name)
			c.network.Partition(isolated.name, m.name)
		}
		time.Sleep(removedAfter)
		for _, m := range c.nodes {
			c.network.Heal(m.name, isolated.name)
			c.network.Heal(isolated.name, m.name)
		}
		time.Sleep(time.Minute)
		c.assertMemberCount(4)
		if isolated.KnownOwner() != c.owner().name {
			t.Errorf("the node follows owner %q, want %s", isolated.KnownOwner(), c.owner().name)
		}
	})
}

// Guards against lost nodes that count as members for good, and delay each new owner by 10 s: a series of owners, none of
// which lasts as long as it takes to remove a member, removes them together.
func TestSeriesOfOwnersRemovesLostNodes(t *testing.T) {
	runInCell(t, 9, func(c *cell) {
		lost, remaining := c.nodes[:5], c.nodes[5:]
		for _, m := range lost {
			c.stop(m)
		}
		for start := time.Now(); time.Since(start) < removedAfter; time.Sleep(20 * time.Second) {
			if owner := c.owner(); owner != nil {
				c.stop(owner)
				time.Sleep(5 * time.Second)
				c.start(owner)
			}
		}
		for _, m := range lost {
			if _, found := c.store.Row(rowstore.Key{Table: "nodes", Name: m.RowName()}); found {
				t.Errorf("the lost node %s still has a row", m.name)
			}
		}
		c.stop(c.owner())
		c.wantAcceptedWithin(4*time.Second, c.runningNodeOtherThan(nil), "after the series")
		for _, m := range remaining {
			if _, found := c.store.Row(rowstore.Key{Table: "nodes", Name: m.RowName()}); !found {
				t.Errorf("%s has no row", m.name)
			}
		}
	})
}

// Guards against the removal of a node that was silent for a moment long ago: an owner that hears it again forgets its silence.
func TestSilenceEndsWithAnswer(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		silent := c.nodeOtherThan(c.owner())
		for range 2 {
			c.partitionFrom(silent, silent)
			time.Sleep(20 * time.Second)
			for _, m := range c.nodes {
				c.network.Heal(m.name, silent.name)
				c.network.Heal(silent.name, m.name)
			}
			time.Sleep(removedAfter)
		}
		c.partitionFrom(silent, silent)
		time.Sleep(20 * time.Second)
		if _, found := c.store.Row(rowstore.Key{Table: "nodes", Name: silent.RowName()}); !found {
			t.Error("the node was removed after 20 s of silence")
		}
	})
}
