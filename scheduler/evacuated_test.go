package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/clock"
	"chutereach/evacuation"
	"chutereach/fleet/fleettest"
	"chutereach/proptest"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

const (
	// evacuationBound is how long tasks may still start in a data hall after its evacuation.
	evacuationBound = 5 * time.Second
	// placementTimeout bounds the placement of a job while some data hall is available.
	placementTimeout = 3 * time.Second
	operatorTable    = "op"
	evacuationPrefix = "evacuate/"
	hallCount        = 3
	allHalls         = -1
	unknownHall      = "elsewhere" // has no workers
)

// hallOf returns the data hall of a worker.
func hallOf(worker int) string { return fmt.Sprintf("hall-%d", worker%hallCount) }

// followEvacuations follows the operator's rows through a store client, as a node does.
func (c *cell) followEvacuations(ctx context.Context, caller *memory.Client) func() evacuation.View {
	var newest evacuation.Newest
	var halls []string
	reach := rowstore.FollowOptions{OnSynced: func(version uint64, asOf clock.Instant) {
		newest.Offer(evacuation.NewView(halls, version, asOf))
	}, PollWait: func() time.Duration { return c.evacuateWithin / 3 }}
	go rowstore.Follow(ctx, caller, operatorTable, "", func(rows map[string]rowstore.Row) {
		halls = nil
		for name := range rows {
			if hall, found := strings.CutPrefix(name, evacuationPrefix); found {
				halls = append(halls, hall)
			}
		}
	}, reach)
	return newest.Current
}

// evacuate evacuates a data hall, or all of them.
func (c *cell) evacuate(hall int) { c.forHalls(hall, c.evacuateOne) }

// readmit cancels the evacuation of a data hall, or of all of them.
func (c *cell) readmit(hall int) { c.forHalls(hall, c.readmitOne) }

func (c *cell) forHalls(hall int, do func(string)) {
	if hall != allHalls {
		do(hallOf(hall))
		return
	}
	for i := range hallCount {
		do(hallOf(i))
	}
}

func evacuationKey(hall string) rowstore.Key {
	return rowstore.Key{Table: operatorTable, Name: evacuationPrefix + hall}
}

func (c *cell) evacuateOne(hall string) {
	put := rowstore.Put{Key: evacuationKey(hall), Value: []byte("{}")}
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
		c.t.Error(err)
	}
	c.fleet.Evacuate(hall, evacuationBound)
}

func (c *cell) readmitOne(hall string) {
	c.fleet.Readmit(hall)
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Deletes: []rowstore.Key{evacuationKey(hall)}}); err != nil {
		c.t.Error(err)
	}
}

// wantFirstTaskIn fails the test unless a job's first task runs in one of halls within a time limit.
func (c *cell) wantFirstTaskIn(job string, within time.Duration, halls ...string) {
	c.t.Helper()
	task := workload.TaskID{Job: job}.String()
	host := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if host = c.fleet.WorkerOf(task); host != "" {
			break
		}
	}
	for _, w := range c.fleet.List() {
		for _, hall := range halls {
			if w.ID == host && w.Zone == hall {
				return
			}
		}
	}
	c.t.Errorf("job %s runs on %q after %v, want it in %v", job, host, within, halls)
}

// inEvacuationCell runs a test in a cell whose owners follow evacuations.
func inEvacuationCell(t *testing.T, test func(*cell)) {
	t.Helper()
	withCell(t, 6, func(c *cell) {
		c.evacuateWithin, c.lease = evacuationBound, shortLease
		test(c)
	})
}

// waitPastBound waits until evacuationBound has passed.
func waitPastBound() { time.Sleep(evacuationBound + 100*time.Millisecond) }

// No task of any kind starts in an evacuated data hall, and the tasks running there continue. New
// jobs are placed in other halls at once.
func TestNoStartsInEvacuatedHall(t *testing.T) {
	gang := newRequest(4, 8000)
	gang.Steps[0].Gang = true
	lasting := newRequest(2, 1000)
	lasting.Steps[0].LongRunning = true
	rack := newRequest(2, 1000)
	rack.Steps[0].SameRack = true
	near := newRequest(1, 1000)
	near.Steps[0].PreferredRack = "r1-0"
	for name, request := range map[string]workload.Request{
		"single tasks": newRequest(3, 1000), "a gang": gang, "long-running tasks": lasting, "tasks of one rack": rack, "task near its data": near,
	} {
		t.Run(name, func(t *testing.T) {
			duration := time.Second
			if request.Steps[0].LongRunning {
				duration = time.Hour
			}
			inEvacuationCell(t, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				before := newRequest(6, 8000)
				if err := c.submit(o, "before", before, succeedAfter(20*time.Second)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				running := c.fleet.Running()
				c.evacuate(0)
				waitPastBound()
				if now := c.fleet.Running(); now != running {
					t.Errorf("%d attempts are running after the evacuation, want %d", now, running)
				}
				if err := c.submit(o, "job", request, succeedAfter(duration)); err != nil {
					t.Fatal(err)
				}
				c.wantFirstTaskIn("job", placementTimeout, hallOf(1), hallOf(2))
				c.awaitState(o, "before", workload.Completed, 30*time.Second)
			})
		})
	}
}

// A job waits while all data halls are evacuated, and starts as soon as one is readmitted.
func TestAllHallsEvacuated(t *testing.T) {
	inEvacuationCell(t, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		c.evacuate(allHalls)
		waitPastBound()
		if err := c.submit(o, "job", newRequest(2, 1000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * evacuationBound)
		if c.fleet.JobStarted("job") {
			t.Error("job started in an evacuated data hall")
		}
		c.readmit(2)
		c.wantFirstTaskIn("job", time.Second, hallOf(2))
		c.awaitState(o, "job", workload.Completed, 5*time.Second)
	})
}

// The evacuation of a data hall without workers does not delay any job.
func TestUnknownHallEvacuated(t *testing.T) {
	inEvacuationCell(t, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		c.evacuateOne(unknownHall)
		waitPastBound()
		if err := c.submit(o, "job", newRequest(6, 8000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 2*time.Second)
	})
}

// No start is sent if its data hall is evacuated while the grant is being written.
func TestGrantWrittenBeforeEvacuation(t *testing.T) {
	inEvacuationCell(t, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		c.evacuate(1)
		c.evacuate(2)
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault {
			if write {
				return memory.Fault{Delay: 800 * time.Millisecond}
			}
			return memory.Fault{}
		})
		go c.submit(o, "job", newRequest(2, 1000), succeedAfter(time.Second))
		time.Sleep(400 * time.Millisecond) // its grant is being written
		c.evacuate(0)
		c.fleet.Evacuate(hallOf(0), 100*time.Millisecond) // the owner learns of it within a round trip
		time.Sleep(3 * time.Second)
		o.caller.SetFault(nil)
		if c.fleet.JobStarted("job") {
			t.Error("task granted before the evacuation started after it")
		}
		c.readmit(1)
		c.awaitState(o, "job", workload.Completed, 5*time.Second)
	})
}

// An owner that can write to the store but not read evacuations starts no tasks once its view is
// stale, and resumes when reads succeed again.
func TestNoStartsWithStaleView(t *testing.T) {
	inEvacuationCell(t, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropRequest: !write} })
		time.Sleep(100 * time.Millisecond)
		c.evacuate(0)
		waitPastBound()
		if err := c.submit(o, "job", newRequest(6, 8000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		if c.fleet.JobStarted("job") {
			t.Error("job started while the view of evacuations was older than the bound")
		}
		o.caller.SetFault(nil)
		c.wantFirstTaskIn("job", placementTimeout, hallOf(1), hallOf(2))
		c.awaitState(o, "job", workload.Completed, 10*time.Second)
	})
}

// hallEvent is an operator action or a fault in a randomized test.
type hallEvent struct {
	Kind  hallEventKind
	Hall  int
	Pause int // in milliseconds
}

type hallEventKind int

const (
	hallEvacuated hallEventKind = iota
	hallReadmitted
	hallReadmittedBriefly
	allHallsEvacuated
	allHallsReadmitted
	ownerKilled
	ownerPaused
	workerCallsDelayed
	workerAnswersLost
	faultsCleared
	storeReadsLost
	storeCallsLost
	workerMoved
	noHallEvent
	hallEventKindCount
)

// Under random sequences of evacuations, takeovers, paused owners, late or lost worker calls, store
// outages and moved workers, no task starts in an evacuated data hall after the bound, and every
// job ends once all halls are readmitted.
func TestEvacuationsRandomOrder(t *testing.T) {
	t.Parallel()
	events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) hallEvent {
		return hallEvent{
			Kind:  hallEventKind(rapid.IntRange(0, int(hallEventKindCount)-1).Draw(t, "kind")),
			Hall:  rapid.IntRange(0, hallCount-1).Draw(t, "hall"),
			Pause: rapid.IntRange(50, 4000).Draw(t, "pause"),
		}
	}), 5, 25)
	proptest.Check(t, func(rt *rapid.T) {
		list := events.Draw(rt, "events")
		inEvacuationCell(t, func(c *cell) {
			c.t.Cleanup(func() {
				if c.t.Failed() {
					c.t.Logf("events: %#v", list)
				}
			})
			c.runHallEvents(list)
		})
	})
}

// runHallEvents submits a job before each event, then readmits all halls and awaits the jobs.
func (c *cell) runHallEvents(events []hallEvent) {
	o := c.startOwner()
	time.Sleep(500 * time.Millisecond)
	wants := map[string]workload.State{}
	for i, e := range events {
		name := fmt.Sprintf("job-%d", i)
		request, plan, want := generateJob(e.Hall + i)
		wants[name] = want
		c.registerJob(name, request, plan)
		o = c.submitWithRetry(o, name, request)
		o = c.applyHallEvent(o, e)
		time.Sleep(time.Duration(e.Pause/2) * time.Millisecond)
	}
	c.fleet.SetFault(nil)
	o.caller.SetFault(nil)
	c.readmit(allHalls)
	for name, want := range wants {
		c.awaitState(o, name, want, 40*time.Second)
	}
}

// moveWorker crashes a worker of a data hall and adds one of the same capacity in the next hall.
func (c *cell) moveWorker(hall int) {
	for _, w := range c.fleet.List() {
		if w.Zone != hallOf(hall) {
			continue
		}
		c.fleet.Crash(w.ID)
		w.ID, w.Zone = w.ID+"-moved", hallOf(hall+1)
		w.StartTime++
		c.fleet.Add(w)
		return
	}
}

// applyHallEvent applies an event and returns the owner of the shard after it.
func (c *cell) applyHallEvent(o *owner, e hallEvent) *owner {
	pause := time.Duration(e.Pause) * time.Millisecond
	switch e.Kind {
	case hallEvacuated:
		c.evacuate(e.Hall)
	case hallReadmitted:
		c.readmit(e.Hall)
	case hallReadmittedBriefly:
		c.evacuate(e.Hall)
		c.readmit(e.Hall)
		time.Sleep(pause / 20)
		c.evacuate(e.Hall)
	case allHallsEvacuated:
		c.evacuate(allHalls)
	case allHallsReadmitted:
		c.readmit(allHalls)
	case ownerKilled:
		o.kill()
		time.Sleep(pause / 2)
		return c.startOwner()
	case ownerPaused: // shorter than the time left when the view becomes stale
		o.client.pause()
		time.Sleep(min(pause/2, 400*time.Millisecond))
		o.client.resume()
	case workerCallsDelayed:
		c.injectFaultEveryThirdCall(fleettest.Fault{Delay: pause})
	case workerAnswersLost:
		c.injectFaultEveryThirdCall(fleettest.Fault{ResponseLost: true})
	case faultsCleared:
		c.fleet.SetFault(nil)
		o.caller.SetFault(nil)
	case storeReadsLost:
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropRequest: !write} })
	case storeCallsLost:
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		time.Sleep(pause)
		o.caller.SetFault(nil)
	case workerMoved:
		c.moveWorker(e.Hall)
	}
	return o
}
