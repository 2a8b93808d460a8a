package scheduler

import (
	"time"
)

// Trials: a step with a task that may have crashed its worker is placed so that another crash
// shows which task causes it, and ends little else. Its tasks go to a worker on which no other
// job has just begun anything, and no other job begins anything there until they have settled.
// Until a first worker has survived that, the step runs on one worker at a time.

const (
	// trialWait is how long a worker on trial may keep a call open, so that its report
	// comes soon after the attempts have settled.
	trialWait = 200 * time.Millisecond
	// maxTrialTime bounds for how long a worker takes nothing else for the sake of a trial.
	maxTrialTime = 2 * time.Second
)

// trial keeps a worker for the unsettled attempts of one job.
type trial struct {
	step    *step
	until   time.Time
	started bool // attempts were granted; until then others that have just begun settle
}

// against reports whether a trial keeps a job off the worker.
func (t trial) against(j *job, now time.Time) bool {
	return t.step != nil && t.step.job != j && now.Before(t.until)
}

// onTrial reports whether a trial of a step is under way on the worker.
func (w *worker) onTrial(st *step, now time.Time) bool {
	return w.trial.step == st && now.Before(w.trial.until)
}

// settledExcept reports whether no attempt of another job on the worker is unsettled.
func (w *worker) settledExcept(j *job, now time.Time) bool {
	for _, t := range w.tasks {
		if t.step.job != j && !t.settledBy(now) {
			return false
		}
	}
	return true
}

// tryOn has the worker take nothing but a step's job for a while.
func (w *worker) tryOn(st *step, begun bool, now time.Time) {
	w.trial = trial{st, now.Add(maxTrialTime), begun}
}

// trialUnsettled reports whether attempts of the step on trial have not run for long enough.
func (w *worker) trialUnsettled(now time.Time) bool {
	for _, t := range w.tasks {
		if t.step == w.trial.step && !t.settledBy(now) {
			return true
		}
	}
	return false
}

// finishTrial ends the worker's trial once every attempt of its step there has settled or
// is over, or when it has taken too long. The lock is held.
func (s *Scheduler) finishTrial(w *worker, now time.Time) {
	if w.trial.step == nil {
		return
	}
	survived := w.trial.started && !w.trialUnsettled(now) && !w.failing && !w.over
	if !survived && now.Before(w.trial.until) {
		return
	}
	st := w.trial.step
	if survived {
		st.passed = true
		st.clearSuspicionOn(w)
	}
	w.trial, w.freed = trial{}, true
	wake(s.dispatchWake)
}

// clearSuspicionOn takes the suspicion from the step's tasks on a worker, and from the step if no
// other is left.
func (st *step) clearSuspicionOn(w *worker) {
	st.suspected = false
	for _, t := range st.tasks {
		if t.worker == w {
			t.crashes = t.crashes.WithSettled()
		}
		st.suspected = st.suspected || t.state != taskDone && t.crashes.Suspect
	}
}

// placeOnTrial places tasks of a step under suspicion on one worker. The worker is kept for
// it from the moment it is chosen, so that what has just begun there settles.
func (s *Scheduler) placeOnTrial(p *pass, c candidate) {
	st := c.step
	var best *worker
	st.options(p, func(w *worker) {
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
		best.tryOn(st, false, p.now)
	}
	if !best.settledExcept(st.job, p.now) {
		return
	}
	for _, t := range c.waiting() {
		if p.slots(c, best) == 0 {
			return
		}
		s.grant(p, t, best, t.attempt+1)
	}
}

// claim keeps the workers that a step under suspicion needs together, and reports whether
// nothing else has just begun on them.
func claim(p *pass, c candidate, shares []share) bool {
	settled, left := true, len(c.tasks)
	for _, part := range shares {
		if left <= 0 {
			break
		}
		left -= part.tasks
		if !part.worker.onTrial(c.step, p.now) {
			part.worker.tryOn(c.step, false, p.now)
		}
		settled = settled && part.worker.settledExcept(c.step.job, p.now)
	}
	return settled
}

// trialScoreBonus is taken off the score of a worker that is kept for a step. It exceeds all
// penalties together, so that the same workers are chosen until they are quiet.
const trialScoreBonus = 100.0

// claimed returns by how much a worker's score is lowered for being kept for the step.
func (st *step) claimed(w *worker, now time.Time) float64 {
	if st.suspected && w.onTrial(st, now) {
		return trialScoreBonus
	}
	return 0
}

// betterTrial reports whether a worker is better for a trial than another: the one that is
// on trial already, or the one with the least that a crash would take along.
func betterTrial(st *step, w, other *worker, now time.Time) bool {
	if w.onTrial(st, now) != other.onTrial(st, now) {
		return w.onTrial(st, now)
	}
	if w.used.CPU != other.used.CPU {
		return w.used.CPU < other.used.CPU
	}
	return w.info.ID < other.info.ID
}

// trialRunning reports whether the step is on trial on some worker, and none has survived
// one yet.
func (st *step) trialRunning(p *pass) bool {
	if st.passed {
		return false
	}
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if w.onTrial(st, p.now) {
			return true
		}
	}
	return false
}
