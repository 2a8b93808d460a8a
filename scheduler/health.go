package scheduler

import (
	"time"

	"chutereach/fleet"
	"chutereach/reliability"
)

const (
	// speedWeight is the weight of the newest sample in the mean.
	speedWeight = 0.3
	// minSampleInterval is the least time over which progress is measured, fastest the
	// most that a sample counts for, and recoverTime how soon a worker without
	// samples counts as sound again.
	minSampleInterval = 150 * time.Millisecond
	maxSampleSpeed    = 3.0
	slownessDecay     = 4 * time.Second
	// minStallTimeout is how long a task's progress may stand still, at the least,
	// and stalledShare the same as a share of its estimate.
	minStallTimeout      = 1500 * time.Millisecond
	stallTimeoutFraction = 0.15
)

// health is what an owner concludes of a worker from how attempts go there. It
// tells workers that fail, hang or turn slow from sound ones; none is ever given
// up.
type health struct {
	reliability reliability.Record
	speed       float64 // mean speed of tasks against their estimates; 0: not known
	sampledAt   time.Time
}

// recordOutcome takes in how an attempt has ended on its worker. A task that has failed on
// another worker before fails by its own doing, most likely, and did so there too.
func (s *Scheduler) recordOutcome(t *task, outcome fleet.Outcome, now time.Time) {
	h := &t.worker.health
	switch {
	case outcome == fleet.Done:
		h.reliability = h.reliability.WithDone()
	case outcome != fleet.Failed || t.state == taskStopping:
	case t.failedOn != nil && t.failedOn != t.worker:
		t.failedOn.health.reliability = t.failedOn.health.reliability.WithForgiven()
	default:
		h.reliability = h.reliability.WithFailed(t.step.job.id, now)
		s.logIfQuarantined(t.worker, now)
	}
}

// logIfQuarantined writes a line for a worker that is put into quarantine.
func (s *Scheduler) logIfQuarantined(w *worker, now time.Time) {
	if w.health.reliability.Standing(now) != reliability.Quarantined {
		return
	}
	s.metrics.quarantined.Add(1)
	s.log.Info().Str("worker", w.info.ID).Float64("share", w.health.reliability.Share(now)).Int("attempts", len(w.tasks)).
		Msg("worker fails and gets nothing for a while")
}

// maxAvoidedFraction is the share of a service's workers that may be spared. Where more seem to fail
// it is not for them to be told from sound ones, and all are used.
const maxAvoidedFraction = 0.25

// relies reports whether work may go to a worker, by how attempts have ended there of late.
func (p *pass) relies(w *worker, precious bool) bool {
	if w.standing == reliability.Sound || p.sparing[w.info.Service].tooManyAvoided() {
		return true // most are sound: a look asks this of each worker for each step
	}
	return w.standing.Takes(reliability.Work{Precious: precious, Beside: len(w.tasks)})
}

// sparing counts the usable workers of a service, and those of them that are spared.
type sparing struct{ all, spared int }

func (s sparing) tooManyAvoided() bool { return float64(s.spared) > maxAvoidedFraction*float64(s.all) }

// last reports whether the task's next failure ends its job.
func (t *task) last() bool {
	return !t.step.spec.Lasting && t.failures+1 >= t.step.job.record.Queue.Attempts
}

// addSpeed takes in how fast a task went since the last sample.
func (h *health) addSpeed(speed float64, now time.Time) {
	speed = min(maxSampleSpeed, speed)
	if h.speed == 0 && h.sampledAt.IsZero() {
		h.speed = speed
	} else {
		h.speed += (speed - h.speed) * speedWeight
	}
	h.sampledAt = now
}

// slowness is 0 for a worker that is as fast as the fleet, and 1 for one on which
// nothing moves.
func (h *health) slowness(fleetSpeed float64, now time.Time) float64 {
	if h.sampledAt.IsZero() || fleetSpeed == 0 {
		return 0
	}
	slow := max(0, 1-h.speed/fleetSpeed)
	decay := min(1, float64(now.Sub(h.sampledAt))/float64(slownessDecay))
	return slow * (1 - decay)
}

// sampleProgress measures a task's progress, as a worker reports it.
func (s *Scheduler) sampleProgress(t *task, percent int, now time.Time) {
	if t.sampledAt.IsZero() {
		t.sampledAt, t.sampled = now, percent
		return
	}
	elapsed := now.Sub(t.sampledAt)
	if elapsed < minSampleInterval || t.step.spec.Estimate == 0 || t.step.spec.Lasting || t.step.spec.Gang {
		return
	}
	moved := float64(percent-t.sampled) / 100 * float64(t.step.spec.Estimate)
	speed := max(0, moved/float64(elapsed))
	t.worker.health.addSpeed(speed, now)
	s.fleetSpeed += (min(maxSampleSpeed, speed) - s.fleetSpeed) * fleetSpeedWeight
	t.sampledAt, t.sampled = now, percent
}

// fleetSpeedWeight is the weight of the newest sample in the mean speed of the fleet.
const fleetSpeedWeight = 0.01

// stalled reports whether a task's progress stands still.
func (s *Scheduler) stalled(t *task, now time.Time) bool {
	if !s.percentSeen || t.state != taskRunning || t.step.spec.Lasting || t.step.spec.Estimate == 0 {
		return false
	}
	urgent := t.step.job.record.Queue.Priority == 0
	if t.step.spec.Gang && (!urgent || t.worker.health.slowness(s.fleetSpeed, now) < slowThreshold) {
		return false // another member may hold it up, and much work would be lost
	}
	timeout := max(minStallTimeout, time.Duration(stallTimeoutFraction*float64(t.step.spec.Estimate)))
	return now.Sub(t.movedAt) > timeout && now.Sub(t.begunAt) > timeout
}

// shouldMoveOffSlowWorker reports whether an urgent task has hardly begun on a worker that has
// turned slow, so that it ends sooner elsewhere.
func (s *Scheduler) shouldMoveOffSlowWorker(t *task, now time.Time) bool {
	spec := t.step.spec
	return t.state == taskRunning && t.step.job.record.Queue.Priority == 0 && !spec.Gang && !spec.Lasting && !t.movedOnce && !t.crashes.Numbered() &&
		t.percent < slowCheckPercent && now.Sub(t.begunAt) > slowCheckDelay && t.worker.health.slowness(s.fleetSpeed, now) > slowThreshold
}

const (
	// slowThreshold is the slowness from which a worker is to blame.
	slowThreshold = 0.65
	// slowCheckDelay is how long a task is given, and dragPercent what it should have
	// done by then.
	slowCheckDelay   = 300 * time.Millisecond
	slowCheckPercent = 35
)
