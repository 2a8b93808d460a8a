package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"chutereach/fit"
	"chutereach/headroom"
	"chutereach/reliability"
	"chutereach/urgency"
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
		s.mu.Lock()
		now := time.Now()
		s.expireUnseen(now)
		s.dispatch(now)
		if now.Sub(cleaned) > housekeeping {
			cleaned = now
			s.forgetOld(now)
			s.settleListed(now)
		}
		took := time.Since(now)
		s.mu.Unlock()
		s.metrics.lookTimes.Record(took)
		wait.For(ctx, max(dispatchGap, dispatchRest*took))
	}
}

// dispatchRest is how many times as long as a look takes the owner does other
// things before the next one: looks take an eighth of the processor at most. Allowed a
// quarter, they took it at 1,100 workers, whatever a single look cost (BenchmarkOwner).
const dispatchRest = 7

// candidate is a step that has tasks to place.
type candidate struct {
	step     *step
	tasks    []*task // that wait
	allowed  int     // how many its account may start now
	urgency  urgency.Verdict
	deadline time.Time
}

// pass is one look at all that could be placed.
type pass struct {
	now     time.Time
	times   WorkerTimes
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

func newPass(now time.Time, serial uint64, trusted bool, times WorkerTimes) *pass {
	return &pass{
		now: now, serial: serial, trusted: trusted, times: times, pools: map[string][]*worker{}, grew: map[string]uint64{},
		gaps: map[string]headroom.Gaps{}, blocked: map[*worker]bool{}, sparing: map[string]sparing{}, kept: map[*accountState]*step{},
		quotaSought: map[*accountState]bool{},
	}
}

// add puts a worker into its pool, if it is usable.
func (p *pass) add(w *worker) {
	usable := w.usable(p.now, p.trusted)
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
	s.serial++
	p := newPass(now, s.serial, s.listIncomplete(now), s.times)
	for _, w := range s.workers {
		p.add(w)
	}
	p.sortPools()
	p.countGaps(s.demands)
	if since := s.term.FailingSince(); !since.IsZero() && now.Sub(since) > holdGrants {
		s.keepAdvice(p, list)
		return
	}
	asked := 0
	for _, c := range list {
		if s.held(p, &c) {
			continue
		}
		s.place(p, c)
		s.logGranted(p, c)
		p.noteWide(c)
		if c.allowed = c.step.allowed(); c.allowed > 0 && asked < adviceAhead {
			s.askAdvice(p, c, checkAfter(asked))
			asked++
		}
	}
}

// waiting returns the tasks that could be placed and that the account may start.
func (c candidate) waiting() []*task {
	list := c.step.waiting()
	return list[:min(len(list), c.allowed)]
}

// adviceAhead is for how many of the most urgent steps tickets are asked; the
// others could not use theirs before they run out.
const adviceAhead = 150

// holdGrants is how long the store may fail before nothing is granted any more:
// grants that cannot be written take room and let tickets run out. A slow store
// answers within it.
const holdGrants = 900 * time.Millisecond

// keepAdvice has tickets at hand for when the store is back.
func (s *Scheduler) keepAdvice(p *pass, list []candidate) {
	asked := 0
	for _, c := range list {
		if asked == adviceAhead {
			return
		}
		if c.allowed = c.step.allowed(); c.allowed > 0 {
			s.askAdvice(p, c, checkAfter(asked))
			asked++
		}
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
	slices.SortFunc(list, byUrgency)
	return list
}

func byUrgency(a, b candidate) int {
	return cmp.Or(urgency.Compare(a.urgency, b.urgency), cmp.Compare(a.step.job.id, b.step.job.id))
}

func (s *Scheduler) roundCandidates(list []candidate, r *round, now time.Time) []candidate {
	for _, st := range r.steps {
		if st.done() || now.Before(st.retryAt) || !r.ready(st) {
			continue
		}
		if !st.anyWaiting() || st.spec.Gang && (!st.idle() || st.anyHeld()) {
			continue
		}
		verdict := urgency.Judge(workOf(st, now), now)
		st.notePressed(verdict.Pressed)
		list = append(list, candidate{step: st, urgency: verdict, deadline: st.job.deadline})
	}
	return list
}

// workOf returns a step as its urgency depends on it.
func workOf(st *step, now time.Time) urgency.Work {
	j := st.job
	return urgency.Work{
		Priority: j.record.Queue.Priority, Arrived: j.arrived, Deadline: j.deadline,
		Chain:   j.rounds[st.round].chainLeft(&j.record.Request),
		Untimed: st.spec.Lasting || j.record.Request.Timed(),
		Idle:    j.idle(now),
	}
}

// place places a step's tasks as far as there is room.
func (s *Scheduler) place(p *pass, c candidate) {
	st := c.step
	if st.spec.Gang || st.spec.SameRack {
		s.placeTogether(p, c)
		return
	}
	if st.suspected {
		s.placeOnTrial(p, c)
		return
	}
	if st.tried >= p.grew[st.job.record.Queue.Service] {
		return
	}
	p.held = false
	tasks := c.waiting()
	for i, t := range tasks {
		w := s.bestWorker(p, c, t)
		if w == nil {
			st.noRoom(p)
			s.makeRoom(p, c, len(tasks)-i)
			return
		}
		s.grant(p, t, w, t.attempt+1)
	}
	st.releaseRoom()
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
	c.step.options(p, func(w *worker) {
		if w.grew <= c.step.tried || p.slots(c, w) < 1 || !p.relies(w, t.last()) {
			return
		}
		place := s.placeOf(c.step, w, p.now)
		place.FailedHere = t.failedOn == w
		score := fit.Score(place)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	})
	return best
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

// scoreOf rates a worker for a task of a step; the lowest is the best.
func (s *Scheduler) scoreOf(st *step, w *worker, now time.Time) float64 {
	return fit.Score(s.placeOf(st, w, now))
}

// placeOf returns a worker as its fitness for a task of a step depends on it.
func (s *Scheduler) placeOf(st *step, w *worker, now time.Time) fit.Place {
	place := fit.Place{
		Capacity: w.info.Capacity, Left: w.free().Minus(st.need()), Unsound: w.standing != reliability.Sound,
		Failures: w.health.reliability.Share(now), Slowness: w.health.slowness(s.fleetSpeed, now),
	}
	if st.spec.NearRack != "" && st.spec.NearRack != w.info.Rack {
		place.Remote = s.remoteFactor - 1
	}
	return place
}

// grant gives a task room on a worker; once that is in the store, the worker is
// told to start it.
func (s *Scheduler) grant(p *pass, t *task, w *worker, attempt int) {
	now := p.now
	j := t.step.job
	t.attempt = attempt
	t.ticket, _ = t.step.advice.ticketFor(w, now)
	if t.step.suspected {
		w.tryOn(t.step, true, now)
	}
	before := w.free()
	w.host(t, taskGranted)
	p.takeGap(w, before)
	s.metrics.grants.Add(1)
	s.change(j)
	j.onceSaved(func() { s.begin(t, attempt) })
	p.granted = append(p.granted, t)
}

// logGranted writes one line for all tasks of a step that were placed in this look:
// INDEX#ATTEMPT@WORKER each, and the age of the oldest report that they rest on.
func (s *Scheduler) logGranted(p *pass, c candidate) {
	if len(p.granted) == 0 {
		return
	}
	j := c.step.job
	places := zerolog.Arr()
	oldest := p.now
	for _, t := range p.granted {
		places.Str(fmt.Sprintf("%d#%d@%s", t.index, t.attempt, t.worker.info.ID))
		if t.worker.contact.Before(oldest) {
			oldest = t.worker.contact
		}
	}
	s.log.Info().Str("job", j.id).Str("step", c.step.stepName()).Array("tasks", places).Dur("age", p.now.Sub(j.arrived)).
		Dur("slack", j.deadline.Sub(p.now)).Dur("report_age", p.now.Sub(oldest)).
		Bool("trial", c.step.suspected).Msg("granted")
	p.granted = p.granted[:0]
}
