package node_test

import (
	"errors"
	"testing"
	"time"

	"chutereach/node"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// leave stops a node as planned work does, and ends its process.
func (c *cell) leave(m *member) {
	m.Stop(c.ctx)
	time.Sleep(200 * time.Millisecond)
	c.stop(m)
}

// wantAcceptedWithin fails the test unless a job is accepted at a node within a limit.
func (c *cell) wantAcceptedWithin(limit time.Duration, m *member, id string) {
	c.t.Helper()
	startedAt := time.Now()
	for c.submit(m, id) != nil {
		if time.Since(startedAt) > limit {
			c.t.Errorf("%s: no job accepted within %v", id, limit)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against 10 s without an accepted job at each change of the owner after most nodes have left: a node that left as
// planned counted as one whose acknowledgement is missing.
func TestDepartedNodesDoNotDelayNewOwners(t *testing.T) {
	runInCell(t, 9, func(c *cell) {
		for _, m := range c.nodes[:5] {
			c.leave(m)
		}
		remaining := c.nodes[5:]
		for _, m := range remaining {
			c.stop(m)
		}
		for _, m := range remaining {
			c.start(m)
		}
		c.wantAcceptedWithin(4*time.Second, remaining[3], "after all were killed")
		c.stop(c.owner())
		c.wantAcceptedWithin(4*time.Second, c.runningNodeOtherThan(nil), "after the owner was killed")
	})
}

// Guards against nodes that count as departed for good: a node that has restarted counts as present again.
func TestReturnedNodeIsNotMarkedAsDeparted(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		m := c.nodeOtherThan(c.owner())
		c.leave(m)
		c.wantDeparted(m, true)
		c.start(m)
		time.Sleep(2 * time.Second)
		c.wantDeparted(m, false)
	})
}

// Guards against a former owner that counts a returned node although the mark of its former process may still arrive: a
// mark that the store applies late does not replace the row of the later process.
func TestLateDepartureMarkIsNotApplied(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		m := c.nodeOtherThan(c.owner())
		m.storeCaller.SetFault(func(write bool) memory.Fault {
			if write {
				return memory.Fault{ApplyDelay: 5 * time.Second}
			}
			return memory.Fault{}
		})
		c.leave(m)
		c.start(m)
		time.Sleep(10 * time.Second)
		c.wantDeparted(m, false)
	})
}

// Guards against a proof that counts a node which a new owner no longer waits for: a node that stops does not confirm.
func TestStoppingNodeDoesNotConfirm(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		owner := c.owner()
		wantNoError(t, "proof while all nodes run", owner.ProveSoleOwner(c.ctx))
		c.nodeOtherThan(owner).Stop(c.ctx)
		var doubt *node.OwnershipDoubtError
		if err := owner.ProveSoleOwner(c.ctx); !errors.As(err, &doubt) {
			t.Errorf("proof beside a node that stops: %v, want an OwnershipDoubtError", err)
		}
	})
}

func (c *cell) wantDeparted(m *member, want bool) {
	c.t.Helper()
	row, found := c.store.Row(rowstore.Key{Table: "nodes", Name: m.RowName()})
	if !found {
		c.t.Errorf("%s has no row", m.name)
		return
	}
	if got := node.IsDepartedRow(row); got != want {
		c.t.Errorf("the row of %s says that it has departed: %v, want %v", m.name, got, want)
	}
}

// Guards against a proof that counts a node which a new owner takes for departed: a restarted node confirms nothing until it
// has replaced its row.
func TestRestartedNodeConfirmsOnlyWithItsRow(t *testing.T) {
	runInCell(t, 4, func(c *cell) {
		owner := c.owner()
		m := c.nodeOtherThan(owner)
		c.leave(m)
		c.start(m)
		m.storeCaller.SetFault(func(write bool) memory.Fault { return memory.Fault{Reject: write} })
		time.Sleep(5 * time.Second)
		var doubt *node.OwnershipDoubtError
		if err := owner.ProveSoleOwner(c.ctx); !errors.As(err, &doubt) {
			t.Errorf("proof beside a node with a departed row: %v, want an OwnershipDoubtError", err)
		}
		m.storeCaller.SetFault(nil)
		time.Sleep(2 * time.Second)
		wantNoError(t, "proof once the row is replaced", owner.ProveSoleOwner(c.ctx))
	})
}
