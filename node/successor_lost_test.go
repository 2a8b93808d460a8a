package node_test

import (
	"sync"
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// Guards against a shard without an owner: a node that has lost its access to the store hands the shard over, and its
// successor fails before any other node hears of it. The former owner must not count as the owner on its own word, nor
// remain the only node that others let hand the shard over.
func TestSuccessorLostBeforeItIsKnown(t *testing.T) {
	faults := map[string]memory.Fault{"store refuses calls": {Reject: true}, "store does not answer": {DropRequest: true}}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 4, func(c *cell) {
				former := c.owner()
				successor := c.failFirstWriterExcept(former)
				former.storeCaller.SetFault(func(bool) memory.Fault { return fault })
				const limit = 8 * time.Second
				end := time.Now().Add(limit)
				for time.Now().Before(end) {
					time.Sleep(20 * time.Millisecond)
					if failed := successor(); failed != nil && c.submit(c.healthyNode(former, failed), "job") == nil {
						return
					}
				}
				t.Errorf("no job is accepted for %v; successor took the shard: %v; %s counts as the owner", limit, successor() != nil, former.KnownOwner())
			})
		})
	}
}

// failFirstWriterExcept makes the machine of the first node, other than the excluded one, that writes to the store lose
// power after the write. The returned function returns that node, or nil if there is none yet.
func (c *cell) failFirstWriterExcept(excluded *member) func() *member {
	var mu sync.Mutex
	var failed *member
	for _, m := range c.nodes {
		if m == excluded {
			continue
		}
		m.storeCaller.SetFault(func(write bool) memory.Fault {
			mu.Lock()
			defer mu.Unlock()
			if write && failed == nil {
				failed = m
				for _, other := range c.nodes {
					c.network.Partition(m.name, other.name)
					c.network.Partition(other.name, m.name)
				}
				return memory.Fault{DropResponse: true}
			}
			if failed == m {
				return memory.Fault{DropRequest: true}
			}
			return memory.Fault{}
		})
	}
	return func() *member {
		mu.Lock()
		defer mu.Unlock()
		return failed
	}
}

// healthyNode returns a node other than two failed ones.
func (c *cell) healthyNode(first, second *member) *member {
	for _, m := range c.nodes {
		if m != first && m != second {
			return m
		}
	}
	return nil
}
