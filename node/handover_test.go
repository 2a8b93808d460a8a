package node_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
)

// An owner without a suitable successor must not block transactions while it asks the candidates.
func TestHandoverWithoutSuccessorDoesNotBlock(t *testing.T) {
	runInCell(t, 9, func(c *cell) {
		time.Sleep(3 * time.Second)
		owner := c.owner()
		for _, m := range c.nodes {
			if m != owner {
				m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 300 * time.Millisecond} })
			}
		}
		for i := range 10 {
			owner.AddTimerLag(time.Second)
			time.Sleep(200 * time.Millisecond)
			startedAt := time.Now()
			if err := c.submit(owner, fmt.Sprintf("job-%d", i)); err != nil {
				t.Error(err)
			}
			if took := time.Since(startedAt); took > 200*time.Millisecond {
				t.Errorf("job accepted after %v, want 200ms at most", took)
			}
		}
	})
}

// handoverLimit bounds the time without an owner when the store fails for the owner alone. Urgent jobs
// have about 0.5 s of slack.
const handoverLimit = 400 * time.Millisecond

// An owner that loses the store while other nodes reach it hands over before urgent jobs are late.
func TestOwnerWithoutStoreHandsOver(t *testing.T) {
	for name, fault := range map[string]memory.Fault{"refused": {Reject: true}, "unanswered": {DropRequest: true}} {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 9, func(c *cell) {
				former := c.owner()
				former.storeCaller.SetFault(func(bool) memory.Fault { return fault })
				time.Sleep(handoverLimit)
				if next := c.owner(); next == nil || next == former {
					t.Errorf("no other node owns the shard after %v", handoverLimit)
				}
			})
		})
	}
}

// The owner keeps the shard if the store is slow for all nodes.
func TestNoHandoverWhenStoreIsSlowForAll(t *testing.T) {
	for _, slow := range []time.Duration{30 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			runInCell(t, 9, func(c *cell) {
				former := c.owner()
				c.setStoreFault(&memory.Fault{Delay: slow})
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					if c.owner() != former {
						t.Fatalf("%s lost the shard", former.name)
					}
				}
			})
		})
	}
}

// A successor that the store refuses between takeover and load must hand the shard over instead of
// retrying the load.
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
			tookOver := false
			m.storeCaller.SetFault(func(write bool) memory.Fault {
				refuse := tookOver
				tookOver = tookOver || write
				return memory.Fault{Reject: refuse}
			})
			break // only the first candidate
		}
		former.Stop(c.ctx)
		startedAt := time.Now()
		for c.submit(c.nodes[3], "after") != nil {
			if time.Since(startedAt) > 3*time.Second {
				t.Fatal("no job accepted within 3 s of the handover")
			}
			time.Sleep(20 * time.Millisecond) // refusals do not advance the synctest clock
		}
		c.awaitCompleted(c.nodes[3], "before", 10*time.Second)
		c.awaitCompleted(c.nodes[3], "after", 10*time.Second)
	})
}

// A slow load of a large shard must not trigger further handovers: the load would be as slow on any
// other node.
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
					loading = 3 // the next three reads load the shard's tables
				case !write && loading > 0:
					loading--
					return memory.Fault{Delay: 1200 * time.Millisecond}
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
			t.Errorf("%d nodes took over the shard, want 1", len(owners))
		}
		if err := c.submit(c.nodes[3], "job"); err != nil {
			t.Error(err)
		}
		c.awaitCompleted(c.nodes[3], "job", 5*time.Second)
	})
}

// A cancellation that reaches the former owner while the successor's answer to a handover is lost must not
// be answered with an unknown job: the successor has accepted the job and goes on with it.
func TestCancelDuringUnansweredHandover(t *testing.T) {
	runInCell(t, 3, func(c *cell) {
		former := c.owner()
		for _, m := range c.nodes {
			if m != former {
				c.isolateOnceOwner(m)
			}
		}
		go former.Stop(c.ctx)
		successor := c.awaitOtherOwner(former, time.Second)
		if successor == nil {
			t.Fatal("no other node owns the shard after 1 s")
		}
		if err := c.submit(successor, "job"); err != nil {
			t.Fatal(err)
		}
		for _, m := range c.nodes {
			if m == successor {
				continue
			}
			var unknown *scheduler.UnknownJobError
			if err := m.Cancel(c.ctx, anonymousCaller, "job"); errors.As(err, &unknown) {
				t.Errorf("%s: %v, want no such answer: %s has accepted the job", m.name, err, successor.name)
			}
		}
		successor.storeCaller.SetFault(nil)
		for _, m := range c.nodes {
			c.network.Heal(successor.name, m.name)
		}
		for _, m := range c.nodes {
			c.cancelWithRetry(m, "job", 3*time.Second)
		}
	})
}

// cancelWithRetry cancels a job as a caller does, again after each failure, and fails the test if that does not
// succeed within a time or the job is denied.
func (c *cell) cancelWithRetry(m *member, id string, within time.Duration) {
	c.t.Helper()
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var unknown *scheduler.UnknownJobError
		if err = m.Cancel(c.ctx, anonymousCaller, id); err == nil || errors.As(err, &unknown) {
			break
		}
	}
	if err != nil {
		c.t.Errorf("%s: cancellation of %s: %v", m.name, id, err)
	}
}

// isolateOnceOwner blocks what a node sends to the others whenever it writes to the store, as it does from the
// moment it takes the shard.
func (c *cell) isolateOnceOwner(m *member) {
	m.storeCaller.SetFault(func(write bool) memory.Fault {
		if write {
			for _, other := range c.nodes {
				c.network.Partition(m.name, other.name)
			}
		}
		return memory.Fault{}
	})
}
