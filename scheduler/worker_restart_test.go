package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// fullWorkerRequest returns a request with one task that takes all CPU of a worker.
func fullWorkerRequest() workload.Request { return newRequest(1, 16_000) }

// assertStarts checks the number of attempts that the fleet has started.
func (c *cell) assertStarts(want int) {
	c.t.Helper()
	if got := c.fleet.Starts(); got != want {
		c.t.Errorf("%d starts, want %d", got, want)
	}
}

// A start without an answer is executed only after its worker has restarted, when the owner has
// already ended the attempt. The stray attempt is stopped, and its capacity is not reassigned
// before that.
func TestDelayedStartAfterWorkerRestart(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		c.injectFault(fleettest.CallStart, fleettest.Fault{Delay: 700 * time.Millisecond})
		if err := c.submit(o, "job", fullWorkerRequest(), succeedAfter(4*time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		c.fleet.SetFault(nil)
		c.fleet.RestartSameID("w-00", 100*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		if err := c.submit(o, "next", fullWorkerRequest(), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 10*time.Second)
		c.awaitState(o, "next", workload.Completed, 10*time.Second)
	})
}

// injectFault applies a fault to every call of a kind.
func (c *cell) injectFault(kind fleettest.Call, fault fleettest.Fault) {
	c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
		if call == kind {
			return fault
		}
		return fleettest.Fault{}
	})
}

// Guards against losing ends of attempts: an acknowledgement sent before a worker's restart, and
// executed after it, must not make the worker discard ends that the owner has not read.
func TestDelayedAcknowledgementAfterWorkerRestart(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		c.runShortTasks(o, "before", 10)
		c.injectFault(fleettest.CallHold, fleettest.Fault{Delay: 1200 * time.Millisecond})
		time.Sleep(1100 * time.Millisecond) // the next Hold call, with the acknowledged sequence, is under way
		c.fleet.SetFault(nil)
		c.fleet.RestartSameID("w-00", 50*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		for i := range 8 {
			if err := c.submit(o, fmt.Sprintf("after-%d", i), newRequest(1, 1000), succeedAfter(time.Duration(100+100*i)*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 8 {
			c.awaitState(o, fmt.Sprintf("after-%d", i), workload.Completed, 5*time.Second)
		}
		c.assertStarts(18)
	})
}

// A lease extension sent before a worker's restart is executed after it. Its deadline is by the old
// clock, so that the worker runs attempts for up to its longest lease. No task may start elsewhere
// before that has expired.
func TestDelayedLeaseAfterWorkerRestart(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(5 * time.Second)                   // the old clock must be ahead of the new one
		for i, id := range []string{"w-00", "w-01"} { // discovery keeps the entries from before the restart
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
		c.awaitState(o, "job", workload.Completed, 30*time.Second)
	})
}

// A worker that does not report its start time accepts starts sent before its restart. Attempts
// that its report lists are not started elsewhere.
func TestStartReachesRestartedWorker(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.lease = shortLease
		c.hideStartTimes()
		o := c.startOwner()
		time.Sleep(1500 * time.Millisecond)
		c.restartAllWorkers(60 * time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		if err := c.submit(o, "job", newRequest(4, 8_000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 5*time.Second)
		c.assertStarts(4)
	})
}

// Guards against overlooking a restart without start times when the answer to a start is the first from the
// next incarnation: its ends would be taken for known ones of the former incarnation, and acknowledged.
func TestStartIsFirstAnswerAfterWorkerRestart(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		c.lease = shortLease
		c.hideStartTimes()
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		c.runShortTasks(o, "before", 5)
		var lost atomic.Bool
		c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
			return fleettest.Fault{RequestLost: call == fleettest.CallStart && !lost.Swap(true)}
		})
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(500*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		for !lost.Load() {
			time.Sleep(time.Millisecond)
		}
		c.fleet.RestartSameID("w-00", 10*time.Millisecond) // shorter than the time until the next report and start
		c.awaitState(o, "job", workload.Completed, 5*time.Second)
		c.assertStarts(6)
	})
}

// Guards against repeating finished tasks: a report sent before the worker's restart counts also
// when it is processed after the restarted worker has answered.
func TestLastReportBeforeWorkerRestart(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "job", fullWorkerRequest(), succeedAfter(400*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(1, time.Second)
		host := c.fleet.WorkerOf("job.0.0.0")
		time.Sleep(430 * time.Millisecond) // the end was reported and its write is under way
		c.fleet.RestartSameID(host, 50*time.Millisecond)
		c.awaitState(o, "job", workload.Completed, 5*time.Second)
		c.assertStarts(1)
	})
}

// A restarted worker gets work soon after its first answer, and attempts lost in the restart are
// rescheduled without waiting for their lease.
func TestRestartedWorkerIsReusedPromptly(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		c.fleet.SetObserver(&discoveryObserver{c, o})
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "work", newRequest(40, 8_000), succeedAfter(time.Hour)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(8, time.Second)
		const pause = 400 * time.Millisecond
		var times []time.Duration
		for round := range 12 {
			worker := fmt.Sprintf("w-%02d", round%4)
			c.fleet.RestartSameID(worker, pause)
			back, before := time.Now().Add(pause), c.fleet.Starts()
			c.awaitStarts(before+1, 4*time.Second)
			times = append(times, time.Since(back))
			time.Sleep(600 * time.Millisecond)
		}
		slices.Sort(times)
		if median := times[len(times)/2]; median > 500*time.Millisecond {
			t.Errorf("median time from restart to first start is %v, want 500ms at most", median)
		}
		t.Logf("time from restart to first start: median %v, maximum %v", times[len(times)/2], times[len(times)-1])
	})
}

// discoveryObserver passes new workers to an owner at once, like the platform's discovery.
type discoveryObserver struct {
	cell  *cell
	owner *owner
}

func (e *discoveryObserver) ProcessEnded(string) {}
func (e *discoveryObserver) EntryExpired(string) {}
func (e *discoveryObserver) ProcessStarted(string, fleet.Worker) {
	e.owner.SetWorkers(e.cell.fleet.List())
}

// A task that crashes its workers is given up also if they restart under the same IDs.
func TestCrashingTaskOnRestartingWorkers(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3200 * time.Millisecond} {
		for _, during := range []struct {
			name       string
			do         func(*cell, *owner) *owner
			maxCrashes int
		}{{"undisturbed", keepOwner, 3}, {"with owners killed", killOwnerAfterCrashes, 5}} {
			t.Run(fmt.Sprintf("after %v, %s", pause, during.name), func(t *testing.T) {
				withCell(t, 12, func(c *cell) {
					c.lease = shortLease
					c.fleet.SetSameIDRestart(pause)
					o := c.startOwner()
					time.Sleep(500 * time.Millisecond)
					if err := c.submit(o, "culprit", newRequest(6, 1000), crashingPlan(0)); err != nil {
						t.Fatal(err)
					}
					o = during.do(c, o)
					c.awaitState(o, "culprit", workload.Failed, 30*time.Second)
					time.Sleep(10 * time.Second)
					c.assertCrashes("culprit.0.0.0", during.maxCrashes)
				})
			})
		}
	}
}

// Guards against blaming jobs for workers that restart together under the same IDs. See
// TestCrashWavesFailNoJob for new IDs.
func TestRestartWavesFailNoJob(t *testing.T) {
	withCell(t, 24, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		rng := rand.New(rand.NewPCG(1, 3))
		jobs := 0
		for tick := range 120 { // 12 s
			if tick%33 == 20 {
				for _, w := range c.liveWorkers() {
					if rng.IntN(3) == 0 {
						c.fleet.RestartSameID(w.ID, time.Duration(50+rng.IntN(3000))*time.Millisecond)
					}
				}
			}
			if err := c.submit(o, fmt.Sprintf("job-%d", jobs), newRequest(2, 2000), succeedAfter(700*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			jobs++
			time.Sleep(100 * time.Millisecond)
		}
		for i := range jobs {
			c.awaitState(o, fmt.Sprintf("job-%d", i), workload.Completed, 30*time.Second)
		}
	})
}

// A worker's discovery entry has a wrong start time, as when another writer has overwritten it. The
// worker gets no starts, its running attempts count, and it is used again once the entry is right.
func TestWrongDiscoveryEntry(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "job", newRequest(4, 8_000), succeedAfter(3*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(4, time.Second)
		c.fleet.OverrideEntry("w-00", func(w fleet.Worker) fleet.Worker {
			w.StartTime += 77
			return w
		})
		time.Sleep(time.Second)
		if err := c.submit(o, "next", newRequest(8, 8_000), succeedAfter(1500*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 4*time.Second)
		if got := c.fleet.Starts(); got > 8 {
			t.Errorf("%d starts while one worker of two has a wrong entry, want 8 at most", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if running := c.fleet.RunningOn("w-00"); running != 0 {
			t.Errorf("%d attempts on the worker with a wrong entry, want 0", running)
		}
		c.fleet.OverrideEntry("w-00", nil)
		time.Sleep(time.Second) // workers are listed every 500 ms
		if running := c.fleet.RunningOn("w-00"); running == 0 {
			t.Error("no attempts on the worker after its entry was corrected")
		}
		c.awaitState(o, "next", workload.Completed, 8*time.Second)
		c.assertStarts(12)
	})
}

// An owner that takes over while workers restart learns that the attempts from before the restart
// are over, and reschedules them without waiting for their lease.
func TestTakeoverDuringWorkerRestart(t *testing.T) {
	withCell(t, 3, func(c *cell) {
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		c.runShortTasks(o, "before", 30)
		if err := c.submit(o, "job", newRequest(6, 8_000), succeedAfter(2*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(36, time.Second)
		time.Sleep(300 * time.Millisecond)
		o.kill()
		c.restartAllWorkers(200 * time.Millisecond)
		time.Sleep(400 * time.Millisecond)
		o = c.startOwner()
		c.awaitStarts(42, 2*time.Second) // on one worker at first: the step is suspected of the crashes
		c.awaitState(o, "job", workload.Completed, 4*time.Second)
		c.assertStarts(42)
	})
}
