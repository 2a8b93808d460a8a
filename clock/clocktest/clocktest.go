// Package clocktest lets tests suspend the machine.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/clock/internal/source"
)

// Suspension is a machine that a test suspends. The clocks of all packages go by it until
// the test ends.
type Suspension struct{ total atomic.Int64 }

// New puts a machine in place of the system's. Tests that use it do not run in parallel.
func New(t *testing.T) *Suspension {
	t.Helper()
	s := new(Suspension)
	read := func() time.Duration { return time.Duration(s.total.Load()) }
	source.Replacement.Store(&read)
	t.Cleanup(func() { source.Replacement.Store(nil) })
	return s
}

// Suspend suspends the machine for a time, in which no clock but that of the boot goes on.
func (s *Suspension) Suspend(d time.Duration) { s.total.Add(int64(d)) }
