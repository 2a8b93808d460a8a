package node_test

import (
	"errors"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
)

// Guards against a false rejection: the transaction with a job is applied, but its owner does not learn that before a
// worker has told it that another node owns the shard. That node runs the job, so the submission must not be answered
// with an error that says it will not run, even if no owner can be reached.
func TestSubmissionWithLostTransactionIsNotRejected(t *testing.T) {
	callers := map[string]func(*cell, *member) *member{"at the owner": ownerItself, "at another node": connectedNode}
	for name, callerOf := range callers {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 4, func(c *cell) {
				former := c.owner()
				caller := callerOf(c, former)
				c.partitionFrom(former, caller)
				former.storeCaller.SetFault(func(write bool) memory.Fault {
					return memory.Fault{DropResponse: write, DropRequest: !write}
				})
				wantUnconfirmed(t, "submission", c.submit(caller, "job"))
				successor := c.awaitOtherOwner(former, time.Second)
				if successor == nil {
					t.Fatal("no other node owns the shard")
				}
				c.awaitCompleted(successor, "job", 8*time.Second)
			})
		})
	}
}

func ownerItself(_ *cell, former *member) *member { return former }

// connectedNode returns a node that does not take the shard over because the store refuses its calls.
func connectedNode(c *cell, former *member) *member {
	m := c.nodeOtherThan(former)
	m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
	return m
}

// partitionFrom cuts two nodes, which may be the same one, off from all others.
func (c *cell) partitionFrom(a, b *member) {
	for _, m := range c.nodes {
		if m == a || m == b {
			continue
		}
		for _, cut := range []*member{a, b} {
			c.network.Partition(cut.name, m.name)
			c.network.Partition(m.name, cut.name)
		}
	}
}

// wantUnconfirmed fails the test unless err says that the outcome of a call is unknown.
func wantUnconfirmed(t *testing.T, what string, err error) {
	t.Helper()
	wantError[*scheduler.UnconfirmedError](t, what, err)
}

func wantError[E error](t *testing.T, what string, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("%s: got %v (%T), want %T", what, err, err, want)
	}
}
