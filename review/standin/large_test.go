package standin

import (
	"sync"
	"time"
)

// Figures of the case "large-job".
const (
	largeTasks    = 3000 // of the large job
	largeParts    = 30   // jobs that share these tasks without the trouble
	smallJobs     = 30
	smallInterval = time.Second
	cancelEvery   = 5 // one small job in five is cancelled
)

// wideJob has tasks of 10 to 100 s that take a tenth of a core each.
func wideJob(tasks int) job {
	return job{Spec: "work=10000 to=100000 ", Phases: []phase{{Count: tasks, CPU: 100, MemMB: 50, EstimateMS: 55000, Checkpointing: true}}}
}

// largeJob hands in one job of many tasks, beside small ones of another queue. The workers have room for all of them
// twice over.
func largeJob(b *bed) int {
	if !b.works() {
		return exitNotRun
	}
	if b.trouble {
		b.hand(prefix, jobID(2, 0), wideJob(largeTasks), 0)
	} else {
		for i := range largeParts {
			b.hand(prefix, jobID(2, i), wideJob(largeTasks/largeParts), i)
		}
	}
	var small sync.WaitGroup
	for i := range smallJobs {
		small.Go(func() {
			h := b.hand(otherPrefix, jobID(3, i), smallJob(), i)
			if h.accepted && i%cancelEvery == 0 {
				b.cancel(h, i)
			}
		})
		time.Sleep(smallInterval)
	}
	small.Wait()
	time.Sleep(finishTime)
	if b.judge() > 0 {
		return exitBroken
	}
	return exitHeld
}
