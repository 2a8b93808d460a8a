package fairness

import "time"

const (
	// burstWindow is the time over which an account can accumulate unused share.
	burstWindow = 2 * time.Second
	// minBurst is the smallest burst size of any account, in jobs.
	minBurst = 2.0
)

// Meter is a leaky bucket that measures the jobs of an account against its share, which is as many
// jobs per second as its weight. The zero Meter is empty.
type Meter struct {
	level     float64 // in jobs
	updatedAt time.Time
}

// WithJob returns the meter after a job has arrived, and whether the job exceeds the account's
// share. Jobs over the share do not raise the level. Without a positive weight there is no limit.
func (m Meter) WithJob(weight float64, now time.Time) (next Meter, overShare bool) {
	if weight <= 0 {
		return m, false
	}
	level := m.levelAt(weight, now)
	if level+1 > max(minBurst, weight*burstWindow.Seconds()) {
		return Meter{level, now}, true
	}
	return Meter{level + 1, now}, false
}

func (m Meter) levelAt(weight float64, now time.Time) float64 {
	elapsed := max(0, now.Sub(m.updatedAt).Seconds())
	return max(0, m.level-weight*elapsed)
}
