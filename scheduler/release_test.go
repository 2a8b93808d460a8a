package scheduler_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/rowstore/memory"
)

// slowStarts delays the first start call on its way, and loses the others while it is under way.
type slowStarts struct {
	fleet.Client
	delay time.Duration
	calls atomic.Int64
	host  atomic.Pointer[string] // of the first start
	// only, if set, is the one worker that is reached.
	only atomic.Pointer[string]
}

func (c *slowStarts) Start(ctx context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Clock, error) {
	c.host.CompareAndSwap(nil, &w.ID)
	if c.calls.Add(1) == 1 {
		go func() {
			time.Sleep(c.delay)
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			c.Client.Start(late, w, o)
		}()
	}
	<-ctx.Done()
	return 0, &fleet.NoResponseError{Cause: ctx.Err()}
}

func (c *slowStarts) Hold(ctx context.Context, w fleet.Worker, o fleet.HoldOrder) (fleet.Report, error) {
	if only := c.only.Load(); only != nil && *only != w.ID {
		<-ctx.Done()
		return fleet.Report{}, &fleet.NoResponseError{Cause: ctx.Err()}
	}
	report, err := c.Client.Hold(ctx, w, o)
	if only := c.only.Load(); only != nil && *only != w.ID { // the call was under way when the worker got out of reach
		<-ctx.Done()
		return fleet.Report{}, &fleet.NoResponseError{Cause: ctx.Err()}
	}
	return report, err
}

// reachOnly cuts an owner off from the store and from all workers but one.
func (c *cell) reachOnly(o *owner, slow *slowStarts, host string) {
	o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
	slow.only.Store(&host)
}

// handOver starts an owner that has the release of the last one, and does not reach a worker.
func (c *cell) handOver(former *owner, host string) *owner {
	c.t.Helper()
	release := former.StopExtendingLeases().WithReceipt(time.Now())
	caller := c.store.NewClient()
	seen, err := leadership.ReadOwner(c.ctx, caller, testShard)
	if err != nil {
		c.t.Fatal(err)
	}
	term, err := leadership.Acquire(c.ctx, caller, testShard, "node", "address", seen.WithRelease(release))
	if err != nil {
		c.t.Fatal(err)
	}
	if term.FormerRelease().Term == "" {
		c.t.Error("the release does not count")
	}
	c.blockedForNext = host
	return c.runOwner(caller, caller, term)
}

func withSlowOwner(t *testing.T, test func(c *cell, o *owner, slow *slowStarts, host string)) {
	withLastingTask(t, func(c *cell, first *owner, host string) {
		first.kill()
		time.Sleep(100 * time.Millisecond)
		o := c.startOwner()
		slow := &slowStarts{Client: o.client.Client}
		o.client.mu.Lock()
		o.client.Client = slow
		o.client.mu.Unlock()
		time.Sleep(2 * time.Second)
		test(c, o, slow, host)
	})
}

// Guards against a task that runs twice: an owner extends leases after it has released them.
func TestReleasedLeasesAreNotExtended(t *testing.T) {
	withSlowOwner(t, func(c *cell, o *owner, slow *slowStarts, host string) {
		hold, err := o.HoldCommits(c.ctx)
		if err != nil {
			t.Fatal(err)
		}
		defer hold()
		c.handOver(o, host)
		c.reachOnly(o, slow, host)
		c.awaitStarts(2, 15*time.Second) // fleettest checks that the first attempt has ended
	})
}

// Guards against a task that runs twice: an owner releases its leases while an earlier owner, which is cut off from the store,
// still extends the lease of a worker that the later one has not reached.
func TestReleaseCoversLeasesOfEarlierOwners(t *testing.T) {
	withSlowOwner(t, func(c *cell, o *owner, slow *slowStarts, host string) {
		c.reachOnly(o, slow, host)
		c.blockedForNext = host
		next := c.startOwner()
		time.Sleep(300 * time.Millisecond)
		hold, err := next.HoldCommits(c.ctx)
		if err != nil {
			t.Fatal(err)
		}
		defer hold()
		c.handOver(next, host)
		c.awaitStarts(2, 15*time.Second) // fleettest checks that the first attempt has ended
	})
}
