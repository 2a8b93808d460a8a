package scheduler

import (
	"time"

	"chutereach/fleet"
)

const (
	// suspectAfter failures in a row of different jobs make a worker suspect.
	suspectAfter = 2
	suspectPause = time.Second
	suspectMost  = 4 * time.Second
)

// health is what an owner concludes from how attempts ended on a worker.
type health struct {
	failedRow int    // failures in a row
	lastJob   string // of the last failure
	until     time.Time
	pause     time.Duration
}

// ended takes in an attempt's end.
func (h *health) ended(t *task, outcome fleet.Outcome, stopping bool, now time.Time) {
	switch {
	case outcome == fleet.Done:
		*h = health{}
	case outcome == fleet.Failed && !stopping:
		if h.lastJob == t.step.job.id {
			return // it may be the job's own fault
		}
		h.lastJob = t.step.job.id
		h.failedRow++
		if h.failedRow >= suspectAfter {
			h.pause = min(suspectMost, max(suspectPause, 2*h.pause))
			h.until = now.Add(h.pause)
		}
	}
}

// suspect reports whether the worker should be spared for now.
func (h *health) suspect(now time.Time) bool { return now.Before(h.until) }
