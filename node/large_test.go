package node_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	// largeCell exceeds the number of nodes to which an owner sends every heartbeat.
	largeCell = 60
	// checkEvery is the step between the nodes that assertServesCalls checks.
	checkEvery = 7
)

// Nodes that receive heartbeats at a reduced rate still follow the owner, serve calls, and follow its
// successor.
func TestFarNodesFollowOwner(t *testing.T) {
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		if owner == nil {
			t.Fatal("no node owns the shard")
		}
		time.Sleep(10 * time.Second)
		if c.owner() != owner {
			t.Errorf("%s lost the shard without a fault", owner.name)
		}
		assertServesCalls(t, c, nil, "before")
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(3 * time.Second)
		if c.owner() == nil {
			t.Fatal("no node owns the shard 3 s after the owner stopped")
		}
		assertServesCalls(t, c, owner, "after")
	})
}

// assertServesCalls checks that every checkEvery-th node is ready and that a job submitted through it
// completes. It skips the node that is down.
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
