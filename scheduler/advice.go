package scheduler

import (
	"context"
	"slices"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

const (
	// adviceMost bounds the workers that are asked about for a step at a time. They are
	// divided among calls, which take 100 each at most: what a gang of 240 tasks needs
	// would take four calls of a second each, and the tickets of the first run out meanwhile.
	adviceMost = 400
	// adviceCall is how many workers one call may name, and adviceStretch by how many times a
	// call's fixed cost those that it names may lengthen it. On full workers each has room for
	// one task or none, and a step of thirty needs to hear of seventy: with half the fixed cost
	// it took eight calls for a step, and every lane that there is.
	adviceCall    = 100
	adviceStretch = 1.2
	// adviceLeast is how many workers a call names if that many have room. A call
	// has a fixed cost, of which this many add about a third.
	adviceLeast = 24
	// adviceRoom is how many times the room that a step needs the workers of a
	// call should have: others may take some of it before the answer.
	adviceRoom = 1.5
	// ticketMargin is how long before its end a ticket is no longer used.
	ticketMargin = 60 * time.Millisecond
	// ticketLead is how long after a decision a start reaches its worker, usually.
	ticketLead = 40 * time.Millisecond
	// checkAgain is when a step for which nothing could be asked is looked at again, if it
	// is among the checkFirst most urgent, and checkOthers when another is: room goes to
	// the former first. Where 150 steps waited, looking at each of them every 40 ms took
	// 0.13 of a core.
	checkAgain  = 40 * time.Millisecond
	checkOthers = 160 * time.Millisecond
	checkFirst  = 32
	// firstHealthy is the share of workers that may run a step, before any answer
	// of its queue, and healthyWeight the weight of the newest answer.
	firstHealthy  = 0.5
	healthyWeight = 0.1
)

// options calls f with each worker to which a step could go now, room apart.
func (st *step) options(p *pass, f func(*worker)) {
	if !st.job.record.Queue.Advice.Needed() {
		for _, w := range p.pools[st.job.record.Queue.Service] {
			f(w)
		}
		return
	}
	shown := p.now.Add(ticketLead)
	for _, permit := range st.advice.permits {
		if permit.worker.usableIn == p.serial && permit.goodAt(shown) {
			f(permit.worker)
		}
	}
}

// adviceAtOnce returns how many workers one call names, so that it takes little longer than
// one that names a single worker.
func adviceAtOnce(policy workload.AdvicePolicy) int {
	if policy.Each <= 0 {
		return adviceCall
	}
	count := int(adviceStretch * float64(policy.Decision) / float64(policy.Each))
	return max(adviceLeast, min(count, adviceCall))
}

// checkAfter returns when the step at a place in the order of urgency is looked at again.
func checkAfter(place int) time.Duration {
	if place < checkFirst {
		return checkAgain
	}
	return checkOthers
}

// askAdvice asks which workers may run the tasks of a step that found no place,
// unless it needs no advice, a call is under way, or no call would help. The lock
// is held. If nothing can be asked, the step is looked at again after a while.
func (s *Scheduler) askAdvice(p *pass, c candidate, again time.Duration) {
	st := c.step
	a, policy := &st.advice, st.job.record.Queue.Advice
	if !policy.Needed() || a.asking > 0 || p.now.Before(a.checkAt) || s.chooseLane(policy.Cost(1), p.now) == nil {
		return
	}
	if c.tasks = c.waiting(); len(c.tasks) == 0 {
		return
	}
	named := s.question(p, c)
	if len(named) == 0 {
		a.checkAt = p.now.Add(again)
		return
	}
	for part := range slices.Chunk(p.fillUp(st, named), adviceAtOnce(policy)) {
		if !s.sendQuestion(st, part, p.now) {
			return
		}
	}
}

// sendQuestion asks about some workers for a step, if a lane is free.
func (s *Scheduler) sendQuestion(st *step, named []*worker, now time.Time) bool {
	cost := st.job.record.Queue.Advice.Cost(len(named))
	l := s.chooseLane(cost, now)
	if l == nil {
		return false
	}
	st.advice.asking++
	l.begin(cost)
	name, advisor := st.stepName(), l.Advisor
	s.running.Go(func() { s.fetchAdvice(st, l, advisor, name, named, cost) })
	return true
}

func (st *step) stepName() string { return st.tasks[0].id().StepName() }

// survey is the room that a step's waiting tasks could use.
type survey struct {
	good  int     // slots where a ticket is good until an answer could come
	known []share // that may run the step, but need a new ticket
	fresh []share // that were never asked about
}

// survey looks for a step at the workers of which it has tickets, and then at others
// until there is enough: a look at all 1,100 workers of a deployment for each step that
// waits took 0.15 of a core (BenchmarkOwner).
func (s *Scheduler) survey(p *pass, c candidate) survey {
	st := c.step
	lasting := p.now.Add(st.job.record.Queue.Advice.Cost(adviceLeast) + ticketMargin)
	if !st.spec.Gang {
		lasting = p.now.Add(ticketLead)
	}
	var seen survey
	for _, permit := range st.advice.permits {
		if permit.worker.usableIn != p.serial {
			continue
		}
		slots := p.slotsFor(c, permit.worker)
		switch {
		case slots < 1:
		case permit.goodAt(lasting):
			seen.good += slots
		default:
			seen.known = append(seen.known, share{worker: permit.worker, tasks: slots})
		}
	}
	if seen.good < len(c.tasks) {
		seen.fresh = s.freshRoom(p, c)
	}
	return seen
}

// slotsFor returns how many of the step's tasks the worker could take, now or, if the
// step is worth it, once others have given way.
func (p *pass) slotsFor(c candidate, w *worker) int {
	slots := p.slots(c, w)
	if slots < len(c.tasks) && c.urgency.Pressed {
		slots = p.slotsWithYields(c, w)
	}
	return slots
}

const (
	// freshChoice is how many times the room that a step needs is looked for on workers
	// that were never asked about, so that those with the most room can be named.
	freshChoice = 3
	// mostYielding bounds the workers without room that are looked at for tasks that
	// could give way.
	mostYielding = 256
)

// freshRoom returns workers that were never asked about and could take tasks of the step,
// those with the most free processors first, until they have enough room. The list is good
// until the next call.
func (s *Scheduler) freshRoom(p *pass, c candidate) []share {
	st := c.step
	enough := freshChoice * float64(len(c.tasks)) / s.healthyShare(st.job.record.Queue.Name)
	need := st.need().CPU
	fresh := s.freshBuffer[:0]
	room, full := 0, 0
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if float64(room) >= enough && len(fresh) >= adviceLeast {
			break
		}
		if w.free().CPU < need {
			if full++; full > mostYielding || !c.urgency.Pressed {
				break // the rest have no more
			}
		}
		if st.advice.asked[w] {
			continue
		}
		if slots := p.slotsFor(c, w); slots > 0 {
			fresh = append(fresh, share{worker: w, tasks: slots})
			room += slots
		}
	}
	s.freshBuffer = fresh
	return fresh
}

// question returns the workers to ask about so that the step's waiting tasks find
// room on those that may run it. Workers without room are not asked about: their
// tickets would run out unused. A gang that has no room anywhere learns first which
// workers it could wait for.
func (s *Scheduler) question(p *pass, c candidate) []*worker {
	st, tasks := c.step, len(c.tasks)
	seen := s.survey(p, c)
	healthy := s.healthyShare(st.job.record.Queue.Name)
	hoped := float64(seen.good) + float64(tasksOf(seen.known)) + healthy*float64(tasksOf(seen.fresh))
	switch {
	case seen.good >= tasks:
		return nil
	case st.spec.Gang && hoped < float64(tasks):
		if st.permittedSlots() < gangChoice*tasks {
			return s.roomiest(p, c)
		}
		return nil
	}
	wanted := adviceRoom * float64(tasks-seen.good)
	if st.spec.Gang {
		wanted = adviceRoom * float64(tasks) // all tickets are shown at one moment
	}
	named, wanted := takeRoom(nil, seen.known, wanted, 1)
	if wanted > 0 || len(st.advice.asked) == 0 {
		named, _ = takeRoom(named, seen.fresh, wanted, healthy)
	}
	return named
}

// fillUp adds workers to a costly call that names few: its cost is mostly fixed, and room comes
// up everywhere while tickets are good. First those that may run the step and need a new ticket,
// then others in the order of free processors. 1,070 calls of a calm day renewed the tickets of
// 1.3 workers each, for which one call of thirty takes half as long again.
func (p *pass) fillUp(st *step, named []*worker) []*worker {
	policy := st.job.record.Queue.Advice
	most := adviceAtOnce(policy)
	if policy.Decision <= cheapAdvice || len(named) >= most {
		return named
	}
	chosen := make(map[*worker]bool, most)
	for _, w := range named {
		chosen[w] = true
	}
	add := func(w *worker) {
		if len(named) < most && !chosen[w] && w.usableIn == p.serial && st.allows(w) {
			named = append(named, w)
		}
	}
	lasting := p.now.Add(ticketLead)
	for _, permit := range st.advice.permits {
		if !permit.goodAt(lasting) {
			add(permit.worker)
		}
	}
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if len(named) >= most {
			break
		}
		if !st.advice.asked[w] {
			add(w)
		}
	}
	return named
}

// takeRoom names the workers with the most room until they have as much as is
// wanted, and returns what is still wanted. Of those that may turn out unfit it names
// adviceLeast at the least.
func takeRoom(named []*worker, list []share, wanted, healthy float64) ([]*worker, float64) {
	slices.SortFunc(list, func(a, b share) int {
		if a.tasks != b.tasks {
			return b.tasks - a.tasks
		}
		return int(b.worker.free().CPU - a.worker.free().CPU)
	})
	least := 0
	if healthy < 1 {
		least = adviceLeast
	}
	for _, r := range list {
		if wanted <= 0 && len(named) >= least || len(named) == adviceMost {
			break
		}
		named = append(named, r.worker)
		wanted -= healthy * float64(r.tasks)
	}
	return named, wanted
}

// gangChoice is how many times the room that a gang needs its workers should have
// if they were idle; with fewer to choose from it would wait for long.
const gangChoice = 4

// permittedSlots is how many of the step's tasks all workers that may run it would
// take if they were idle.
func (st *step) permittedSlots() int {
	total := 0
	for _, permit := range st.advice.permits {
		if !permit.worker.over {
			total += st.fittingInto(permit.worker.info.Capacity, permit.worker)
		}
	}
	return total
}

// roomiest returns the workers with the most room of those that were not asked
// about and could take a task of the step if they were idle.
func (s *Scheduler) roomiest(p *pass, c candidate) []*worker {
	var list []*worker
	for _, w := range p.pools[c.step.job.record.Queue.Service] {
		if c.step.allows(w) && !c.step.advice.asked[w] {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return int(b.free().CPU - a.free().CPU) })
	return list[:min(len(list), adviceMost)]
}

// healthyShare returns the share of workers that may run a step of a queue, as
// answers have shown it.
func (s *Scheduler) healthyShare(queue string) float64 {
	if share, ok := s.healthy[queue]; ok {
		return share
	}
	return firstHealthy
}

func (s *Scheduler) fetchAdvice(st *step, l *lane, advisor fleet.Advisor, name string, named []*worker, cost time.Duration) {
	s.mu.Lock()
	limit := l.limit(cost) + s.patience()
	ids := make([]string, 0, len(named))
	for _, w := range named {
		ids = append(ids, w.info.ID)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	begun := time.Now()
	advice, err := advisor.Advise(ctx, name, ids)
	now := time.Now()
	s.metrics.advice(now.Sub(begun), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.end(cost)
	st.advice.asking--
	if err != nil {
		if s.ctx.Err() == nil {
			s.log.Warn().Str("job", st.job.id).Str("step", name).Str("lane", l.Node).Err(err).Msg("no advice")
		}
		l.until = now.Add(lanePause)
	} else {
		s.adviceCame(st, named, advice, now)
	}
	wake(s.dispatchWake)
}

// adviceCame takes an answer in. The lock is held.
func (s *Scheduler) adviceCame(st *step, named []*worker, advice fleet.Advice, now time.Time) {
	asked, healthy := st.advice.take(named, advice, now)
	st.tried = 0
	if asked > 0 {
		queue := st.job.record.Queue.Name
		share := s.healthyShare(queue)
		s.healthy[queue] = share + (float64(healthy)/float64(asked)-share)*healthyWeight
	}
}
