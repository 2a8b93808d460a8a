package scheduler

import "time"

const (
	// leastLimit and mostLimit bound how long an order may go without an answer before
	// it is sent again: a round trip takes 6 ms, and an owner short of processor time
	// hears of answers late.
	leastLimit = 60 * time.Millisecond
	mostLimit  = 250 * time.Millisecond
	// meanWeight and deviationWeight are those of the newest answer, and
	// deviations how many of them are waited for: as in RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// lossWeight is the weight of the newest call in the share of calls without
	// answer. From lossyFrom on calls are held open for less, and no more from
	// lossyUntil on; some thousand calls are made in ten seconds.
	lossWeight          = 1.0 / 200
	lossyThreshold      = 0.01
	lossyClearThreshold = 0.004
)

// answers is what an owner concludes of how workers answer: how soon, and how often
// not at all, those apart that do not answer anything.
type answers struct {
	measured  bool
	mean      time.Duration
	deviation time.Duration
	loss      float64
	lossy     bool
}

// took takes in an answer to an order.
func (a *answers) took(d time.Duration) {
	if !a.measured {
		a.measured, a.mean, a.deviation = true, d, d/2
		return
	}
	diff := max(a.mean-d, d-a.mean)
	a.deviation += time.Duration(deviationWeight * float64(diff-a.deviation))
	a.mean += time.Duration(meanWeight * float64(d-a.mean))
}

// limit returns how long an answer to an order is waited for.
func (a *answers) limit() time.Duration {
	if !a.measured {
		return mostLimit
	}
	return min(mostLimit, max(leastLimit, a.mean+deviationFactor*a.deviation))
}

// came takes in whether a call had an answer, at a worker that had answered before. It
// reports whether that changes how calls are made.
func (a *answers) came(answered bool) bool {
	was := a.lossy
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
	return was != a.lossy
}

const (
	// latenessFactor is by how many times its own lateness an owner waits longer for
	// answers: each goes through several goroutines.
	latenessFactor = 10
	// lateThreshold is the lateness from which calls without answer say nothing of workers.
	lateThreshold = 5 * time.Millisecond
)

// patience returns how much longer an owner that is late itself waits for answers: to
// give up and ask again would make it later still.
func (s *Scheduler) patience() time.Duration { return latenessFactor * s.lateness() }

// noteAnswer takes in whether a worker that had answered before answered a call. The
// lock is held.
func (s *Scheduler) noteAnswer(answered bool) {
	if !answered && s.lateness() > lateThreshold {
		return
	}
	if s.answers.came(answered) {
		s.log.Info().Bool("lossy", s.answers.lossy).Float64("loss", s.answers.loss).
			Dur("limit", s.answers.limit()).Msg("share of calls to workers without answer")
	}
}
