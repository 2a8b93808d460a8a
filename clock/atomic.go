package clock

import "sync/atomic"

// Atomic is an Instant that can be read and written atomically. Its zero value holds the
// zero Instant.
type Atomic struct{ value atomic.Pointer[Instant] }

func (a *Atomic) Load() Instant {
	if value := a.value.Load(); value != nil {
		return *value
	}
	return Instant{}
}

func (a *Atomic) Store(i Instant) { a.value.Store(&i) }

// StoreFirst stores i if a holds the zero Instant.
func (a *Atomic) StoreFirst(i Instant) {
	for {
		old := a.value.Load()
		if old != nil && !old.IsZero() {
			return
		}
		if a.value.CompareAndSwap(old, &i) {
			return
		}
	}
}
