package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chutereach/resource"
	"chutereach/urgency"
)

// Quotas: a step may start as many tasks as its account's quota allows when the pass reaches
// it, so a large step may run in several waves. A step held back by the quota is skipped: it
// blocks and reserves no workers, preempts no tasks of other accounts and requests no advice.
// It may preempt tasks of its own account that have a lower priority.

// allowedTasks returns how many of the step's waiting tasks its account may start now. A gang is
// allowed either as a whole or not at all.
func (st *step) allowedTasks() int {
	count := st.job.account.maxStarts(st, st.tasksLeft)
	if st.spec.Gang && count < st.tasksLeft {
		return 0
	}
	return count
}

// heldByQuota reports whether a candidate is held back by its account's quota. It sets the number
// of tasks that the candidate may start. The caller holds the lock.
func (s *Scheduler) heldByQuota(p *pass, c *candidate) bool {
	st := c.step
	c.quotaAllowance = st.allowedTasks()
	switch {
	case c.quotaAllowance == 0:
		s.recordHeld(st, p.now)
		s.preemptForQuota(p, *c)
		p.reserveQuota(*c)
		return true
	case p.quotaReserved(c):
		s.recordHeld(st, p.now)
		return true
	}
	s.recordAllowed(st, p.now)
	return false
}

// recordHeld logs and counts a step that begins to wait for its account's quota.
func (s *Scheduler) recordHeld(st *step, now time.Time) {
	if !st.quotaHeldSince.IsZero() {
		return
	}
	st.quotaHeldSince = now
	a := st.job.account
	s.metrics.quotaHeldSteps.Add(1)
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Str("account", a.terms.Name).Int("left", st.tasksLeft).
		Stringer("need", st.spec.Need).Stringer("used", a.used).Stringer("quota", resource.Amount(a.terms.Quota)).
		Msg("waits for its account's quota")
}

func (s *Scheduler) recordAllowed(st *step, now time.Time) {
	if st.quotaHeldSince.IsZero() {
		return
	}
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Str("account", st.job.account.terms.Name).
		Dur("waited", now.Sub(st.quotaHeldSince)).Msg("its account's quota has room")
	st.quotaHeldSince = time.Time{}
}

const (
	// gangQuotaHold is how long the rest of an account's quota is reserved for a gang that does
	// not fit, however little of the quota is in use: most tasks end within that time. After
	// it, the rest is reserved only while gangQuotaHoldShare or more is in use, because a job
	// must not be idle for 3 s while half of its account's quota is free.
	gangQuotaHold      = 2 * time.Second
	gangQuotaHoldShare = 0.6
)

// reserveQuota reserves the rest of an account's quota for a gang that does not fit, so that
// less urgent steps do not use it up whenever one of the account's tasks ends.
func (p *pass) reserveQuota(c candidate) {
	st := c.step
	a := st.job.account
	if !st.spec.Gang || !c.urgency.InTime() || p.quotaReservedFor[a] != nil {
		return
	}
	if p.now.Sub(st.quotaHeldSince) < gangQuotaHold || a.dominantShare() >= gangQuotaHoldShare {
		p.quotaReservedFor[a] = st
	}
}

// quotaReserved reports whether the rest of the account's quota is reserved for another
// step and the candidate can wait.
func (p *pass) quotaReserved(c *candidate) bool {
	reservedFor := p.quotaReservedFor[c.step.job.account]
	return reservedFor != nil && reservedFor != c.step && c.urgency.Deferrable && c.urgency.Rank != urgency.UrgentInTime
}

// dominantShare returns the largest share of the quota that the account uses of any resource.
func (a *accountState) dominantShare() float64 {
	part := func(used, bound int64) float64 {
		if bound == 0 {
			return 0
		}
		return float64(used) / math.Max(1, float64(bound))
	}
	q := a.terms.Quota
	return max(
		part(int64(a.used.CPU), int64(q.CPU)),
		part(int64(a.used.Memory), int64(q.Memory)),
		part(a.used.Accelerators, q.Accelerators),
	)
}

// preemptForQuota stops tasks of the same account for a step that is held back by the quota, if
// that frees enough of it.
func (s *Scheduler) preemptForQuota(p *pass, c candidate) {
	st, a := c.step, c.step.job.account
	if p.quotaPreemptionTried[a] || !c.urgency.MayPreempt || p.now.Before(st.reservedUntil) {
		return
	}
	p.quotaPreemptionTried[a] = true // once per pass, for the most urgent step
	wanted := 1
	if st.spec.Gang {
		wanted = st.tasksLeft
	}
	victims := a.quotaVictims(p, c, wanted)
	if victims == nil {
		return
	}
	st.reservedUntil = p.now.Add(p.workerTimes.reservationTime())
	for _, t := range victims {
		t.preemptions++
		s.metrics.preempted.Add(1)
		s.stop(t, "preempted within its account by job "+st.job.id)
	}
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Str("account", a.terms.Name).Int("stopped", len(victims)).
		Dur("slack", c.deadline.Sub(p.now)).Msg("preempted tasks for account quota")
}

// quotaVictims returns the shortest list of the account's preemptible tasks, latest deadline
// first, whose end lets it start the wanted number of the step's tasks, or nil if all of them
// do not suffice.
func (a *accountState) quotaVictims(p *pass, c candidate, wanted int) []*task {
	var list []*task
	used := a.used
	for t := range a.placedTasks {
		switch {
		case t.state == taskStopping:
			used = used.Minus(t.step.spec.Need) // its quota is about to be released
		case t.outrankedBy(c.step) && p.preemptible(t):
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(x, y *task) int {
		return cmp.Or(
			y.step.job.deadline.Compare(x.step.job.deadline),
			cmp.Compare(x.step.job.id, y.step.job.id), cmp.Compare(x.index, y.index),
		)
	})
	quota, need := a.terms.Quota, c.step.spec.Need
	for i, t := range list {
		if quota.AdditionalTasks(used, need, wanted) >= wanted {
			return list[:i]
		}
		used = used.Minus(t.step.spec.Need)
	}
	if quota.AdditionalTasks(used, need, wanted) < wanted {
		return nil
	}
	return list
}
