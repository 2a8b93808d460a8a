package scheduler

import (
	"context"
	"sort"
	"time"

	"chutereach/wait"
)

// dispatchLoop places tasks whenever something has changed.
func (s *Scheduler) dispatchLoop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	cleaned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.dispatchWake:
		case <-tick.C:
		}
		now := time.Now()
		s.mu.Lock()
		s.dispatch(now)
		if now.Sub(cleaned) > housekeeping {
			cleaned = now
			s.forgetOld(now)
			s.expireUnseen(now)
		}
		s.mu.Unlock()
		wait.For(ctx, max(dispatchGap, dispatchRest*time.Since(now)))
	}
}

// dispatchRest is how many times as long as a look takes the owner does other
// things before the next one.
const dispatchRest = 3

// urgency orders steps; lower goes first.
type urgency int

const (
	urgentInTime urgency = iota
	inTime
	urgentLate
	late
	worthless
)

// worthlessAfter is the multiple of the objective after which a job earns
// nothing more.
const worthlessAfter = 3

// candidate is a step that has tasks to place.
type candidate struct {
	step     *step
	tasks    []*task
	urgency  urgency
	deadline time.Time
}

// pass is one look at all that could be placed.
type pass struct {
	now     time.Time
	serial  uint64
	grew    map[string]uint64    // the latest growth of a worker, by service
	pools   map[string][]*worker // usable workers by service
	blocked map[*worker]bool     // kept free for a gang that waits
	gangs   int                  // that wait with workers kept free
	held    bool                 // the candidate at hand was kept off a worker
}

// add puts a worker into its pool, if it is usable.
func (p *pass) add(w *worker) {
	usable := w.usable(p.now)
	if usable && (!w.wasUsable || w.freed) {
		w.grew = p.serial
	}
	w.wasUsable, w.freed = usable, false
	if usable {
		service := w.info.Service
		p.pools[service] = append(p.pools[service], w)
		p.grew[service] = max(p.grew[service], w.grew)
	}
}

// maxBlockingGangs bounds how many waiting gangs have workers kept free.
const maxBlockingGangs = 3

// dispatch places what can be placed. The lock is held.
func (s *Scheduler) dispatch(now time.Time) {
	if s.paused || s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	list := s.candidates(now)
	if len(list) == 0 {
		return
	}
	if since := s.reign.FailingSince(); !since.IsZero() && now.Sub(since) > holdGrants {
		s.keepAdvice(list, now)
		return
	}
	s.serial++
	p := &pass{now: now, serial: s.serial, pools: map[string][]*worker{}, grew: map[string]uint64{}, blocked: map[*worker]bool{}}
	for _, w := range s.workers {
		p.add(w)
	}
	for i, c := range list {
		if i < adviceAhead {
			s.askAdvice(c.step, now)
		}
		s.place(p, c)
	}
}

// adviceAhead is for how many of the most urgent steps tickets are asked and kept
// up; the others could not use theirs before they run out.
const adviceAhead = 150

// holdGrants is how long the store may fail before nothing is granted any more:
// grants that cannot be written take room and let tickets run out. A slow store
// answers within it.
const holdGrants = 900 * time.Millisecond

// keepAdvice has tickets at hand for when the store is back.
func (s *Scheduler) keepAdvice(list []candidate, now time.Time) {
	for _, c := range list[:min(len(list), adviceAhead)] {
		s.askAdvice(c.step, now)
	}
}

// candidates returns the steps that have tasks to place, most urgent first.
func (s *Scheduler) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range s.active {
		for _, r := range j.rounds {
			if r.left == 0 {
				continue
			}
			if r.due > now.UnixMilli() {
				break // later rounds are due later
			}
			list = s.roundCandidates(list, r, now)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := &list[i], &list[k]
		switch {
		case a.urgency != b.urgency:
			return a.urgency < b.urgency
		case !a.deadline.Equal(b.deadline):
			return a.deadline.Before(b.deadline)
		}
		return a.step.job.id < b.step.job.id
	})
	return list
}

func (s *Scheduler) roundCandidates(list []candidate, r *round, now time.Time) []candidate {
	for _, st := range r.steps {
		if st.done() || now.Before(st.retryAt) || !r.ready(st) {
			continue
		}
		tasks := st.waiting()
		if len(tasks) == 0 || st.spec.Gang && !st.idle() {
			continue
		}
		list = append(list, candidate{st, tasks, urgencyOf(st, now), st.job.deadline})
	}
	return list
}

// urgencyOf judges whether a step's job can still be completed in time.
func urgencyOf(st *step, now time.Time) urgency {
	j := st.job
	urgent := j.record.Queue.Priority == 0
	if st.spec.Lasting || j.record.Request.Timed() {
		return inTime
	}
	rest := j.rounds[st.round].chainLeft(&j.record.Request)
	objective := j.deadline.Sub(j.arrived)
	switch {
	case now.Add(rest).Before(j.deadline):
		if urgent {
			return urgentInTime
		}
		return inTime
	case now.After(j.arrived.Add(worthlessAfter * objective)):
		return worthless
	case urgent:
		return urgentLate
	}
	return late
}

// place places a step's tasks as far as there is room.
func (s *Scheduler) place(p *pass, c candidate) {
	st := c.step
	if st.spec.Gang || st.spec.SameRack {
		s.placeTogether(p, c)
		return
	}
	if st.tried >= p.grew[st.job.record.Queue.Service] {
		return
	}
	p.held = false
	for _, t := range c.tasks {
		w := s.bestWorker(p, c, t)
		if w == nil {
			st.noRoom(p)
			return
		}
		s.grant(t, w, t.attempt+1, p.now)
	}
}

// noRoom notes that no worker takes more of the step, until one has more room or
// there is new advice. Workers that are kept free say nothing.
func (st *step) noRoom(p *pass) {
	if !p.held {
		st.tried = p.serial
	}
}

// bestWorker returns the worker for a task of a step, or nil.
func (s *Scheduler) bestWorker(p *pass, c candidate, t *task) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.pools[c.step.job.record.Queue.Service] {
		if w.grew <= c.step.tried || p.slots(c, w) < 1 {
			continue
		}
		score := s.scoreOf(c.step, w, p.now)
		if t.failedOn == w {
			score += suspectPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// ticketLead is how long after a decision a start reaches its worker, usually.
const ticketLead = 40 * time.Millisecond

// slots returns how many tasks of the step the worker can take now.
func (p *pass) slots(c candidate, w *worker) int {
	st := c.step
	if !st.allows(w) {
		return 0
	}
	if len(p.blocked) > 0 && c.urgency != urgentInTime && p.blocked[w] {
		p.held = true
		return 0
	}
	if st.job.record.Queue.Advice.Needed() {
		if _, ok := st.advice.ticketFor(w.info.ID, p.now.Add(ticketLead)); !ok {
			return 0
		}
	}
	return st.fittingInto(w.free(), w)
}

// allows reports whether the step may run on the worker at all, room apart.
func (st *step) allows(w *worker) bool {
	return w.info.Service == st.job.record.Queue.Service && w.info.HasLabel(st.spec.Label) &&
		st.spec.Need.Fits(w.info.Capacity)
}

// Weights of what makes a worker the better one; the lowest sum wins.
const (
	farPenalty     = 4.0 // the data is in another rack
	suspectPenalty = 8.0 // it has failed much of late
	failurePenalty = 6.0 // times the share of attempts that fail there
	slowPenalty    = 6.0 // times how much slower it is than the fleet
)

// scoreOf rates a worker for a task: the fullest that takes it, so that room for
// large tasks stays whole, unless it fails or is slow.
func (s *Scheduler) scoreOf(st *step, w *worker, now time.Time) float64 {
	left := w.free().Minus(st.need())
	score := ratio(int64(left.CPU), int64(w.info.Capacity.CPU)) + ratio(int64(left.Memory), int64(w.info.Capacity.Memory))
	if st.spec.NearRack != "" && st.spec.NearRack != w.info.Rack {
		score += farPenalty
	}
	if w.health.suspect(now) {
		score += suspectPenalty
	}
	score += failurePenalty * w.health.failures
	if slow := w.health.slowness(s.fleetSpeed, now); slow > slowFrom {
		score += slowPenalty * slow
	}
	return score
}

// slowFrom is the slowness below which a worker counts as sound: estimates are
// rough.
const slowFrom = 0.4

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// grant gives a task room on a worker; once that is in the store, the worker is
// told to start it.
func (s *Scheduler) grant(t *task, w *worker, attempt int, now time.Time) {
	j := t.step.job
	t.attempt = attempt
	t.ticket, _ = t.step.advice.ticketFor(w.info.ID, now)
	w.host(t, taskGranted)
	s.metrics.grants.Add(1)
	s.change(j)
	j.onceSaved(func() { s.begin(t, attempt) })
	s.log.Info().Str("job", j.id).Str("task", t.id().String()).Int("attempt", attempt).Str("worker", w.info.ID).
		Dur("age", now.Sub(j.arrived)).Dur("slack", j.deadline.Sub(now)).Dur("report_age", now.Sub(w.contact)).Msg("granted")
}
