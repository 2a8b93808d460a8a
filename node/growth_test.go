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

// mostKnown is how many members a node knows that never owned the shard: the succession and itself.
const mostKnown = 14

// rowsOfMembers counts the rows of members that a caller of the store was sent.
func rowsOfMembers(page rowstore.Page) int {
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
	inCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		if got := owner.MemberCount(); got != largeCell {
			t.Errorf("the owner knows %d nodes, want %d", got, largeCell)
		}
		var anew *member
		for _, m := range c.nodes {
			if m != owner && m.MemberCount() > mostKnown {
				t.Errorf("%s knows %d nodes, want %d at most", m.name, m.MemberCount(), mostKnown)
			}
			if m != owner {
				anew = m
			}
		}
		c.stop(anew)
		c.start(anew)
		var read atomic.Int64
		anew.caller.Observe(func(page rowstore.Page) { read.Add(int64(rowsOfMembers(page))) })
		time.Sleep(5 * time.Second)
		if got := read.Load(); got > mostKnown {
			t.Errorf("%s has read %d rows of members, want %d at most", anew.name, got, mostKnown)
		}
		if err := anew.Ready(); err != nil {
			t.Error(err)
		}
	})
}

// Nodes that begin again write nothing: their rows stand.
func TestNodesThatBeginAgainWriteNothing(t *testing.T) {
	inCell(t, largeCell, func(c *cell) {
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
		ownerless = 4 * time.Second
		// mostCalls is for looks 50, 100, 200, 400 and 800 ms after one another and each 0.8 s, for
		// two tries to take the shard of six calls each, and for two calls of the feed.
		mostCalls = 22
	)
	inCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		for _, m := range c.nodes {
			m.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{Refuse: write} })
		}
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(100 * time.Millisecond)
		before := map[*member]int{}
		for _, m := range c.nodes {
			before[m] = m.caller.Calls()
		}
		time.Sleep(ownerless)
		far := 0
		for _, m := range c.nodes {
			if m != owner && m.caller.Calls()-before[m] <= mostCalls {
				far++
			}
		}
		if want := largeCell - mostKnown; far < want {
			t.Errorf("%d nodes asked the store at most %d times in %v, want %d", far, mostCalls, ownerless, want)
		}
		c.harmStore(nil)
		time.Sleep(3 * time.Second)
		next := c.owner()
		for _, m := range c.nodes {
			if m != owner && m.FollowedOwner() != next.name {
				t.Errorf("%s follows %q, want %s", m.name, m.FollowedOwner(), next.name)
			}
		}
	})
}

// A successor reads the workers while it reads the shard's rows, and every node soon follows it.
func TestASuccessorReadsWorkersAndRowsAtOnce(t *testing.T) {
	const slow = 600 * time.Millisecond // for each read
	inCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		var mu sync.Mutex
		var early []string
		c.onListing(func(m *member) {
			mu.Lock()
			defer mu.Unlock()
			if !m.ShardLoaded() {
				early = append(early, m.name)
			}
		})
		for _, m := range c.nodes {
			m.caller.SetFault(func(write bool) memory.Fault {
				if write {
					return memory.Fault{}
				}
				return memory.Fault{Slow: slow}
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
		if !slices.Contains(early, next.name) {
			t.Error("the rows were read before the workers")
		}
		for _, m := range c.nodes {
			if m != owner && m.FollowedOwner() != next.name {
				t.Errorf("%s follows %q, want %s", m.name, m.FollowedOwner(), next.name)
			}
		}
	})
}
