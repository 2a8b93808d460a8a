package scheduler

import (
	"cmp"
	"slices"

	"chutereach/resource"
)

// fittingInto returns how many tasks of the step fit into an amount on a worker.
func (st *step) fittingInto(free resource.Amount, w *worker) int {
	need := st.need()
	if !free.Valid() {
		return 0 // it has shrunk below what runs there
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
	if st.spec.PerWorker > 0 {
		count = min(count, st.spec.PerWorker-st.onWorker[w])
	}
	return max(0, count)
}

// share is a number of tasks for a worker.
type share struct {
	worker *worker
	tasks  int
	score  float64 // the lowest is the best
}

// placeTogether places all waiting tasks of a step or none: a gang, or a step
// that wants a single rack.
func (s *Scheduler) placeTogether(p *pass, c candidate) {
	if c.step.tried >= p.grew[c.step.job.record.Queue.Service] {
		s.keepFree(p, c)
		return
	}
	p.held = false
	c.tasks = c.waiting()
	shares := s.shares(p, c)
	if c.step.spec.SameRack {
		shares = oneRack(shares, len(c.tasks))
	}
	if shares = enough(shares, len(c.tasks)); shares == nil {
		c.step.noRoom(p)
		s.makeRoom(p, c, len(c.tasks))
		s.keepFree(p, c)
		return
	}
	if c.step.suspected && !claim(p, c, shares) {
		return
	}
	c.step.releaseRoom()
	attempt := 0
	for _, t := range c.tasks {
		attempt = max(attempt, t.attempt)
	}
	next := 0
	for _, part := range shares {
		for range part.tasks {
			if next == len(c.tasks) {
				return
			}
			s.grant(p, c.tasks[next], part.worker, attempt+1)
			next++
		}
	}
}

func (s *Scheduler) shares(p *pass, c candidate) []share {
	var shares []share
	c.step.options(p, func(w *worker) {
		if slots := p.slots(c, w); slots > 0 {
			shares = append(shares, share{w, slots, s.scoreOf(c.step, w, p.now) - c.step.claimed(w, p.now)})
		}
	})
	return shares
}

// tasksOf counts the tasks of all shares.
func tasksOf(shares []share) int {
	total := 0
	for _, part := range shares {
		total += part.tasks
	}
	return total
}

// byScore orders shares, the best first.
func byScore(a, b share) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
}

// enough returns shares that take all tasks, the best workers first, or nil.
func enough(shares []share, tasks int) []share {
	if tasksOf(shares) < tasks {
		return nil
	}
	slices.SortFunc(shares, byScore)
	return shares
}

// oneRack returns the shares of a rack that takes all tasks, if there is one; a
// step that wants one rack runs over several where none has the room.
func oneRack(shares []share, tasks int) []share {
	racks := map[string][]share{}
	totals := map[string]int{}
	for _, part := range shares {
		rack := part.worker.info.Rack
		racks[rack] = append(racks[rack], part)
		totals[rack] += part.tasks
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

// keepFree keeps lesser work off workers that could take a waiting gang, so that
// it is not starved by work that fits in between.
func (s *Scheduler) keepFree(p *pass, c candidate) {
	if p.gangs >= maxBlockingGangs || !c.urgency.InTime() {
		return
	}
	var able []*worker
	for _, w := range p.pools[c.step.job.record.Queue.Service] {
		mayRun := !c.step.job.record.Queue.Advice.Needed() || c.step.advice.at[w] != nil
		if mayRun && c.step.allows(w) && !p.blocked[w] {
			able = append(able, w)
		}
	}
	slices.SortFunc(able, func(a, b *worker) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	left := len(c.waiting())
	for _, w := range able {
		if left <= 0 {
			break
		}
		left -= c.step.fittingInto(w.info.Capacity, w)
		p.blocked[w] = true
	}
	p.gangs++
}
