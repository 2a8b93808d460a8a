package scheduler_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/fleet/fleettest"
	"chutereach/proptest"
	"chutereach/rowstore/memory"
)

const (
	// restartLimit is how long after its last run a long-running task must run again.
	restartLimit = 9 * time.Second
	// noticeTime is how long an owner takes at most to notice that a worker has gone silent.
	noticeTime = 2 * time.Second
)

// ownerReplacement is a way in which the shard gets another owner.
type ownerReplacement func(c *cell, former *owner) *owner

// killAndReplace kills the owner. The next one takes over after the time that it takes to notice that.
func killAndReplace(c *cell, former *owner) *owner {
	former.kill()
	time.Sleep(400 * time.Millisecond)
	return c.startOwner()
}

// cutOffAndReplace cuts the owner off from the store. It still reaches the workers.
func cutOffAndReplace(c *cell, former *owner) *owner {
	former.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
	time.Sleep(400 * time.Millisecond)
	return c.startOwner()
}

// Guards against a long-running task that does not run again after its worker is lost, because each new owner waits
// anew until the lease of that worker has certainly expired.
func TestLostTaskRunsAgainWhileOwnersAreReplaced(t *testing.T) {
	replacements := map[string]ownerReplacement{"killed": killAndReplace, "cut off": cutOffAndReplace}
	for _, interval := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 6500 * time.Millisecond} {
		for how, replace := range replacements {
			t.Run(fmt.Sprintf("owner %s every %v", how, interval), func(t *testing.T) {
				withLastingTask(t, func(c *cell, o *owner, host string) {
					c.assertRestartsAfterCrash(o, host, noticeTime, replace, interval)
				})
			})
		}
	}
}

// Guards against the same if the owner is killed before it notices the loss of the worker.
func TestLostTaskRunsAgainIfOwnerIsKilledBeforeItNotices(t *testing.T) {
	for _, first := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond} {
		for _, interval := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 5800 * time.Millisecond, time.Minute} {
			t.Run(fmt.Sprintf("first after %v, then each %v", first, interval), func(t *testing.T) {
				withLastingTask(t, func(c *cell, o *owner, host string) {
					c.assertRestartsAfterCrash(o, host, first, killAndReplace, interval)
				})
			})
		}
	}
}

// assertRestartsAfterCrash ends the worker of the long-running task and replaces the owner again and again, first after a time and
// then at intervals. It checks that the task runs again in time.
func (c *cell) assertRestartsAfterCrash(o *owner, host string, first time.Duration, replace ownerReplacement, interval time.Duration) {
	c.t.Helper()
	c.fleet.Crash(host)
	crashedAt := time.Now()
	time.Sleep(first)
	for c.fleet.Starts() < 2 && time.Since(crashedAt) < time.Minute {
		o = replace(c, o)
		for end := time.Now().Add(interval); c.fleet.Starts() < 2 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if took := time.Since(crashedAt); took > restartLimit {
		c.t.Errorf("the task ran again %v after its worker was lost, want at most %v", took, restartLimit)
	}
}

// Guards against a task that runs twice: the owner reaches a worker again whose lease bound it has stored, and cannot withdraw
// the bound before its successor uses it.
func TestLeaseIsNotExtendedBeforeItsBoundIsWithdrawn(t *testing.T) {
	withLastingTaskAndLease(t, fleettest.MaxLease, func(c *cell, o *owner, host string) {
		o.client.blockWorker(host)
		time.Sleep(noticeTime + 500*time.Millisecond)
		o.client.blockWorker("")
		c.blockedForNext = host
		cutOffAndReplace(c, o)
		c.awaitStarts(2, 15*time.Second) // fleettest checks that the first attempt has ended
	})
}

// Guards against a lease that expires on a worker that is out of reach for a moment, because it is not extended any more.
func TestLeaseIsExtendedAgainAfterSilence(t *testing.T) {
	for name, replace := range map[string]ownerReplacement{
		"same owner": func(_ *cell, former *owner) *owner { return former },
		"next owner": killAndReplace,
	} {
		t.Run(name, func(t *testing.T) {
			withLastingTaskAndLease(t, fleettest.MaxLease, func(c *cell, o *owner, host string) {
				o.client.blockWorker(host)
				time.Sleep(noticeTime + 500*time.Millisecond)
				o = replace(c, o)
				o.client.blockWorker("")
				time.Sleep(10 * time.Second)
				c.assertNotRestarted(host)
			})
		})
	}
}

// seriesEvent is a change of the owner or a loss or return of a worker.
type seriesEvent struct {
	Kind   seriesEventKind
	Worker int
	// Loses is whether the owner that an event brings does not reach the worker, while a former one that is cut off does.
	Loses bool
	Pause int // in milliseconds, until the next event
}

type seriesEventKind int

const (
	killOwnerNow seriesEventKind = iota
	cutOwnerOff
	killOwnerForEarlierBuild // an owner of an earlier build is the next one
	loseWorker
	loseReach        // for all owners, from now on
	loseReachOfOwner // for the current owner only
	restoreReach     // those that are unreachable
	seriesEventKinds
)

// Any series of owners that are replaced, and of workers that are lost, out of reach and back. No task may run twice at
// a time, and all long-running tasks run in the end.
func TestOwnersAndLossesInAnyOrder(t *testing.T) {
	t.Parallel()
	events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) seriesEvent {
		return seriesEvent{
			Kind:   seriesEventKind(rapid.IntRange(0, int(seriesEventKinds)-1).Draw(t, "kind")),
			Loses:  rapid.Bool().Draw(t, "loses"),
			Worker: rapid.IntRange(0, 5).Draw(t, "worker"),
			Pause:  rapid.IntRange(10, 5000).Draw(t, "pause"),
		}
	}), 5, 25)
	proptest.Check(t, func(rt *rapid.T) {
		list := events.Draw(rt, "events")
		withCell(t, 12, func(c *cell) {
			c.t.Cleanup(func() {
				if c.t.Failed() {
					c.t.Logf("events: %#v", list)
				}
			})
			c.lease = shortLease
			series := newOwnerSeries(c)
			for _, e := range list {
				series.apply(e)
				time.Sleep(time.Duration(e.Pause) * time.Millisecond)
			}
			series.settle()
		})
	})
}

// ownerSeries applies seriesEvents to a cell whose workers run long-running tasks.
type ownerSeries struct {
	*cell
	owner       *owner
	unreachable map[string]bool // for all owners
	lost        map[int]bool
}

const lastingTasks = 24

func newOwnerSeries(c *cell) *ownerSeries {
	s := &ownerSeries{cell: c, owner: c.startOwner(), unreachable: map[string]bool{}, lost: map[int]bool{}}
	time.Sleep(500 * time.Millisecond)
	lasting := newRequest(lastingTasks, 4000)
	lasting.Steps[0].LongRunning, lasting.Steps[0].MaxPerWorker = true, 4
	if err := c.submit(s.owner, "lasting", lasting, succeedAfter(time.Hour)); err != nil {
		c.t.Fatal(err)
	}
	c.awaitStarts(lastingTasks, time.Second)
	return s
}

func (s *ownerSeries) apply(e seriesEvent) {
	worker := fmt.Sprintf("w-%02d", e.Worker)
	if e.Loses {
		s.blockedForNext = worker
		s.owner.client.blockWorker("")
	}
	defer func() { s.blockedForNext = "" }()
	switch e.Kind {
	case killOwnerNow:
		s.owner = killAndReplace(s.cell, s.owner)
	case cutOwnerOff:
		s.owner = cutOffAndReplace(s.cell, s.owner)
	case killOwnerForEarlierBuild:
		s.owner.kill()
		time.Sleep(400 * time.Millisecond)
		s.owner = s.startOwnerOf(withoutLeaseBounds)
	case loseWorker:
		if len(s.lost) < 4 && !s.lost[e.Worker] {
			s.lost[e.Worker] = true
			s.fleet.Crash(worker)
		}
	case loseReach:
		s.unreachable[worker] = true
		s.setReach()
	case loseReachOfOwner:
		s.owner.client.blockWorker(worker)
	case restoreReach:
		s.unreachable = map[string]bool{}
		s.setReach()
		s.owner.client.blockWorker("")
	}
}

// setReach loses the calls of all owners to the unreachable workers.
func (s *ownerSeries) setReach() {
	unreachable := maps.Clone(s.unreachable) // calls read it while later events change the other
	s.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
		return fleettest.Fault{RequestLost: unreachable[worker]}
	})
}

// settle lets all workers return, and checks that all tasks run.
func (s *ownerSeries) settle() {
	s.apply(seriesEvent{Kind: restoreReach})
	for end := time.Now().Add(30 * time.Second); s.fleet.Running() != lastingTasks && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	if running := s.fleet.Running(); running != lastingTasks {
		s.t.Errorf("%d long-running tasks are running in the end, want %d", running, lastingTasks)
	}
}
