package scheduler

import (
	"time"

	"chutereach/headroom"
	"chutereach/resource"
)

// noteDemand notes the gangs of a job that has come. Those of the first queue are small and
// wait for nobody.
func (s *Scheduler) noteDemand(j *job, now time.Time) {
	queue := j.record.Queue
	if queue.Priority == 0 {
		return
	}
	for _, step := range j.record.Request.Steps {
		if step.Gang {
			s.demands[queue.Service] = s.demands[queue.Service].WithArrival(step.Need, step.Count, queue.Priority, now)
		}
	}
}

// countGaps counts the room for gangs on the usable workers.
func (p *pass) countGaps(demands map[string]headroom.Demand) {
	for service, demand := range demands {
		gaps := demand.GapsAt(p.now)
		for _, w := range p.pools[service] {
			gaps = gaps.WithRoom(w.free())
		}
		p.gaps[service] = gaps
	}
}

// keepsGap reports whether the room that a task of the step would take on the worker is kept
// for gangs that may come. Gangs take it.
func (p *pass) keepsGap(st *step, w *worker) bool {
	gaps, counted := p.gaps[w.info.Service]
	free := w.free()
	return counted && !st.spec.Gang && gaps.Keeps(st.job.record.Queue.Priority, free, free.Minus(st.need()))
}

// takeGap notes that a worker has been given a task.
func (p *pass) takeGap(w *worker, before resource.Amount) {
	if gaps, counted := p.gaps[w.info.Service]; counted {
		p.gaps[w.info.Service] = gaps.WithTaken(before, w.free())
	}
}
