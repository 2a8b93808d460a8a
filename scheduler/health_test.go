package scheduler_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

// startCounter counts the start calls to each worker.
type startCounter struct {
	mu     sync.Mutex
	starts map[string]int
}

func (p *startCounter) attach(c *cell) {
	p.starts = map[string]int{}
	c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
		p.mu.Lock()
		defer p.mu.Unlock()
		if call == fleettest.CallStart {
			p.starts[worker]++
		}
		return fleettest.Fault{}
	})
}

// A worker on which every attempt fails or hangs gets few further starts, and fails no job.
func TestUnhealthyWorkersAreAvoided(t *testing.T) {
	cases := []struct {
		name      string
		plan      fleettest.Plan
		maxStarts int // starts on the unhealthy worker, of about 240
	}{
		{"attempts fail", fleettest.Plan{Work: 20 * time.Millisecond, Outcome: fleet.Failed}, 25},
		{"attempts hang", fleettest.Plan{Work: time.Minute, Hangs: true}, 40},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 6, func(c *cell) {
				c.queue.Priority = 0
				var p startCounter
				p.attach(c)
				c.fleet.OverridePlan("w-03", test.plan)
				o := c.startOwner()
				var ids []string
				for i := range 120 {
					id := fmt.Sprintf("job-%03d", i)
					ids = append(ids, id)
					if err := c.submit(o, id, newRequest(2, 1000), succeedAfter(600*time.Millisecond)); err != nil {
						t.Fatal(err)
					}
					time.Sleep(50 * time.Millisecond)
				}
				for _, id := range ids {
					c.awaitState(o, id, workload.Completed, 10*time.Second)
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				if got := p.starts["w-03"]; got > test.maxStarts {
					t.Errorf("the unhealthy worker got %d starts, want %d at most", got, test.maxStarts)
				}
			})
		})
	}
}

// A failed task is retried on another worker.
func TestFailedTaskMovesToAnotherWorker(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		c.queue.MaxFailures = 2
		var mu sync.Mutex
		var workers []string
		c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if call == fleettest.CallStart {
				workers = append(workers, worker)
			}
			return fleettest.Fault{}
		})
		o := c.startOwner()
		plan := func(_ workload.TaskID, attempt int) fleettest.Plan {
			if attempt == 1 {
				return fleettest.Plan{Work: 100 * time.Millisecond, Outcome: fleet.Failed}
			}
			return fleettest.Plan{Work: 100 * time.Millisecond}
		}
		if err := c.submit(o, "job", newRequest(1, 1000), plan); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 3*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if len(workers) != 2 || workers[0] == workers[1] {
			t.Errorf("attempts on workers %s, want two different ones", strings.Join(workers, ", "))
		}
	})
}

// On a full fleet, workers that fail every attempt quickly are the ones with free capacity. They
// must not exhaust the attempts of large jobs.
func TestFailingWorkersOnAFullFleet(t *testing.T) {
	withCell(t, 20, func(c *cell) {
		c.queue.MaxFailures = 2
		for _, unhealthy := range []string{"w-04", "w-11"} {
			c.fleet.OverridePlan(unhealthy, fleettest.Plan{Work: 40 * time.Millisecond, Outcome: fleet.Failed})
		}
		var p startCounter
		p.attach(c)
		o := c.startOwner()
		time.Sleep(time.Second)
		var ids []string
		for i := range 40 { // exceeds the capacity of the fleet
			id := fmt.Sprintf("job-%03d", i)
			ids = append(ids, id)
			if err := c.submit(o, id, newRequest(24, 4000), succeedAfter(800*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		failed := 0
		for _, id := range ids {
			failed += c.awaitFinal(o, id)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if got := p.starts["w-04"] + p.starts["w-11"]; failed > 1 || got > 40 {
			t.Errorf("%d jobs of %d failed, and the unhealthy workers got %d starts; want 1 and 40 at most", failed, len(ids), got)
		}
	})
}

// awaitFinal waits until a job is final, and returns 1 if it has failed.
func (c *cell) awaitFinal(o *owner, id string) int {
	for range 3000 {
		state, err := o.State(c.ctx, id)
		if err == nil && state.Final() {
			if state == workload.Failed {
				return 1
			}
			return 0
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Errorf("job %s is not final", id)
	return 0
}
