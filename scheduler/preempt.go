package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/resource"
)

// Preemption: a step whose job can still be completed in time, and for which there
// is no room, has tasks of queues with a lesser priority stopped. Only tasks that
// save their work at a stop give way, and only of jobs that stay in time all the
// same or are late already, so that little is lost. Gangs never give way: to stop
// one member is to stop all.

// WorkerTimes are what workers take to stop a task and to carry one on from its checkpoint.
type WorkerTimes struct{ Stop, Restore time.Duration }

// defaultTimes are those of most deployments at hand.
var defaultTimes = WorkerTimes{Stop: 400 * time.Millisecond, Restore: 250 * time.Millisecond}

// stopped is how long a task that gives way takes to end, at most, with its report.
func (w WorkerTimes) stopped() time.Duration { return w.Stop + reportTime }

// reserved is for how long the room of tasks that gave way is kept for the step that they
// gave way to. Kept for 0.9 s where a stop takes 0.9 s, it was given up just as it was free.
func (w WorkerTimes) reserved() time.Duration { return w.Stop + placeTime }

// resumed is what giving way costs a task, at most: its stop, the wait for another place and
// the restart from its checkpoint.
func (w WorkerTimes) resumed() time.Duration { return w.Stop + w.Restore + otherPlace }

const (
	// reportTime is how long the end of a stopped task takes to be heard of, and placeTime
	// how long after its stop its room should be taken, looks at others included.
	reportTime = 100 * time.Millisecond
	placeTime  = 500 * time.Millisecond
	// otherPlace is how long a task that gave way waits for another place, mostly.
	otherPlace = 1850 * time.Millisecond
	// leastRun is how long a task runs before it may give way, and mostPreempted
	// how often it does.
	leastRun      = 200 * time.Millisecond
	mostPreempted = 2
	// mostAttempts bounds the steps for which one look tries to make room.
	mostAttempts = 8
)

// reservation keeps a worker's room for a step.
type reservation struct {
	step  *step
	until time.Time
}

// against reports whether the room is kept for another step than st.
func (r reservation) against(st *step, now time.Time) bool {
	return r.step != nil && r.step != st && now.Before(r.until)
}

// yields returns the worker's tasks that may give way, those with the most time
// first.
func (p *pass) yields(w *worker) []*task {
	if w.yieldsIn == p.serial {
		return w.yields
	}
	w.yieldsIn, w.yields = p.serial, w.yields[:0]
	for _, t := range w.tasks {
		if p.mayYield(t) {
			w.yields = append(w.yields, t)
		}
	}
	slices.SortFunc(w.yields, func(a, b *task) int {
		return cmp.Or(
			b.step.job.deadline.Compare(a.step.job.deadline),
			cmp.Compare(a.step.index, b.step.index), cmp.Compare(a.index, b.index),
		)
	})
	return w.yields
}

// mayYield reports whether a task may be stopped for others with little loss.
func (p *pass) mayYield(t *task) bool {
	spec, j, now := t.step.spec, t.step.job, p.now
	if t.state != taskRunning || !spec.Checkpoints || spec.Gang || spec.Lasting || j.record.Request.Timed() {
		return false
	}
	if t.preempted >= mostPreempted || t.crashes.Numbered() || now.Sub(t.begunAt) < leastRun {
		return false
	}
	rest := j.rounds[t.step.round].chainLeft(&j.record.Request) - min(spec.Estimate, now.Sub(t.begunAt))
	late := !now.Add(rest).Before(j.deadline)
	return late || now.Add(rest+p.times.resumed()).Before(j.deadline)
}

// yieldsTo reports whether a task that may give way does so for a step.
func (t *task) yieldsTo(st *step) bool {
	return t.step.job.record.Queue.Priority > st.job.record.Queue.Priority
}

// slotsWithYields returns how many tasks of the step the worker could take if
// others gave way.
func (p *pass) slotsWithYields(c candidate, w *worker) int {
	if !p.open(c, w) {
		return 0
	}
	room := w.free()
	for _, t := range p.yields(w) {
		if t.yieldsTo(c.step) {
			room = room.Plus(t.step.need())
		}
	}
	return c.step.fittingInto(room, w)
}

// makeRoom stops tasks that give way to a number of the step's tasks, if there are
// enough of them, and keeps their room for it. The step has found no room.
func (s *Scheduler) makeRoom(p *pass, c candidate, tasks int) {
	st := c.step
	if p.made >= mostAttempts || !c.urgency.Pressed || p.now.Before(st.roomUntil) {
		return
	}
	p.made++
	offers := s.offers(p, c)
	if tasksOf(offers) < tasks {
		return
	}
	st.roomUntil = p.now.Add(p.times.reserved())
	stopped := 0
	for _, offer := range offers {
		if tasks <= 0 {
			break
		}
		wanted := min(tasks, offer.tasks)
		tasks -= wanted
		offer.worker.reserved = reservation{st, st.roomUntil}
		st.reserved = append(st.reserved, offer.worker)
		stopped += s.evict(p, c, offer.worker, wanted)
	}
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Int("stopped", stopped).Int("workers", len(st.reserved)).
		Dur("slack", c.deadline.Sub(p.now)).Msg("room is made")
}

// offers returns the workers that could take tasks of the step if others gave way,
// those where the least must be stopped first. Their tickets last until then.
func (s *Scheduler) offers(p *pass, c candidate) []share {
	var offers []share
	c.step.options(p, func(w *worker) {
		permit := c.step.advice.at[w]
		if permit != nil && !permit.goodAt(p.now.Add(p.times.stopped())) {
			return
		}
		if slots := p.slotsWithYields(c, w); slots > 0 {
			missing := slots - c.step.fittingInto(w.free(), w)
			offers = append(offers, share{w, slots, float64(missing) + s.scoreOf(c.step, w, p.now)/scoreScale})
		}
	})
	slices.SortFunc(offers, byScore)
	return offers
}

// scoreScale makes a worker's score count for less than one task to be stopped.
const scoreScale = 100

// evict stops as few of a worker's tasks as give room to a number of the step's,
// and returns how many.
func (s *Scheduler) evict(p *pass, c candidate, w *worker, tasks int) int {
	room, count := w.free(), 0
	for _, t := range p.yields(w) {
		if c.step.fittingInto(room, w) >= tasks {
			break
		}
		if !t.yieldsTo(c.step) || !helps(c.step.need(), room, t.step.need()) {
			continue
		}
		room = room.Plus(t.step.need())
		t.preempted++
		count++
		s.metrics.preempted.Add(1)
		s.stop(t, "gives way to job "+c.step.job.id)
	}
	return count
}

// helps reports whether an amount that is freed is of a kind that is short.
func helps(need, room, freed resource.Amount) bool {
	return room.CPU < need.CPU && freed.CPU > 0 || room.Memory < need.Memory && freed.Memory > 0 ||
		room.Accelerators < need.Accelerators && freed.Accelerators > 0 || need.Fits(room)
}

// releaseRoom gives up what was kept for the step.
func (st *step) releaseRoom() {
	for _, w := range st.reserved {
		if w.reserved.step == st {
			w.reserved = reservation{}
		}
	}
	st.reserved = nil
}
