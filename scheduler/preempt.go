package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/resource"
)

// Preemption: if an urgent step can still complete in time but cannot be placed,
// tasks of queues with lower priority are stopped for it. Only tasks that write a
// checkpoint when stopped are preempted, and only if their job remains in time or
// is late already. Gangs are never preempted, since stopping one member stops all.

// WorkerTimes are the times that workers take to stop a task and to restore one from its
// checkpoint.
type WorkerTimes struct{ Stop, Restore time.Duration }

// defaultWorkerTimes applies if the configuration has no worker times.
var defaultWorkerTimes = WorkerTimes{Stop: 400 * time.Millisecond, Restore: 250 * time.Millisecond}

// stopTime returns the maximum time until the end of a preempted task is reported.
func (w WorkerTimes) stopTime() time.Duration { return w.Stop + reportDelay }

// reservationTime returns how long the capacity of preempted tasks is reserved for the step that
// they were preempted for. It must exceed the stop time, or the reservation would end before the
// capacity is free.
func (w WorkerTimes) reservationTime() time.Duration { return w.Stop + placementDelay }

// preemptionDelay returns the delay that preemption causes a task: its stop, the wait for another
// worker and the restore from its checkpoint.
func (w WorkerTimes) preemptionDelay() time.Duration { return w.Stop + w.Restore + requeueDelay }

const (
	// reportDelay is how long the report of a stopped task's end takes, and placementDelay
	// how long after a stop the freed capacity should be in use, including the dispatch
	// passes in between.
	reportDelay    = 100 * time.Millisecond
	placementDelay = 500 * time.Millisecond
	// requeueDelay is the usual time until a preempted task is placed again.
	requeueDelay = 1850 * time.Millisecond
	// minRunTime is how long a task runs before it may be preempted, and maxPreemptions how
	// often a task may be preempted.
	minRunTime     = 200 * time.Millisecond
	maxPreemptions = 2
	// maxPreemptionAttempts limits the steps for which one pass tries preemption.
	maxPreemptionAttempts = 8
)

// reservation reserves a worker's capacity for a step.
type reservation struct {
	step  *step
	until time.Time
}

// excludes reports whether the capacity is reserved for a step other than st.
func (r reservation) excludes(st *step, now time.Time) bool {
	return r.step != nil && r.step != st && now.Before(r.until)
}

// preemptibleTasks returns the worker's tasks that may be preempted, latest deadline first. The
// result is cached for the pass.
func (p *pass) preemptibleTasks(w *worker) []*task {
	if w.preemptibleSerial == p.serial {
		return w.preemptible
	}
	w.preemptibleSerial, w.preemptible = p.serial, w.preemptible[:0]
	for _, t := range w.tasks {
		if p.preemptible(t) {
			w.preemptible = append(w.preemptible, t)
		}
	}
	slices.SortFunc(w.preemptible, func(a, b *task) int {
		return cmp.Or(
			b.step.job.deadline.Compare(a.step.job.deadline),
			cmp.Compare(a.step.index, b.step.index), cmp.Compare(a.index, b.index),
		)
	})
	return w.preemptible
}

// preemptible reports whether a task may be preempted: its job remains in time, or is late
// already.
func (p *pass) preemptible(t *task) bool {
	spec, j, now := t.step.spec, t.step.job, p.now
	if t.state != taskRunning || !spec.Checkpoints || spec.Gang || spec.LongRunning || j.record.Request.Scheduled() {
		return false
	}
	if t.preemptions >= maxPreemptions || t.crashes.MustBackOff() || now.Sub(t.startedAt) < minRunTime {
		return false
	}
	rest := t.step.round.remainingChain(&j.record.Request) - min(spec.Estimate, now.Sub(t.startedAt))
	late := !now.Add(rest).Before(j.deadline)
	return late || now.Add(rest+p.workerTimes.preemptionDelay()).Before(j.deadline)
}

// outrankedBy reports whether the step's queue has a higher priority than the task's.
func (t *task) outrankedBy(st *step) bool {
	return t.step.job.record.Queue.Priority > st.job.record.Queue.Priority
}

// slotsWithPreemption returns how many tasks of the step the worker could take if its
// preemptible tasks of lower priority were stopped.
func (p *pass) slotsWithPreemption(c candidate, w *worker) int {
	if !p.mayPlace(c, w) {
		return 0
	}
	free := w.free()
	for _, t := range p.preemptibleTasks(w) {
		if t.outrankedBy(c.step) {
			free = free.Plus(t.step.need())
		}
	}
	return c.step.fitCount(free, w)
}

// preempt stops tasks to free capacity for the given number of the step's tasks, and reserves
// that capacity for the step. It does nothing if preemption cannot free enough.
func (s *Scheduler) preempt(p *pass, c candidate, tasks int) {
	st := c.step
	if p.preemptionAttempts >= maxPreemptionAttempts || !c.urgency.MayPreempt || p.now.Before(st.reservedUntil) {
		return
	}
	p.preemptionAttempts++
	targets := s.preemptionTargets(p, c)
	if totalTasks(targets) < tasks {
		return
	}
	st.reservedUntil = p.now.Add(p.workerTimes.reservationTime())
	stopped := 0
	for _, target := range targets {
		if tasks <= 0 {
			break
		}
		wanted := min(tasks, target.slots)
		tasks -= wanted
		target.worker.reserved = reservation{st, st.reservedUntil}
		st.reserved = append(st.reserved, target.worker)
		stopped += s.preemptOn(p, c, target.worker, wanted)
	}
	s.log.Info().Str("job", st.job.id).Str("step", st.stepName()).Int("stopped", stopped).Int("workers", len(st.reserved)).
		Dur("slack", c.deadline.Sub(p.now)).Msg("preempted tasks for step")
}

// preemptionTargets returns the workers that could take tasks of the step after preemption,
// those where the fewest tasks must be stopped first. Workers whose ticket would expire
// before that are left out.
func (s *Scheduler) preemptionTargets(p *pass, c candidate) []workerSlots {
	var targets []workerSlots
	c.step.eachEligibleWorker(p, func(w *worker) {
		ticket := c.step.advice.byWorker[w]
		if ticket != nil && !ticket.validAt(p.now.Add(p.workerTimes.stopTime())) {
			return
		}
		if slots := p.slotsWithPreemption(c, w); slots > 0 {
			missing := slots - c.step.fitCount(w.free(), w)
			targets = append(targets, workerSlots{w, slots, float64(missing) + s.workerScore(c.step, w, p.now)/scoreDivisor})
		}
	})
	slices.SortFunc(targets, byScore)
	return targets
}

// scoreDivisor scales a worker's score so that it weighs less than one preempted task.
const scoreDivisor = 100

// preemptOn stops tasks on a worker until the given number of the step's tasks fit, and returns
// how many it has stopped.
func (s *Scheduler) preemptOn(p *pass, c candidate, w *worker, tasks int) int {
	free, count := w.free(), 0
	for _, t := range p.preemptibleTasks(w) {
		if c.step.fitCount(free, w) >= tasks {
			break
		}
		if !t.outrankedBy(c.step) || !relievesShortage(c.step.need(), free, t.step.need()) {
			continue
		}
		free = free.Plus(t.step.need())
		t.preemptions++
		count++
		s.metrics.preempted.Add(1)
		s.stop(t, "preempted by job "+c.step.job.id)
	}
	return count
}

// relievesShortage reports whether freeing an amount helps: it adds to a resource that is short,
// or one task fits already and capacity for more is wanted.
func relievesShortage(need, free, freed resource.Amount) bool {
	return free.CPU < need.CPU && freed.CPU > 0 || free.Memory < need.Memory && freed.Memory > 0 ||
		free.Accelerators < need.Accelerators && freed.Accelerators > 0 || need.Fits(free)
}

// releaseReservations releases the capacity reserved for the step.
func (st *step) releaseReservations() {
	for _, w := range st.reserved {
		if w.reserved.step == st {
			w.reserved = reservation{}
		}
	}
	st.reserved = nil
}
