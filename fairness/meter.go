package fairness

import "time"

const (
	// window is for how long an account saves up what it is owed and does not send: jobs come
	// in bunches.
	window = 2 * time.Second
	// leastSaved is what any account can save up, in jobs.
	leastSaved = 2.0
)

// Meter counts the jobs of an account against what it is owed: as many a second as its weight.
// The zero Meter is that of an account that has sent nothing for long.
type Meter struct {
	ahead float64 // jobs for which what it is owed since has not made up
	at    time.Time
}

// WithJob returns the meter after a job has come, and whether the job comes on top of what the
// account is owed; such a job does not count against later ones. An account without a weight is
// owed whatever it sends.
func (m Meter) WithJob(weight float64, now time.Time) (next Meter, beyond bool) {
	if weight <= 0 {
		return m, false
	}
	ahead := m.aheadAt(weight, now)
	if ahead+1 > max(leastSaved, weight*window.Seconds()) {
		return Meter{ahead, now}, true
	}
	return Meter{ahead + 1, now}, false
}

func (m Meter) aheadAt(weight float64, now time.Time) float64 {
	since := max(0, now.Sub(m.at).Seconds())
	return max(0, m.ahead-weight*since)
}
