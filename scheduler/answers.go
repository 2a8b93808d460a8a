package scheduler

import "time"

const (
	// Bounds of the time after which an unanswered order is sent again. The minimum allows for an
	// owner that reads answers late because it is short of processor time.
	leastLimit = 60 * time.Millisecond
	mostLimit  = 250 * time.Millisecond
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

// answers tracks the latency and the loss rate of calls. Only calls to workers that answered the
// previous one count as lost.
type answers struct {
	measured  bool
	mean      time.Duration
	deviation time.Duration
	loss      float64
	lossy     bool
}

// took adds a latency sample of an order.
func (a *answers) took(d time.Duration) {
	if !a.measured {
		a.measured, a.mean, a.deviation = true, d, d/2
		return
	}
	diff := max(a.mean-d, d-a.mean)
	a.deviation += time.Duration(deviationWeight * float64(diff-a.deviation))
	a.mean += time.Duration(meanWeight * float64(d-a.mean))
}

// limit returns the timeout of an order.
func (a *answers) limit() time.Duration {
	if !a.measured {
		return mostLimit
	}
	return min(mostLimit, max(leastLimit, a.mean+deviationFactor*a.deviation))
}

// came records whether a call was answered by a worker that answered the previous one. It reports
// whether lossy has changed.
func (a *answers) came(answered bool) bool {
	wasLossy := a.lossy
	a.loss *= 1 - lossWeight
	if !answered {
		a.loss += lossWeight
	}
	switch {
	case a.loss >= lossyThreshold:
		a.lossy = true
	case a.loss < lossyClearThreshold:
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

// patience returns the extra timeout of calls while this process is late. Early retries would add
// to its load.
func (s *Scheduler) patience() time.Duration { return latenessFactor * s.lateness() }

// noteAnswer records whether a call was answered by a worker that answered the previous one. The
// caller must hold s.mu.
func (s *Scheduler) noteAnswer(answered bool) {
	if !answered && s.lateness() > lateThreshold {
		return
	}
	if s.answers.came(answered) {
		s.log.Info().Bool("lossy", s.answers.lossy).Float64("loss", s.answers.loss).
			Dur("limit", s.answers.limit()).Msg("share of calls to workers without answer")
	}
}
