// Package ledger knows what of a worker is granted to which attempt.
//
// A Ledger is an immutable aggregate with one rule: the grants never exceed the
// worker. It is the record of placement: an attempt is placed when a ledger
// with its grant is committed, and its room is free when one without it is.
package ledger

import (
	"fmt"
	"time"

	"chutereach/codec"
	"chutereach/provider"
	"chutereach/resource"
)

// Grant gives room on a worker to one attempt.
type Grant struct {
	Attempt string          `cbor:"1,keyasint"`
	Need    resource.Amount `cbor:"2,keyasint"`
	Lease   time.Duration   `cbor:"3,keyasint"`
	// Boot is the worker's boot when the grant was made. A worker that has
	// booted since runs the attempt no more.
	Boot string `cbor:"4,keyasint"`
	// Revision is that of the template under which the attempt was started.
	Revision uint64 `cbor:"5,keyasint"`
}

// Ledger is a worker and what it has granted.
type Ledger struct {
	worker provider.Worker
	grants []Grant
	used   resource.Amount
}

// New returns the ledger of a worker that has granted nothing.
func New(w provider.Worker) Ledger { return Ledger{worker: w} }

// Worker returns the worker.
func (l Ledger) Worker() provider.Worker { return l.worker }

// Grants returns the grants, which the caller must not change.
func (l Ledger) Grants() []Grant { return l.grants }

// Used returns the sum of the grants.
func (l Ledger) Used() resource.Amount { return l.used }

// Free returns what can still be granted. It is negative in part where a worker
// came back smaller than it was.
func (l Ledger) Free() resource.Amount { return l.worker.Capacity.Minus(l.used) }

// OverCapacityError says that a grant would exceed a worker.
type OverCapacityError struct {
	Worker string
	Kind   resource.Kind
	Need   resource.Amount
	Free   resource.Amount
}

func (e *OverCapacityError) Error() string {
	return fmt.Sprintf("worker %s has too little %s: %v asked for, %v free", e.Worker, e.Kind, e.Need, e.Free)
}

// DuplicateError says that an attempt has its grant already.
type DuplicateError struct {
	Worker, Attempt string
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("worker %s has granted room to %s already", e.Worker, e.Attempt)
}

// MissingError says that an attempt has no grant.
type MissingError struct {
	Worker, Attempt string
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("worker %s has granted nothing to %s", e.Worker, e.Attempt)
}

// WithGrant returns l with g added.
func (l Ledger) WithGrant(g Grant) (Ledger, error) {
	if kind, lacking := g.Need.Lacking(l.Free()); lacking || !g.Need.Valid() {
		return l, &OverCapacityError{l.worker.Name, kind, g.Need, l.Free()}
	}
	if l.find(g.Attempt) >= 0 {
		return l, &DuplicateError{l.worker.Name, g.Attempt}
	}
	grants := make([]Grant, len(l.grants), len(l.grants)+1)
	copy(grants, l.grants)
	l.grants = append(grants, g)
	l.used = l.used.Plus(g.Need)
	return l, nil
}

// WithRelease returns l without attempt's grant.
func (l Ledger) WithRelease(attempt string) (Ledger, error) {
	i := l.find(attempt)
	if i < 0 {
		return l, &MissingError{l.worker.Name, attempt}
	}
	grants := make([]Grant, 0, len(l.grants)-1)
	grants = append(grants, l.grants[:i]...)
	l.used = l.used.Minus(l.grants[i].Need)
	l.grants = append(grants, l.grants[i+1:]...)
	return l, nil
}

// WithWorker returns l for the worker as the platform describes it now. Grants
// stay, even where the worker has shrunk below them: only their end frees room.
func (l Ledger) WithWorker(w provider.Worker) Ledger {
	l.worker = w
	return l
}

func (l Ledger) find(attempt string) int {
	for i := range l.grants {
		if l.grants[i].Attempt == attempt {
			return i
		}
	}
	return -1
}

// Prefix returns what the keys of a unit's ledgers begin with.
func Prefix(unit string) string { return "ledger/" + unit + "/" }

// Key returns the key of a worker's ledger.
func Key(unit, worker string) string { return Prefix(unit) + worker }

// row is a ledger as the table keeps it.
type row struct {
	Worker provider.Worker `cbor:"1,keyasint"`
	Grants []Grant         `cbor:"2,keyasint"`
}

// Encode returns l as the table keeps it.
func (l Ledger) Encode() []byte { return codec.MustMarshal(row{l.worker, l.grants}) }

// Decode reads a ledger's row.
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
