package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/evacuation"
	"chutereach/headroom"
	"chutereach/urgency"
)

// pass is the state of one dispatch pass, which tries to place all waiting steps once.
type pass struct {
	now             time.Time
	workerTimes     WorkerTimes
	halls           evacuation.View // workers in evacuated halls get no tasks
	serial          uint64
	lastGrowth      map[string]uint64         // serial of the last pass in which a worker gained capacity, by service
	pools           map[string][]*worker      // usable workers by service, sorted by descending free CPU
	includeUnlisted bool                      // unlisted workers may still be alive
	withheld        bool                      // a worker was withheld from the current candidate
	waitingGangs    []*step                   // gangs that steps may defer to
	gangRoom        gangRoom                  // replaces waitingGangs if it is bounded
	headroom        map[string]headroom.Slots // by service
	standingCounts  map[string]poolCounts     // by service
	services        map[string]serviceState
	avoidance       avoidance // of the step for which it was determined last
	bounds          map[workerClass]capacityBound
	// quotaReservedFor is the gang that the rest of an account's quota is reserved for.
	quotaReservedFor map[*accountState]*step
	// quotaPreemptionTried holds the accounts whose own tasks were considered for preemption.
	quotaPreemptionTried map[*accountState]bool
	granted              []*task // tasks of the current candidate
	preemptionAttempts   int     // steps for which preemption was tried
}

func newPass(now time.Time, serial uint64, includeUnlisted bool, times WorkerTimes, halls evacuation.View) *pass {
	return &pass{
		now: now, serial: serial, includeUnlisted: includeUnlisted, workerTimes: times, halls: halls, pools: map[string][]*worker{}, lastGrowth: map[string]uint64{},
		headroom: map[string]headroom.Slots{}, bounds: map[workerClass]capacityBound{}, standingCounts: map[string]poolCounts{}, quotaReservedFor: map[*accountState]*step{},
		quotaPreemptionTried: map[*accountState]bool{},
	}
}

// add adds a worker to the pool of its service if it is usable.
func (p *pass) add(w *worker) {
	usable := w.usable(p.now, p.includeUnlisted) && !p.halls.Contains(w.info.Zone)
	former := w.standing
	w.standing = w.health.reliability.Standing(p.now)
	if usable && (!w.wasUsable || w.capacityFreed || w.standing < former) {
		w.grownSerial = p.serial
	}
	w.wasUsable, w.capacityFreed = usable, false
	if usable {
		w.usableSerial = p.serial
		service := w.info.Service
		p.pools[service] = append(p.pools[service], w)
		p.standingCounts[service] = p.standingCounts[service].With(w)
		p.lastGrowth[service] = max(p.lastGrowth[service], w.grownSerial)
	}
}

// sortPools sorts each pool by descending free CPU.
func (p *pass) sortPools() {
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.info.ID, b.info.ID))
		})
	}
}

// mayPlace reports whether the step may be placed on the worker now, regardless of free
// capacity. It sets p.withheld if a trial, a reservation or headroom for gangs prevents it.
func (p *pass) mayPlace(c candidate, w *worker) bool {
	if !c.step.allows(w) || !p.trusts(c, w, c.step.spec.Gang) {
		return false
	}
	if p.withholds(c, w) {
		p.withheld = true
		return false
	}
	return true
}

// withholds reports whether a trial, a reservation or headroom for gangs keeps the step off a worker
// that it could run on.
func (p *pass) withholds(c candidate, w *worker) bool {
	if w.trial.excludes(c.step.job, p.now) {
		return true
	}
	if c.urgency.DefersToGangs && (p.defersToGang(c.step, w) || p.keepsHeadroom(c.step, w)) {
		return true
	}
	return c.urgency.Rank != urgency.UrgentInTime &&
		(w.reserved.excludes(c.step, p.now) || p.claimed(c, w))
}

// maxWaitingGangs limits the waiting gangs that steps may defer to.
const maxWaitingGangs = 4

// recordWaitingGang records a gang that can still complete in time but could not be placed.
// Candidates are placed in order of urgency, so only less urgent steps defer to it.
func (s *Scheduler) recordWaitingGang(p *pass, c candidate) {
	if p.gangRoom.bounded {
		s.recordGangRoom(p, c)
		return
	}
	if c.step.spec.Gang && c.urgency.InTime() && len(p.waitingGangs) < maxWaitingGangs && c.step.anyPlaceable() {
		p.waitingGangs = append(p.waitingGangs, c.step)
	}
}

// defersToGang reports whether a step that defers to gangs leaves a worker to a waiting gang of a
// queue with higher priority: one that has a task that fits there and is not known to be
// ineligible. Otherwise the step's tasks would soon be preempted for the gang: 7,400 tasks were
// on one day.
func (p *pass) defersToGang(st *step, w *worker) bool {
	if p.gangRoom.bounded {
		return p.gangRoom.keeps(st, w)
	}
	for _, gang := range p.waitingGangs {
		higherPriority := gang.job.record.Queue.Priority < st.job.record.Queue.Priority
		if higherPriority && gang.mayRunOn(w) && gang.fitCount(w.free(), w) > 0 {
			return true
		}
	}
	return false
}

// mayRunOn reports whether the worker is eligible for the step or not asked about yet.
func (st *step) mayRunOn(w *worker) bool {
	return !st.advice.asked[w] || st.advice.byWorker[w] != nil
}

// slots returns how many tasks of the step can be placed on the worker now.
func (p *pass) slots(c candidate, w *worker) int {
	st := c.step
	if !p.mayPlace(c, w) {
		return 0
	}
	return st.fitCount(w.free(), w)
}

// allows reports whether the worker's service, labels and total capacity suit the step.
func (st *step) allows(w *worker) bool {
	return w.info.Service == st.job.record.Queue.Service && w.info.HasLabel(st.spec.RequiredLabel) &&
		st.spec.Need.Fits(w.info.Capacity)
}
