// Package source reads the system's clocks, or what a test has put in their place.
package source

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Replacement, if set, takes the place of the system's clocks in tests.
var Replacement atomic.Pointer[func() time.Duration]

// ClockError says that the system does not tell a clock.
type ClockError struct {
	Clock string
	Cause error
}

func (e *ClockError) Error() string { return fmt.Sprintf("clock %s: %v", e.Clock, e.Cause) }

func (e *ClockError) Unwrap() error { return e.Cause }

// Suspended returns how long the machine has been suspended since it was started: what its
// clock since the boot counts and its steady clock does not.
func Suspended() (time.Duration, error) {
	if replacement := Replacement.Load(); replacement != nil {
		return (*replacement)(), nil
	}
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, &ClockError{"CLOCK_MONOTONIC", err}
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, &ClockError{"CLOCK_BOOTTIME", err}
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
