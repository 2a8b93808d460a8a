package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// gangCapacityFactor is the idle capacity that a gang's eligible workers should have, as a
// multiple of what the gang needs. With less, the gang could wait for long.
const gangCapacityFactor = 4

// eligibleSlots returns how many of the step's tasks would fit on all workers known to be
// eligible if these were idle.
func (st *step) eligibleSlots() int {
	total := 0
	for _, ticket := range st.advice.tickets {
		if !ticket.worker.ended {
			total += st.fitCount(ticket.worker.info.Capacity, ticket.worker)
		}
	}
	return total
}

// mostFreeUnasked returns the workers with the most free CPU among those not asked about yet
// that could run a task of the step if they were idle.
func (s *Scheduler) mostFreeUnasked(p *pass, c candidate) []*worker {
	var list []*worker
	for _, w := range p.pools[c.step.job.record.Queue.Service] {
		if c.step.allows(w) && !c.step.advice.asked[w] {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return int(b.free().CPU - a.free().CPU) })
	return list[:min(len(list), maxAdviceWorkers)]
}

// workersToAskTogether returns the workers to ask about for a gang that claims capacity, so that all of its tickets
// are valid at the same time. A call may take half as long as a ticket is valid: if only expired tickets were
// renewed, others would expire during the call. Tickets are renewed even if there is too little capacity now,
// because the claims accumulate capacity during the call.
func (s *Scheduler) workersToAskTogether(p *pass, c candidate) []*worker {
	st := c.step
	if st.eligibleSlots() < gangCapacityFactor*len(c.tasks) {
		if unasked := s.mostFreeUnasked(p, c); len(unasked) > 0 {
			st.advice.lacksCapacity = false
			return unasked
		}
	}
	validUntil := p.now.Add(st.renewalTime())
	var eligible []*worker
	validSlots, expiredSlots := 0, 0
	for _, ticket := range st.advice.tickets {
		w := ticket.worker
		if w.usableSerial != p.serial || !st.allows(w) {
			continue
		}
		eligible = append(eligible, w)
		if slots := p.obtainableSlots(c, w); ticket.validAt(validUntil) {
			validSlots += slots
		} else {
			expiredSlots += slots
		}
	}
	st.advice.lacksCapacity = validSlots+expiredSlots < len(c.tasks)
	if validSlots >= len(c.tasks) || expiredSlots == 0 {
		return nil
	}
	slices.SortFunc(eligible, func(a, b *worker) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	return eligible[:min(len(eligible), maxAdviceWorkers)]
}

// renewalTime returns how long a ticket must still be valid to outlast the largest call for the step.
func (st *step) renewalTime() time.Duration {
	policy := st.job.record.Queue.Advice
	return policy.Latency(workersPerCall(policy)) + ticketMargin
}
