package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/fleet"
	"chutereach/proptest"
	"chutereach/resource"
	"chutereach/workload"
)

// newServiceFixture returns a fixture with idle workers of 32 CPUs in one service.
func newServiceFixture(t testing.TB, workers int) *recheckFixture {
	return &recheckFixture{roomFixture: newRoomFixture(t, repeat(workers, 0)...), now: time.Now()}
}

// newBatch returns a step of four tasks of one core.
func newBatch() workload.Step {
	return workload.Step{Count: 4, Need: resource.Amount{CPU: 1000}}
}

// lose removes a worker. Its attempts end.
func (f *recheckFixture) lose(w *worker) {
	for _, t := range w.taskList() {
		if t.hosted() {
			f.end(t, fleet.LeaseExpired)
		}
	}
	w.ended = true
}

// mostlyIdle reports whether less than half of the service's CPU is in use.
func (f *recheckFixture) mostlyIdle() bool {
	var counts poolCounts
	for _, w := range f.workers {
		if !w.ended {
			counts = counts.With(w)
		}
	}
	return counts.mostlyIdle()
}

// assertJobsRun checks that no job other than a gang has had nothing running for too long.
func (f *recheckFixture) assertJobsRun(t interface{ Fatalf(string, ...any) }, longest time.Duration) {
	for _, j := range f.active {
		st := j.rounds[0].steps[0]
		if idle := min(f.now.Sub(st.waitingSince), j.idle(f.now)); !st.spec.Gang && st.anyPlaceable() && idle > longest {
			t.Fatalf("job %s has had nothing running for %v", j.id, idle)
		}
	}
}

// Guards against review/6: a gang that runs indefinitely and cannot start keeps all other work from idle workers.
func TestWaitingGangDoesNotStopService(t *testing.T) {
	const workers = 12
	gang := workload.Step{Count: workers, Need: resource.Amount{CPU: 32_000}, Gang: true, LongRunning: true}
	beside := func(cpu resource.MilliCPU) workload.Step {
		return workload.Step{Count: workers, Need: resource.Amount{CPU: cpu}, MaxPerWorker: 1, Estimate: shortWork}
	}
	cases := []struct {
		name    string
		gang    int // tasks
		begin   func(f *recheckFixture)
		urgent  resource.MilliCPU // used on each worker by urgent work
		longest time.Duration     // that a batch may have nothing running
	}{
		{"workers are lost", workers - 1, func(f *recheckFixture) {
			for _, w := range f.workers[:2] {
				f.lose(w)
			}
		}, 0, 2 * tick},
		{"it has more tasks than there are workers", workers + 1, nil, 0, 2 * tick},
		{"a task that runs indefinitely takes its room", workers, func(f *recheckFixture) {
			f.end(f.hostedTasks()[0], fleet.LeaseExpired)
			f.active["job-000"].rounds[0].steps[0].delayRetry(f.now.Add(tick))
			f.submit(newQueue("q", "s", 3), workload.Step{Count: 1, Need: resource.Amount{CPU: 2000}, LongRunning: true})
			f.place()
		}, 0, 2 * tick},
		{"urgent work takes its room again and again", workers, nil, 2000, longestIdle},
		{"urgent work takes more than half of the service", workers, nil, 9000, maxClaimTime + 2*tick},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newServiceFixture(t, workers)
			urgent := newQueue("urgent", "s", 3)
			urgent.Priority = 0
			gang.Count = test.gang
			for i := range 150 {
				if test.urgent > 0 && i%5 == 0 {
					f.submit(urgent, beside(test.urgent)) // each of them overlaps with the next
				}
				switch {
				case i == 10:
					f.submit(newQueue("q", "s", 3), gang)
				case i == 12 && test.begin != nil:
					test.begin(f)
				case i > 12 && i%10 == 0:
					f.submit(newQueue("batch", "s", 3), newBatch())
				}
				f.step()
				f.assertJobsRun(t, test.longest)
			}
		})
	}
}

// Guards against gangs that starve: one that needs each worker starts beside as much other work as there is room for, while
// jobs wait that must not be held back any longer.
func TestLargestGangStartsBesideBatches(t *testing.T) {
	t.Parallel()
	for _, lasts := range []bool{false, true} {
		f := newServiceFixture(t, 12)
		submit := func() { // 38 CPUs a tick, 1% less than there are
			f.submit(newQueue("batch", "s", 3), workload.Step{Count: 38, Need: resource.Amount{CPU: 250}, Estimate: 4 * time.Second})
		}
		for range 60 {
			submit()
			f.step()
		}
		gang := f.submit(newQueue("q", "s", 3), workload.Step{Count: 12, Need: resource.Amount{CPU: 31_000}, Estimate: shortWork, Gang: true, LongRunning: lasts})
		for waited := 0; gang.hosted == 0 && waited < int(maxClaimTime/tick); waited++ {
			submit()
			f.step()
		}
		if gang.hosted == 0 {
			t.Errorf("the gang (runs indefinitely: %v) has not started after %v", lasts, maxClaimTime)
		}
	}
}

// Guards against waiting gangs that keep jobs idle, whatever gangs and batches come and whichever workers are lost.
func TestNoGangKeepsIdleWorkersFromJobs(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		f := newServiceFixture(t, rapid.IntRange(2, 8).Draw(rt, "workers"))
		busyAt := f.now // when at least half of the service was last in use
		for range rapid.IntRange(20, 200).Draw(rt, "ticks") {
			switch rapid.IntRange(0, 19).Draw(rt, "event") {
			case 0, 1:
				f.submit(newQueue("q", "s", 3), workload.Step{
					Count: rapid.IntRange(1, 12).Draw(rt, "gang"), Need: resource.Amount{CPU: resource.MilliCPU(rapid.IntRange(1, 32).Draw(rt, "cores")) * 1000},
					Gang: true, LongRunning: rapid.Bool().Draw(rt, "lasts"), MaxPerWorker: rapid.IntRange(0, 2).Draw(rt, "per worker"),
				})
			case 2:
				if rapid.IntRange(0, 3).Draw(rt, "lost") == 0 {
					f.lose(f.workers[rapid.IntRange(0, len(f.workers)-1).Draw(rt, "worker")])
				}
			case 3:
				f.submit(newQueue("lasting", "s", 3), workload.Step{Count: rapid.IntRange(1, 4).Draw(rt, "lasting"), Need: resource.Amount{CPU: 4000}, LongRunning: true})
			case 4, 5, 6:
				f.submit(newQueue("batch", "s", 3), newBatch())
			}
			f.step()
			if !f.mostlyIdle() {
				busyAt = f.now
			}
			if f.now.Sub(busyAt) > longestIdle {
				f.assertJobsRun(rt, longestIdle)
			}
		}
	})
}
