package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/resource"
)

// fitCount returns how many tasks of the step fit into the free capacity of a worker.
func (st *step) fitCount(free resource.Amount, w *worker) int {
	need := st.need()
	if !free.Valid() {
		return 0 // the worker was resized below what it runs
	}
	count := st.spec.Count
	limit := func(have, want int64) {
		if want > 0 {
			count = min(count, int(max(0, have)/want))
		}
	}
	limit(int64(free.CPU), int64(need.CPU))
	limit(int64(free.Memory), int64(need.Memory))
	limit(free.Accelerators, need.Accelerators)
	if st.spec.MaxPerWorker > 0 {
		count = min(count, st.spec.MaxPerWorker-st.onWorker[w])
	}
	return max(0, count)
}

// workerSlots is a worker and how many tasks it can take.
type workerSlots struct {
	worker *worker
	slots  int
	score  float64 // lower is better
}

// placeAllOrNothing places either all waiting tasks of a step or none. It is used for gangs
// and at first for steps that prefer a single rack.
func (s *Scheduler) placeAllOrNothing(p *pass, c candidate) {
	if c.step.lastFullPass >= p.lastGrowth[c.step.job.record.Queue.Service] {
		p.claimWorkersFor(c)
		return
	}
	c.tasks = c.placeableTasks()
	shares := s.slotsByWorker(p, c)
	if c.step.spec.SameRack {
		shares = preferSingleRack(shares, len(c.tasks))
	}
	if shares = p.limitToGangRoom(c, sortIfSufficient(shares, len(c.tasks))); shares == nil {
		c.step.recordNoCapacity(p)
		s.preempt(p, c, len(c.tasks))
		p.claimWorkersFor(c)
		return
	}
	if c.step.suspected && !reserveForTrial(p, c, shares) {
		return
	}
	c.step.releaseReservations()
	c.step.claimsSince, c.step.claimsPromoted = time.Time{}, false
	if c.step.spec.Gang {
		c.step.shareCheckpoint()
	}
	attempt := 0
	for _, t := range c.tasks {
		attempt = max(attempt, t.attempt)
	}
	next := 0
	for _, part := range shares {
		for range part.slots {
			if next == len(c.tasks) {
				return
			}
			s.grant(p, c.tasks[next], part.worker, attempt+1)
			next++
		}
	}
}

func (s *Scheduler) slotsByWorker(p *pass, c candidate) []workerSlots {
	var shares []workerSlots
	c.step.eachEligibleWorker(p, func(w *worker) {
		if slots := p.slots(c, w); slots > 0 {
			shares = append(shares, workerSlots{w, slots, s.workerScore(c.step, w, p.now) - c.step.trialScore(w, p.now)})
		}
	})
	return shares
}

func totalTasks(shares []workerSlots) int {
	total := 0
	for _, part := range shares {
		total += part.slots
	}
	return total
}

// byScore orders shares by ascending score, then by worker ID.
func byScore(a, b workerSlots) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
}

// sortIfSufficient returns the shares sorted by score, or nil if they cannot take all tasks.
func sortIfSufficient(shares []workerSlots, tasks int) []workerSlots {
	if totalTasks(shares) < tasks {
		return nil
	}
	slices.SortFunc(shares, byScore)
	return shares
}

// preferSingleRack returns the shares of the rack with the least capacity that can take all
// tasks, or all shares if no rack can.
func preferSingleRack(shares []workerSlots, tasks int) []workerSlots {
	racks := map[string][]workerSlots{}
	totals := map[string]int{}
	for _, part := range shares {
		rack := part.worker.info.Rack
		racks[rack] = append(racks[rack], part)
		totals[rack] += part.slots
	}
	best := ""
	for rack, total := range totals {
		if total >= tasks && (best == "" || total < totals[best] || total == totals[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return shares
	}
	return racks[best]
}
