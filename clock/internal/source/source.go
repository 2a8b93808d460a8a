// Package source reads the time that the system has spent suspended.
package source

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// SuspendedOverride, if set, supplies the result of Suspended in tests.
var SuspendedOverride atomic.Pointer[func() time.Duration]

// ClockError reports a system clock that could not be read.
type ClockError struct {
	Clock string
	Cause error
}

func (e *ClockError) Error() string { return fmt.Sprintf("read system clock %s: %v", e.Clock, e.Cause) }

func (e *ClockError) Unwrap() error { return e.Cause }

// Suspended returns the time spent suspended since boot: the difference between
// CLOCK_BOOTTIME, which includes it, and CLOCK_MONOTONIC, which doesn't.
func Suspended() (time.Duration, error) {
	if override := SuspendedOverride.Load(); override != nil {
		return (*override)(), nil
	}
	var monotonic, bootTime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, &ClockError{"CLOCK_MONOTONIC", err}
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return 0, &ClockError{"CLOCK_BOOTTIME", err}
	}
	return time.Duration(bootTime.Nano() - monotonic.Nano()), nil
}
