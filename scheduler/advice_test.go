package scheduler

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/account"
	"chutereach/evacuation"
	"chutereach/fleet"
	"chutereach/resource"
	"chutereach/urgency"
	"chutereach/workload"
)

// advisedStep returns a scheduler with 1,100 workers, of which each has used as used says,
// a look at them, and a step of three tasks for which nothing was asked yet.
func advisedStep(t testing.TB, used func(i int) resource.Amount) (*Scheduler, *pass, candidate) {
	t.Helper()
	s := newBenchScheduler(t)
	now := time.Now()
	for i := range 1100 {
		w := newWorker(fleet.Worker{Life: fleet.Life{ID: fmt.Sprintf("w-%04d", i)}, Service: "s", Capacity: resource.Amount{CPU: 16_000, Memory: 64 << 30}})
		w.known, w.contact, w.used = true, now, used(i)
		s.workers[w.info.Life] = w
	}
	p := newPass(now, 1, false, defaultTimes, evacuation.View{})
	for _, w := range s.workers {
		p.add(w)
	}
	p.sortPools()
	queue := workload.Queue{Name: "q", Service: "s", Attempts: 3, Advice: workload.AdvicePolicy{Decision: time.Millisecond, Valid: time.Second}}
	steps := []workload.Step{{Count: 3, Need: resource.Amount{CPU: 2500}, Estimate: time.Second}}
	j := newJob("00000000000000a0", workload.Record{Request: workload.Request{Steps: steps}, Queue: queue, Accepted: now.UnixMilli()}, newAccountState(account.Terms{}), now)
	st := j.rounds[0].steps[0]
	return s, p, candidate{step: st, tasks: st.waiting(), allowed: math.MaxInt, urgency: urgency.Verdict{Rank: urgency.InTime, Pressed: true}, deadline: j.deadline}
}

func assertNamed(t *testing.T, named []*worker, least, most int, fits func(*worker) bool) {
	t.Helper()
	if len(named) < least || len(named) > most {
		t.Errorf("%d workers are named, want %d to %d", len(named), least, most)
	}
	for _, w := range named {
		if !fits(w) {
			t.Errorf("worker %s with %v free is named", w.info.ID, w.free())
		}
	}
}

func TestAdviceIsAskedForWorkersWithRoom(t *testing.T) {
	anyWorker := func(*worker) bool { return true }
	t.Run("all are idle", func(t *testing.T) {
		s, p, c := advisedStep(t, func(int) resource.Amount { return resource.Amount{} })
		assertNamed(t, s.question(p, c), adviceLeast, adviceLeast, anyWorker)
	})
	t.Run("some are idle", func(t *testing.T) {
		s, p, c := advisedStep(t, func(i int) resource.Amount {
			if i%10 == 0 {
				return resource.Amount{}
			}
			return resource.Amount{CPU: 10_000}
		})
		assertNamed(t, s.question(p, c), adviceLeast, adviceLeast, func(w *worker) bool { return w.used.IsZero() })
	})
	t.Run("few have room", func(t *testing.T) {
		s, p, c := advisedStep(t, func(i int) resource.Amount {
			if i < 4 {
				return resource.Amount{CPU: 13_000}
			}
			return resource.Amount{CPU: 15_000}
		})
		assertNamed(t, s.question(p, c), 4, 4, func(w *worker) bool { return w.free().CPU >= 2500 })
	})
	t.Run("none has room", func(t *testing.T) {
		s, p, c := advisedStep(t, func(int) resource.Amount { return resource.Amount{CPU: 15_000} })
		assertNamed(t, s.question(p, c), 0, 0, anyWorker)
	})
	t.Run("those without memory are passed over", func(t *testing.T) {
		s, p, c := advisedStep(t, func(i int) resource.Amount {
			if i < 500 {
				return resource.Amount{Memory: 64 << 30}
			}
			return resource.Amount{CPU: 4000}
		})
		c.step.spec.Need.Memory = 1 << 30
		assertNamed(t, s.question(p, c), adviceLeast, adviceLeast, func(w *worker) bool { return w.used.Memory == 0 })
	})
}

// A costly call that would renew one ticket names all others that have run out too, and fresh
// workers, as long as they add little to it. A cheap one does not: it is soon made again.
func TestCallsAreFilledUp(t *testing.T) {
	cases := []struct {
		name             string
		policy           workload.AdvicePolicy
		least, renewable int // named, and how many of them are known
	}{
		{"costly", workload.AdvicePolicy{Decision: 169 * time.Millisecond, Each: 2340 * time.Microsecond, Valid: 2 * time.Second}, 80, 20},
		{"cheap", workload.AdvicePolicy{Decision: 9 * time.Millisecond, Each: 130 * time.Microsecond, Valid: 2 * time.Second}, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, p, c := advisedStep(t, func(int) resource.Amount { return resource.Amount{CPU: 8000} })
			c.step.job.record.Queue.Advice = test.policy
			pool := p.pools["s"]
			tickets := map[string]string{}
			for _, w := range pool[:20] {
				tickets[w.info.ID] = "old"
			}
			c.step.advice.take(pool[:20], fleet.Advice{Tickets: tickets}, p.now.Add(-time.Second))
			named := p.fillUp(c.step, pool[:1])
			known := 0
			for _, w := range named {
				if c.step.advice.at[w] != nil {
					known++
				}
			}
			if len(named) < test.least || len(named) > adviceCall || known != test.renewable {
				t.Errorf("%d are named, %d of them known; want %d at least, and %d", len(named), known, test.least, test.renewable)
			}
			seen := map[*worker]bool{}
			for _, w := range named {
				if seen[w] {
					t.Errorf("worker %s is named twice", w.info.ID)
				}
				seen[w] = true
			}
		})
	}
}

// silentAdvisor keeps the calls that come to it and answers none.
type silentAdvisor struct {
	mu    sync.Mutex
	calls [][]string
}

func (a *silentAdvisor) Advise(ctx context.Context, _ string, workers []string) (fleet.Advice, error) {
	a.mu.Lock()
	a.calls = append(a.calls, workers)
	a.mu.Unlock()
	<-ctx.Done()
	return fleet.Advice{}, &fleet.AdvisorError{Cause: ctx.Err()}
}

// A gang's tickets are all shown at one moment, so what it needs is asked for at once.
func TestAWideGangAsksInSeveralCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, c := advisedStep(t, func(int) resource.Amount { return resource.Amount{CPU: 8000} })
		ctx, cancel := context.WithCancel(t.Context())
		s.ctx = ctx
		var advisor silentAdvisor
		lanes := []Lane{{Node: "self", Self: true, Advisor: &advisor}}
		for i := range 40 {
			lanes = append(lanes, Lane{Node: fmt.Sprintf("node-%d", i), Advisor: &advisor})
		}
		s.SetLanes(lanes)
		st := c.step
		st.spec.Gang, st.spec.Count = true, 240
		for i := len(st.tasks); i < st.spec.Count; i++ {
			st.tasks = append(st.tasks, &task{step: st, index: i})
		}
		st.job.record.Queue.Advice = workload.AdvicePolicy{Decision: 390 * time.Millisecond, Each: 5600 * time.Microsecond, Valid: 2 * time.Second}
		s.mu.Lock()
		s.askAdvice(p, c, checkAgain)
		s.mu.Unlock()
		synctest.Wait()
		room := 0
		for _, named := range advisor.calls {
			if len(named) > adviceCall {
				t.Errorf("a call names %d workers, want %d at most", len(named), adviceCall)
			}
			room += 3 * len(named) // tasks that an idle half of a worker takes
		}
		if want := int(float64(st.spec.Count) / firstHealthy); room < want {
			t.Errorf("%d calls name room for %d tasks, want %d", len(advisor.calls), room, want)
		}
		cancel()
		s.running.Close()
	})
}

// BenchmarkQuestion finds the workers to ask about for one step among 1,100 that have no
// room. It took 74 µs when each of them was looked at, and takes 21 µs.
func BenchmarkQuestion(b *testing.B) {
	s, p, c := advisedStep(b, func(int) resource.Amount { return resource.Amount{CPU: 15_000} })
	b.ReportAllocs()
	for b.Loop() {
		s.question(p, c)
	}
}
