package overload

import (
	"math"
	"time"

	"chutereach/resource"
)

const (
	// usageWindow is the time constant of the moving average of the used capacity.
	usageWindow = 2 * time.Second
	// minRate is the lowest rate that a service is assumed to complete work at. It keeps an owner that is
	// new, or whose workers were idle during an outage, from detecting an overload before usage recovers.
	minRate = 0.5
	// missedWindow is the time constant with which missed work decays.
	missedWindow = 5 * time.Second
	// beginShare is the missed work at which an overload begins, as a share of the work that the service
	// completes in missedWindow. Below it, ordering by latest start serves nine jobs of ten in time.
	beginShare = 0.1
	// endFactor is the missed work at which an overload ends, relative to that at which it begins.
	// The difference keeps the order from changing with each pass.
	endFactor = 0.5
	// shortBacklogFactor is the time to serve the backlog, relative to its slack, up to which there is no
	// overload. Large jobs keep missing their latest start for as long as smaller ones go first, so
	// missed work alone would prolong the overload.
	shortBacklogFactor = 0.5
)

// Monitor detects the overload of a service. The zero Monitor has measured nothing and detects none.
type Monitor struct {
	measured     bool    // whether usage has been measured
	usage        float64 // moving average of the used share of the capacity
	missed       Work    // as of updatedAt
	backlogShort bool
	overloaded   bool
	updatedAt    time.Time
}

// WithUsage returns the monitor after a measurement of the capacity that tasks of any priority but 0 use.
// It never begins an overload. If the capacity is zero, the rate stays and only the missed work decays.
func (m Monitor) WithUsage(now time.Time, used, capacity resource.Amount) Monitor {
	elapsed := m.elapsed(now)
	m.missed *= Work(decay(elapsed, missedWindow))
	if m.updatedAt.Before(now) {
		m.updatedAt = now
	}
	if capacity.CPU > 0 || capacity.Memory > 0 {
		share := min(1, dominantShare(used, capacity))
		if m.measured {
			share += (m.usage - share) * decay(elapsed, usageWindow)
		}
		m.usage, m.measured = share, true
	}
	m.overloaded = m.overloaded && m.missed >= endFactor*m.threshold()
	return m
}

// WithMissed returns the monitor after a step has passed its latest start while some of its work still
// waited.
func (m Monitor) WithMissed(work Work) Monitor {
	m.missed = min(m.missed+work.Bounded(), maxWork)
	m.overloaded = m.overloaded || !m.backlogShort && m.missed > m.threshold()
	return m
}

// WithBacklog returns the monitor after a measurement of the work that waits and can meet its deadline,
// and of its mean slack.
func (m Monitor) WithBacklog(waiting Work, slack time.Duration) Monitor {
	m.backlogShort = float64(waiting) <= shortBacklogFactor*slack.Seconds()*m.Rate()
	m.overloaded = m.overloaded && !m.backlogShort
	return m
}

// Rate returns the work that the service completes per second.
func (m Monitor) Rate() float64 { return max(minRate, m.usage) }

// Missed returns the missed work, decayed as of the last call of WithUsage.
func (m Monitor) Missed() Work { return m.missed }

// Overloaded reports whether the service is overloaded.
func (m Monitor) Overloaded() bool { return m.overloaded }

// threshold returns the missed work above which an overload begins.
func (m Monitor) threshold() Work { return Work(beginShare * m.Rate() * missedWindow.Seconds()) }

func (m Monitor) elapsed(now time.Time) time.Duration {
	if m.updatedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(m.updatedAt))
}

// decay returns the factor of an exponential decay after the elapsed time.
func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}
