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
	// evacuationBound is how long after an evacuation starts may begin in the data hall.
	evacuationBound = 5 * time.Second
	// soonPlaced is within which work waits for no data hall that is taken back.
	soonPlaced  = 3 * time.Second
	ordersTable = "op"
	evacuateRow = "evacuate/"
	cellHalls   = 3
	everyHall   = -1
	unknownHall = "elsewhere" // of which no worker is
)

// hallOf returns the data hall of a worker.
func hallOf(worker int) string { return fmt.Sprintf("hall-%d", worker%cellHalls) }

// followEvacuations reads the operator's rows as a node does, through a caller of the store.
func (c *cell) followEvacuations(ctx context.Context, caller *memory.Caller) func() evacuation.View {
	var newest evacuation.Newest
	var halls []string
	reach := rowstore.Reach{Current: func(version uint64, asOf clock.Instant) {
		newest.Offer(evacuation.NewView(halls, version, asOf))
	}, Wait: func() time.Duration { return c.evacuateWithin / 3 }}
	go rowstore.Follow(ctx, caller, ordersTable, "", func(rows map[string]rowstore.Row) {
		halls = nil
		for name := range rows {
			if hall, found := strings.CutPrefix(name, evacuateRow); found {
				halls = append(halls, hall)
			}
		}
	}, reach)
	return newest.Current
}

// evacuate has the operator evacuate a data hall, or every one.
func (c *cell) evacuate(hall int) { c.eachHall(hall, c.evacuateOne) }

// readmit has the operator take an evacuation back.
func (c *cell) readmit(hall int) { c.eachHall(hall, c.readmitOne) }

func (c *cell) eachHall(hall int, do func(string)) {
	if hall != everyHall {
		do(hallOf(hall))
		return
	}
	for i := range cellHalls {
		do(hallOf(i))
	}
}

func evacuateKey(hall string) rowstore.Key {
	return rowstore.Key{Table: ordersTable, Name: evacuateRow + hall}
}

func (c *cell) evacuateOne(hall string) {
	put := rowstore.Put{Key: evacuateKey(hall), Value: []byte("{}")}
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
		c.t.Error(err)
	}
	c.fleet.Evacuate(hall, evacuationBound)
}

func (c *cell) readmitOne(hall string) {
	c.fleet.Readmit(hall)
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Deletes: []rowstore.Key{evacuateKey(hall)}}); err != nil {
		c.t.Error(err)
	}
}

// wantRunsIn fails the test unless a job's first task runs in one of some data halls within a time.
func (c *cell) wantRunsIn(job string, within time.Duration, halls ...string) {
	c.t.Helper()
	task := workload.TaskID{Job: job}.String()
	host := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if host = c.fleet.HostOf(task); host != "" {
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

// inHalls runs a test in a cell whose owners hear of evacuations.
func inHalls(t *testing.T, test func(*cell)) {
	t.Helper()
	inCell(t, 6, func(c *cell) {
		c.evacuateWithin, c.lease = evacuationBound, shortLease
		test(c)
	})
}

// pastBound lets the bound of an evacuation pass.
func pastBound() { time.Sleep(evacuationBound + 100*time.Millisecond) }

// An evacuated data hall gets nothing new, whatever kind of work it is, and what runs there goes
// on. Work that has room elsewhere goes there at once.
func TestAnEvacuatedHallGetsNothingNew(t *testing.T) {
	gang := jobOf(4, 8000)
	gang.Steps[0].Gang = true
	lasting := jobOf(2, 1000)
	lasting.Steps[0].Lasting = true
	rack := jobOf(2, 1000)
	rack.Steps[0].SameRack = true
	near := jobOf(1, 1000)
	near.Steps[0].NearRack = "r1-0"
	for name, request := range map[string]workload.Request{
		"single tasks": jobOf(3, 1000), "a gang": gang, "tasks that last": lasting, "tasks of one rack": rack, "work near its data": near,
	} {
		t.Run(name, func(t *testing.T) {
			takes := time.Second
			if request.Steps[0].Lasting {
				takes = time.Hour
			}
			inHalls(t, func(c *cell) {
				o := c.rule()
				time.Sleep(time.Second)
				before := jobOf(6, 8000)
				if err := c.submit(o, "before", before, work(20*time.Second)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				running := c.fleet.Running()
				c.evacuate(0)
				pastBound()
				if now := c.fleet.Running(); now != running {
					t.Errorf("%d of %d attempts run on in the evacuation", now, running)
				}
				if err := c.submit(o, "job", request, work(takes)); err != nil {
					t.Fatal(err)
				}
				c.wantRunsIn("job", soonPlaced, hallOf(1), hallOf(2))
				c.await(o, "before", workload.Completed, 30*time.Second)
			})
		})
	}
}

// With every data hall evacuated work waits, and begins as soon as one is taken back.
func TestWorkWaitsWhileEveryHallIsEvacuated(t *testing.T) {
	inHalls(t, func(c *cell) {
		o := c.rule()
		time.Sleep(time.Second)
		c.evacuate(everyHall)
		pastBound()
		if err := c.submit(o, "job", jobOf(2, 1000), work(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * evacuationBound)
		if c.fleet.Began("job") {
			t.Error("the job began in an evacuated data hall")
		}
		c.readmit(2)
		c.wantRunsIn("job", time.Second, hallOf(2))
		c.await(o, "job", workload.Completed, 5*time.Second)
	})
}

// The evacuation of a data hall of which no worker is keeps nothing back.
func TestTheEvacuationOfAnUnknownHall(t *testing.T) {
	inHalls(t, func(c *cell) {
		o := c.rule()
		time.Sleep(time.Second)
		c.evacuateOne(unknownHall)
		pastBound()
		if err := c.submit(o, "job", jobOf(6, 8000), work(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.await(o, "job", workload.Completed, 2*time.Second)
	})
}

// A start that was granted before an evacuation, and whose worker does not answer, is not sent
// again once the hall is evacuated.
func TestAGrantFromBeforeAnEvacuation(t *testing.T) {
	inHalls(t, func(c *cell) {
		o := c.rule()
		time.Sleep(time.Second)
		c.evacuate(1)
		c.evacuate(2)
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault {
			if write {
				return memory.Fault{Slow: 800 * time.Millisecond}
			}
			return memory.Fault{}
		})
		go c.submit(o, "job", jobOf(2, 1000), work(time.Second))
		time.Sleep(400 * time.Millisecond) // its grant is being written
		c.evacuate(0)
		c.fleet.Evacuate(hallOf(0), 100*time.Millisecond) // the owner hears of it within a round trip
		time.Sleep(3 * time.Second)
		o.caller.SetFault(nil)
		if c.fleet.Began("job") {
			t.Error("a grant of before the evacuation was started after it")
		}
		c.readmit(1)
		c.await(o, "job", workload.Completed, 5*time.Second)
	})
}

// An owner that does not hear from the store what is evacuated starts nothing by a stale view, though
// its transactions go on, and goes on as soon as it hears.
func TestAStaleViewStartsNothing(t *testing.T) {
	inHalls(t, func(c *cell) {
		o := c.rule()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{Silent: !write} })
		time.Sleep(100 * time.Millisecond)
		c.evacuate(0)
		pastBound()
		if err := c.submit(o, "job", jobOf(6, 8000), work(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		if c.fleet.Began("job") {
			t.Error("the job began by a view that was older than the bound")
		}
		o.caller.SetFault(nil)
		c.wantRunsIn("job", soonPlaced, hallOf(1), hallOf(2))
		c.await(o, "job", workload.Completed, 10*time.Second)
	})
}

// hallEvent is one thing that happens to the data halls or to their owner.
type hallEvent struct {
	Kind  hallEventKind
	Hall  int
	Pause int // in milliseconds
}

type hallEventKind int

const (
	evacuateHall hallEventKind = iota
	readmitHall
	evacuateAndReadmit
	evacuateAll
	readmitAll
	ownerKilled
	ownerStands
	ordersLate
	answersLost
	callsHeal
	readsSilent
	storeSilent
	workerMoves
	nothingHappens
	hallEventKinds
)

// Evacuations in any order, with owners that are killed or stand still, starts and answers that
// are lost or late, a store that is silent, wholly or for readers, and workers that move to
// another data hall: nothing begins in an evacuated data hall after the bound, and every job ends
// once the halls are taken back.
func TestEvacuationsInAnyOrder(t *testing.T) {
	events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) hallEvent {
		return hallEvent{
			Kind:  hallEventKind(rapid.IntRange(0, int(hallEventKinds)-1).Draw(t, "kind")),
			Hall:  rapid.IntRange(0, cellHalls-1).Draw(t, "hall"),
			Pause: rapid.IntRange(50, 4000).Draw(t, "pause"),
		}
	}), 5, 25)
	proptest.Check(t, func(rt *rapid.T) {
		list := events.Draw(rt, "events")
		inHalls(t, func(c *cell) {
			c.t.Cleanup(func() {
				if c.t.Failed() {
					c.t.Logf("the events: %#v", list)
				}
			})
			c.playHalls(list)
		})
	})
}

// playHalls hands in a job before each event, and awaits all of them with every hall taken back.
func (c *cell) playHalls(events []hallEvent) {
	o := c.rule()
	time.Sleep(500 * time.Millisecond)
	wants := map[string]workload.State{}
	for i, e := range events {
		name := fmt.Sprintf("job-%d", i)
		request, plan, want := jobFor(e.Hall + i)
		wants[name] = want
		c.know(name, request, plan)
		o = c.submitSomehow(o, name, request)
		o = c.happenToHalls(o, e)
		time.Sleep(time.Duration(e.Pause/2) * time.Millisecond)
	}
	c.fleet.SetFault(nil)
	o.caller.SetFault(nil)
	c.readmit(everyHall)
	for name, want := range wants {
		c.awaitUnlessEnded(o, name, want)
	}
}

// moveWorker ends a worker of a data hall, and another comes with its room in the next hall.
func (c *cell) moveWorker(hall int) {
	for _, w := range c.fleet.List() {
		if w.Zone != hallOf(hall) {
			continue
		}
		c.fleet.Crash(w.ID)
		w.ID, w.Zone = w.ID+"-moved", hallOf(hall+1)
		w.Born++
		c.fleet.Add(w)
		return
	}
}

// happenToHalls brings an event about, and returns who owns the shard after it.
func (c *cell) happenToHalls(o *owner, e hallEvent) *owner {
	pause := time.Duration(e.Pause) * time.Millisecond
	switch e.Kind {
	case evacuateHall:
		c.evacuate(e.Hall)
	case readmitHall:
		c.readmit(e.Hall)
	case evacuateAndReadmit:
		c.evacuate(e.Hall)
		c.readmit(e.Hall)
		time.Sleep(pause / 20)
		c.evacuate(e.Hall)
	case evacuateAll:
		c.evacuate(everyHall)
	case readmitAll:
		c.readmit(everyHall)
	case ownerKilled:
		o.kill()
		time.Sleep(pause / 2)
		return c.rule()
	case ownerStands: // for less than the time that is left when the view is stale
		o.client.pause()
		time.Sleep(min(pause/2, 400*time.Millisecond))
		o.client.resume()
	case ordersLate:
		c.everyThird(fleettest.Fault{Late: pause})
	case answersLost:
		c.everyThird(fleettest.Fault{Mute: true})
	case callsHeal:
		c.fleet.SetFault(nil)
		o.caller.SetFault(nil)
	case readsSilent:
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{Silent: !write} })
	case storeSilent:
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
		time.Sleep(pause)
		o.caller.SetFault(nil)
	case workerMoves:
		c.moveWorker(e.Hall)
	}
	return o
}
