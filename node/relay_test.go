package node_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

const (
	// relayCellSize is a data hall with relays, wideNodes of its nodes have a wide link.
	relayCellSize = 50
	fastLinkNodes = 16
	// applyLimit is the shortest time at hand in which a configuration must be in force.
	applyLimit = 2 * time.Second
)

// runInRelayCell runs a test in a large data hall once its relays are known.
func runInRelayCell(t *testing.T, test func(c *cell, relays, served []*member)) {
	t.Helper()
	runInCell(t, 0, func(c *cell) {
		c.fastLinks = fastLinkNodes
		c.addNodes(relayCellSize)
		time.Sleep(10 * time.Second)
		var relays, served []*member
		for _, m := range c.nodes {
			if relay := m.Relay(); relay != "" {
				served = append(served, m)
				for _, other := range c.nodes {
					if other.name == relay && !slices.Contains(relays, other) {
						relays = append(relays, other)
					}
				}
			}
		}
		if len(relays) == 0 || len(served) < relayCellSize/2 {
			t.Fatalf("%d relays serve %d of %d nodes", len(relays), len(served), relayCellSize)
		}
		test(c, relays, served)
	})
}

// Nodes that have a relay ask the store nothing while nothing happens, and a change of the
// configuration comes to them from their relay.
func TestRelaysSpareTheStore(t *testing.T) {
	runInRelayCell(t, func(c *cell, _, served []*member) {
		calls := map[*member]int{}
		var rows atomic.Int64
		for _, m := range served {
			calls[m] = m.storeCaller.Calls()
			m.storeCaller.Observe(func(page rowstore.Page) { rows.Add(int64(len(page.Rows))) })
		}
		time.Sleep(10 * time.Second)
		c.writeConfiguration("a change", 40)
		for _, m := range c.nodes {
			c.assertConfigurationVersion(m, 2, applyLimit/4)
		}
		for _, m := range served {
			if asked := m.storeCaller.Calls() - calls[m]; asked > 0 {
				t.Errorf("%s asked the store %d times", m.name, asked)
			}
		}
		if got := rows.Load(); got > 0 {
			t.Errorf("%d rows came from the store to nodes with a relay", got)
		}
	})
}

// Whatever becomes of its relay, and at any moment, a node has a change of the configuration in time.
func TestAChangeReachesNodesWhoseRelayFails(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cell, relay *member) (restore func())
	}{
		{"is killed", func(c *cell, relay *member) func() {
			c.stop(relay)
			return func() { c.start(relay) }
		}},
		{"is cut off from the nodes", func(c *cell, relay *member) func() {
			for _, m := range c.nodes {
				c.network.Cut(m.name, relay.name)
			}
			return func() {
				for _, m := range c.nodes {
					c.network.Heal(m.name, relay.name)
				}
			}
		}},
		{"is turned away by the store", func(_ *cell, relay *member) func() {
			relay.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Refuse: true} })
			return func() { relay.storeCaller.SetFault(nil) }
		}},
		{"is not answered by the store", func(_ *cell, relay *member) func() {
			relay.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
			return func() { relay.storeCaller.SetFault(nil) }
		}},
	}
	for _, test := range cases {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(test.name+", a change "+after.String()+" later", func(t *testing.T) {
				runInRelayCell(t, func(c *cell, relays, served []*member) {
					var restores []func()
					for _, relay := range relays {
						restores = append(restores, test.inject(c, relay))
					}
					time.Sleep(after)
					c.writeConfiguration("a change", 40)
					changed := time.Now()
					for _, m := range served {
						c.assertConfigurationVersion(m, 2, applyLimit-time.Since(changed))
					}
					for _, restore := range restores {
						restore()
					}
					time.Sleep(time.Second)
					c.writeConfiguration("another change", 40)
					changed = time.Now()
					for _, m := range c.nodes {
						c.assertConfigurationVersion(m, 3, applyLimit-time.Since(changed))
					}
				})
			})
		}
	}
}

// A takeover sends nobody back to the store.
func TestTakeoverKeepsRelays(t *testing.T) {
	runInRelayCell(t, func(c *cell, relays, served []*member) {
		owner := c.owner()
		if slices.Contains(relays, owner) || slices.Contains(served, owner) {
			t.Fatal("the owner takes part")
		}
		calls := map[*member]int{}
		for _, m := range served {
			calls[m] = m.storeCaller.Calls()
		}
		owner.Stop(c.ctx)
		c.stop(owner)
		time.Sleep(8 * time.Second)
		next := c.owner()
		for _, m := range served {
			if asked := m.storeCaller.Calls() - calls[m]; asked > 0 && m != next && m.Relay() != "" {
				t.Errorf("%s asked the store %d times", m.name, asked)
			}
		}
		c.start(owner)
	})
}

// Nodes with a relay hear of evacuations, and take the shard over when all others are gone.
func TestNodesWithRelayTakeOver(t *testing.T) {
	runInRelayCell(t, func(c *cell, _, served []*member) {
		for _, m := range c.nodes {
			if !slices.Contains(served, m) {
				c.stop(m)
			}
		}
		time.Sleep(6 * time.Second)
		if owner := c.owner(); owner == nil || owner.Relay() != "" && owner.UsesRelay() {
			t.Error("nobody owns the shard, or an owner has its orders from a relay")
		}
		for _, m := range c.nodes {
			if !slices.Contains(served, m) {
				c.start(m)
			}
		}
	})
}
