package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// mixedLoad submits urgent gangs, statements with slack, and lookups that together demand about
// nine tenths of the CPU capacity.
type mixedLoad struct {
	*cell
	owner   *owner
	random  *rand.Rand
	jobs    int
	pending sync.WaitGroup

	tally
	stops int // guarded by tally.mu
}

// tally counts completed and on-time jobs by kind.
type tally struct {
	mu      sync.Mutex
	results map[string]kindResult
}

func (t *tally) record(kind string, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.results == nil {
		t.results = map[string]kindResult{}
	}
	r := t.results[kind]
	r.jobs++
	if inTime {
		r.inTime++
	}
	t.results[kind] = r
}

// kindResult counts the jobs of a kind and those that were on time.
type kindResult struct{ jobs, inTime int }

func (r kindResult) onTimeShare() float64 { return float64(r.inTime) / float64(max(1, r.jobs)) }

// Queues of the load, by decreasing urgency.
var (
	lookups    = workload.Queue{Name: "lookups", Service: testService, Priority: 0, MaxFailures: 4, ObjectiveFactor: 1.5, ObjectiveOffset: 250 * time.Millisecond}
	gangs      = workload.Queue{Name: "gangs", Service: testService, Priority: 1, MaxFailures: 2, ObjectiveFactor: 2.2, ObjectiveOffset: time.Second}
	statements = workload.Queue{Name: "statements", Service: testService, Priority: 2, MaxFailures: 2, ObjectiveFactor: 4, ObjectiveOffset: 3 * time.Second}
)

// runMixedLoad generates the load for a time span on 40 workers and returns its results.
func runMixedLoad(t *testing.T, seed uint64, span time.Duration) (m *mixedLoad) {
	t.Helper()
	withCell(t, 0, func(c *cell) {
		c.addLargeWorkers(40)
		c.lease = shortLease
		m = &mixedLoad{cell: c, random: rand.New(rand.NewPCG(seed, 4)), owner: c.startOwner()}
		c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
			m.mu.Lock()
			defer m.mu.Unlock()
			if call == fleettest.CallStop {
				m.stops++
			}
			return fleettest.Fault{}
		})
		time.Sleep(time.Second)
		for start := time.Now(); time.Since(start) < span; time.Sleep(20 * time.Millisecond) {
			m.submitArrivals()
		}
		m.pending.Wait()
	})
	return m
}

// addLargeWorkers adds workers with 32 CPUs and 128 GiB each, twelve per rack.
func (c *cell) addLargeWorkers(count int) {
	for i := range count {
		c.fleet.Add(fleet.Worker{
			Incarnation: fleet.Incarnation{ID: fmt.Sprintf("w-%02d", i)}, Service: testService, Rack: fmt.Sprintf("r-%d", i/12),
			Capacity: resource.Amount{CPU: 32_000, Memory: 128 * gigabyte},
		})
	}
}

// submitArrivals submits the jobs that arrive within 20 ms. The mean demand is about 1,180 of 1,280
// CPUs.
func (m *mixedLoad) submitArrivals() {
	if m.random.Float64() < 0.02*12 {
		m.submitJob("lookup", lookups, 3, 5000, 14, 640*time.Millisecond, false)
	}
	if m.random.Float64() < 0.02*0.72 {
		m.submitJob("gang", gangs, 4+m.random.IntN(28), 9000, 33, 4*time.Second, true)
	}
	if m.random.Float64() < 0.02*1.5 {
		m.submitJob("statement", statements, 10+m.random.IntN(50), 3500, 13, 3400*time.Millisecond, false)
	}
}

func (m *mixedLoad) submitJob(kind string, queue workload.Queue, count int, cpu resource.MilliCPU, gigabytes resource.Bytes, work time.Duration, gang bool) {
	work = time.Duration((0.5 + m.random.Float64()) * float64(work))
	request := workload.Request{Spec: "s", Steps: []workload.Step{{
		Count: count, Need: resource.Amount{CPU: cpu, Memory: gigabytes * gigabyte}, Estimate: work, Gang: gang, Checkpoints: !gang && kind == "statement",
	}}}
	m.jobs++
	id := fmt.Sprintf("%s-%03d", kind, m.jobs)
	m.submitToQueue(m.owner, queue, id, request, work)
	submittedAt, objective := time.Now(), time.Duration(queue.ObjectiveFactor*float64(work))+queue.ObjectiveOffset
	m.pending.Go(func() {
		m.awaitFinal(m.owner, id)
		m.record(kind, time.Since(submittedAt) <= objective)
	})
}

// Gangs wait for capacity that is about to become free before they preempt statements. Few tasks
// are stopped, and all kinds of jobs are still on time.
func TestGangsWithPreemptibleStatements(t *testing.T) {
	const (
		seeds    = 3
		maxStops = 500
		minShare = 0.97
	)
	stops, all := 0, map[string]kindResult{}
	for seed := range uint64(seeds) {
		m := runMixedLoad(t, seed, 20*time.Second)
		stops += m.stops
		for kind, r := range m.results {
			sum := all[kind]
			all[kind] = kindResult{sum.jobs + r.jobs, sum.inTime + r.inTime}
		}
	}
	if stops > maxStops {
		t.Errorf("%d tasks were stopped, want at most %d", stops, maxStops)
	}
	for kind, r := range all {
		if r.onTimeShare() < minShare {
			t.Errorf("%d of %d %ss were on time, want a share of at least %v", r.inTime, r.jobs, kind, minShare)
		}
	}
}
