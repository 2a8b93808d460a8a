package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/evacuation"
	"chutereach/headroom"
	"chutereach/reliability"
	"chutereach/urgency"
)

// pass is one look at all that could be placed.
type pass struct {
	now     time.Time
	times   WorkerTimes
	halls   evacuation.View // the evacuated ones get nothing
	serial  uint64
	grew    map[string]uint64        // the latest growth of a worker, by service
	pools   map[string][]*worker     // usable workers by service, the most free first
	blocked map[*worker]bool         // kept free for a gang that waits
	trusted bool                     // workers that are not listed may live
	gangs   int                      // that wait with workers kept free
	held    bool                     // the candidate at hand was kept off a worker
	wide    []*step                  // that wait, and to which patient steps leave room
	gaps    map[string]headroom.Gaps // by service
	sparing map[string]sparing       // by service
	// kept is for which of its steps an account's quota is kept.
	kept map[*accountState]*step
	// quotaSought are the accounts of which some tasks were asked to give way to others.
	quotaSought map[*accountState]bool
	granted     []*task // of the candidate at hand
	made        int     // steps for which room was sought by preemption
}

func newPass(now time.Time, serial uint64, trusted bool, times WorkerTimes, halls evacuation.View) *pass {
	return &pass{
		now: now, serial: serial, trusted: trusted, times: times, halls: halls, pools: map[string][]*worker{}, grew: map[string]uint64{},
		gaps: map[string]headroom.Gaps{}, blocked: map[*worker]bool{}, sparing: map[string]sparing{}, kept: map[*accountState]*step{},
		quotaSought: map[*accountState]bool{},
	}
}

// add puts a worker into its pool, if it is usable.
func (p *pass) add(w *worker) {
	usable := w.usable(p.now, p.trusted) && !p.halls.Covers(w.info.Zone)
	former := w.standing
	w.standing = w.health.reliability.Standing(p.now)
	if usable && (!w.wasUsable || w.freed || w.standing < former) {
		w.grew = p.serial
	}
	w.wasUsable, w.freed = usable, false
	if usable {
		w.usableIn = p.serial
		service := w.info.Service
		p.pools[service] = append(p.pools[service], w)
		p.spare(w)
		p.grew[service] = max(p.grew[service], w.grew)
	}
}

// spare counts a usable worker, by how far it can be relied on.
func (p *pass) spare(w *worker) {
	count := p.sparing[w.info.Service]
	count.all++
	if w.standing >= reliability.Probing {
		count.spared++
	}
	p.sparing[w.info.Service] = count
}

// sortPools puts the workers with the most free processors first.
func (p *pass) sortPools() {
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.info.ID, b.info.ID))
		})
	}
}

// open reports whether the step may go to the worker now, room apart.
func (p *pass) open(c candidate, w *worker) bool {
	if !c.step.allows(w) || !p.relies(w, c.step.spec.Gang) {
		return false
	}
	if w.trial.against(c.step.job, p.now) {
		p.held = true
		return false
	}
	if c.urgency.Patient && (p.leavesTo(c.step, w) || p.keepsGap(c.step, w)) {
		p.held = true
		return false
	}
	if c.urgency.Rank != urgency.UrgentInTime && (w.reserved.against(c.step, p.now) || p.blocked[w]) {
		p.held = true
		return false
	}
	return true
}

// mostWide bounds the wide steps to which patient ones leave room.
const mostWide = 4

// noteWide notes a gang that is in time and has found no room. It comes after all that is more
// urgent.
func (p *pass) noteWide(c candidate) {
	if c.step.spec.Gang && c.urgency.InTime() && len(p.wide) < mostWide && c.step.anyWaiting() {
		p.wide = append(p.wide, c.step)
	}
}

// leavesTo reports whether a patient step leaves a worker to a wide one of a queue that goes
// first: the worker has room for a task of that, and is not known not to run it. Without this
// 7,400 statements' tasks of a calm day were stopped for gangs moments after they had begun.
func (p *pass) leavesTo(st *step, w *worker) bool {
	for _, wide := range p.wide {
		first := wide.job.record.Queue.Priority < st.job.record.Queue.Priority
		if first && wide.mayRunOn(w) && wide.fittingInto(w.free(), w) > 0 {
			return true
		}
	}
	return false
}

// mayRunOn reports whether the advice known so far lets the step run on the worker.
func (st *step) mayRunOn(w *worker) bool {
	return !st.advice.asked[w] || st.advice.at[w] != nil
}

// slots returns how many tasks of the step the worker has room for now.
func (p *pass) slots(c candidate, w *worker) int {
	st := c.step
	if !p.open(c, w) {
		return 0
	}
	return st.fittingInto(w.free(), w)
}

// allows reports whether the step may run on the worker at all, room apart.
func (st *step) allows(w *worker) bool {
	return w.info.Service == st.job.record.Queue.Service && w.info.HasLabel(st.spec.Label) &&
		st.spec.Need.Fits(w.info.Capacity)
}
