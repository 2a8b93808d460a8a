package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/gangroom"
	"chutereach/resource"
)

// Bounded gang room (LoadPolicy.BoundedGangRoom): a pass keeps only as much free capacity for each
// waiting gang as it needs. Steps of lower priority with slack defer to the gang by its free slots,
// and all less urgent steps leave the capacity that it waits for on the workers it is going to use.

// gangRoom is the capacity that a pass keeps for waiting gangs.
type gangRoom struct {
	claims    map[*worker]claim
	claimants map[*step]bool // gangs with claims
	bounded   bool           // whether LoadPolicy.BoundedGangRoom is set; if not, the fields below are unused
	waiting   []waitingGang
	// kept is set if room for a gang was kept from the current candidate.
	kept bool
}

// waitingGang is a gang that could not be placed, with its free slots.
type waitingGang struct {
	step *step
	room gangroom.Room
}

// claim is the capacity that a worker must have left for a gang before it takes other work.
type claim struct {
	step   *step
	amount resource.Amount
	recent bool // the gang has had claims for less than maxClaimTime
}

// gangRoomState records since when a step has had room kept for it, or kept from it, so that only the
// beginning is logged instead of every pass.
type gangRoomState struct {
	waitsSince    time.Time // start of the wait of a gang that room is kept for; zero if none is kept
	withheldSince time.Time // room was kept from it for a gang; zero if none is
}

// recordGangRoom counts the free slots of a gang that can still complete in time but could not be
// placed, so that less urgent steps leave it enough of them. Gangs of priority 0 are left out: they
// are small, and preempt other work instead of waiting.
func (s *Scheduler) recordGangRoom(p *pass, c candidate) {
	s.recordWithheld(p, c)
	st, g := c.step, &p.gangRoom
	if !st.spec.Gang || st.job.topPriority() || !c.urgency.InTime() || !st.anyPlaceable() {
		return
	}
	if len(g.waiting) == maxGangRooms {
		return
	}
	room := gangroom.New(st.tasksLeft+g.tasksAhead(st), s.eligibleShare(st.job.record.Queue.Name))
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if st.allows(w) && p.trusts(c, w, true) && !p.keptFromGang(c, w) {
			room = room.WithWorker(st.eligibility(w), st.fitCount(w.free(), w))
		}
	}
	g.waiting = append(g.waiting, waitingGang{st, room})
	if !st.gangRoom.waitsSince.IsZero() {
		return
	}
	st.gangRoom.waitsSince = p.now
	s.metrics.gangsWaiting.Add(1)
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Int("tasks", room.Tasks()).Float64("slots", room.Slots()).
		Bool("suffice", room.Suffices()).Dur("slack", c.deadline.Sub(p.now)).Msg("keeps room for waiting gang")
}

// maxGangRooms limits the waiting gangs that a pass keeps room for, because each placement checks all of
// them. On 1,100 workers a dozen gangs can wait at the same time.
const maxGangRooms = 16

// tasksAhead returns the tasks of more urgent waiting gangs of the step's service. They use the same
// workers, so that a gang needs its room beside theirs.
func (g *gangRoom) tasksAhead(st *step) int {
	count := 0
	for _, gang := range g.waiting {
		if gang.step.job.record.Queue.Service == st.job.record.Queue.Service {
			count += gang.step.tasksLeft
		}
	}
	return count
}

// keptFromGang reports whether a worker's free capacity is kept for work other than a gang.
func (p *pass) keptFromGang(c candidate, w *worker) bool {
	st := c.step
	return w.trial.excludes(st.job, p.now) || w.reserved.excludes(st, p.now) || p.claimed(c, w)
}

// recordWithheld logs and counts a step when room for gangs is first kept from it.
func (s *Scheduler) recordWithheld(p *pass, c candidate) {
	st := c.step
	if !st.anyPlaceable() {
		st.gangRoom = gangRoomState{}
		return
	}
	if !p.gangRoom.kept || !st.gangRoom.withheldSince.IsZero() {
		return
	}
	st.gangRoom.withheldSince = p.now
	s.metrics.stepsWithheld.Add(1)
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Int("left", st.tasksLeft).
		Dur("slack", c.deadline.Sub(p.now)).Msg("step leaves room to waiting gangs")
}

// eligibility returns what is known of a worker's eligibility for the step.
func (st *step) eligibility(w *worker) gangroom.Eligibility {
	switch {
	case !st.job.record.Queue.Advice.Enabled() || st.advice.byWorker[w] != nil:
		return gangroom.Eligible
	case st.advice.asked[w]:
		return gangroom.Ineligible
	}
	return gangroom.Unasked
}

// keeps reports whether a task of the step would take slots on a worker that a waiting gang of a
// queue with higher priority needs.
func (g *gangRoom) keeps(st *step, w *worker) bool {
	free, need := w.free(), st.need()
	if len(g.waiting) == 0 || !need.Fits(free) {
		return false // a task that does not fit is not withheld
	}
	after := free.Minus(need)
	for _, gang := range g.waiting {
		if gang.outranks(st) && !gang.allows(w, free, after) {
			g.kept = true
			return true
		}
	}
	return false
}

// outranks reports whether the gang's queue has a higher priority than the step's.
func (g waitingGang) outranks(st *step) bool {
	return g.step.job.record.Queue.Priority < st.job.record.Queue.Priority
}

// allows reports whether the free capacity of a worker may be reduced.
func (g waitingGang) allows(w *worker, before, after resource.Amount) bool {
	slots := g.step.fitCount(before, w)
	return slots == 0 || g.room.Allows(g.eligibility(w), slots, g.step.fitCount(after, w))
}

// withUse returns the gang after the free capacity of a worker has been reduced.
func (g waitingGang) withUse(w *worker, before, after resource.Amount) waitingGang {
	g.room = g.room.WithAllocation(g.eligibility(w), g.step.fitCount(before, w), g.step.fitCount(after, w))
	return g
}

// eligibility returns what is known of a worker's eligibility for the gang.
func (g waitingGang) eligibility(w *worker) gangroom.Eligibility {
	if !g.step.allows(w) {
		return gangroom.Ineligible
	}
	return g.step.eligibility(w)
}

// use updates the waiting gangs after a task was placed on a worker; before is the worker's free
// capacity before that.
func (g *gangRoom) use(w *worker, before resource.Amount) {
	for i, gang := range g.waiting {
		g.waiting[i] = gang.withUse(w, before, w.free())
	}
}

// limitToGangRoom returns nil if placing all of a step's tasks on the shares, in their order, would
// take slots that waiting gangs need. The check of each worker by itself does not see their sum.
func (p *pass) limitToGangRoom(c candidate, shares []workerSlots) []workerSlots {
	if shares == nil || !c.urgency.DefersToGangs || len(p.gangRoom.waiting) == 0 {
		return shares
	}
	waiting := slices.Clone(p.gangRoom.waiting)
	left := len(c.tasks)
	limited := make([]workerSlots, 0, len(shares))
	for _, part := range shares {
		free, slots := part.worker.free(), 0
		for ; slots < part.slots && left > 0; slots++ {
			after := free.Minus(c.step.need())
			if !allAllow(waiting, c.step, part.worker, free, after) {
				break
			}
			for i, gang := range waiting {
				waiting[i] = gang.withUse(part.worker, free, after)
			}
			free = after
			left--
		}
		if slots > 0 {
			part.slots = slots
			limited = append(limited, part)
		}
	}
	if left > 0 {
		p.withheld, p.gangRoom.kept = true, true
		return nil
	}
	return limited
}

// allAllow reports whether all gangs that outrank the step allow the free capacity of a worker to be
// reduced.
func allAllow(waiting []waitingGang, st *step, w *worker, before, after resource.Amount) bool {
	for _, gang := range waiting {
		if gang.outranks(st) && !gang.allows(w, before, after) {
			return false
		}
	}
	return true
}

const (
	// maxClaimants is the maximum number of waiting gangs that claim capacity.
	maxClaimants = 4
	// maxClaimTime is how long the claims of a gang that does not start hold against jobs that must not be held back
	// any longer. The tasks that were running when it began to wait have mostly ended by then.
	maxClaimTime = 10 * time.Second
	// maxIdleForClaims is how long claims still hold against jobs that must not be held back any longer, once less than
	// half of the service's CPU is in use. A gang that needs most of the service waits that long for its last tasks to end.
	maxIdleForClaims = 2 * time.Second
)

// claimWorkersFor claims capacity for a waiting gang on the eligible workers with the most free CPU, so that
// smaller tasks do not starve it. On each worker it claims the slots that are free, or one slot if none is, since
// waiting for whole workers to drain would take until their longest task ends. A gang that waits for its first
// advice claims nothing, and neither does one of priority 0, which preempts instead of waiting, or one that would not
// fit even if all tasks that end by themselves had ended. In-time steps of priority 0 may still use the capacity.
func (p *pass) claimWorkersFor(c candidate) {
	st, g := c.step, &p.gangRoom
	if st.job.topPriority() || !c.urgency.InTime() || len(g.claimants) >= maxClaimants {
		return
	}
	var eligible []*worker
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if st.allows(w) && g.claims[w].step == nil && st.eligibility(w) == gangroom.Eligible {
			eligible = append(eligible, w)
		}
	}
	tasks := len(c.placeableTasks())
	if len(eligible) == 0 || !p.mayFitLater(st, tasks) {
		return
	}
	if st.claimsSince.IsZero() || c.urgency.Promoted && !st.claimsPromoted {
		st.claimsSince, st.claimsPromoted = p.now, c.urgency.Promoted
	}
	recent := p.now.Sub(st.claimsSince) < maxClaimTime
	slices.SortStableFunc(eligible, func(a, b *worker) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	if g.claims == nil {
		g.claims, g.claimants = map[*worker]claim{}, map[*step]bool{}
	}
	for _, w := range eligible {
		if tasks <= 0 {
			break
		}
		count := min(tasks, max(1, st.fitCount(w.free(), w)))
		g.claims[w] = claim{st, st.need().Times(int64(count)), recent}
		tasks -= count
	}
	g.claimants[st] = true
}

// mayFitLater reports whether all tasks of a gang would fit on the usable workers that it may run on once all tasks
// there but those that run indefinitely have ended.
func (p *pass) mayFitLater(st *step, tasks int) bool {
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if tasks <= 0 {
			break
		}
		if st.allows(w) && st.mayRunOn(w) {
			tasks -= st.fitCount(w.info.Capacity.Minus(w.usedIndefinitely), w)
		}
	}
	return tasks <= 0
}

// claimed reports whether a task of the candidate would take capacity of a worker that is claimed for another step. A
// step that must not be held back any longer may take it once capacity has been plentiful, or the gang has had its claims,
// for too long: what the gang waits for may never become free.
func (p *pass) claimed(c candidate, w *worker) bool {
	st := c.step
	claim, ok := p.gangRoom.claims[w]
	if !ok || claim.step == st {
		return false
	}
	if !c.urgency.Deferrable && (!claim.recent || p.idleTime(w.info.Service) >= maxIdleForClaims) {
		return false
	}
	free := w.free()
	return st.need().Fits(free) && !st.need().Plus(claim.amount).Fits(free)
}

// onlyWithheld reports whether a gang would be expected to fit into the free capacity if none were
// kept for others. Such a gang does not need more workers to choose from.
func (p *pass) onlyWithheld(c candidate, eligibleShare float64) bool {
	if !p.gangRoom.bounded {
		return false
	}
	room := gangroom.New(len(c.tasks), eligibleShare)
	for _, w := range p.pools[c.step.job.record.Queue.Service] {
		if c.step.allows(w) && p.trusts(c, w, c.step.spec.Gang) {
			room = room.WithWorker(c.step.eligibility(w), c.step.fitCount(w.free(), w))
		}
		if room.Suffices() {
			return true
		}
	}
	return false
}

// workersWithheld returns the workers to ask about for a gang that is only withheld. Eligibility does
// not change, so it asks once about as many workers as it needs. Renewed tickets would expire while
// the capacity is withheld.
func (p *pass) workersWithheld(c candidate, eligibleShare float64) []*worker {
	st := c.step
	if len(st.advice.asked) > 0 {
		return nil
	}
	var list []workerSlots
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if !st.allows(w) || !p.trusts(c, w, st.spec.Gang) {
			continue
		}
		if slots := st.fitCount(w.free(), w); slots > 0 {
			list = append(list, workerSlots{worker: w, slots: slots})
		}
	}
	named, _ := selectWorkers(nil, list, adviceCapacityFactor*float64(len(c.tasks)), eligibleShare)
	return named
}
