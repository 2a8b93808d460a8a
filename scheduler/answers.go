package scheduler

import "time"

const (
	// Bounds of the time after which an unanswered order is sent again. A round trip takes 6 ms; the
	// minimum allows for an owner that reads answers late because it is short of processor time.
	minCallTimeout = 60 * time.Millisecond
	maxCallTimeout = 250 * time.Millisecond
	// The timeout is the mean latency plus deviationFactor times the mean deviation, as in RFC
	// 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// lossWeight is the weight of the newest call in the moving average of the loss rate. Calls are
	// lossy from lossyThreshold on until the rate falls below lossyClearThreshold; they then use
	// shorter long-poll timeouts.
	lossWeight          = 1.0 / 200
	lossyThreshold      = 0.01
	lossyClearThreshold = 0.004
)

// callStats tracks the latency and the loss rate of calls. Only calls to workers that answered the
// previous one count as lost.
type callStats struct {
	measured  bool
	mean      time.Duration
	deviation time.Duration
	lossRate  float64
	lossy     bool
}

// addLatency adds a latency sample of an order.
func (a *callStats) addLatency(d time.Duration) {
	if !a.measured {
		a.measured, a.mean, a.deviation = true, d, d/2
		return
	}
	diff := max(a.mean-d, d-a.mean)
	a.deviation += time.Duration(deviationWeight * float64(diff-a.deviation))
	a.mean += time.Duration(meanWeight * float64(d-a.mean))
}

// timeout returns the timeout of an order.
func (a *callStats) timeout() time.Duration {
	if !a.measured {
		return maxCallTimeout
	}
	return min(maxCallTimeout, max(minCallTimeout, a.mean+deviationFactor*a.deviation))
}

// addResult records whether a call was answered by a worker that answered the previous one. It reports
// whether lossy has changed.
func (a *callStats) addResult(answered bool) bool {
	wasLossy := a.lossy
	a.lossRate *= 1 - lossWeight
	if !answered {
		a.lossRate += lossWeight
	}
	switch {
	case a.lossRate >= lossyThreshold:
		a.lossy = true
	case a.lossRate < lossyClearThreshold:
		a.lossy = false
	}
	return wasLossy != a.lossy
}

const (
	// latenessFactor is the ratio of the extra timeout to the lateness of this process: each answer
	// passes through several goroutines.
	latenessFactor = 10
	// lateThreshold is the lateness of this process from which unanswered calls are not counted as
	// lost.
	lateThreshold = 5 * time.Millisecond
)

// latenessAllowance returns the extra timeout of calls while this process is late. Early retries would add
// to its load.
func (s *Scheduler) latenessAllowance() time.Duration { return latenessFactor * s.lateness() }

// recordCallResult records whether a call was answered by a worker that answered the previous one. The
// caller must hold s.mu.
func (s *Scheduler) recordCallResult(answered bool) {
	if !answered && s.lateness() > lateThreshold {
		return
	}
	if s.answers.addResult(answered) {
		s.log.Info().Bool("lossy", s.answers.lossy).Float64("loss", s.answers.lossRate).
			Dur("limit", s.answers.timeout()).Msg("share of calls to workers without answer")
	}
}
