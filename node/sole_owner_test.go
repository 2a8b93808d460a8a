package node_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
)

// failStore makes the store refuse the calls of all nodes and waits until the owner counts it as down.
func (c *cell) failStore() {
	for _, m := range c.nodes {
		m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
	}
	time.Sleep(1500 * time.Millisecond)
}

// wantAnswerWithin fails the test if a submission at a node takes longer than a limit, and returns its error.
func (c *cell) wantAnswerWithin(limit time.Duration, m *member, id string) error {
	c.t.Helper()
	startedAt := time.Now()
	err := c.submit(m, id)
	if took := time.Since(startedAt); took > limit {
		c.t.Errorf("submission at %s took %v, want at most %v", m.name, took, limit)
	}
	return err
}

// Guards against an unknown outcome where the other nodes prove that a submission will not run: while the store is down
// for all nodes, the owner rejects a submission at once, and the job does not run later.
func TestSubmissionIsRejectedWhileStoreIsDownForAll(t *testing.T) {
	for name, count := range map[string]int{"one node": 1, "three nodes": 3, "more nodes than a succession": 20} {
		t.Run(name, func(t *testing.T) {
			runInCell(t, count, func(c *cell) {
				c.failStore()
				for _, m := range []*member{c.owner(), c.nodes[len(c.nodes)-1]} {
					wantError[*scheduler.RejectedError](t, "submission at "+m.name, c.wantAnswerWithin(150*time.Millisecond, m, "job"))
				}
				for _, m := range c.nodes {
					m.storeCaller.SetFault(nil)
				}
				time.Sleep(3 * time.Second)
				if got := c.fleet.Starts(); got != 0 {
					t.Errorf("tasks of a rejected job started %d times, want 0", got)
				}
			})
		})
	}
}

// Guards against a false rejection while the store is down: a node that does not vouch may have owned the shard and
// accepted the job from an earlier submission.
func TestSubmissionIsNotRejectedIfNodeMayHaveOwnedShard(t *testing.T) {
	cases := map[string]func(*cell, *member){
		"ended": (*cell).stop,
		"restarted": func(c *cell, m *member) {
			c.stop(m)
			c.start(m)
			m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		},
		"cut off from the owner": func(c *cell, m *member) {
			c.network.Partition(m.name, c.owner().name)
			c.network.Partition(c.owner().name, m.name)
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 3, func(c *cell) {
				owner := c.owner()
				c.failStore()
				disturb(c, c.nodeOtherThan(owner))
				err := c.wantAnswerWithin(300*time.Millisecond, owner, "job")
				wantError[*scheduler.NotCarriedOutError](t, "submission", err)
			})
		})
	}
}

// Guards against an unknown outcome because a few nodes are gone, and against a false rejection because many are.
func TestFewDoubtfulNodesDoNotPreventRejection(t *testing.T) {
	const members = 12
	const mayBeGone = 5
	for gone := range mayBeGone + 3 {
		t.Run(fmt.Sprintf("%d nodes ended", gone), func(t *testing.T) {
			runInCell(t, members, func(c *cell) {
				owner := c.owner()
				c.failStore()
				for range gone {
					c.stop(c.runningNodeOtherThan(owner))
				}
				err := c.wantAnswerWithin(300*time.Millisecond, owner, "job")
				if gone > mayBeGone {
					wantError[*scheduler.NotCarriedOutError](t, "submission", err)
				} else {
					wantError[*scheduler.RejectedError](t, "submission", err)
				}
			})
		})
	}
}

func (c *cell) runningNodeOtherThan(excluded *member) *member {
	for _, m := range c.nodes {
		if m != excluded && !m.Stopped() {
			return m
		}
	}
	c.t.Fatal("no other node runs")
	return nil
}

// Guards against jobs that are accepted in place of an owner whose proof does not reach the new owner: a node that is cut
// off from the others takes the shard, and accepts jobs only after the proofs of the former owner have expired.
func TestCutOffSuccessorAcceptsNoJobs(t *testing.T) {
	runInCell(t, 8, func(c *cell) {
		former := c.owner()
		for _, w := range c.fleet.List() {
			c.fleet.Crash(w.ID) // workers would tell the former owner of its successor
		}
		successor := c.nodeOtherThan(former)
		c.partitionFrom(successor, successor)
		for _, m := range c.nodes {
			if m != successor {
				m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
			}
		}
		startedAt := time.Now()
		for rejections := 0; time.Since(startedAt) < 15*time.Second; time.Sleep(500 * time.Millisecond) {
			id := fmt.Sprintf("job-%v", time.Since(startedAt))
			accepted, err := c.submit(successor, id) == nil, c.submit(former, id)
			var rejected *scheduler.RejectedError
			if errors.As(err, &rejected) {
				rejections++
				if accepted {
					t.Errorf("%s: accepted by the successor, rejected by the former owner", id)
				}
			}
			if since := time.Since(startedAt); since > 6*time.Second && since < 7*time.Second && (rejections == 0 || accepted) {
				t.Errorf("after %v: %d rejections by the former owner, accepted by the successor: %v; want some and false", since, rejections, accepted)
			}
		}
		if !successor.Owns() {
			t.Error("the node that the store answers does not own the shard")
		}
		if err := c.submit(successor, "job"); err != nil {
			t.Errorf("submission after the proofs have expired: %v", err)
		}
	})
}

// Guards against a false rejection by a replaced owner that has not noticed its replacement: it is cut off from the
// store and the other nodes, and its successor has accepted the job.
func TestCutOffOwnerDoesNotRejectAcceptedJobs(t *testing.T) {
	faults := map[string]memory.Fault{"store refuses calls": {Reject: true}, "store does not answer": {DropRequest: true}}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 4, func(c *cell) {
				former := c.owner()
				for _, w := range c.fleet.List() {
					c.fleet.Crash(w.ID) // workers would tell the former owner of its successor
				}
				c.partitionFrom(former, former)
				former.storeCaller.SetFault(func(bool) memory.Fault { return fault })
				successor := c.awaitOtherOwner(former, 5*time.Second)
				if successor == nil {
					t.Fatal("no other node owns the shard")
				}
				if err := c.submit(successor, "job"); err != nil {
					t.Fatal(err)
				}
				var rejected *scheduler.RejectedError
				for _, pause := range []time.Duration{0, 200 * time.Millisecond, time.Second, removedAfter} {
					time.Sleep(pause)
					if err := c.submit(former, "job"); err == nil || errors.As(err, &rejected) {
						t.Errorf("former owner: %v, want an unknown outcome: its successor has accepted the job", err)
					}
				}
			})
		})
	}
}

// Guards against a false rejection by a node that cannot route a submission: an owner denies that a job exists only
// with a proof.
func TestConfirmAbsent(t *testing.T) {
	runInCell(t, 3, func(c *cell) {
		for _, m := range c.nodes {
			wantNoError(t, "unknown job at "+m.name, m.ConfirmAbsent(c.ctx, "job"))
		}
		if err := c.submit(c.nodes[0], "job"); err != nil {
			t.Fatal(err)
		}
		for _, m := range c.nodes {
			if err := m.ConfirmAbsent(c.ctx, "job"); err == nil {
				t.Errorf("accepted job at %s: got no error, want one", m.name)
			}
		}
		c.failStore()
		c.stop(c.nodeOtherThan(c.owner()))
		if err := c.owner().ConfirmAbsent(c.ctx, "other"); err == nil {
			t.Error("unknown job without a proof: got no error, want one")
		}
	})
}
