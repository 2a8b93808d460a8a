// Package clocktest simulates system suspend in tests of code that uses package clock.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/clock/internal/source"
)

// Suspension is the simulated time that the system has spent suspended.
type Suspension struct{ total atomic.Int64 }

// New replaces the system's suspend time by a simulated one, for the whole process, until
// the test ends. Tests that call it must not run in parallel.
func New(t *testing.T) *Suspension {
	t.Helper()
	s := new(Suspension)
	override := func() time.Duration { return time.Duration(s.total.Load()) }
	source.SuspendedOverride.Store(&override)
	t.Cleanup(func() { source.SuspendedOverride.Store(nil) })
	return s
}

// Suspend simulates a suspend of length d: it adds d to the time spent suspended and leaves
// the monotonic clock as it is.
func (s *Suspension) Suspend(d time.Duration) { s.total.Add(int64(d)) }
