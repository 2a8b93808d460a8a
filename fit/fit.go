package fit

import (
	"math"

	"chutereach/resource"
)

// Weights of what makes a place the worse one. What is left of a worker counts for 2 at the
// most, so that a worker that is unsound or far from the data comes after all others.
const (
	unsoundPenalty    = 8.0 // it has failed of late
	failedHerePenalty = 8.0 // the task itself has failed there
	failurePenalty    = 6.0 // times the share of attempts that fail there
	slowPenalty       = 6.0 // times how much slower it is than the fleet
	// slowFrom is the slowness below which a worker counts as sound: estimates are rough.
	slowFrom = 0.4
	// remoteWeight is for each time as long that a task takes away from its data: 4 where it
	// takes half as long again.
	remoteWeight = 8.0
)

// Place is a worker with room for a task.
type Place struct {
	// Capacity is all that the worker has, and Left what it has left once the task is there.
	Capacity, Left resource.Amount
	// FailedHere is whether the task itself has failed there last.
	FailedHere bool
	// Unsound is whether it has failed of late, and Failures the share of attempts that fail.
	Unsound  bool
	Failures float64
	// Slowness is how much slower it is than the fleet; 1: it takes twice as long.
	Slowness float64
	// Remote is by how many times as long the task takes there than near its data; 0: it is
	// near them, or has none.
	Remote float64
}

// Score rates a place; the lowest is the best.
func Score(p Place) float64 {
	score := share(int64(p.Left.CPU), int64(p.Capacity.CPU)) + share(int64(p.Left.Memory), int64(p.Capacity.Memory))
	score += remoteWeight * math.Max(0, p.Remote)
	score += failurePenalty * p.Failures
	if p.Unsound {
		score += unsoundPenalty
	}
	if p.FailedHere {
		score += failedHerePenalty
	}
	if p.Slowness > slowFrom {
		score += slowPenalty * p.Slowness
	}
	return score
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
