// Package leases defines what owners of a shard store about the leases of workers out of reach, so
// that a new owner need not wait anew until such a lease has certainly expired.
//
// A Bound says until when anything can run on a worker. Its owner has no lease of that worker extended
// before a transaction that withdraws the bound has been applied. An owner of an earlier build keeps no
// bounds, and extends leases without withdrawing any. Bounds from before such an owner are not valid; the
// owner's row tells as of which fencing token all owners have kept bounds (leadership.Term.BoundsSince).
package leases

import (
	"fmt"
	"strconv"
	"time"

	"chutereach/codec"
	"chutereach/fleet"
)

// Bound is an upper bound of the time until which the lease of a worker lasts.
type Bound struct {
	Worker    string `cbor:"1,keyasint"`
	StartTime int64  `cbor:"2,keyasint,omitempty"` // distinguishes incarnations of a worker that reuse its ID; 0 if unknown
	ExpiryMS  int64  `cbor:"3,keyasint"`           // by the store's clock
}

// NewBound returns the bound of an incarnation's lease that ends at a time of the store's clock.
func NewBound(incarnation fleet.Incarnation, expiry time.Duration) Bound {
	return Bound{incarnation.ID, incarnation.StartTime, (expiry + time.Millisecond - 1).Milliseconds()}
}

// Incarnation returns the incarnation that the bound is for.
func (b Bound) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: b.Worker, StartTime: b.StartTime}
}

// Expiry returns when the lease has ended by the store's clock.
func (b Bound) Expiry() time.Duration { return time.Duration(b.ExpiryMS) * time.Millisecond }

// maxBoundOverhead is the most that a bound takes in a row beside the ID of its worker, in bytes.
const maxBoundOverhead = 32

// Row is a stored row of bounds.
type Row struct {
	Token  uint64  `cbor:"1,keyasint"` // fencing token of the owner that wrote the row
	Bounds []Bound `cbor:"2,keyasint,omitempty"`
}

// Rows divides bounds into rows of at most limit bytes. It leaves bounds out that do not fit into maxRows
// rows: without one, an owner waits longer.
func Rows(token uint64, bounds []Bound, limit, maxRows int) []Row {
	var rows []Row
	room := 0
	for _, bound := range bounds {
		size := len(bound.Worker) + maxBoundOverhead
		if size > room {
			if len(rows) == maxRows || size > limit-maxBoundOverhead {
				break
			}
			rows = append(rows, Row{Token: token})
			room = limit - maxBoundOverhead
		}
		last := &rows[len(rows)-1]
		last.Bounds = append(last.Bounds, bound)
		room -= size
	}
	return rows
}

// RowName returns the name of a row by its index.
func RowName(index int) string { return strconv.Itoa(index) }

// Encode returns the encoding of r.
func (r Row) Encode() []byte { return codec.MustMarshal(r) }

// DecodeRow decodes a row. It returns a RowError on failure.
func DecodeRow(name string, value []byte) (Row, error) {
	var row Row
	if err := codec.Unmarshal(value, &row); err != nil {
		return Row{}, &RowError{name, err}
	}
	return row, nil
}

// RowError reports a row of bounds that cannot be decoded.
type RowError struct {
	Name  string
	Cause error
}

func (e *RowError) Error() string {
	return fmt.Sprintf("invalid row %s of lease bounds: %v", e.Name, e.Cause)
}

func (e *RowError) Unwrap() error { return e.Cause }
