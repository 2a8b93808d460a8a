package fit

import (
	"math"

	"chutereach/resource"
)

// Penalties and weights of Score. The remaining capacity adds at most 2, so each penalty for
// an unhealthy worker or a failure of the task outweighs it.
const (
	unhealthyPenalty       = 8.0 // the worker is rated unhealthy
	sameTaskFailurePenalty = 8.0 // the task's latest failure was on the worker
	reservedPenalty        = 4.0 // the free capacity is reserved for another step
	failureRateWeight      = 6.0 // multiplied by the failure rate
	slowdownWeight         = 6.0 // multiplied by the slowdown
	// slowdownTolerance is the largest slowdown without a penalty, because estimated run times
	// are imprecise.
	slowdownTolerance = 0.4
	// remoteSlowdownWeight is multiplied by the slowdown from remote data: a task that takes
	// 1.5 times as long is penalized by 4.
	remoteSlowdownWeight = 8.0
)

// Candidate describes a worker with room for a task.
type Candidate struct {
	// Capacity is the worker's total capacity, and Remaining what remains free with the task placed.
	Capacity, Remaining resource.Amount
	// FailedSameTask reports whether the latest failure of the task was on this worker.
	FailedSameTask bool
	// Unhealthy reports whether the worker is rated unhealthy. Failures is the estimated fraction
	// of attempts on it that fail.
	Unhealthy   bool
	FailureRate float64
	// Reserved reports whether the free capacity is reserved for another step. Urgent work may use it
	// where nothing else is free.
	Reserved bool
	// Slowdown is the relative increase in run time over the fleet; at 1 tasks take twice as
	// long.
	Slowdown float64
	// RemoteSlowdown is the relative increase in run time caused by remote input data; 0 if the data is
	// near or the task has none.
	RemoteSlowdown float64
}

// Score rates a worker for a task. Lower is better.
func Score(c Candidate) float64 {
	score := share(int64(c.Remaining.CPU), int64(c.Capacity.CPU)) + share(int64(c.Remaining.Memory), int64(c.Capacity.Memory))
	score += remoteSlowdownWeight * math.Max(0, c.RemoteSlowdown)
	score += failureRateWeight * c.FailureRate
	if c.Unhealthy {
		score += unhealthyPenalty
	}
	if c.Reserved {
		score += reservedPenalty
	}
	if c.FailedSameTask {
		score += sameTaskFailurePenalty
	}
	if c.Slowdown > slowdownTolerance {
		score += slowdownWeight * c.Slowdown
	}
	return score
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
