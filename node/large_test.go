package node_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	// largeCell has more nodes than an owner sends a heartbeat to at each turn.
	largeCell = 60
	// checkEvery picks the nodes that are asked to serve.
	checkEvery = 7
)

// Nodes that hear of their owner more seldom follow it all the same, serve callers, and
// follow its successor after its loss.
func TestFarNodesFollowOwner(t *testing.T) {
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		if owner == nil {
			t.Fatal("no node owns the shard")
		}
		time.Sleep(10 * time.Second)
		if c.owner() != owner {
			t.Errorf("%s lost the shard in a calm time", owner.name)
		}
		assertServesCalls(t, c, nil, "calm")
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(3 * time.Second)
		if c.owner() == nil {
			t.Fatal("nobody owns the shard 3 s after its owner's loss")
		}
		assertServesCalls(t, c, owner, "after")
	})
}

// assertServesCalls hands a job in at some nodes, but not at one that is down.
func assertServesCalls(t *testing.T, c *cell, down *member, prefix string) {
	t.Helper()
	for i := 0; i < len(c.nodes); i += checkEvery {
		m := c.nodes[i]
		if m == down {
			continue
		}
		id := fmt.Sprintf("%s-%d", prefix, i)
		if err := m.Ready(); err != nil {
			t.Errorf("%s: %v", m.name, err)
		}
		if err := c.submit(m, id); err != nil {
			t.Errorf("%s: %v", m.name, err)
			continue
		}
		c.awaitCompleted(m, id, 3*time.Second)
	}
}
