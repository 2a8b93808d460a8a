package scheduler

import (
	"time"
)

// A trial isolates a step whose tasks may crash their workers, so that another crash identifies the
// task and ends few other attempts. The tasks are placed on a worker on which the attempts of other
// jobs have settled, and no other job starts there until they have settled too. Until a worker has
// survived a trial, the step runs on one worker at a time.

const (
	// trialWait is the long-poll timeout for a worker on trial, so that a report arrives soon after
	// the attempts have settled.
	trialWait = 200 * time.Millisecond
	// maxTrialTime is the longest time for which a trial reserves a worker.
	maxTrialTime = 2 * time.Second
)

// trial reserves a worker for one job while attempts of a suspected step settle.
type trial struct {
	step    *step
	until   time.Time
	started bool // attempts were granted; before that, the attempts of other jobs settle
}

// excludes reports whether the trial keeps a job off the worker.
func (t trial) excludes(j *job, now time.Time) bool {
	return t.step != nil && t.step.job != j && now.Before(t.until)
}

// onTrial reports whether a trial of the step is running on the worker.
func (w *worker) onTrial(st *step, now time.Time) bool {
	return w.trial.step == st && now.Before(w.trial.until)
}

// settledExcept reports whether all attempts of other jobs on the worker have settled.
func (w *worker) settledExcept(j *job, now time.Time) bool {
	for _, t := range w.tasks {
		if t.step.job != j && !t.settledBy(now) {
			return false
		}
	}
	return true
}

// startTrial reserves the worker for a step's job for up to maxTrialTime.
func (w *worker) startTrial(st *step, started bool, now time.Time) {
	w.trial = trial{st, now.Add(maxTrialTime), started}
}

// trialUnsettled reports whether attempts of the step on trial are not yet shown to have survived
// their start.
func (w *worker) trialUnsettled() bool {
	for _, t := range w.tasks {
		if t.step == w.trial.step && !t.exposure.survivedStart() {
			return true
		}
	}
	return false
}

// finishTrial ends the worker's trial if all attempts of its step there have settled or ended, or
// if its time is up. The caller must hold s.mu.
func (s *Scheduler) finishTrial(w *worker, now time.Time) {
	if w.trial.step == nil {
		return
	}
	survived := w.trial.started && !w.trialUnsettled() && !w.unresponsive && !w.ended
	if !survived && now.Before(w.trial.until) {
		return
	}
	st := w.trial.step
	if survived {
		st.trialPassed = true
		st.updateSuspicion()
	}
	w.trial, w.capacityFreed = trial{}, true
	wake(s.dispatchWake)
}

// updateSuspicion clears the suspicion of the step if none of its tasks is suspected.
func (st *step) updateSuspicion() {
	st.suspected = false
	for _, t := range st.tasks {
		st.suspected = st.suspected || t.state != taskDone && t.crashes.Suspected
	}
}

// placeOnTrial places tasks of a suspected step on one worker. The worker is reserved as soon as it
// is chosen, so that the attempts of other jobs on it can settle first.
func (s *Scheduler) placeOnTrial(p *pass, c candidate) {
	st := c.step
	var best *worker
	st.eachEligibleWorker(p, func(w *worker) {
		if p.slots(c, w) == 0 {
			return
		}
		if best == nil || betterTrial(st, w, best, p.now) {
			best = w
		}
	})
	if best == nil {
		return
	}
	if !best.onTrial(st, p.now) {
		if st.trialRunning(p) {
			return
		}
		best.startTrial(st, false, p.now)
	}
	if !best.settledExcept(st.job, p.now) {
		return
	}
	for _, t := range c.placeableTasks() {
		if p.slots(c, best) == 0 {
			return
		}
		s.grant(p, t, best, t.attempt+1)
	}
}

// reserveForTrial reserves all workers that a suspected step needs at the same time, and reports
// whether the attempts of other jobs on them have settled.
func reserveForTrial(p *pass, c candidate, shares []workerSlots) bool {
	settled, left := true, len(c.tasks)
	for _, part := range shares {
		if left <= 0 {
			break
		}
		left -= part.slots
		if !part.worker.onTrial(c.step, p.now) {
			part.worker.startTrial(c.step, false, p.now)
		}
		settled = settled && part.worker.settledExcept(c.step.job, p.now)
	}
	return settled
}

// trialScoreBonus is subtracted from the score of a worker that is reserved for a step. It exceeds
// the sum of all penalties, so that the same workers are chosen until their attempts have settled.
const trialScoreBonus = 100.0

// trialScore returns the amount subtracted from a worker's score if it is reserved for the step.
func (st *step) trialScore(w *worker, now time.Time) float64 {
	if st.suspected && w.onTrial(st, now) {
		return trialScoreBonus
	}
	return 0
}

// betterTrial reports whether w is preferred over other for a trial: a worker that is already on
// trial, otherwise one that has not ended lately, whose end would say little, otherwise the one with
// less CPU in use, which limits the damage of a crash.
func betterTrial(st *step, w, other *worker, now time.Time) bool {
	if w.onTrial(st, now) != other.onTrial(st, now) {
		return w.onTrial(st, now)
	}
	if recent := w.endedRecently(now); recent != other.endedRecently(now) {
		return !recent
	}
	if w.used.CPU != other.used.CPU {
		return w.used.CPU < other.used.CPU
	}
	return w.info.ID < other.info.ID
}

// trialRunning reports whether the step is on trial on some worker and none has survived a trial
// yet.
func (st *step) trialRunning(p *pass) bool {
	if st.trialPassed {
		return false
	}
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if w.onTrial(st, p.now) {
			return true
		}
	}
	return false
}
