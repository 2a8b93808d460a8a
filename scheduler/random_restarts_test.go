package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/proptest"
	"chutereach/resource"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// event is a fault, or none, that follows the submission of a job.
type event struct {
	Kind  eventKind
	Index int // selects workers and the kind of job
	Pause int // in milliseconds; sets the length of the fault and the time until the next event
}

type eventKind int

const (
	restartWorker eventKind = iota
	restartRack
	restartHalf
	restartTwice
	killOwner
	pauseOwner
	delayOrders
	loseAnswers
	disconnectWorker
	clearCallFaults
	hangStore
	stepClockBack
	noEvent
	eventKindCount
)

// Random sequences of worker restarts under the same ID, failed or stalled owners, delayed or lost
// calls, store outages and clock steps. No task may run twice at a time, start after it is done or
// exceed its attempts, and every job must end as its tasks do.
func TestRandomRestartsAndFaults(t *testing.T) {
	t.Parallel()
	events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Kind:  eventKind(rapid.IntRange(0, int(eventKindCount)-1).Draw(t, "kind")),
			Index: rapid.IntRange(0, 11).Draw(t, "which"),
			Pause: rapid.IntRange(50, 3000).Draw(t, "pause"),
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
			c.runEvents(list)
		})
	})
}

// Guards against false violations of the limit on failed attempts: delayed starts and a delayed
// acknowledgement of their ends reach a restarted worker before its owner does. The order of the
// calls varies between runs.
func TestRestartsWhileOrdersAreDelayed(t *testing.T) {
	events := []event{
		{restartTwice, 0, 52}, {restartHalf, 3, 1396}, {loseAnswers, 2, 2377}, {noEvent, 8, 1951}, {noEvent, 7, 263},
		{restartTwice, 11, 77}, {noEvent, 1, 462}, {restartWorker, 2, 80}, {pauseOwner, 0, 132}, {restartWorker, 0, 216},
		{restartWorker, 1, 1293}, {delayOrders, 2, 1047}, {restartWorker, 0, 50}, {restartWorker, 3, 96}, {restartRack, 6, 51},
		{pauseOwner, 11, 1285}, {loseAnswers, 1, 858}, {restartTwice, 2, 59},
	}
	for i := range 50 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			withCell(t, 12, func(c *cell) { c.runEvents(events) })
		})
	}
}

// runEvents submits a job before each event, and awaits all jobs after the last.
func (c *cell) runEvents(events []event) {
	c.lease = shortLease
	o := c.startOwner()
	time.Sleep(500 * time.Millisecond)
	wants := map[string]workload.State{}
	for i, e := range events {
		name := fmt.Sprintf("job-%d", i)
		request, plan, want := generateJob(e.Index + i)
		wants[name] = want
		c.registerJob(name, request, plan)
		o = c.submitWithRetry(o, name, request)
		o = c.applyEvent(o, e)
		time.Sleep(time.Duration(e.Pause/4) * time.Millisecond)
	}
	c.fleet.SetFault(nil)
	o.caller.SetFault(nil)
	for name, want := range wants {
		c.awaitState(o, name, want, 40*time.Second)
		c.assertFailedWithCause(name, want)
	}
}

// generateJob returns a request that varies with number, the plan of its tasks, and the expected
// final state.
func generateJob(number int) (workload.Request, func(workload.TaskID, int) fleettest.Plan, workload.State) {
	request := newRequest(1+number%4, resource.MilliCPU(1000+500*(number%7)))
	request.Steps[0].Gang = number%5 == 0
	request.Steps[0].Checkpoints = number%3 == 0
	duration := time.Duration(100+150*(number%9)) * time.Millisecond
	if number%4 == 1 {
		failing := fleettest.Plan{Work: duration, Outcome: fleet.Failed}
		return request, func(task workload.TaskID, _ int) fleettest.Plan {
			plan := failing
			plan.Work += time.Duration(task.Index%3) * 60 * time.Millisecond // members of a gang fail before it is broken
			return plan
		}, workload.Failed
	}
	return request, succeedAfter(duration), workload.Completed
}

// applyEvent applies an event, and returns the owner of the shard after it.
func (c *cell) applyEvent(o *owner, e event) *owner {
	pause := time.Duration(e.Pause) * time.Millisecond
	worker := func(number int) string { return fmt.Sprintf("w-%02d", number%12) }
	switch e.Kind {
	case restartWorker:
		c.fleet.RestartSameID(worker(e.Index), pause)
	case restartRack: // a rack has two workers
		c.fleet.RestartSameID(worker(e.Index&^1), pause)
		c.fleet.RestartSameID(worker(e.Index|1), pause/2)
	case restartHalf:
		for i := range 6 {
			c.fleet.RestartSameID(worker(e.Index+i), pause/time.Duration(i+1))
		}
	case restartTwice:
		c.fleet.RestartSameID(worker(e.Index), 50*time.Millisecond)
		time.Sleep(pause / 4)
		c.fleet.RestartSameID(worker(e.Index), pause/4)
	case killOwner:
		o.kill()
		time.Sleep(pause)
		return c.startOwner()
	case pauseOwner:
		o.client.pause()
		time.Sleep(pause / 2)
		o.client.resume()
	case delayOrders:
		c.injectFaultEveryThirdCall(fleettest.Fault{Delay: pause})
	case loseAnswers:
		c.injectFaultEveryThirdCall(fleettest.Fault{ResponseLost: true})
	case disconnectWorker:
		c.fleet.SetFault(func(_ fleettest.Call, to string) fleettest.Fault {
			return fleettest.Fault{RequestLost: to == worker(e.Index)}
		})
	case clearCallFaults:
		c.fleet.SetFault(nil)
	case hangStore:
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		time.Sleep(pause / 4)
		o.caller.SetFault(nil)
	case stepClockBack:
		c.fleet.StepWallClock(-time.Hour)
	}
	return o
}

// injectFaultEveryThirdCall applies a fault to every third call to each worker.
func (c *cell) injectFaultEveryThirdCall(fault fleettest.Fault) {
	calls := map[string]int{} // the fleet calls the function under its lock
	c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
		calls[worker]++
		if calls[worker]%3 == 0 {
			return fault
		}
		return fleettest.Fault{}
	})
}
