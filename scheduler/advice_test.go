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

// newAdvisedStep returns a scheduler with 1,100 workers whose usage is given by used, a dispatch
// pass over them, and a step of three tasks without any advice.
func newAdvisedStep(t testing.TB, used func(i int) resource.Amount) (*Scheduler, *pass, candidate) {
	t.Helper()
	s := newTestScheduler(t)
	now := time.Now()
	for i := range 1100 {
		w := newWorker(fleet.Worker{Incarnation: fleet.Incarnation{ID: fmt.Sprintf("w-%04d", i)}, Service: "s", Capacity: resource.Amount{CPU: 16_000, Memory: 64 << 30}})
		w.discovered, w.lastReportAt, w.used = true, now, used(i)
		s.workers[w.info.Incarnation] = w
	}
	p := newPass(now, 1, false, defaultWorkerTimes, evacuation.View{})
	for _, w := range s.workers {
		p.add(w)
	}
	p.sortPools()
	queue := workload.Queue{Name: "q", Service: "s", MaxFailures: 3, Advice: workload.AdvicePolicy{CallLatency: time.Millisecond, TicketTTL: time.Second}}
	steps := []workload.Step{{Count: 3, Need: resource.Amount{CPU: 2500}, Estimate: time.Second}}
	j := newJob("00000000000000a0", workload.Record{Request: workload.Request{Steps: steps}, Queue: queue, AcceptedAt: now.UnixMilli()}, newAccountState(account.Terms{}), now)
	st := j.rounds[0].steps[0]
	return s, p, candidate{step: st, tasks: st.placeableTasks(), quotaAllowance: math.MaxInt, urgency: urgency.Assessment{Rank: urgency.InTime, MayPreempt: true}, deadline: j.deadline}
}

func assertQueried(t *testing.T, workers []*worker, least, most int, fits func(*worker) bool) {
	t.Helper()
	if len(workers) < least || len(workers) > most {
		t.Errorf("%d workers queried, want %d to %d", len(workers), least, most)
	}
	for _, w := range workers {
		if !fits(w) {
			t.Errorf("worker %s with %v free is queried, want it excluded", w.info.ID, w.free())
		}
	}
}

// Only workers with enough free capacity for a task are queried.
func TestAdviceQueryWorkers(t *testing.T) {
	anyWorker := func(*worker) bool { return true }
	t.Run("all idle", func(t *testing.T) {
		s, p, c := newAdvisedStep(t, func(int) resource.Amount { return resource.Amount{} })
		assertQueried(t, s.workersToAsk(p, c), minWorkersPerCall, minWorkersPerCall, anyWorker)
	})
	t.Run("some idle", func(t *testing.T) {
		s, p, c := newAdvisedStep(t, func(i int) resource.Amount {
			if i%10 == 0 {
				return resource.Amount{}
			}
			return resource.Amount{CPU: 10_000}
		})
		assertQueried(t, s.workersToAsk(p, c), minWorkersPerCall, minWorkersPerCall, func(w *worker) bool { return w.used.IsZero() })
	})
	t.Run("few with capacity", func(t *testing.T) {
		s, p, c := newAdvisedStep(t, func(i int) resource.Amount {
			if i < 4 {
				return resource.Amount{CPU: 13_000}
			}
			return resource.Amount{CPU: 15_000}
		})
		assertQueried(t, s.workersToAsk(p, c), 4, 4, func(w *worker) bool { return w.free().CPU >= 2500 })
	})
	t.Run("none with capacity", func(t *testing.T) {
		s, p, c := newAdvisedStep(t, func(int) resource.Amount { return resource.Amount{CPU: 15_000} })
		assertQueried(t, s.workersToAsk(p, c), 0, 0, anyWorker)
	})
	t.Run("workers without free memory are skipped", func(t *testing.T) {
		s, p, c := newAdvisedStep(t, func(i int) resource.Amount {
			if i < 500 {
				return resource.Amount{Memory: 64 << 30}
			}
			return resource.Amount{CPU: 4000}
		})
		c.step.spec.Need.Memory = 1 << 30
		assertQueried(t, s.workersToAsk(p, c), minWorkersPerCall, minWorkersPerCall, func(w *worker) bool { return w.used.Memory == 0 })
	})
}

// An expensive advice call is extended to other expired tickets and to workers not queried yet.
// A cheap call is not.
func TestAdviceCallsFilledUp(t *testing.T) {
	cases := []struct {
		name           string
		policy         workload.AdvicePolicy
		least, expired int // minimum of queried workers, and those with an expired ticket
	}{
		{"expensive", workload.AdvicePolicy{CallLatency: 169 * time.Millisecond, PerWorkerLatency: 2340 * time.Microsecond, TicketTTL: 2 * time.Second}, 80, 20},
		{"cheap", workload.AdvicePolicy{CallLatency: 9 * time.Millisecond, PerWorkerLatency: 130 * time.Microsecond, TicketTTL: 2 * time.Second}, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, p, c := newAdvisedStep(t, func(int) resource.Amount { return resource.Amount{CPU: 8000} })
			c.step.job.record.Queue.Advice = test.policy
			pool := p.pools["s"]
			tickets := map[string]string{}
			for _, w := range pool[:20] {
				tickets[w.info.ID] = "old"
			}
			c.step.advice.recordAnswer(pool[:20], fleet.Advice{Tickets: tickets}, p.now.Add(-time.Second))
			queried := p.fillCall(c.step, pool[:1])
			expired := 0
			for _, w := range queried {
				if c.step.advice.byWorker[w] != nil {
					expired++
				}
			}
			if len(queried) < test.least || len(queried) > maxWorkersPerCall || expired != test.expired {
				t.Errorf("%d workers queried, %d with an expired ticket; want at least %d and at most %d, and %d", len(queried), expired, test.least, maxWorkersPerCall, test.expired)
			}
			seen := map[*worker]bool{}
			for _, w := range queried {
				if seen[w] {
					t.Errorf("worker %s is queried twice", w.info.ID)
				}
				seen[w] = true
			}
		})
	}
}

// hangingAdvisor records calls and does not answer until their context ends.
type hangingAdvisor struct {
	mu    sync.Mutex
	calls [][]string
}

func (a *hangingAdvisor) Advise(ctx context.Context, _ string, workers []string) (fleet.Advice, error) {
	a.mu.Lock()
	a.calls = append(a.calls, workers)
	a.mu.Unlock()
	<-ctx.Done()
	return fleet.Advice{}, &fleet.AdvisorError{Cause: ctx.Err()}
}

// A gang needs all of its tickets at the same time, so the calls for a wide gang run concurrently.
func TestWideGangAdviceCallsConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, c := newAdvisedStep(t, func(int) resource.Amount { return resource.Amount{CPU: 8000} })
		ctx, cancel := context.WithCancel(t.Context())
		s.ctx = ctx
		var advisor hangingAdvisor
		nodes := []AdviceNode{{Node: "self", Self: true, Advisor: &advisor}}
		for i := range 40 {
			nodes = append(nodes, AdviceNode{Node: fmt.Sprintf("node-%d", i), Advisor: &advisor})
		}
		s.SetAdviceNodes(nodes)
		st := c.step
		st.spec.Gang, st.spec.Count = true, 240
		for i := len(st.tasks); i < st.spec.Count; i++ {
			st.tasks = append(st.tasks, &task{step: st, index: i})
		}
		st.job.record.Queue.Advice = workload.AdvicePolicy{CallLatency: 390 * time.Millisecond, PerWorkerLatency: 5600 * time.Microsecond, TicketTTL: 2 * time.Second}
		s.mu.Lock()
		s.requestAdvice(p, c, urgentRecheckInterval)
		s.mu.Unlock()
		synctest.Wait()
		capacity := 0
		for _, workers := range advisor.calls {
			if len(workers) > maxWorkersPerCall {
				t.Errorf("advice call queries %d workers, want at most %d", len(workers), maxWorkersPerCall)
			}
			capacity += 3 * len(workers) // three tasks fit into the free half of a worker
		}
		if want := int(float64(st.spec.Count) / initialEligibleShare); capacity < want {
			t.Errorf("%d advice calls query capacity for %d tasks, want %d", len(advisor.calls), capacity, want)
		}
		cancel()
		s.running.Close()
	})
}

// BenchmarkAdviceQuery measures the selection of workers to query for one step among 1,100 full
// ones.
func BenchmarkAdviceQuery(b *testing.B) {
	s, p, c := newAdvisedStep(b, func(int) resource.Amount { return resource.Amount{CPU: 15_000} })
	b.ReportAllocs()
	for b.Loop() {
		s.workersToAsk(p, c)
	}
}
