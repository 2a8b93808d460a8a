package scheduler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/leadership"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// Guards against a task that runs twice: its attempt moves to the next incarnation of its worker, whose lease the owner
// extends while the store has a bound for the former one.
func TestMovedAttemptKeepsBoundOfFormerIncarnation(t *testing.T) {
	// The late start gives a lease by the clock of the former incarnation, which ends before the bound after this uptime.
	const uptime = 1300 * time.Millisecond
	withCell(t, 4, func(c *cell) {
		c.lease = shortLease
		c.hideStartTimes()
		o := c.startOwner()
		slow := &slowStarts{Client: o.client.Client, delay: 500 * time.Millisecond}
		o.client.mu.Lock()
		o.client.Client = slow
		o.client.mu.Unlock()
		time.Sleep(uptime) // the clock of the next incarnation is lower
		lasting := newRequest(1, 2000)
		lasting.Steps[0].LongRunning = true
		if err := c.submit(o, "lasting", lasting, succeedAfter(time.Hour)); err != nil {
			t.Fatal(err)
		}
		for slow.calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		host := *slow.host.Load()
		var lost atomic.Bool
		c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
			return fleettest.Fault{RequestLost: call == fleettest.CallHold && worker == host && lost.Load()}
		})
		c.fleet.RestartSameID(host, 300*time.Millisecond)
		time.Sleep(200 * time.Millisecond) // the bound is stored
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		slow.only.Store(&host)
		lost.Store(true)
		time.Sleep(350 * time.Millisecond) // the late start has reached the next incarnation
		lost.Store(false)
		time.Sleep(100 * time.Millisecond)
		c.blockedForNext = host
		c.startOwner()
		c.awaitStarts(2, 10*time.Second) // fleettest checks that the first attempt has ended
	})
}

// Guards against a task that runs twice: a late call may have granted a restarted worker the longest lease that workers accept,
// and the owner's release must cover it.
func TestReleaseCoversLongestLeases(t *testing.T) {
	for name, releases := range map[string]bool{"released": true, "not released": false} {
		t.Run(name, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				c.lease = shortLease
				o := c.startOwner()
				time.Sleep(5 * time.Second)
				for i, id := range []string{"w-00", "w-01"} {
					c.fleet.OverrideEntry(id, func(w fleet.Worker) fleet.Worker {
						w.StartTime = int64(1 + i)
						return w
					})
				}
				var delayedCalls atomic.Int64
				delayed := map[string]bool{}
				c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
					if call != fleettest.CallHold || delayed[worker] {
						return fleettest.Fault{}
					}
					delayed[worker] = true
					delayedCalls.Add(1)
					time.AfterFunc(100*time.Millisecond, func() { c.fleet.RestartSameID(worker, 50*time.Millisecond) })
					return fleettest.Fault{Delay: time.Second}
				})
				for delayedCalls.Load() < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(1500 * time.Millisecond) // the delayed call has been executed and has timed out
				c.fleet.OverrideEntry("w-00", nil)
				c.fleet.OverrideEntry("w-01", nil)
				if err := c.submit(o, "job", fullWorkerRequest(), succeedAfter(8*time.Second)); err != nil {
					t.Fatal(err)
				}
				c.awaitStarts(1, 2*time.Second)
				host := c.fleet.WorkerOf("job.0.0.0")
				c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
					return fleettest.Fault{RequestLost: worker == host}
				})
				hold, err := o.HoldCommits(c.ctx)
				if err != nil {
					t.Fatal(err)
				}
				defer hold()
				release := leadership.Release{}
				if releases {
					release = o.StopExtendingLeases().WithReceipt(time.Now())
				}
				caller := c.store.NewClient()
				seen, err := leadership.ReadOwner(c.ctx, caller, testShard)
				if err != nil {
					t.Fatal(err)
				}
				term, err := leadership.Acquire(c.ctx, caller, testShard, "node", "address", seen.WithRelease(release))
				if err != nil {
					t.Fatal(err)
				}
				o.kill()
				next := c.runOwner(caller, caller, term)
				c.awaitState(next, "job", workload.Completed, 40*time.Second)
			})
		})
	}
}
