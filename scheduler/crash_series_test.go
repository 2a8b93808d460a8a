package scheduler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/workload"
)

const (
	// seriesDuration is how long a series of ends of workers lasts, and endAfterStart how soon after a start of the
	// task its worker ends.
	seriesDuration = 4 * time.Second
	endAfterStart  = 40 * time.Millisecond
	// maxIdleTime is the longest time for which a job may have no running task while there is free capacity.
	maxIdleTime = 3 * time.Second
)

// Guards against a sound job that is given up because a burst of trouble has ended the worker of its task right after
// each start (seed 403 of TestSoakFailures).
func TestSeriesOfWorkerEndsFailsNoJob(t *testing.T) {
	cases := map[string]struct {
		request workload.Request
		work    time.Duration
	}{
		"one task": {newRequest(1, 1000), 300 * time.Millisecond},
		"gang":     {newGangRequest(2, 1000), 300 * time.Millisecond},
		"lasting":  {newLastingRequest(1, 1000), time.Hour},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withCell(t, 24, func(c *cell) {
				c.lease = shortLease
				o := c.startOwner()
				stop := make(chan struct{})
				defer close(stop)
				go c.endOtherWorkers("job.0.0.0", stop)
				time.Sleep(2 * time.Second)
				if err := c.submit(o, "job", test.request, succeedAfter(test.work)); err != nil {
					t.Fatal(err)
				}
				ends := c.endWorkersOf("job.0.0.0")
				time.Sleep(8 * time.Second)
				if state, err := o.State(c.ctx, "job"); state == workload.Failed || err != nil || ends < 3 {
					t.Errorf("job is %q (%v) after %d ends of workers, want it to go on after at least 3", state, err, ends)
				}
				c.assertNeverIdle("job", maxIdleTime)
			})
		})
	}
}

var (
	seriesSeeds     = flag.Uint64("series.seeds", 40, "number of seeds of TestFourWorkerEndsFailNoJob and those like it")
	seriesSeedFirst = flag.Uint64("series.first", 0, "first seed of TestFourWorkerEndsFailNoJob and those like it")
)

// minEndAfterStart is how soon after a start of the task TestFourWorkerEndsFailNoJob ends its worker. What ends
// workers sooner, and in a fleet in which no others end, is the task.
const minEndAfterStart = 30 * time.Millisecond

// Guards against a sound job that is given up because a few workers end while its task runs there, although no other
// worker ends (review case 3).
func TestFourWorkerEndsFailNoJob(t *testing.T) {
	for seed := *seriesSeedFirst; seed < *seriesSeedFirst+*seriesSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 8))
			withCell(t, 8+rng.IntN(100), func(c *cell) { c.runWorkerEnds(rng, 4, minEndAfterStart) })
		})
	}
}

// minEndAfterOutlivedStart is how soon after a start of the task TestLateWorkerEndsFailNoJob ends its worker: an owner
// in time has seen by then that the attempt has outlived its start.
const minEndAfterOutlivedStart = 50 * time.Millisecond

// Guards against a sound job that is given up because many workers end while its task runs there, each after the
// attempt has outlived its start, although no other worker ends (review case 12).
func TestLateWorkerEndsFailNoJob(t *testing.T) {
	for seed := *seriesSeedFirst; seed < *seriesSeedFirst+*seriesSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 12))
			withCell(t, 8+rng.IntN(100), func(c *cell) { c.runWorkerEnds(rng, 5+rng.IntN(8), minEndAfterOutlivedStart) })
		})
	}
}

// Guards against a gang that is given up because its owner learns too late that the attempts have outlived their start
// (seed 443 of TestSoakFailures).
func TestWorkerEndsAfterGangStartsFailNoJob(t *testing.T) {
	for seed := *seriesSeedFirst; seed < *seriesSeedFirst+*seriesSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 443))
			withCell(t, 8+rng.IntN(100), func(c *cell) {
				ends := workerEndsOfTask{count: 5 + rng.IntN(8), minDelay: minEndAfterStart, spread: 30 * time.Millisecond, sameID: rng.IntN(2) == 0}
				c.endWorkersOfSoundJob(rng, newGangRequest(3, 2000), time.Second, ends)
			})
		})
	}
}

// runWorkerEnds draws a job and how its workers end, each from minDelay after a start, and runs it.
func (c *cell) runWorkerEnds(rng *rand.Rand, count int, minDelay time.Duration) {
	pause := time.Duration(rng.IntN(10_000)) * time.Millisecond
	requests := []workload.Request{newRequest(1, 1000), newRequest(4, 1000), newGangRequest(3, 2000), newLastingRequest(1, 1000)}
	request := requests[rng.IntN(len(requests))]
	spread := []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second}[rng.IntN(3)]
	ends := workerEndsOfTask{count: count, minDelay: minDelay, spread: spread, sameID: rng.IntN(2) == 0}
	c.endWorkersOfSoundJob(rng, request, pause, ends)
}

// workerEndsOfTask describes how the workers end that run a task.
type workerEndsOfTask struct {
	count            int
	minDelay, spread time.Duration // each ends at a random time in spread from minDelay after the start
	sameID           bool          // they restart under the same id
}

// endWorkersOfSoundJob submits a job of sound tasks after a pause, ends workers of its first one, and fails the test unless
// the job goes on.
func (c *cell) endWorkersOfSoundJob(rng *rand.Rand, request workload.Request, pause time.Duration, how workerEndsOfTask) {
	c.t.Helper()
	c.lease = shortLease
	o := c.startOwner()
	time.Sleep(pause)
	work, want := 6*time.Second, workload.Completed
	if request.Steps[0].LongRunning {
		work, want = time.Hour, workload.Running
	}
	if err := c.submit(o, "job", request, succeedAfter(work)); err != nil {
		c.t.Fatal(err)
	}
	ends := 0
	for end := time.Now().Add(time.Duration(how.count) * 10 * time.Second); ends < how.count && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		worker := c.fleet.WorkerOf("job.0.0.0")
		if worker == "" {
			continue
		}
		time.Sleep(how.minDelay + time.Duration(rng.Int64N(int64(how.spread))))
		if how.sameID {
			c.fleet.RestartSameID(worker, 200*time.Millisecond)
		} else {
			c.fleet.Restart(worker)
		}
		ends++
	}
	time.Sleep(15 * time.Second)
	if state, err := o.State(c.ctx, "job"); state != want || err != nil || ends != how.count {
		c.t.Errorf("job is %q (%v) after %d ends of workers, want %q after %d", state, err, ends, want, how.count)
	}
	if how.sameID { // otherwise a task runs again only once its lease has expired
		c.assertNeverIdle("job", maxIdleTime)
	}
}

// endOtherWorkers ends random workers that do not run a task, so that no end is conclusive.
func (c *cell) endOtherWorkers(task string, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if list := c.fleet.List(); len(list) > 0 {
			if worker := list[rng.IntN(len(list))].ID; worker != c.fleet.WorkerOf(task) {
				c.fleet.RestartSameID(worker, 200*time.Millisecond)
			}
		}
	}
}

// endWorkersOf ends each worker that runs a task shortly after it has started it, for the duration of a series, and
// returns how many it has ended.
func (c *cell) endWorkersOf(task string) (ends int) {
	for end := time.Now().Add(seriesDuration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		worker := c.fleet.WorkerOf(task)
		if worker == "" {
			continue
		}
		time.Sleep(endAfterStart)
		c.fleet.RestartSameID(worker, 200*time.Millisecond)
		ends++
	}
	return ends
}

// assertNeverIdle fails the test if no task of a job ran for longer than a limit between two of its attempts.
func (c *cell) assertNeverIdle(job string, limit time.Duration) {
	c.t.Helper()
	var last fleettest.Attempt
	for _, attempt := range c.fleet.Attempts(job) {
		if idle := attempt.Started.Sub(last.Ended); !last.Ended.IsZero() && idle > limit {
			c.t.Errorf("nothing of job %s ran for %v before %s#%d, want at most %v", job, idle, attempt.Task, attempt.Number, limit)
		}
		if last.Ended.Before(attempt.Ended) || attempt.Ended.IsZero() {
			last = attempt
		}
	}
}
