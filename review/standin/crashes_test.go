package standin

import (
	"sync"
	"time"
)

// Figures of the case "crashes".
const (
	crashCount = 3
	crashAfter = 300 * time.Millisecond // the start of the job's task
	crashDown  = 4 * time.Second        // until a new worker comes for one that has crashed
)

// crashes has one worker crash three times, seconds apart: each time the one that runs the only task of a sound job.
func crashes(b *bed) int {
	if !b.works() {
		return exitNotRun
	}
	time.Sleep(5 * time.Second)
	victim := jobID(2, 0)
	var mu sync.Mutex
	left := crashCount
	b.audit.onStart = func(job string, _ int, id string) {
		mu.Lock()
		hit := b.trouble && job == victim && left > 0
		if hit {
			left--
		}
		mu.Unlock()
		if hit {
			time.Sleep(crashAfter)
			b.worker(id).crash()
			time.Sleep(crashDown)
			b.addWorker()
		}
	}
	h := b.hand(prefix, victim, job{Spec: "work=6000 ", Phases: []phase{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 6000}}}, 0)
	for i := range smallJobs {
		b.hand(otherPrefix, jobID(3, i), smallJob(), i)
		time.Sleep(smallInterval)
	}
	time.Sleep(finishTime)
	b.judge()
	state := b.state(h.queue, h.id, 0)
	if did := b.audit.of(h.id); state == "failed" && did.ends["failed"] == 0 {
		b.record.line("job %s is reported as failed, although none of its runs has ended failed: %v", h.id, did.ends)
		return exitBroken
	}
	return exitHeld
}
