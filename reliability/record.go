package reliability

import (
	"math"
	"time"
)

const (
	// quarantineFailures is the number of consecutive failures that put a worker into
	// quarantine. A single failure is usually caused by the task: one or two tasks in a hundred
	// fail on any worker.
	quarantineFailures = 2
	// minQuarantine and maxQuarantine bound the length of a quarantine, which doubles each time
	// until an attempt succeeds.
	minQuarantine = time.Second
	maxQuarantine = 4 * time.Second
	// maxProbation bounds the probation of a worker. No attempt may ever end it: a task that runs indefinitely does not
	// succeed, and critical tasks are not placed there.
	maxProbation = 8 * time.Second
	// suspectTime is how long a worker is suspect after one failure. A worker that fails every
	// task will have failed again by then.
	suspectTime = time.Second
	// smoothing is the weight of the newest attempt in the failure rate, and halfLife the time
	// in which the rate halves.
	smoothing = 0.25
	halfLife  = 4 * time.Second
	// suspectRate is the failure rate from which a worker is suspect. One failure raises a
	// rate of 0 to 0.25.
	suspectRate = 0.3
)

// Standing is the health of a worker as concluded from its attempts, best first.
type Standing int

const (
	Healthy     Standing = iota
	Suspect              // may be failing: no critical work
	Probing              // after quarantine: one task at a time, no critical work
	Quarantined          // no work
)

// Record sums up the outcomes of attempts on a worker. The zero Record is that of a healthy worker.
type Record struct {
	consecutive      int     // consecutive failures attributed to the worker
	failureRate      float64 // as of lastFailedAt
	lastFailedAt     time.Time
	quarantinedUntil time.Time
	quarantine       time.Duration // length of the latest one
	lastFailedJob    string
}

// WithSuccess returns the record after a successful attempt, which ends a quarantine.
func (r Record) WithSuccess() Record {
	return Record{failureRate: r.failureRate * (1 - smoothing), lastFailedAt: r.lastFailedAt}
}

// WithFailure returns the record after a failed attempt. Consecutive failures of the same job count
// once, since the job may be their cause.
func (r Record) WithFailure(job string, now time.Time) Record {
	if r.consecutive > 0 && r.lastFailedJob == job {
		return r
	}
	r.failureRate = r.FailureRate(now) + (1-r.FailureRate(now))*smoothing
	r.lastFailedAt, r.lastFailedJob = now, job
	if r.consecutive++; r.consecutive >= quarantineFailures {
		r.quarantine = min(maxQuarantine, max(minQuarantine, 2*r.quarantine))
		r.quarantinedUntil = now.Add(r.quarantine)
	}
	return r
}

// WithoutLastFailure returns the record without the last failure, for a task that has failed on another
// worker too and is therefore the likely cause.
func (r Record) WithoutLastFailure() Record {
	if r.consecutive == 0 {
		return r
	}
	r.consecutive--
	r.failureRate = math.Max(0, (r.failureRate-smoothing)/(1-smoothing))
	if r.consecutive < quarantineFailures {
		r.quarantinedUntil = time.Time{}
	}
	return r
}

// FailureRate returns the exponentially weighted failure rate.
func (r Record) FailureRate(now time.Time) float64 {
	if r.failureRate == 0 {
		return 0
	}
	return r.failureRate * math.Exp2(-float64(now.Sub(r.lastFailedAt))/float64(halfLife))
}

// Standing returns the standing of the worker at a point in time.
func (r Record) Standing(now time.Time) Standing {
	switch {
	case now.Before(r.quarantinedUntil):
		return Quarantined
	case r.consecutive >= quarantineFailures && now.Before(r.quarantinedUntil.Add(maxProbation)):
		return Probing
	case r.consecutive > 0 && now.Sub(r.lastFailedAt) < suspectTime, r.FailureRate(now) >= suspectRate:
		return Suspect
	}
	return Healthy
}

// QuarantinedUntil returns the end of the latest quarantine, or zero if there is none since the last success.
func (r Record) QuarantinedUntil() time.Time { return r.quarantinedUntil }

// Task describes a task to be placed on a worker.
type Task struct {
	// Critical is set for tasks on their last attempt and for members of gangs, whose failure
	// loses more than the attempt.
	Critical bool
	// Colocated is the number of other tasks on the worker that were placed there since its quarantine.
	Colocated int
}

// Accepts reports whether a worker of this standing accepts the work.
func (s Standing) Accepts(work Task) bool {
	switch s {
	case Quarantined:
		return false
	case Probing:
		return !work.Critical && work.Colocated == 0
	case Suspect:
		return !work.Critical
	}
	return true
}
