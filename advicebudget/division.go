package advicebudget

import (
	"math"
	"time"
)

const (
	// keptFactor is how many lanes are kept for cheap calls, as a multiple of the whole lanes in
	// use. Bursts of one kind reach 1.5 to 2.6 times its load.
	keptFactor = 2
	// minKept is the minimum number of lanes kept for cheap calls, the owner's own included, so
	// that one is left when the other's box stops answering.
	minKept = 2
	// maxKeptShare is the maximum share of the remote lanes kept for cheap calls. It is the fixed
	// share without measurements, so that costly calls never get fewer lanes than with that.
	maxKeptShare = 0.25
)

// Available is the number of lanes that take calls.
type Available struct {
	Own    bool // the lane of the owner's box
	Remote int  // lanes of other boxes
}

// Division is how the available lanes are divided.
type Division struct {
	Kept   int // lanes kept for cheap calls, the owner's own included
	Costly int // lanes for costly calls
}

// Divide divides the available lanes by the measured load. The owner's own lane is kept if there
// is any other. A single lane serves all calls.
func (l Load) Divide(available Available, now time.Time) Division {
	remote := max(0, available.Remote)
	own := 0
	if available.Own {
		own = 1
	}
	if remote == 0 {
		return Division{Costly: own}
	}
	kept := own + int(maxKeptShare*float64(remote))
	if l.Measured(now) {
		used := keptFactor * math.Ceil(l.Lanes(Cheap, now))
		kept = min(kept, max(minKept, int(min(used, float64(kept)))))
	}
	kept = max(kept, own)
	return Division{Kept: kept, Costly: remote + own - kept}
}

// AllowsCostly reports whether another costly call may start while some are in flight.
func (d Division) AllowsCostly(inFlight int) bool { return inFlight < d.Costly }
