package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/account"
	"chutereach/evacuation"
	"chutereach/fleet"
	"chutereach/gangroom"
	"chutereach/resource"
	"chutereach/urgency"
	"chutereach/workload"
)

// roomFixture is a scheduler with bounded gang room and a pass over its workers of 32 CPUs.
type roomFixture struct {
	*Scheduler
	pass    *pass
	workers []*worker
}

// newRoomFixture returns a fixture whose workers use the given CPU.
func newRoomFixture(t testing.TB, used ...resource.MilliCPU) *roomFixture {
	f := &roomFixture{Scheduler: newTestScheduler(t)}
	f.load.BoundedGangRoom = true
	now := time.Now()
	for i, cpu := range used {
		w := newWorker(fleet.Worker{Incarnation: fleet.Incarnation{ID: fmt.Sprintf("w-%03d", i)}, Service: "s", Capacity: resource.Amount{CPU: 32_000, Memory: 128 << 30}})
		w.discovered, w.lastReportAt, w.used = true, now, resource.Amount{CPU: cpu}
		f.workers = append(f.workers, w)
		f.Scheduler.workers[w.info.Incarnation] = w
	}
	f.startPass(now)
	return f
}

func (f *roomFixture) startPass(now time.Time) {
	f.passSerial++
	f.pass = newPass(now, f.passSerial, false, defaultWorkerTimes, evacuation.View{})
	f.pass.gangRoom.bounded = f.load.BoundedGangRoom
	for _, w := range f.workers {
		f.pass.add(w)
	}
	f.pass.sortPools()
}

// candidate returns a step of a new job as a candidate of the fixture's pass.
func (f *roomFixture) candidate(id string, priority, count int, cpu resource.MilliCPU, gang bool) candidate {
	queue := workload.Queue{
		Name: fmt.Sprintf("q%d", priority), Service: "s", Priority: priority, MaxFailures: 3, ObjectiveFactor: 3, ObjectiveOffset: 10 * time.Second,
		Advice: workload.AdvicePolicy{CallLatency: 200 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second},
	}
	steps := []workload.Step{{Count: count, Need: resource.Amount{CPU: cpu}, Estimate: time.Second, Gang: gang}}
	record := workload.Record{Request: workload.Request{Steps: steps}, Queue: queue, AcceptedAt: f.pass.now.UnixMilli()}
	j := newJob(id, record, newAccountState(account.Terms{}), f.pass.now)
	f.jobs[id], f.active[id] = j, j
	st := j.rounds[0].steps[0]
	return candidate{step: st, tasks: st.placeableTasks(), quotaAllowance: math.MaxInt, urgency: urgency.Assess(workOf(st, f.pass.now), f.pass.now), deadline: j.deadline}
}

// advise gives the candidate's step tickets for some workers, and refuses it the others named.
func (f *roomFixture) advise(c candidate, eligible, refused []*worker) {
	tickets := map[string]string{}
	for _, w := range eligible {
		tickets[w.info.ID] = "ticket"
	}
	named := append(append([]*worker{}, eligible...), refused...)
	c.step.advice.recordAnswer(named, fleet.Advice{Tickets: tickets, Valid: time.Minute}, f.pass.now)
}

// repeat returns a list of count equal amounts.
func repeat(count int, cpu resource.MilliCPU) []resource.MilliCPU {
	list := make([]resource.MilliCPU, count)
	for i := range list {
		list[i] = cpu
	}
	return list
}

// Guards against starvation: a gang of lower priority that is placed as a whole counts the sum of the
// slots that it takes from a waiting gang, not each worker by itself.
func TestLowerGangLeavesRoomAsWhole(t *testing.T) {
	cases := []struct {
		name   string
		tasks  int
		placed bool
	}{
		{"a small gang fits beside the room", 6, true},
		{"a large gang would take the room", 12, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newRoomFixture(t, repeat(10, 14_000)...) // two slots of 9 CPUs on each worker
			waiting := f.candidate("waiting", 1, 8, 9000, true)
			f.advise(waiting, f.workers, nil)
			f.recordWaitingGang(f.pass, waiting) // twelve slots are its reserve
			lower := f.candidate("lower", 2, test.tasks, 9000, true)
			f.advise(lower, f.workers, nil)
			f.place(f.pass, lower)
			if placed := !lower.step.anyPlaceable(); placed != test.placed {
				t.Errorf("placed is %v, want %v", placed, test.placed)
			}
		})
	}
}

// Guards against calls about all workers: a gang whose capacity is only withheld asks once about as
// many workers as it needs, and a gang without capacity asks as before.
func TestWithheldGangAsksAboutFewWorkers(t *testing.T) {
	const workers = 200
	setup := func(t *testing.T, used resource.MilliCPU) (*roomFixture, candidate) {
		f := newRoomFixture(t, repeat(workers, used)...)
		waiting := f.candidate("waiting", 1, 2*workers, 9000, true)
		f.recordWaitingGang(f.pass, waiting)
		return f, f.candidate("lower", 2, 20, 9000, true)
	}
	t.Run("withheld", func(t *testing.T) {
		f, lower := setup(t, 14_000)
		named := f.workersToAsk(f.pass, lower)
		assertQueried(t, named, minWorkersPerCall, 40, func(*worker) bool { return true })
		f.advise(lower, named, nil)
		assertQueried(t, f.workersToAsk(f.pass, lower), 0, 0, func(*worker) bool { return true })
	})
	t.Run("without capacity", func(t *testing.T) {
		f, lower := setup(t, 28_000)
		assertQueried(t, f.workersToAsk(f.pass, lower), workers, workers, func(*worker) bool { return true })
	})
}

// claimedFrom returns the number of workers that are kept from a candidate.
func (f *roomFixture) claimedFrom(c candidate) int {
	claimed := 0
	for _, w := range f.workers {
		if !f.pass.mayPlace(c, w) {
			claimed++
		}
	}
	return claimed
}

// Guards against idle workers: a waiting gang claims only the capacity that its tasks need, and nothing
// before its first advice or with priority 0.
func TestClaimsOfWaitingGang(t *testing.T) {
	cases := []struct {
		name     string
		priority int
		advised  bool
		claimed  int // workers
	}{
		{"before its first advice", 1, false, 0},
		{"with advice", 1, true, 5},
		{"with priority 0", 0, true, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newRoomFixture(t, repeat(20, 16_000)...) // no worker has 18 CPUs free
			gang := f.candidate("gang", test.priority, 5, 18_000, true)
			if test.advised {
				f.advise(gang, f.workers, nil)
			}
			f.pass.claimWorkersFor(gang)
			if claimed := f.claimedFrom(f.candidate("batch", 2, 1, 3500, false)); claimed != test.claimed {
				t.Errorf("%d workers are kept from a batch, want %d", claimed, test.claimed)
			}
		})
	}
	t.Run("free capacity of more workers", func(t *testing.T) {
		f := newRoomFixture(t, repeat(20, 20_000)...) // one slot of 9 CPUs is free on each worker, of three
		gang := f.candidate("gang", 1, 6, 9000, true)
		f.advise(gang, f.workers, nil)
		f.pass.claimWorkersFor(gang)
		if claimed := f.claimedFrom(f.candidate("batch", 2, 1, 3500, false)); claimed != 6 {
			t.Errorf("%d workers are kept from a batch, want 6", claimed)
		}
	})
	t.Run("beside gangs that claim nothing", func(t *testing.T) {
		f := newRoomFixture(t, repeat(20, 16_000)...)
		for i := range 2 * maxClaimants {
			lookup := f.candidate(fmt.Sprint("lookup-", i), 0, 2, 18_000, true)
			f.advise(lookup, f.workers, nil)
			f.pass.claimWorkersFor(lookup)
			f.pass.claimWorkersFor(f.candidate(fmt.Sprint("unadvised-", i), 1, 2, 18_000, true))
		}
		gang := f.candidate("gang", 1, 5, 18_000, true)
		f.advise(gang, f.workers, nil)
		f.pass.claimWorkersFor(gang)
		if claimed := f.claimedFrom(f.candidate("batch", 2, 1, 3500, false)); claimed != 5 {
			t.Errorf("%d workers are kept from a batch, want 5", claimed)
		}
	})
	t.Run("beside a claim that fits", func(t *testing.T) {
		f := newRoomFixture(t, 0)
		gang := f.candidate("gang", 1, 1, 18_000, true)
		f.advise(gang, f.workers, nil)
		f.pass.claimWorkersFor(gang)
		if small := f.candidate("small", 2, 1, 14_000, false); !f.pass.mayPlace(small, f.workers[0]) {
			t.Error("a task that leaves the claimed capacity is kept off the worker")
		}
		if large := f.candidate("large", 2, 1, 14_001, false); f.pass.mayPlace(large, f.workers[0]) {
			t.Error("a task that takes claimed capacity may be placed on the worker")
		}
	})
}

// Guards against drift of a pass's bookkeeping: after any placements, the room of each waiting gang
// equals a recount, and batches with slack have left each gang its reserve.
func TestGangRoomOfPassMatchesRecount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		used := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, 32), func(n int) resource.MilliCPU { return resource.MilliCPU(n) * 1000 }), 1, 12).Draw(rt, "used")
		f := newRoomFixture(t, used...)
		split := rapid.IntRange(0, len(f.workers)).Draw(rt, "eligible")
		var waiting []candidate
		for i := range rapid.IntRange(1, 20).Draw(rt, "gangs") {
			c := f.candidate(fmt.Sprintf("gang-%d", i), rapid.IntRange(0, 1).Draw(rt, "priority"), rapid.IntRange(1, 12).Draw(rt, "tasks"), 9000, true)
			f.advise(c, f.workers[:split/2], f.workers[split/2:split])
			waiting = append(waiting, c)
			f.recordWaitingGang(f.pass, c)
		}
		var before []gangroom.Room
		for _, gang := range f.pass.gangRoom.waiting {
			before = append(before, gang.room)
		}
		batch := f.candidate("batch", 2, rapid.IntRange(1, 40).Draw(rt, "batch"), 3500, false)
		f.advise(batch, f.workers, nil)
		f.place(f.pass, batch)
		kept := f.pass.gangRoom.waiting
		f.startPass(f.pass.now)
		for _, c := range waiting {
			f.recordWaitingGang(f.pass, c)
		}
		if len(kept) != len(f.pass.gangRoom.waiting) || len(kept) > maxGangRooms {
			rt.Fatalf("%d waiting gangs, then %d", len(kept), len(f.pass.gangRoom.waiting))
		}
		for i, gang := range kept {
			if gang.step.job.topPriority() {
				rt.Errorf("room is kept for a gang of priority 0")
			}
			if recount := f.pass.gangRoom.waiting[i].room; gang.room != recount {
				rt.Errorf("room is %+v, want %+v", gang.room, recount)
			}
			if least := min(before[i].Slots(), 1.5*float64(gang.room.Tasks())); gang.room.Slots() < least {
				rt.Errorf("%v slots are left of %v, want at least %v", gang.room.Slots(), before[i].Slots(), least)
			}
		}
	})
}

// Guards against urgent work that takes the capacity that preemption has made free for a gang although
// other workers are free.
func TestUrgentWorkTakesReservedCapacityLast(t *testing.T) {
	// 30 workers with 10 CPUs free, and 10 that are empty because tasks on them were stopped for a gang.
	used := make([]resource.MilliCPU, 40)
	for i := range 30 {
		used[i] = 22_000
	}
	for _, c := range []struct {
		name          string
		bounded       bool
		others        int // workers that are not reserved and take the lookup
		askedReserved int
		startReserved bool
	}{
		{"others are free", true, 30, 0, false},
		{"nothing else is free", true, 0, 10, true},
		{"switched off", false, 30, 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRoomFixture(t, used...)
			f.load.BoundedGangRoom = c.bounded
			for _, w := range f.workers[c.others:30] {
				w.used.CPU = 32_000
			}
			f.startPass(f.pass.now)
			gang := f.candidate("gang", 1, 20, 9_000, true)
			for _, w := range f.workers[30:] {
				w.reserved = reservation{gang.step, f.pass.now.Add(time.Second)}
			}
			lookup := f.candidate("lookup", 0, 3, 5_000, false)
			reserved := 0
			for _, r := range f.unaskedWorkers(f.pass, lookup) {
				if r.worker.reserved.step != nil {
					reserved++
				}
			}
			if reserved != c.askedReserved {
				t.Errorf("asks about %d reserved workers, want %d", reserved, c.askedReserved)
			}
			f.advise(lookup, f.workers, nil)
			w := f.bestWorker(f.pass, lookup, lookup.tasks[0])
			if w == nil || (w.reserved.step != nil) != c.startReserved {
				t.Errorf("starts on %+v, want a reserved worker: %v", w, c.startReserved)
			}
		})
	}
}
