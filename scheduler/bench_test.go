package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chutereach/account"
	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/resource"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// BenchmarkDispatch measures one dispatch pass over waiting jobs with tickets on 350 full workers.
func BenchmarkDispatch(b *testing.B) {
	for _, jobs := range []int{100, 1500} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			s, now := newBacklogScheduler(b, jobs)
			b.ReportAllocs()
			for b.Loop() {
				s.mu.Lock()
				s.dispatch(now)
				s.mu.Unlock()
			}
		})
	}
}

// BenchmarkDispatchAfterFree measures a dispatch pass after some capacity was freed on every
// worker, but not enough for any task: each step is tried again and may search for tasks to
// preempt.
func BenchmarkDispatchAfterFree(b *testing.B) {
	for _, jobs := range []int{100, 500} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			s, now := newBacklogScheduler(b, jobs)
			b.ReportAllocs()
			for b.Loop() {
				s.mu.Lock()
				for _, w := range s.workers {
					w.capacityFreed = true
				}
				s.dispatch(now)
				s.mu.Unlock()
			}
		})
	}
}

// newTestScheduler returns a scheduler that owns an empty shard.
func newTestScheduler(tb testing.TB) *Scheduler {
	tb.Helper()
	store := memory.New()
	sighting, err := leadership.ReadOwner(tb.Context(), store, "main")
	if err != nil {
		tb.Fatal(err)
	}
	term, err := leadership.Acquire(tb.Context(), store, "main", "n", "a", sighting)
	if err != nil {
		tb.Fatal(err)
	}
	s := New(Config{Shard: "main", Lease: 6 * time.Second}, store, nil, term, NewMetrics(), zerolog.Nop())
	s.ctx = tb.Context()
	return s
}

// newBacklogScheduler returns a scheduler with 350 full workers and a number of waiting jobs.
func newBacklogScheduler(b *testing.B, jobs int) (*Scheduler, time.Time) {
	s := newTestScheduler(b)
	now := time.Now()
	advice := fleet.Advice{Tickets: map[string]string{}, Valid: time.Hour}
	var workers []*worker
	for i := range 350 {
		w := newWorker(fleet.Worker{Incarnation: fleet.Incarnation{ID: fmt.Sprintf("w-%03d", i)}, Service: "s", Capacity: resource.Amount{CPU: 16_000, Memory: 64 << 30}})
		w.discovered, w.lastReportAt, w.used = true, now.Add(time.Hour), resource.Amount{CPU: 15_500}
		s.workers[w.info.Incarnation] = w
		workers = append(workers, w)
		if i%3 != 0 {
			advice.Tickets[w.info.ID] = "ticket"
		}
	}
	queue := workload.Queue{Name: "q", Service: "s", MaxFailures: 3, Advice: workload.AdvicePolicy{CallLatency: time.Millisecond, TicketTTL: time.Hour}}
	for i := range jobs {
		steps := []workload.Step{{Count: 3, Need: resource.Amount{CPU: 2500}, Estimate: time.Second}}
		j := newJob(fmt.Sprintf("%016x", i), workload.Record{Request: workload.Request{Steps: steps}, Queue: queue, AcceptedAt: now.UnixMilli()}, newAccountState(account.Terms{}), now)
		j.rounds[0].steps[0].advice.recordAnswer(workers, advice, now)
		s.jobs[j.id], s.active[j.id] = j, j
	}
	return s, now
}
