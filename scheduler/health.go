package scheduler

import (
	"time"

	"chutereach/fleet"
	"chutereach/reliability"
)

const (
	// speedWeight is the weight of the newest sample in a worker's mean speed.
	speedWeight = 0.3
	// minSampleInterval is the minimum time between two samples of a task's progress,
	// maxSampleSpeed the upper limit of a sample, and slownessDecay the time after which a worker
	// without new samples no longer counts as slow.
	minSampleInterval = 150 * time.Millisecond
	maxSampleSpeed    = 3.0
	slownessDecay     = 4 * time.Second
	// A task's stall timeout is stallTimeoutFraction of its estimate, but at least minStallTimeout.
	minStallTimeout      = 1500 * time.Millisecond
	stallTimeoutFraction = 0.15
)

// health tracks the failures and the speed of attempts on a worker. Workers that fail, stall or are
// slow get less work, but are never excluded for good.
type health struct {
	reliability reliability.Record
	speed       float64 // mean speed of tasks relative to their estimates; 0 if unknown
	sampledAt   time.Time
}

// recordOutcome updates the worker's reliability with the outcome of an attempt. A task that also
// fails on a second worker is itself the likely cause: its failures then count against neither.
func (s *Scheduler) recordOutcome(t *task, outcome fleet.Outcome, now time.Time) {
	h := &t.worker.health
	switch {
	case outcome == fleet.Done:
		h.reliability = h.reliability.WithSuccess()
	case outcome != fleet.Failed || t.state == taskStopping:
	case t.lastFailedOn != nil && t.lastFailedOn != t.worker:
		t.lastFailedOn.health.reliability = t.lastFailedOn.health.reliability.WithoutLastFailure()
	default:
		h.reliability = h.reliability.WithFailure(t.step.job.id, now)
		s.logIfQuarantined(t.worker, now)
	}
}

// logIfQuarantined logs and counts a worker that is quarantined after a failure.
func (s *Scheduler) logIfQuarantined(w *worker, now time.Time) {
	if w.health.reliability.Standing(now) != reliability.Quarantined {
		return
	}
	s.metrics.quarantined.Add(1)
	s.log.Info().Str("worker", w.info.ID).Float64("share", w.health.reliability.FailureRate(now)).Int("attempts", len(w.tasks)).
		Msg("worker quarantined after failures")
}

// trusts reports whether the worker's reliability permits placing a task of the candidate on it.
func (p *pass) trusts(c candidate, w *worker, critical bool) bool {
	if w.standing == reliability.Healthy || p.standingCounts[w.info.Service].tooManyAvoided() {
		return true // fast path: checked for each worker and step
	}
	task := reliability.Task{Critical: critical}
	if w.standing == reliability.Probing {
		task.Colocated = w.placedSinceQuarantine()
	}
	if w.standing.Accepts(task) || p.mayUseAvoided(c) {
		return true
	}
	if c.step.fitCount(w.free(), w) > 0 {
		c.step.distrusts = true
	}
	return false
}

// placedSinceQuarantine returns the number of tasks that were placed on the worker since its quarantine.
func (w *worker) placedSinceQuarantine() int {
	end, count := w.health.reliability.QuarantinedUntil(), 0
	for _, t := range w.tasks {
		if !t.placedAt.Before(end) {
			count++
		}
	}
	return count
}

// avoidedRecheckInterval is how often a step that must not be held back any longer, and for which workers with room
// are avoided, considers all workers again.
const avoidedRecheckInterval = 500 * time.Millisecond

// recheckAvoided makes the step consider all workers again if it may now use avoided ones.
func (st *step) recheckAvoided(deferrable bool, now time.Time) {
	if st.distrusts && !deferrable && now.Sub(st.recheckedAt) >= avoidedRecheckInterval {
		st.lastFullPass, st.distrusts, st.recheckedAt = 0, false, now
	}
}

// mayUseAvoided reports whether a step may use workers that are avoided, because its job must not be held back any
// longer. Either too many of the workers that the step may run on are avoided, or capacity is plentiful, so
// that the step waits only because of its requirements.
func (p *pass) mayUseAvoided(c candidate) bool {
	if c.urgency.Deferrable {
		return false
	}
	if p.avoidance.step != c.step {
		service := c.step.job.record.Queue.Service
		p.avoidance = avoidance{c.step, p.standingCounts[service].mostlyIdle() || p.countFor(c.step).tooManyAvoided()}
	}
	return p.avoidance.lifted
}

// avoidance is whether a step may use workers that are avoided.
type avoidance struct {
	step   *step
	lifted bool
}

// countFor counts the usable workers that the step may run on, and those of them that are avoided.
func (p *pass) countFor(st *step) poolCounts {
	var counts poolCounts
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if st.allows(w) && st.mayRunOn(w) {
			counts = counts.With(w)
		}
	}
	return counts
}

// onLastAttempt reports whether another failure of the task fails its job.
func (t *task) onLastAttempt() bool {
	return !t.step.spec.LongRunning && len(t.failures)+1 >= t.step.job.record.Queue.MaxFailures
}

// addSpeed adds a speed sample to the mean.
func (h *health) addSpeed(speed float64, now time.Time) {
	speed = min(maxSampleSpeed, speed)
	if h.speed == 0 && h.sampledAt.IsZero() {
		h.speed = speed
	} else {
		h.speed += (speed - h.speed) * speedWeight
	}
	h.sampledAt = now
}

// slowness returns 0 for a worker at least as fast as the fleet's mean, and up to 1 for one without
// progress. It decays with the age of the last sample.
func (h *health) slowness(fleetSpeed float64, now time.Time) float64 {
	if h.sampledAt.IsZero() || fleetSpeed == 0 {
		return 0
	}
	slow := max(0, 1-h.speed/fleetSpeed)
	decay := min(1, float64(now.Sub(h.sampledAt))/float64(slownessDecay))
	return slow * (1 - decay)
}

// sampleProgress derives a speed sample from the progress that a worker reports for a task.
func (s *Scheduler) sampleProgress(t *task, percent int, now time.Time) {
	if t.sampledAt.IsZero() {
		t.sampledAt, t.sampledPercent = now, percent
		return
	}
	elapsed := now.Sub(t.sampledAt)
	if elapsed < minSampleInterval || t.step.spec.Estimate == 0 || t.step.spec.LongRunning || t.step.spec.Gang {
		return
	}
	moved := float64(percent-t.sampledPercent) / 100 * float64(t.step.spec.Estimate)
	speed := max(0, moved/float64(elapsed))
	t.worker.health.addSpeed(speed, now)
	s.fleetSpeed += (min(maxSampleSpeed, speed) - s.fleetSpeed) * fleetSpeedWeight
	t.sampledAt, t.sampledPercent = now, percent
}

// fleetSpeedWeight is the weight of the newest sample in the fleet's mean speed.
const fleetSpeedWeight = 0.01

// stalled reports whether a task has made no progress within its stall timeout.
func (s *Scheduler) stalled(t *task, now time.Time) bool {
	if !s.progressSeen || t.state != taskRunning || t.step.spec.LongRunning || t.step.spec.Estimate == 0 {
		return false
	}
	urgent := t.step.job.record.Queue.Priority == 0
	if t.step.spec.Gang && (!urgent || t.worker.health.slowness(s.fleetSpeed, now) < slowThreshold) {
		return false // another member may be the cause, and a restart loses the work of all
	}
	timeout := max(minStallTimeout, time.Duration(stallTimeoutFraction*float64(t.step.spec.Estimate)))
	return now.Sub(t.progressedAt) > timeout && now.Sub(t.startedAt) > timeout
}

// shouldMoveOffSlowWorker reports whether an urgent task has made little progress on a slow worker
// and is to be restarted elsewhere.
func (s *Scheduler) shouldMoveOffSlowWorker(t *task, now time.Time) bool {
	spec := t.step.spec
	return t.state == taskRunning && t.step.job.record.Queue.Priority == 0 && !spec.Gang && !spec.LongRunning && !t.moved && !t.crashes.MustBackOff() &&
		t.percent < slowCheckPercent && now.Sub(t.startedAt) > slowCheckDelay && t.worker.health.slowness(s.fleetSpeed, now) > slowThreshold
}

const (
	// slowThreshold is the slowness from which a worker counts as the cause of missing progress.
	slowThreshold = 0.65
	// An urgent task is moved off a slow worker if it is below slowCheckPercent after
	// slowCheckDelay.
	slowCheckDelay   = 300 * time.Millisecond
	slowCheckPercent = 35
)
