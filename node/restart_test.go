package node_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// When all nodes restart at the same time, only the first in the succession takes over: every takeover
// loads the whole shard.
func TestOneTakeoverWhenAllNodesRestart(t *testing.T) {
	runInCell(t, 24, func(c *cell) {
		c.submit(c.nodes[0], "before")
		for _, m := range c.nodes {
			c.stop(m)
		}
		var takeovers atomic.Int64
		c.onOwnership = func(owns bool) {
			if owns {
				takeovers.Add(1)
			}
		}
		for i, m := range c.nodes {
			c.start(m)
			m.storeCaller.SetFault(func(write bool) memory.Fault {
				if write {
					return memory.Fault{ResponseDelay: 100 * time.Millisecond}
				}
				return memory.Fault{Delay: time.Duration(i) * 7 * time.Millisecond}
			})
		}
		time.Sleep(2 * time.Second)
		if got := takeovers.Load(); got != 1 {
			t.Errorf("%d takeovers, want 1", got)
		}
		for _, m := range c.nodes[:3] {
			if err := m.Ready(); err != nil {
				t.Errorf("%s: %v", m.name, err)
			}
		}
		c.awaitCompleted(c.nodes[5], "before", 3*time.Second)
	})
}
