// Package evacuation knows which data halls an operator has evacuated: no new work begins on the
// workers of such a hall until the operator takes that back. What runs there goes on.
//
// Everything here but Newest is a value.
package evacuation

import (
	"slices"
	"sync"
	"time"

	"chutereach/clock"
)

// View is which data halls are evacuated, as the platform's store had it. The zero View knows
// nothing.
type View struct {
	halls   []string // sorted
	version uint64   // of the store's rows
	asOf    clock.Instant
}

// NewView returns a view as of a version of the store's rows. It was true at asOf or later.
func NewView(halls []string, version uint64, asOf clock.Instant) View {
	sorted := slices.Clone(halls)
	slices.Sort(sorted)
	return View{halls: slices.Compact(sorted), version: version, asOf: asOf}
}

// Halls returns the evacuated data halls, sorted.
func (v View) Halls() []string { return slices.Clone(v.halls) }

// Version returns the version of the store's rows.
func (v View) Version() uint64 { return v.version }

// Covers reports whether a data hall is evacuated.
func (v View) Covers(hall string) bool {
	_, found := slices.BinarySearch(v.halls, hall)
	return found
}

// Empty reports whether no data hall is evacuated.
func (v View) Empty() bool { return len(v.halls) == 0 }

// SameHalls reports whether both views have the same data halls evacuated.
func (v View) SameHalls(other View) bool { return slices.Equal(v.halls, other.halls) }

// Age returns for how long, at the most, the view may have been untrue. Time in which the machine
// was suspended counts. The zero View has no age: known is false.
func (v View) Age(now clock.Instant) (age time.Duration, known bool) {
	if v.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(v.asOf), true
}

// Newest holds the newest view that was offered. The zero Newest holds the zero View.
type Newest struct {
	mu   sync.Mutex
	held View
}

// Current returns the newest view.
func (n *Newest) Current() View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

// Offer takes a view unless one of a newer version is held, and returns the one that was held before
// and whether the evacuated data halls have changed with it. What is newer than a view was true at no
// earlier time than that, so that the view that is held never becomes older.
func (n *Newest) Offer(view View) (former View, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	former = n.held
	if view.version < former.version {
		return former, false
	}
	if view.asOf.IsZero() || !former.asOf.IsZero() && view.asOf.Sub(former.asOf) < 0 {
		view.asOf = former.asOf
	}
	n.held = view
	return former, !view.SameHalls(former)
}
