package clock

import "sync/atomic"

// Atomic is an instant that several goroutines read and set. Its zero value holds the zero
// Instant.
type Atomic struct{ held atomic.Pointer[Instant] }

// Load returns the instant.
func (a *Atomic) Load() Instant {
	if held := a.held.Load(); held != nil {
		return *held
	}
	return Instant{}
}

// Store sets the instant.
func (a *Atomic) Store(i Instant) { a.held.Store(&i) }

// StoreFirst sets the instant if it is zero.
func (a *Atomic) StoreFirst(i Instant) {
	for {
		held := a.held.Load()
		if held != nil && !held.IsZero() {
			return
		}
		if a.held.CompareAndSwap(held, &i) {
			return
		}
	}
}
