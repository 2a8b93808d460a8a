package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// unsteadySeed selects the random sequence of TestUnsteadyWorkersFailNoJob.
var unsteadySeed = flag.Uint64("unsteady.seed", 1, "seed of the jobs and of the ends of workers")

// lateClient passes answers of workers on late, as a process does that is slow or was suspended.
type lateClient struct {
	fleet.Client
	lag func() time.Duration
}

func (c lateClient) Start(ctx context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Clock, error) {
	defer func() { time.Sleep(c.lag()) }()
	return c.Client.Start(ctx, w, o)
}

func (c lateClient) Stop(ctx context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Clock, error) {
	defer func() { time.Sleep(c.lag()) }()
	return c.Client.Stop(ctx, w, o)
}

func (c lateClient) Hold(ctx context.Context, w fleet.Worker, o fleet.HoldOrder) (fleet.Report, error) {
	defer func() { time.Sleep(c.lag()) }()
	return c.Client.Hold(ctx, w, o)
}

// slowOwner processes each answer 400 ms late. A node with a mean lag of 40 ms hands its shard over.
func slowOwner(time.Time) time.Duration { return 400 * time.Millisecond }

// suspendedOwner processes nothing in the last 800 ms of every 2 s.
func suspendedOwner(began time.Time) time.Duration {
	const period, run = 2 * time.Second, 1200 * time.Millisecond
	if phase := time.Since(began) % period; phase > run {
		return period - phase
	}
	return 0
}

// unsteadiness describes how workers end and come back.
type unsteadiness struct {
	name   string
	share  int           // one worker in share ends every second
	spread time.Duration // the ends of a second are spread over this time
	sameID bool          // workers restart under the same id within a second
}

var unsteadyFleets = []unsteadiness{
	{"a tenth at once", 10, 0, false},
	{"a tenth one after another", 10, time.Second, false},
	{"a third one after another, same ids", 3, time.Second, true},
	{"a sixth in pairs, same ids", 6, 300 * time.Millisecond, true},
}

// Guards against blaming jobs for workers that go down and up by turns: whatever the owner sees of
// it, none of the jobs crashes workers and none may be reported as failed.
func TestUnsteadyWorkersFailNoJob(t *testing.T) { testOnUnsteadyWorkers(t, unsteadyFleets, 0) }

// Guards against more than five crashes of a task whose losses cannot be told from those of others, and
// against blaming others for them: the same with two culprits in a hundred jobs.
func TestCrashingTasksAmongUnsteadyWorkers(t *testing.T) {
	testOnUnsteadyWorkers(t, unsteadyFleets[1:3], 50)
}

// testOnUnsteadyWorkers tests kinds of unsteady workers with all kinds of owners. One job in culpritEvery crashes its
// workers; 0: none.
func testOnUnsteadyWorkers(t *testing.T, fleets []unsteadiness, culpritEvery int) {
	owners := []struct {
		name     string
		lag      func(began time.Time) time.Duration
		replaced time.Duration // interval; 0: never
	}{
		{"owner in time", nil, 0},
		{"slow owner", slowOwner, 0},
		{"suspended owner", suspendedOwner, 0},
		{"owners replaced", nil, 2500 * time.Millisecond},
	}
	for _, workers := range fleets {
		for _, owner := range owners {
			t.Run(workers.name+", "+owner.name, func(t *testing.T) {
				t.Parallel()
				withCell(t, 24, func(c *cell) {
					if began := time.Now(); owner.lag != nil {
						c.answerLag = func() time.Duration { return owner.lag(began) }
					}
					c.runOnUnsteadyWorkers(rand.New(rand.NewPCG(*unsteadySeed, 5)), workers, owner.replaced, culpritEvery)
				})
			})
		}
	}
}

// runOnUnsteadyWorkers submits jobs for 30 s while workers go down and up, and fails the test for each
// sound job that is reported as failed and each culprit that is not.
func (c *cell) runOnUnsteadyWorkers(rng *rand.Rand, workers unsteadiness, replaced time.Duration, culpritEvery int) {
	c.lease = shortLease
	o := c.startOwner()
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	go c.restartWorkersByTurns(rand.New(rand.NewPCG(rng.Uint64(), 1)), workers, stop)
	var names, culprits []string
	ownerSince := time.Now()
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		request, work := soundJob(rng, len(names))
		name := fmt.Sprintf("job-%d", len(names))
		names = append(names, name)
		plan := succeedAfter(work)
		if culpritEvery > 0 && len(names)%culpritEvery == 0 {
			plan, culprits = crashingPlan(0), append(culprits, name)
		}
		c.registerJob(name, request, plan)
		o = c.submitWithRetry(o, name, request)
		if replaced > 0 && time.Since(ownerSince) > replaced {
			o.kill()
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			o, ownerSince = c.startOwner(), time.Now()
		}
	}
	close(stop)
	failed := 0
	for _, name := range names {
		failure := c.awaitFinalState(o, name, 90*time.Second) == workload.Failed
		if slices.Contains(culprits, name) {
			if !failure {
				c.t.Errorf("job %s is not reported as failed; it crashed %d workers", name, c.fleet.CrashedWorkers(name+".0.0.0"))
			}
			continue
		}
		if failure {
			failed++
			c.t.Errorf("job %s is reported as failed; %d workers ended under one of its tasks", name, c.fleet.MaxWorkersLost(name))
		}
	}
	c.t.Logf("%d of %d sound jobs failed, %d workers ended", failed, len(names)-len(culprits), c.fleet.Restarts())
	c.logCrashes(culprits, len(names)-len(culprits))
}

// soundJob returns one of a mix of short jobs, gangs and long jobs, and how long each task works.
func soundJob(rng *rand.Rand, number int) (workload.Request, time.Duration) {
	switch number % 10 {
	case 0:
		return newGangRequest(3, 1000), 800 * time.Millisecond
	case 1:
		return newRequest(2, 500), 5 * time.Second
	case 2:
		request := newRequest(4, 500)
		request.Steps[0].Checkpoints = true
		return request, 12 * time.Second
	}
	return newRequest(1+rng.IntN(3), 1000), time.Duration(100+rng.IntN(900)) * time.Millisecond
}

// restartWorkersByTurns ends a share of the workers every second, most of which come back within
// three seconds.
func (c *cell) restartWorkersByTurns(rng *rand.Rand, workers unsteadiness, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		alive := c.liveWorkers()
		rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		for _, w := range alive[:len(alive)/workers.share] {
			id, pause := w.ID, time.Duration(50+rng.IntN(950))*time.Millisecond
			time.AfterFunc(time.Duration(rng.Int64N(int64(workers.spread)+1)), func() {
				switch {
				case workers.sameID:
					c.fleet.RestartSameID(id, pause)
				case c.fleet.Alive(id):
					c.fleet.Restart(id)
				}
			})
		}
	}
}

// awaitFinalState polls until a job is final, and returns its state.
func (c *cell) awaitFinalState(o *owner, id string, within time.Duration) workload.State {
	c.t.Helper()
	state := workload.State("")
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state, _ = o.State(c.ctx, id); state.Final() {
			return state
		}
	}
	c.t.Errorf("job %s is %q after %v, want a final state", id, state, within)
	return state
}
