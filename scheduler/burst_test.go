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

// month is a load of gangs that must begin within seconds, statements that may take four times
// their work, and lookups, on workers of 32 processors of which nine tenths are asked for.
type month struct {
	*cell
	owner   *owner
	random  *rand.Rand
	jobs    int
	waiting sync.WaitGroup

	tally
	stops int // under the tally's lock
}

// tally counts what came of jobs, by kind.
type tally struct {
	mu      sync.Mutex
	results map[string]result
}

func (t *tally) note(kind string, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.results == nil {
		t.results = map[string]result{}
	}
	r := t.results[kind]
	r.jobs++
	if inTime {
		r.inTime++
	}
	t.results[kind] = r
}

// result is what came of the jobs of a kind.
type result struct{ jobs, inTime int }

func (r result) share() float64 { return float64(r.inTime) / float64(max(1, r.jobs)) }

// Queues of the load.
var (
	lookups    = workload.Queue{Name: "lookups", Service: testService, Priority: 0, Attempts: 4, Stretch: 1.5, Target: 250 * time.Millisecond}
	gangs      = workload.Queue{Name: "gangs", Service: testService, Priority: 1, Attempts: 2, Stretch: 2.2, Target: time.Second}
	statements = workload.Queue{Name: "statements", Service: testService, Priority: 2, Attempts: 2, Stretch: 4, Target: 3 * time.Second}
)

// playMonth plays the load for a while on 40 workers, and returns what came of it.
func playMonth(t *testing.T, seed uint64, span time.Duration) (m *month) {
	t.Helper()
	inCell(t, 0, func(c *cell) {
		c.addLarge(40)
		c.lease = shortLease
		m = &month{cell: c, random: rand.New(rand.NewPCG(seed, 4)), owner: c.rule()}
		c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
			m.mu.Lock()
			defer m.mu.Unlock()
			if call == fleettest.CallStop {
				m.stops++
			}
			return fleettest.Fault{}
		})
		time.Sleep(time.Second)
		for begun := time.Now(); time.Since(begun) < span; time.Sleep(20 * time.Millisecond) {
			m.arrive()
		}
		m.waiting.Wait()
	})
	return m
}

// addLarge adds workers of 32 processors and 128 GiB, twelve a rack.
func (c *cell) addLarge(count int) {
	for i := range count {
		c.fleet.Add(fleet.Worker{
			Life: fleet.Life{ID: fmt.Sprintf("w-%02d", i)}, Service: testService, Rack: fmt.Sprintf("r-%d", i/12),
			Capacity: resource.Amount{CPU: 32_000, Memory: 128 * gigabyte},
		})
	}
}

// arrive hands in what comes in 20 ms: some 1,180 processors of 1,280 are asked for at the mean.
func (m *month) arrive() {
	if m.random.Float64() < 0.02*12 {
		m.hand("lookup", lookups, 3, 5000, 14, 640*time.Millisecond, false)
	}
	if m.random.Float64() < 0.02*0.72 {
		m.hand("gang", gangs, 4+m.random.IntN(28), 9000, 33, 4*time.Second, true)
	}
	if m.random.Float64() < 0.02*1.5 {
		m.hand("statement", statements, 10+m.random.IntN(50), 3500, 13, 3400*time.Millisecond, false)
	}
}

func (m *month) hand(kind string, queue workload.Queue, count int, cpu resource.MilliCPU, gigabytes resource.Bytes, work time.Duration, gang bool) {
	work = time.Duration((0.5 + m.random.Float64()) * float64(work))
	request := workload.Request{Spec: "s", Steps: []workload.Step{{
		Count: count, Need: resource.Amount{CPU: cpu, Memory: gigabytes * gigabyte}, Estimate: work, Gang: gang, Checkpoints: !gang && kind == "statement",
	}}}
	m.jobs++
	id := fmt.Sprintf("%s-%03d", kind, m.jobs)
	m.submitTo(m.owner, queue, id, request, work)
	came, objective := time.Now(), time.Duration(queue.Stretch*float64(work))+queue.Target
	m.waiting.Go(func() {
		m.failedOf(m.owner, id)
		m.note(kind, time.Since(came) <= objective)
	})
}

// Gangs first wait for room that becomes free, and statements with time leave it to them: few
// tasks are stopped moments after they have begun, and gangs begin in time all the same.
func TestGangsBesideStatements(t *testing.T) {
	const (
		seeds      = 3
		mostStops  = 500 // 1,197 when others were stopped for a gang as soon as it had come
		leastShare = 0.97
	)
	stops, all := 0, map[string]result{}
	for seed := range uint64(seeds) {
		m := playMonth(t, seed, 20*time.Second)
		stops += m.stops
		for kind, r := range m.results {
			sum := all[kind]
			all[kind] = result{sum.jobs + r.jobs, sum.inTime + r.inTime}
		}
	}
	if stops > mostStops {
		t.Errorf("%d tasks were stopped, want %d at most", stops, mostStops)
	}
	for kind, r := range all {
		if r.share() < leastShare {
			t.Errorf("%d of %d %ss were in time", r.inTime, r.jobs, kind)
		}
	}
}
