package clock

import (
	"time"

	"chutereach/clock/internal/source"
)

// Instant is a moment on this machine.
type Instant struct {
	at        time.Time
	suspended time.Duration // of the machine, until then
}

// Now returns the present moment. It makes two calls to the system, 0.55 µs together where
// time.Now takes 0.08 (BenchmarkNow, beside other load).
func Now() Instant { return Instant{time.Now(), suspended()} }

// suspended returns how long the machine has been suspended. A system that does not tell,
// which Check reports at the start, counts as never suspended.
func suspended() time.Duration {
	total, err := source.Suspended()
	if err != nil {
		return 0
	}
	return total
}

// Check returns an error if the system does not tell how long it was suspended.
func Check() error {
	_, err := source.Suspended()
	return err
}

// IsZero reports whether the instant is none.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// Time returns the instant on the steady clock.
func (i Instant) Time() time.Time { return i.at }

// Since returns the time from the instant until now, suspensions included.
func (i Instant) Since() time.Duration { return Now().Sub(i) }

// After returns when a time from the instant on will have passed, on the steady clock: as
// much sooner as the machine was suspended since.
func (i Instant) After(d time.Duration) time.Time {
	return i.at.Add(d - max(0, suspended()-i.suspended))
}

// Before returns the instant that was so much earlier, with no suspension in between.
func (i Instant) Before(d time.Duration) Instant { return Instant{i.at.Add(-d), i.suspended} }

// Sub returns the time from an earlier instant to this one, suspensions included.
func (i Instant) Sub(earlier Instant) time.Duration {
	return i.at.Sub(earlier.at) + max(0, i.suspended-earlier.suspended)
}
