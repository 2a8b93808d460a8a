package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// The regression of trouble-2 at the grown deployment: an owner that found no successor
// held its transactions while it asked each of forty nodes.
func TestAHandoverWithoutAnHeirHoldsNothingUp(t *testing.T) {
	runInCell(t, 9, func(c *cell) {
		time.Sleep(3 * time.Second)
		owner := c.owner()
		for _, m := range c.nodes {
			if m != owner {
				m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Slow: 300 * time.Millisecond} })
			}
		}
		for i := range 10 {
			owner.AddTimerLag(time.Second)
			time.Sleep(200 * time.Millisecond)
			begun := time.Now()
			if err := c.submit(owner, fmt.Sprintf("job-%d", i)); err != nil {
				t.Error(err)
			}
			if took := time.Since(begun); took > 200*time.Millisecond {
				t.Errorf("a job was accepted after %v", took)
			}
		}
	})
}

// handoverLimit is for how long nobody may own a shard whose owner the store turns away, at the most:
// jobs of the shortest objective at hand have some 0.5 s to spare.
const handoverLimit = 400 * time.Millisecond

// An owner that the store alone turns away hands over before urgent work is late.
func TestAnOwnerThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	for name, fault := range map[string]memory.Fault{"refused": {Refuse: true}, "unanswered": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 9, func(c *cell) {
				former := c.owner()
				former.storeCaller.SetFault(func(bool) memory.Fault { return fault })
				time.Sleep(handoverLimit)
				if next := c.owner(); next == nil || next == former {
					t.Errorf("nobody else owns the shard after %v", handoverLimit)
				}
			})
		})
	}
}

// A store that is slow for all is no reason to hand over.
func TestASlowStoreKeepsItsOwner(t *testing.T) {
	for _, slow := range []time.Duration{30 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			runInCell(t, 9, func(c *cell) {
				former := c.owner()
				c.setStoreFault(&memory.Fault{Slow: slow})
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					if c.owner() != former {
						t.Fatalf("%s owns the shard no more", former.name)
					}
				}
			})
		})
	}
}

// The regression of own day 725: the store turned a successor away between its takeover
// and its reading of the shard, and the successor went on trying for seven seconds.
func TestSuccessorThatCannotLoadHandsOver(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		if err := c.submit(c.nodes[3], "before"); err != nil {
			t.Fatal(err)
		}
		former := c.owner()
		for _, m := range c.nodes {
			if m == former {
				continue
			}
			taken := false
			m.storeCaller.SetFault(func(write bool) memory.Fault {
				refuse := taken
				taken = taken || write
				return memory.Fault{Refuse: refuse}
			})
			break // the first successor that is asked
		}
		former.Stop(c.ctx)
		begun := time.Now()
		for c.submit(c.nodes[3], "after") != nil {
			if time.Since(begun) > 3*time.Second {
				t.Fatal("no job is accepted for 3 s")
			}
			time.Sleep(20 * time.Millisecond) // a refusal takes no time in the bubble
		}
		c.awaitCompleted(c.nodes[3], "before", 10*time.Second)
		c.awaitCompleted(c.nodes[3], "after", 10*time.Second)
	})
}

// A shard that is large takes long to read, at this node and at any other: it is
// not handed on for that (the regression of trouble-3 at cfg-bench-grown, where it
// went from node to node for ten seconds).
func TestLargeShardIsNotHandedOverWhileLoading(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		former := c.owner()
		var mu sync.Mutex
		for _, m := range c.nodes {
			loading := 0
			m.storeCaller.SetFault(func(write bool) memory.Fault {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case write && m != former && loading == 0:
					loading = 3 // the three tables are read next
				case !write && loading > 0:
					loading--
					return memory.Fault{Slow: 1200 * time.Millisecond}
				}
				return memory.Fault{}
			})
		}
		former.Stop(c.ctx)
		owners := map[string]bool{}
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if owner := c.owner(); owner != nil {
				owners[owner.name] = true
			}
		}
		delete(owners, former.name)
		if len(owners) != 1 {
			t.Errorf("the shard went to %d nodes, want 1", len(owners))
		}
		if err := c.submit(c.nodes[3], "job"); err != nil {
			t.Error(err)
		}
		c.awaitCompleted(c.nodes[3], "job", 5*time.Second)
	})
}
