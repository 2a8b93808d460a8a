package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chutereach/resource"
	"chutereach/urgency"
)

// Quotas: a step may be given as many tasks as its account's quota has left when its turn
// comes, so that a wide step goes in waves. A step that its quota holds back is passed over:
// it takes no place from others, has no room kept and nobody of another account stopped for
// it, and no advice is asked. Its account's own lesser work may give way to it.

// allowed returns how many of the step's waiting tasks its account may start now. A gang is
// allowed whole or not at all.
func (st *step) allowed() int {
	count := st.job.account.fitting(st, st.left)
	if st.spec.Gang && count < st.left {
		return 0
	}
	return count
}

// held reports whether the quota of its account holds a candidate back, and otherwise notes
// how many tasks it may be given. The lock is held.
func (s *Scheduler) held(p *pass, c *candidate) bool {
	st := c.step
	c.allowed = st.allowed()
	switch {
	case c.allowed == 0:
		s.noteHeld(st, p.now)
		s.makeQuota(p, *c)
		p.keepQuota(*c)
		return true
	case p.keptFor(c):
		s.noteHeld(st, p.now)
		return true
	}
	s.noteAllowed(st, p.now)
	return false
}

// noteHeld writes a line when a step begins to be held back.
func (s *Scheduler) noteHeld(st *step, now time.Time) {
	if !st.heldAt.IsZero() {
		return
	}
	st.heldAt = now
	a := st.job.account
	s.metrics.held.Add(1)
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Str("account", a.terms.Name).Int("left", st.left).
		Stringer("need", st.spec.Need).Stringer("used", a.used).Stringer("quota", resource.Amount(a.terms.Quota)).
		Msg("waits for its account's quota")
}

func (s *Scheduler) noteAllowed(st *step, now time.Time) {
	if st.heldAt.IsZero() {
		return
	}
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Str("account", st.job.account.terms.Name).
		Dur("waited", now.Sub(st.heldAt)).Msg("its account's quota has room")
	st.heldAt = time.Time{}
}

const (
	// keepsWhole is for how long an account's lesser steps wait for a gang of it that does not
	// fit, whatever they would leave: most tasks end within it. A job must not stand still
	// for 3 s while its account has half of its quota left.
	keepsWhole = 2 * time.Second
	// keepsFrom is the share of the quota in use from which on they wait for longer.
	keepsFrom = 0.6
)

// keepQuota has what its account has left kept for a gang that does not fit, from steps that
// come after it: otherwise they would use it up whenever one of their tasks ends.
func (p *pass) keepQuota(c candidate) {
	st := c.step
	a := st.job.account
	if !st.spec.Gang || !c.urgency.InTime() || p.kept[a] != nil {
		return
	}
	if p.now.Sub(st.heldAt) < keepsWhole || a.dominant() >= keepsFrom {
		p.kept[a] = st
	}
}

// keptFor reports whether what the account has left is kept for another of its steps.
func (p *pass) keptFor(c *candidate) bool {
	kept := p.kept[c.step.job.account]
	return kept != nil && kept != c.step && c.urgency.MayWait && c.urgency.Rank != urgency.UrgentInTime
}

// dominant returns the largest share that an account has in use of any part of its quota.
func (a *accountState) dominant() float64 {
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

// makeQuota stops tasks of its own account that give way to a step which the quota holds
// back, if enough of it can be had so.
func (s *Scheduler) makeQuota(p *pass, c candidate) {
	st, a := c.step, c.step.job.account
	if p.quotaSought[a] || !c.urgency.Pressed || p.now.Before(st.roomUntil) {
		return
	}
	p.quotaSought[a] = true // for its most urgent step only
	wanted := 1
	if st.spec.Gang {
		wanted = st.left
	}
	giving := a.givingWay(p, c, wanted)
	if giving == nil {
		return
	}
	st.roomUntil = p.now.Add(p.times.reserved())
	for _, t := range giving {
		t.preempted++
		s.metrics.preempted.Add(1)
		s.stop(t, "gives way within its account to job "+st.job.id)
	}
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Str("account", a.terms.Name).Int("stopped", len(giving)).
		Dur("slack", c.deadline.Sub(p.now)).Msg("quota is made")
}

// givingWay returns the account's tasks, as few as possible, whose end lets it start a number
// of a step's; nil if they do not suffice.
func (a *accountState) givingWay(p *pass, c candidate, wanted int) []*task {
	var list []*task
	used := a.used
	for t := range a.hosted {
		switch {
		case t.state == taskStopping:
			used = used.Minus(t.step.spec.Need) // it gives way already
		case t.yieldsTo(c.step) && p.mayYield(t):
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
		if quota.Fitting(used, need, wanted) >= wanted {
			return list[:i]
		}
		used = used.Minus(t.step.spec.Need)
	}
	if quota.Fitting(used, need, wanted) < wanted {
		return nil
	}
	return list
}
