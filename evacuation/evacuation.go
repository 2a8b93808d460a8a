// Package evacuation holds the set of data halls that an operator has evacuated. No new work starts
// on the workers of an evacuated hall until the operator readmits it; running tasks continue.
//
// All types but Newest are immutable values.
package evacuation

import (
	"slices"
	"sync"
	"time"

	"chutereach/clock"
)

// View is the set of evacuated data halls as read from the platform's store. The zero View is empty
// and was never read.
type View struct {
	halls   []string      // sorted
	version uint64        // of the store's rows
	asOf    clock.Instant // the view was read at this time or later
}

// NewView returns the view of a version of the store's rows that was read at asOf or later.
func NewView(halls []string, version uint64, asOf clock.Instant) View {
	sorted := slices.Clone(halls)
	slices.Sort(sorted)
	return View{halls: slices.Compact(sorted), version: version, asOf: asOf}
}

// Halls returns the evacuated data halls in sorted order.
func (v View) Halls() []string { return slices.Clone(v.halls) }

// Version returns the version of the store's rows.
func (v View) Version() uint64 { return v.version }

// Contains reports whether a data hall is evacuated.
func (v View) Contains(hall string) bool {
	_, found := slices.BinarySearch(v.halls, hall)
	return found
}

// Empty reports whether no data hall is evacuated.
func (v View) Empty() bool { return len(v.halls) == 0 }

// SameHalls reports whether both views hold the same evacuated data halls.
func (v View) SameHalls(other View) bool { return slices.Equal(v.halls, other.halls) }

// Age returns the longest time for which the view may have been outdated, including time during which
// the machine was suspended. For a view that was never read, known is false.
func (v View) Age(now clock.Instant) (age time.Duration, known bool) {
	if v.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(v.asOf), true
}

// Newest holds the newest view offered to it. It is safe for concurrent use, and its zero value holds
// the zero View.
type Newest struct {
	mu      sync.Mutex
	current View
}

func (n *Newest) Current() View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// Offer replaces the current view unless that has a newer version. It returns the view that was current
// before, and whether the set of evacuated halls has changed. The time of the current view never moves
// back: a newer version replaces the older one, so a later time of that holds for it too.
func (n *Newest) Offer(view View) (previous View, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous = n.current
	if view.version < previous.version {
		return previous, false
	}
	if view.asOf.IsZero() || !previous.asOf.IsZero() && view.asOf.Sub(previous.asOf) < 0 {
		view.asOf = previous.asOf
	}
	n.current = view
	return previous, !view.SameHalls(previous)
}
