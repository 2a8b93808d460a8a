package scheduler

import (
	"time"

	"chutereach/advicebudget"
)

// laneLogInterval is the minimum time between two log lines about the division of lanes.
const laneLogInterval = time.Second

// adviceBudget is the state of the division of lanes by measured load.
type adviceBudget struct {
	load     advicebudget.Load
	kept     int // in the last log line
	loggedAt time.Time
}

// callKind returns the kind of a call of the given cost.
func callKind(cost time.Duration) advicebudget.Kind {
	if cost <= maxCheapCost {
		return advicebudget.Cheap
	}
	return advicebudget.Costly
}

// laneUse is how many lanes have calls of a kind in flight.
type laneUse struct{ cheap, costly int }

// divideLanes returns the division of the available lanes and how many of those for costly calls
// are in use. The caller holds the lock.
func (s *Scheduler) divideLanes(now time.Time) (advicebudget.Division, int) {
	available, costly, ownCostly := advicebudget.Available{}, 0, 0
	for _, node := range s.adviceNodes {
		switch {
		case now.Before(node.pausedUntil):
		case node.Self:
			available.Own = true
			if node.hasCostlyCall {
				ownCostly++
			}
		default:
			available.Remote++
			if node.hasCostlyCall {
				costly++
			}
		}
	}
	if available.Remote == 0 {
		costly = ownCostly
	}
	return s.measuredLoad().Divide(available, now), costly
}

// measuredLoad returns the load by which lanes are divided: none if the shares are fixed.
func (s *Scheduler) measuredLoad() advicebudget.Load {
	if !s.load.MeasuredAdvice {
		return advicebudget.Load{}
	}
	return s.budget.load
}

// allowsMeasuredCostlyCall reports whether another costly call leaves the lanes kept for cheap ones.
func (s *Scheduler) allowsMeasuredCostlyCall(now time.Time) bool {
	division, inFlight := s.divideLanes(now)
	return division.AllowsCostly(inFlight)
}

// adviceCallStarted records a call in flight. The caller holds the lock.
func (s *Scheduler) adviceCallStarted(node *adviceNode, cost time.Duration, now time.Time) {
	node.callStarted(cost)
	s.recordLanes(now)
}

// adviceCallEnded records the end of a call, answered or not. A call occupies its lane only from
// the end of the call before it. The caller holds the lock.
func (s *Scheduler) adviceCallEnded(node *adviceNode, cost time.Duration, begun, now time.Time) {
	node.callEnded(cost)
	if begun.Before(node.lastEnded) {
		begun = node.lastEnded
	}
	node.lastEnded = now
	s.budget.load = s.budget.load.WithCall(callKind(cost), begun, now)
	s.metrics.adviceServiceTime(callKind(cost), now.Sub(begun))
	s.recordLanes(now)
}

// recordLanes updates the metrics of the lanes, and logs their division if it has changed.
func (s *Scheduler) recordLanes(now time.Time) {
	division, _ := s.divideLanes(now)
	s.metrics.adviceLanes(division, s.lanesInUse())
	if !s.load.MeasuredAdvice || division.Kept == s.budget.kept || now.Sub(s.budget.loggedAt) < laneLogInterval {
		return
	}
	s.budget.kept, s.budget.loggedAt = division.Kept, now
	s.log.Info().Int("kept", division.Kept).Int("costly", division.Costly).Bool("measured", s.budget.load.Measured(now)).
		Float64("cheap_used", s.budget.load.Lanes(advicebudget.Cheap, now)).
		Float64("costly_used", s.budget.load.Lanes(advicebudget.Costly, now)).Msg("advice lanes divided")
}

func (s *Scheduler) lanesInUse() laneUse {
	var use laneUse
	for _, node := range s.adviceNodes {
		switch {
		case node.hasCostlyCall:
			use.costly++
		case node.pendingCost > 0:
			use.cheap++
		}
	}
	return use
}
