package clock

import (
	"time"

	"chutereach/clock/internal/source"
)

// Instant is a point in time on this system. Instants of different systems cannot be
// compared.
type Instant struct {
	time      time.Time
	suspended time.Duration // total since boot, at time
}

// Now returns the current instant. It is slower than time.Now, because it also reads two
// system clocks: both took 0.55 µs on a loaded machine, time.Now 0.08 µs (see BenchmarkNow).
func Now() Instant { return Instant{time.Now(), totalSuspended()} }

// totalSuspended returns the time spent suspended since boot, or 0 if it cannot be read. The
// daemon calls Check at startup to detect that.
func totalSuspended() time.Duration {
	total, err := source.Suspended()
	if err != nil {
		return 0
	}
	return total
}

// Check returns an error if the time spent suspended cannot be read.
func Check() error {
	_, err := source.Suspended()
	return err
}

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.time.IsZero() }

// Time returns the instant as a time.Time with a monotonic clock reading.
func (i Instant) Time() time.Time { return i.time }

// Since returns the time elapsed since i, including time spent suspended.
func (i Instant) Since() time.Duration { return Now().Sub(i) }

// Deadline returns the monotonic time at which d will have elapsed since i. Time spent
// suspended between i and the call counts towards d.
func (i Instant) Deadline(d time.Duration) time.Time {
	return i.time.Add(d - max(0, totalSuspended()-i.suspended))
}

// Earlier returns the instant d before i, assuming no suspend in between.
func (i Instant) Earlier(d time.Duration) Instant { return Instant{i.time.Add(-d), i.suspended} }

// Sub returns the time elapsed from earlier to i, including time spent suspended.
func (i Instant) Sub(earlier Instant) time.Duration {
	return i.time.Sub(earlier.time) + max(0, i.suspended-earlier.suspended)
}
