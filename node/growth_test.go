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

// maxKnownMembers bounds the members that a node knows if it has never owned the shard: the succession
// and itself.
const maxKnownMembers = 14

// countMemberRows returns the number of member rows in a page.
func countMemberRows(page rowstore.Page) int {
	count := 0
	for _, row := range page.Rows {
		if row.Table == "nodes" {
			count++
		}
	}
	return count
}

// Only the owner knows all members. The member rows that other nodes read at startup and the members
// that they learn from heartbeats must not grow with the cell.
func TestKnownMembersAreBounded(t *testing.T) {
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		if got := owner.MemberCount(); got != largeCell {
			t.Errorf("the owner knows %d members, want %d", got, largeCell)
		}
		var restarted *member
		for _, m := range c.nodes {
			if m != owner && m.MemberCount() > maxKnownMembers {
				t.Errorf("%s knows %d members, want %d at most", m.name, m.MemberCount(), maxKnownMembers)
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
			t.Errorf("%s read %d member rows, want %d at most", restarted.name, got, maxKnownMembers)
		}
		if err := restarted.Ready(); err != nil {
			t.Error(err)
		}
	})
}

// A restarted node does not rewrite its member row if the row is unchanged.
func TestRestartedNodesDoNotRewriteRows(t *testing.T) {
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
			t.Errorf("%d member rows written, want 0", got)
		}
		if c.owner() == nil {
			t.Error("no node owns the shard")
		}
	})
}

// While the shard has no owner, nodes outside the succession poll the store with backoff. They must
// still find the next owner.
func TestOwnerPollingBacksOff(t *testing.T) {
	const (
		outage = 4 * time.Second
		// maxCalls allows for reads of the owner row at intervals that double from 50 ms to 800 ms, two
		// takeover attempts of six calls each, and two calls of the feed.
		maxCalls = 22
	)
	runInCell(t, largeCell, func(c *cell) {
		owner := c.owner()
		for _, m := range c.nodes {
			m.storeCaller.SetFault(func(write bool) memory.Fault { return memory.Fault{Reject: write} })
		}
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(100 * time.Millisecond)
		callsBefore := map[*member]int{}
		for _, m := range c.nodes {
			callsBefore[m] = m.storeCaller.CallCount()
		}
		time.Sleep(outage)
		backedOff := 0
		for _, m := range c.nodes {
			if m != owner && m.storeCaller.CallCount()-callsBefore[m] <= maxCalls {
				backedOff++
			}
		}
		if want := largeCell - maxKnownMembers; backedOff < want {
			t.Errorf("%d nodes made at most %d calls to the store in %v, want %d or more", backedOff, maxCalls, outage, want)
		}
		c.setStoreFault(nil)
		time.Sleep(3 * time.Second)
		next := c.owner()
		for _, m := range c.nodes {
			if m != owner && m.KnownOwner() != next.name {
				t.Errorf("%s follows owner %q, want %s", m.name, m.KnownOwner(), next.name)
			}
		}
	})
}

// A successor lists the workers while it loads the shard, not after that.
func TestSuccessorListsWorkersWhileLoading(t *testing.T) {
	const readDelay = 600 * time.Millisecond
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
				return memory.Fault{Delay: readDelay}
			})
		}
		c.stop(owner)
		defer c.start(owner)
		time.Sleep(5 * time.Second)
		next := c.owner()
		if next == nil {
			t.Fatal("no node took over the shard")
		}
		mu.Lock()
		defer mu.Unlock()
		if !slices.Contains(listedBeforeLoad, next.name) {
			t.Error("the successor did not list the workers until the shard was loaded")
		}
		for _, m := range c.nodes {
			if m != owner && m.KnownOwner() != next.name {
				t.Errorf("%s follows owner %q, want %s", m.name, m.KnownOwner(), next.name)
			}
		}
	})
}
