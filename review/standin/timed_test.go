package standin

import (
	"sync"
	"time"
)

// Figures of the case "timed-job".
const (
	timedRounds   = 10000 // about a week, at one a minute
	timedTasks    = 100
	timedInterval = time.Minute
)

// timedJob hands in one job that runs every minute of a week, beside small ones of another queue.
func timedJob(b *bed) int {
	rounds := timedRounds
	if !b.trouble {
		rounds = 1
	}
	if !b.works() {
		return exitNotRun
	}
	b.hand(prefix, jobID(2, 0), job{
		Spec: "work=300 ", Phases: []phase{{Count: timedTasks, CPU: 500, MemMB: 64, EstimateMS: 300}},
		Repeat: rounds, StartAtMS: time.Now().Add(5 * time.Second).UnixMilli(), IntervalMS: timedInterval.Milliseconds(),
	}, 0)
	var small sync.WaitGroup
	for i := range smallJobs {
		small.Go(func() { b.hand(otherPrefix, jobID(3, i), smallJob(), i) })
		time.Sleep(smallInterval)
	}
	small.Wait()
	time.Sleep(finishTime)
	b.judge()
	if _, _, machines := b.counts(); machines >= 2 {
		return exitBroken
	}
	return exitHeld
}
