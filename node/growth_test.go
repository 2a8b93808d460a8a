package node_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// maxKnownMembers is how many members a node knows that never owned the shard: the succession and itself.
const maxKnownMembers = 14

// countMemberRows counts the rows of members that a caller of the store was sent.
func countMemberRows(page rowstore.Page) int {
	count := 0
	for _, row := range page.Rows {
		if row.Table == "nodes" {
			count++
		}
	}
	return count
}

// What a node reads of the others when it begins, and is told of them, does not grow with their
// number; the owner knows them all.
func TestWhatANodeKnowsOfOthersIsBounded(t *testing.T) {
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		if got := owner.MemberCount(); got != largeCell {
			t.Errorf("the owner knows %d nodes, want %d", got, largeCell)
		}
		var restarted *member
		for _, m := range c.nodes {
			if m != owner && m.MemberCount() > maxKnownMembers {
				t.Errorf("%s knows %d nodes, want %d at most", m.name, m.MemberCount(), maxKnownMembers)
			}
			if m != owner {
				restarted = m
			}
		}
		c.stop(restarted)
		c.start(restarted)
		var read atomic.Int64
		restarted.storeCaller.Observe(func(page rowstore.Page) { read.Add(int64(countMemberRows(page))) })
		time.Sleep(5 * time.Second)
		if got := read.Load(); got > maxKnownMembers {
			t.Errorf("%s has read %d rows of members, want %d at most", restarted.name, got, maxKnownMembers)
		}
		if err := restarted.Ready(); err != nil {
			t.Error(err)
		}
	})
}

// Nodes that begin again write nothing: their rows stand.
func TestNodesThatBeginAgainWriteNothing(t *testing.T) {
	runInCell(t, largeCell, func(c *cell) {
		written := c.store.RowsWritten("nodes")
		for _, m := range c.nodes {
			c.stop(m)
		}
		for _, m := range c.nodes {
			c.start(m)
		}
		time.Sleep(2 * time.Second)
		if got := c.store.RowsWritten("nodes") - written; got != 0 {
			t.Errorf("%d rows of nodes were written", got)
		}
		if c.owner() == nil {
			t.Error("nobody owns the shard")
		}
	})
}

// Nodes that would not take the shard for long ask the store seldom while it has no owner, and
// follow the next one all the same.
func TestHowOftenNodesLookForAnOwner(t *testing.T) {
	const (
		outage = 4 * time.Second
		// maxCalls is for looks 50, 100, 200, 400 and 800 ms after one another and each 0.8 s, for
		// two tries to take the shard of six calls each, and for two calls of the feed.
		maxCalls = 22
	)
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		for _, m := range c.nodes {
			m.storeCaller.SetFault(func(write bool) memory.Fault { return memory.Fault{Refuse: write} })
		}
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(100 * time.Millisecond)
		callsBefore := map[*member]int{}
		for _, m := range c.nodes {
			callsBefore[m] = m.storeCaller.Calls()
		}
		time.Sleep(outage)
		far := 0
		for _, m := range c.nodes {
			if m != owner && m.storeCaller.Calls()-callsBefore[m] <= maxCalls {
				far++
			}
		}
		if want := largeCell - maxKnownMembers; far < want {
			t.Errorf("%d nodes asked the store at most %d times in %v, want %d", far, maxCalls, outage, want)
		}
		c.setStoreFault(nil)
		time.Sleep(3 * time.Second)
		next := c.owner()
		for _, m := range c.nodes {
			if m != owner && m.KnownOwner() != next.name {
				t.Errorf("%s follows %q, want %s", m.name, m.KnownOwner(), next.name)
			}
		}
	})
}

// A successor reads the workers while it reads the shard's rows, and every node soon follows it.
func TestASuccessorReadsWorkersAndRowsAtOnce(t *testing.T) {
	const readDelay = 600 * time.Millisecond // for each read
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		var mu sync.Mutex
		var listedBeforeLoad []string
		c.setOnWorkerList(func(m *member) {
			mu.Lock()
			defer mu.Unlock()
			if !m.ShardLoaded() {
				listedBeforeLoad = append(listedBeforeLoad, m.name)
			}
		})
		for _, m := range c.nodes {
			m.storeCaller.SetFault(func(write bool) memory.Fault {
				if write {
					return memory.Fault{}
				}
				return memory.Fault{Slow: readDelay}
			})
		}
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(5 * time.Second)
		next := c.owner()
		if next == nil {
			t.Fatal("nobody took the shard")
		}
		mu.Lock()
		defer mu.Unlock()
		if !slices.Contains(listedBeforeLoad, next.name) {
			t.Error("the rows were read before the workers")
		}
		for _, m := range c.nodes {
			if m != owner && m.KnownOwner() != next.name {
				t.Errorf("%s follows %q, want %s", m.name, m.KnownOwner(), next.name)
			}
		}
	})
}
