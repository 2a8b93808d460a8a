package hall

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chutereach/config"
	"chutereach/job"
	"chutereach/proptest"
	"chutereach/provider"
	"chutereach/standin"
)

// injectionPoint selects the nth request of an operation, before or after it takes
// effect.
type injectionPoint struct {
	op    standin.Op
	n     int
	after bool
}

func (p injectionPoint) String() string {
	when := "before"
	if p.after {
		when = "after"
	}
	return fmt.Sprintf("%s %s %d", when, p.op, p.n)
}

// chooser returns a chooser that calls act and injects f at the injection point.
func (p injectionPoint) chooser(act func(), f standin.Fault) faultChooser {
	var mu sync.Mutex
	n := 0
	return func(op standin.Op, _ string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if op != p.op {
			return standin.Fault{}
		}
		if n++; n != p.n {
			return standin.Fault{}
		}
		act()
		return f
	}
}

func injectionPoints() []injectionPoint {
	var all []injectionPoint
	for _, op := range []standin.Op{standin.OpCommit, standin.OpStart, standin.OpRenew, standin.OpList, standin.OpRange} {
		for n := 1; n <= 8; n++ {
			all = append(all, injectionPoint{op, n, false}, injectionPoint{op, n, true})
		}
	}
	return all
}

// Guards against violated invariants if the owner crashes at a request, or the request
// stalls past the takeover, for each of the first eight requests of every operation.
func TestOwnerCrashesOrStallsAtEachRequest(t *testing.T) {
	for _, p := range injectionPoints() {
		for _, crashes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, crashes %v", p, crashes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestBench(t, 2)
					defer b.close()
					// Submit the jobs first, so that only commits by the owner are counted.
					ids := map[string]job.ID{}
					for _, template := range []string{"again", "once", "resume"} {
						ids[template] = b.submit(template, 5)
					}
					reached := make(chan struct{})
					act := func() {
						if crashes {
							b.crash(b.lastOwner())
						}
						close(reached)
					}
					choose := p.chooser(act, p.requestFault(crashes))
					u := b.startOwnerWithFaults(choose)
					select {
					case <-reached:
					case <-time.After(time.Minute):
					}
					_ = u
					time.Sleep(testOwnershipTTL)
					b.table.Faults.Clear()
					b.fleet.Faults.Clear()
					u = b.startOwner()
					time.Sleep(5 * time.Minute)
					b.checkInvariants()
					b.checkStartedAtMostOnce(ids["once"])
					for template, id := range ids {
						b.checkFinished(u, template, id, true)
					}
				})
			})
		}
	}
}

// requestFault returns the fault of the request at the injection point.
func (p injectionPoint) requestFault(crashes bool) standin.Fault {
	switch {
	case crashes && p.after:
		return standin.Fault{Lose: true}
	case crashes:
		return standin.Fault{Vanish: true}
	case p.after:
		return standin.Fault{AnswerLate: 2 * testOwnershipTTL}
	}
	return standin.Fault{Delay: 2 * testOwnershipTTL}
}

func (b *testBench) lastOwner() *Unit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.units[len(b.units)-1]
}

// startOwnerWithFaults starts an owner with faults in effect from its first request.
func (b *testBench) startOwnerWithFaults(choose faultChooser) *Unit {
	u := b.newOwner()
	b.table.Faults.Set(choose)
	b.fleet.Faults.Set(choose)
	go u.Run()
	return u
}

// Guards against violated invariants under random sequences of submissions, faults and
// operator actions, and against batch jobs that do not finish after the faults end.
func TestRandomOperations(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		indexes := rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 1, 25).Draw(r, "actions")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 20_000), 25, 25).Draw(r, "pauses in ms")
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 3)
			defer b.close()
			b.startOwner()
			ids := map[job.ID]string{b.submit("once", 4): "once"}
			for i, index := range indexes {
				actions[index].do(b, ids)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			b.table.Faults.Clear()
			b.fleet.Faults.Clear()
			u := b.startOwner()
			time.Sleep(10 * time.Minute)
			b.checkInvariants()
			for id, template := range ids {
				if template == "once" {
					b.checkStartedAtMostOnce(id)
				}
				s, found := u.Job(id)
				unfinished := s.Counts[job.Waiting] + s.Counts[job.Running]
				if !found || unfinished > 0 && template != "replica" {
					t.Errorf("template %s, job %s: tasks by state: %s, want none waiting or running", template, id, b.taskCounts(u, id))
				}
			}
		})
	})
}

// actions are the operations that TestRandomOperations draws from.
var actions = []struct {
	name string
	do   func(*testBench, map[job.ID]string)
}{
	{"submit repeatable job", func(b *testBench, ids map[job.ID]string) { ids[b.submitWithoutFaults("again", 5)] = "again" }},
	{"submit nonrepeatable job", func(b *testBench, ids map[job.ID]string) { ids[b.submitWithoutFaults("once", 5)] = "once" }},
	{"submit resumable job", func(b *testBench, ids map[job.ID]string) { ids[b.submitWithoutFaults("resume", 5)] = "resume" }},
	{"submit service", func(b *testBench, ids map[job.ID]string) { ids[b.submitWithoutFaults("replica", 2)] = "replica" }},
	{"owner crashes and is replaced", func(b *testBench, _ map[job.ID]string) {
		b.crash(b.lastOwner())
		time.Sleep(testOwnershipTTL)
		b.startOwnerWithoutFaults()
	}},
	{"owner is replaced while running", func(b *testBench, _ map[job.ID]string) { b.startOwnerWithoutFaults() }},
	{"worker reboots", func(b *testBench, _ map[job.ID]string) { b.fleet.Reboot("w01") }},
	{"worker is unreachable", func(b *testBench, _ map[job.ID]string) { b.fleet.Faults.Set(during(0, time.Hour, "w00", dropRequest)) }},
	{"start responses are lost", func(b *testBench, _ map[job.ID]string) {
		b.fleet.Faults.Set(serialized(everyNth(standin.OpStart, 2, loseResponse)))
	}},
	{"workers recover", func(b *testBench, _ map[job.ID]string) { b.fleet.Faults.Clear() }},
	{"commit responses are lost", func(b *testBench, _ map[job.ID]string) {
		b.table.Faults.Set(serialized(everyNth(standin.OpCommit, 2, loseResponse)))
	}},
	{"table is down", func(b *testBench, _ map[job.ID]string) {
		b.table.Faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
	}},
	{"table is slow", func(b *testBench, _ map[job.ID]string) { b.table.Faults.Always(delayShort) }},
	{"table recovers", func(b *testBench, _ map[job.ID]string) { b.table.Faults.Clear() }},
	{"operator settles tasks", func(b *testBench, ids map[job.ID]string) {
		for id := range ids {
			go b.lastOwner().Settle(b.t.Context(), id, 0, job.Done) // returns only once the table can be written
		}
	}},
	{"worker is drained", func(b *testBench, _ map[job.ID]string) {
		b.updateConfig(b.lastOwner(), func(s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetWorker, Name: "w02"})
		})
	}},
	{"drain of worker ends", func(b *testBench, _ map[job.ID]string) {
		b.updateConfig(b.lastOwner(), func(s *config.Set) { *s = s.WithoutDrain("worker/w02") })
	}},
}

// submitWithoutFaults submits a job with the faults of the table suspended.
func (b *testBench) submitWithoutFaults(template string, tasks int) job.ID {
	var id job.ID
	b.table.Calmly(func() { id = b.submit(template, tasks) })
	return id
}

// startOwnerWithoutFaults starts an owner with the faults of the table suspended
// during the takeover.
func (b *testBench) startOwnerWithoutFaults() { b.table.Calmly(func() { b.startOwner() }) }

// Guards against a start call that takes effect after the worker rebooted during the
// commit of the grant, when the attempt already counts as ended.
func TestRebootDuringGrantCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 2)
		defer b.close()
		u := b.startOwner()
		time.Sleep(3 * time.Second)
		b.table.Faults.Set(func(op standin.Op, target string) standin.Fault {
			if op == standin.OpCommit && strings.HasPrefix(target, "ledger/") {
				return standin.Fault{Delay: 5 * time.Second}
			}
			return standin.Fault{}
		})
		// Delay the reports, so that start responses arrive before them.
		b.fleet.Faults.Set(func(op standin.Op, _ string) standin.Fault {
			if op == standin.OpRenew || op == standin.OpList {
				return standin.Fault{AnswerLate: 50 * time.Millisecond}
			}
			return standin.Fault{}
		})
		id := b.submit("once", 8)
		time.Sleep(3 * time.Second)
		b.fleet.Reboot("w00")
		time.Sleep(2 * time.Minute)
		b.checkInvariants()
		b.checkStartedAtMostOnce(id)
		if got := b.taskCounts(u, id); got != "done:8" {
			t.Errorf("tasks by state: %s, want done:8", got)
		}
	})
}

// Guards against List retries without backoff if pollNow is called while List fails and the
// worker's boot ID is not known yet: the interruption flag must not stay set.
func TestListBacksOffAfterInterruptedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 1)
		defer b.close()
		var lists atomic.Int64
		b.fleet.Faults.Set(func(op standin.Op, _ string) standin.Fault {
			if op != standin.OpList {
				return standin.Fault{}
			}
			// Block after many calls, so that a busy loop lets the test finish.
			if lists.Add(1) > 1000 {
				return standin.Fault{Delay: time.Hour}
			}
			return standin.Fault{Refuse: standin.Down(provider.WorkerService)}
		})
		u := b.startOwner()
		time.Sleep(time.Second)
		u.mu.Lock()
		w := u.workers["w00"]
		u.mu.Unlock()
		u.pollNow(w)
		time.Sleep(time.Minute)
		if n := lists.Load(); n > 100 {
			t.Errorf("List was called %d times in a minute, want at most 100", n)
		}
	})
}
