package scheduler

import (
	"time"

	"chutereach/headroom"
	"chutereach/resource"
)

// recordGangDemand records the gangs of a newly accepted job as demand. Gangs of priority 0 are
// ignored: they are small, and preempt other work instead of waiting.
func (s *Scheduler) recordGangDemand(j *job, now time.Time) {
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

// countHeadroom computes the headroom for gangs on the usable workers of each service.
func (p *pass) countHeadroom(demands map[string]headroom.Demand) {
	for service, demand := range demands {
		gaps := demand.SlotsAt(p.now)
		for _, w := range p.pools[service] {
			gaps = gaps.WithWorker(w.free())
		}
		p.headroom[service] = gaps
	}
}

// keepsHeadroom reports whether the capacity that a task of the step would use on the worker
// is reserved for future gangs. Gangs themselves may use it.
func (p *pass) keepsHeadroom(st *step, w *worker) bool {
	gaps, counted := p.headroom[w.info.Service]
	free := w.free()
	return counted && !st.spec.Gang && gaps.Reserves(st.job.record.Queue.Priority, free, free.Minus(st.need()))
}

// useHeadroom updates the headroom after a task was placed on a worker; before is the worker's
// free capacity before that.
func (p *pass) useHeadroom(w *worker, before resource.Amount) {
	if gaps, counted := p.headroom[w.info.Service]; counted {
		p.headroom[w.info.Service] = gaps.WithAllocation(before, w.free())
	}
}
