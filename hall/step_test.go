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

// moment is when, within an owner's work, something happens to it: at the nth
// request of an operation, before or after that takes effect.
type moment struct {
	op    standin.Op
	n     int
	after bool
}

func (m moment) String() string {
	when := "before"
	if m.after {
		when = "after"
	}
	return fmt.Sprintf("%s %s %d", when, m.op, m.n)
}

// at calls act at the moment, and lets the request go on as it says.
func (m moment) at(act func(), f standin.Fault) befall {
	var mu sync.Mutex
	n := 0
	return func(op standin.Op, _ string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if op != m.op {
			return standin.Fault{}
		}
		if n++; n != m.n {
			return standin.Fault{}
		}
		act()
		return f
	}
}

func moments() []moment {
	var all []moment
	for _, op := range []standin.Op{standin.OpCommit, standin.OpStart, standin.OpRenew, standin.OpList, standin.OpRange} {
		for n := 1; n <= 8; n++ {
			all = append(all, moment{op, n, false}, moment{op, n, true})
		}
	}
	return all
}

// An owner dies at each step of its work, or its request hangs for long and
// takes effect after a successor has come.
func TestOwnerDiesOrPausesAtEachStep(t *testing.T) {
	for _, m := range moments() {
		for _, dies := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, dies %v", m, dies), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, 2)
					defer b.close()
					// The jobs are handed in first: their commits are not the owner's.
					ids := map[string]job.ID{}
					for _, tm := range []string{"again", "once", "resume"} {
						ids[tm] = b.submit(tm, 5)
					}
					reached := make(chan struct{})
					act := func() {
						if dies {
							b.kill(b.last())
						}
						close(reached)
					}
					f := m.at(act, m.fault(dies))
					u := b.ownUnder(f)
					select {
					case <-reached:
					case <-time.After(time.Minute):
					}
					_ = u
					time.Sleep(testSure)
					b.table.Faults.Clear()
					b.fleet.Faults.Clear()
					u = b.own()
					time.Sleep(5 * time.Minute)
					b.kept()
					b.onceOnly(ids["once"])
					for tm, id := range ids {
						b.settled(u, tm, id, true)
					}
				})
			})
		}
	}
}

// fault returns what befalls the request at the moment itself.
func (m moment) fault(dies bool) standin.Fault {
	switch {
	case dies && m.after:
		return standin.Fault{Lose: true}
	case dies:
		return standin.Fault{Vanish: true}
	case m.after:
		return standin.Fault{AnswerLate: 2 * testSure}
	}
	return standin.Fault{Delay: 2 * testSure}
}

func (b *bench) last() *Unit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.units[len(b.units)-1]
}

// ownUnder makes an owner whose requests f befalls from its first on.
func (b *bench) ownUnder(f befall) *Unit {
	u := b.newOwner()
	b.table.Faults.Set(f)
	b.fleet.Faults.Set(f)
	go u.Run()
	return u
}

// Random runs: jobs come, owners die or are deposed, workers reboot or are cut
// off, the table fails, operators settle and stop; whatever the order, the
// promises hold, and when all is calm again everything ends.
func TestRandomRuns(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 1, 25).Draw(r, "actions")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 20_000), 25, 25).Draw(r, "pauses in ms")
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, 3)
			defer b.close()
			b.own()
			ids := map[job.ID]string{b.submit("once", 4): "once"}
			for i, s := range steps {
				actions[s].do(b, ids)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			b.table.Faults.Clear()
			b.fleet.Faults.Clear()
			u := b.own()
			time.Sleep(10 * time.Minute)
			b.kept()
			for id, template := range ids {
				if template == "once" {
					b.onceOnly(id)
				}
				s, found := u.Job(id)
				open := s.Counts[job.Waiting] + s.Counts[job.Running]
				if !found || open > 0 && template != "replica" {
					t.Errorf("%s %s: %s", template, id, b.counts(u, id))
				}
			}
		})
	})
}

// actions are what a random run is made of.
var actions = []struct {
	name string
	do   func(*bench, map[job.ID]string)
}{
	{"hand in, may be repeated", func(b *bench, ids map[job.ID]string) { ids[b.submitAnyway("again", 5)] = "again" }},
	{"hand in, may not be repeated", func(b *bench, ids map[job.ID]string) { ids[b.submitAnyway("once", 5)] = "once" }},
	{"hand in, can be resumed", func(b *bench, ids map[job.ID]string) { ids[b.submitAnyway("resume", 5)] = "resume" }},
	{"hand in a service", func(b *bench, ids map[job.ID]string) { ids[b.submitAnyway("replica", 2)] = "replica" }},
	{"owner dies, another comes", func(b *bench, _ map[job.ID]string) {
		b.kill(b.last())
		time.Sleep(testSure)
		b.ownAnyway()
	}},
	{"owner is deposed beside", func(b *bench, _ map[job.ID]string) { b.ownAnyway() }},
	{"worker reboots", func(b *bench, _ map[job.ID]string) { b.fleet.Reboot("w01") }},
	{"worker is cut off", func(b *bench, _ map[job.ID]string) { b.fleet.Faults.Set(between(0, time.Hour, "w00", vanished)) }},
	{"answers of workers are lost", func(b *bench, _ map[job.ID]string) { b.fleet.Faults.Set(locked(every(standin.OpStart, 2, lost))) }},
	{"workers are back", func(b *bench, _ map[job.ID]string) { b.fleet.Faults.Clear() }},
	{"answers of the table are lost", func(b *bench, _ map[job.ID]string) { b.table.Faults.Set(locked(every(standin.OpCommit, 2, lost))) }},
	{"table is down", func(b *bench, _ map[job.ID]string) {
		b.table.Faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
	}},
	{"table is slow", func(b *bench, _ map[job.ID]string) { b.table.Faults.Always(slow) }},
	{"table is back", func(b *bench, _ map[job.ID]string) { b.table.Faults.Clear() }},
	{"operator settles", func(b *bench, ids map[job.ID]string) {
		for id := range ids {
			b.last().Settle(id, 0, job.Done)
		}
	}},
	{"worker is drained", func(b *bench, _ map[job.ID]string) {
		b.configure(b.last(), func(s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetWorker, Name: "w02"})
		})
	}},
	{"worker is put back", func(b *bench, _ map[job.ID]string) {
		b.configure(b.last(), func(s *config.Set) { *s = s.WithoutDrain("worker/w02") })
	}},
}

// submitAnyway hands a job in even while the table fails: the faults are held
// off for the one request.
func (b *bench) submitAnyway(template string, tasks int) job.ID {
	var id job.ID
	b.table.Calmly(func() { id = b.submit(template, tasks) })
	return id
}

// ownAnyway makes a new owner even while the table fails.
func (b *bench) ownAnyway() { b.table.Calmly(func() { b.own() }) }

// A worker reboots while a grant on it is on its way to the table. Its start
// call must not reach the new boot, on which the attempt counts as over.
func TestRebootWhileGrantIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		defer b.close()
		u := b.own()
		time.Sleep(3 * time.Second)
		b.table.Faults.Set(func(op standin.Op, target string) standin.Fault {
			if op == standin.OpCommit && strings.HasPrefix(target, "ledger/") {
				return standin.Fault{Delay: 5 * time.Second}
			}
			return standin.Fault{}
		})
		// Reports of the worker lag behind its starts, as on a busy link.
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
		b.kept()
		b.onceOnly(id)
		if got := b.counts(u, id); got != "done:8" {
			t.Errorf("the job is %s", got)
		}
	})
}

// A worker that is nudged before its boot is known, and refuses every question,
// is asked with pauses. The nudge once stayed for ever and did away with them.
func TestNudgedWorkerIsAskedWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.close()
		var asked atomic.Int64
		b.fleet.Faults.Set(func(op standin.Op, _ string) standin.Fault {
			if op != standin.OpList {
				return standin.Fault{}
			}
			// Past a bound the question hangs, so that a loop without pauses ends.
			if asked.Add(1) > 1000 {
				return standin.Fault{Delay: time.Hour}
			}
			return standin.Fault{Refuse: standin.Down(provider.WorkerService)}
		})
		u := b.own()
		time.Sleep(time.Second)
		u.mu.Lock()
		w := u.workers["w00"]
		u.mu.Unlock()
		u.pollNow(w)
		time.Sleep(time.Minute)
		if n := asked.Load(); n > 100 {
			t.Errorf("the worker was asked %d times in a minute", n)
		}
	})
}
