// Package ledger records the resources that a worker has granted to attempts.
//
// A Ledger is immutable, and a grant is only added if it fits into the worker's free
// capacity. Ledgers are the authoritative record of placement: an attempt is placed once a
// ledger with its grant is committed, and its resources are free once a ledger without the
// grant is committed.
package ledger

import (
	"fmt"
	"time"

	"chutereach/codec"
	"chutereach/provider"
	"chutereach/resource"
)

// Grant assigns resources of a worker to one attempt.
type Grant struct {
	Attempt string          `cbor:"1,keyasint"`
	Need    resource.Amount `cbor:"2,keyasint"`
	Lease   time.Duration   `cbor:"3,keyasint"`
	// Boot identifies the worker's boot at the time of the grant. The attempt does not
	// survive a reboot of the worker.
	Boot string `cbor:"4,keyasint"`
	// Revision is the configuration revision of the template used for the attempt.
	Revision uint64 `cbor:"5,keyasint"`
}

// Ledger is a worker and its grants.
type Ledger struct {
	worker provider.Worker
	grants []Grant
	used   resource.Amount
}

// New returns the ledger of a worker without grants.
func New(w provider.Worker) Ledger { return Ledger{worker: w} }

func (l Ledger) Worker() provider.Worker { return l.worker }

// Grants returns the grants. The caller must not modify the slice.
func (l Ledger) Grants() []Grant { return l.grants }

// Used returns the sum of the grants.
func (l Ledger) Used() resource.Amount { return l.used }

// Free returns the resources that can still be granted. Amounts are negative if the
// worker's capacity has shrunk below its grants.
func (l Ledger) Free() resource.Amount { return l.worker.Capacity.Minus(l.used) }

// OverCapacityError reports that a grant is invalid or exceeds the free capacity of a worker.
type OverCapacityError struct {
	Worker string
	Kind   resource.Kind
	Need   resource.Amount
	Free   resource.Amount
}

func (e *OverCapacityError) Error() string {
	return fmt.Sprintf("worker %s has insufficient %s: requested %v, free %v", e.Worker, e.Kind, e.Need, e.Free)
}

// DuplicateGrantError reports that an attempt already has a grant.
type DuplicateGrantError struct {
	Worker, Attempt string
}

func (e *DuplicateGrantError) Error() string {
	return fmt.Sprintf("worker %s already has a grant for attempt %s", e.Worker, e.Attempt)
}

// NoGrantError reports that an attempt has no grant.
type NoGrantError struct {
	Worker, Attempt string
}

func (e *NoGrantError) Error() string {
	return fmt.Sprintf("worker %s has no grant for attempt %s", e.Worker, e.Attempt)
}

// WithGrant returns l with g added. It returns l unchanged and an OverCapacityError or a
// DuplicateGrantError if g cannot be added.
func (l Ledger) WithGrant(g Grant) (Ledger, error) {
	if kind, lacking := g.Need.Shortage(l.Free()); lacking || !g.Need.Valid() {
		return l, &OverCapacityError{l.worker.Name, kind, g.Need, l.Free()}
	}
	if l.indexOf(g.Attempt) >= 0 {
		return l, &DuplicateGrantError{l.worker.Name, g.Attempt}
	}
	grants := make([]Grant, len(l.grants), len(l.grants)+1)
	copy(grants, l.grants)
	l.grants = append(grants, g)
	l.used = l.used.Plus(g.Need)
	return l, nil
}

// WithRelease returns l without the grant of attempt, or l unchanged and a NoGrantError.
func (l Ledger) WithRelease(attempt string) (Ledger, error) {
	i := l.indexOf(attempt)
	if i < 0 {
		return l, &NoGrantError{l.worker.Name, attempt}
	}
	grants := make([]Grant, 0, len(l.grants)-1)
	grants = append(grants, l.grants[:i]...)
	l.used = l.used.Minus(l.grants[i].Need)
	l.grants = append(grants, l.grants[i+1:]...)
	return l, nil
}

// WithWorker returns l with an updated description of the worker. All grants are kept, even
// if they exceed the new capacity; resources are only freed by WithRelease.
func (l Ledger) WithWorker(w provider.Worker) Ledger {
	l.worker = w
	return l
}

func (l Ledger) indexOf(attempt string) int {
	for i := range l.grants {
		if l.grants[i].Attempt == attempt {
			return i
		}
	}
	return -1
}

// Prefix returns the key prefix of a unit's ledgers.
func Prefix(unit string) string { return "ledger/" + unit + "/" }

// Key returns the table key of a worker's ledger.
func Key(unit, worker string) string { return Prefix(unit) + worker }

// row is the stored form of a Ledger.
type row struct {
	Worker provider.Worker `cbor:"1,keyasint"`
	Grants []Grant         `cbor:"2,keyasint"`
}

// Encode returns the table row of l.
func (l Ledger) Encode() []byte { return codec.MustMarshal(row{l.worker, l.grants}) }

// Decode decodes the table row of a ledger.
func Decode(data []byte) (Ledger, error) {
	var r row
	if err := codec.Unmarshal(data, &r); err != nil {
		return Ledger{}, err
	}
	l := Ledger{worker: r.Worker, grants: r.Grants}
	for _, g := range r.Grants {
		l.used = l.used.Plus(g.Need)
	}
	return l, nil
}
