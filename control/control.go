// Package control defines the rows through which boxes coordinate: one heartbeat
// per live box, one row per unit of ownership, and the head of the configuration.
// They share a key prefix, so that a box reads all of them with one range request
// per heartbeat interval.
package control

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/rs/xid"

	"chutereach/codec"
	"chutereach/config"
	"chutereach/provider"
)

const (
	controlPrefix = "ctl/"
	boxPrefix     = controlPrefix + "box/"
	unitPrefix    = controlPrefix + "unit/"
	// HeadKey is the key of the HeadRow.
	HeadKey = controlPrefix + "head"
	// maxRows limits the rows that Read requests.
	maxRows = 2000
)

// Incarnation identifies one run of a box's daemon. It is unique to the run.
type Incarnation string

// NewIncarnation returns a new incarnation of the box with the given name.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + "." + xid.New().String())
}

// Box returns the name of the box.
func (i Incarnation) Box() string {
	name, _, _ := strings.Cut(string(i), ".")
	return name
}

// BoxRow is the heartbeat of a box.
type BoxRow struct {
	Incarnation Incarnation `json:"incarnation" cbor:"1,keyasint"`
	Hall        string      `json:"hall" cbor:"2,keyasint"`
	Peer        string      `json:"peer" cbor:"3,keyasint"` // host:port for requests from other boxes
	HTTP        string      `json:"http" cbor:"4,keyasint"` // host:port for requests from clients and operators
	Leaving     bool        `json:"leaving" cbor:"5,keyasint,omitempty"`
	// HeartbeatCount is incremented with each heartbeat.
	HeartbeatCount uint64 `json:"beat" cbor:"6,keyasint"`
}

func (b BoxRow) Key() string { return boxPrefix + string(b.Incarnation) }

// UnitRow records the owner of a unit. Its version in the table is a fencing
// token: every transaction on behalf of the unit requires that version.
type UnitRow struct {
	Owner Incarnation `cbor:"1,keyasint"` // empty if the unit was released
	Epoch uint64      `cbor:"2,keyasint"`
	// PreviousOwnerUntil is the latest time at which a previous owner may have granted a lease,
	// by the clock of the box that wrote the row.
	PreviousOwnerUntil time.Time `cbor:"3,keyasint"`
}

// HeadRow is the head of the configuration: the number of its newest revision.
type HeadRow struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Encode encodes a row for storage in the table.
func Encode[R BoxRow | UnitRow | HeadRow](r R) []byte { return codec.MustMarshal(r) }

func UnitKey(unit string) string { return unitPrefix + unit }

// Versioned is a row with its version in the table.
type Versioned[R any] struct {
	Row     R
	Version uint64
}

// View is a snapshot of the control rows.
type View struct {
	Boxes map[Incarnation]Versioned[BoxRow]
	Units map[string]Versioned[UnitRow]
	Head  Versioned[HeadRow]
	// RequestedAt is the time just before the read request: the view is no older.
	RequestedAt time.Time
}

// Read reads the control rows, at most maxRows of them.
func Read(ctx context.Context, t provider.Table) (View, error) {
	v := View{
		Boxes:       map[Incarnation]Versioned[BoxRow]{},
		Units:       map[string]Versioned[UnitRow]{},
		RequestedAt: time.Now(),
	}
	rows, err := t.Range(ctx, controlPrefix, "", maxRows)
	if err != nil {
		return v, err
	}
	for _, r := range rows {
		if err := v.add(r); err != nil {
			return v, &RowError{r.Key, err}
		}
	}
	return v, nil
}

func (v *View) add(r provider.Row) error {
	switch {
	case strings.HasPrefix(r.Key, boxPrefix):
		b, err := decode[BoxRow](r)
		v.Boxes[b.Row.Incarnation] = b
		return err
	case strings.HasPrefix(r.Key, unitPrefix):
		u, err := decode[UnitRow](r)
		v.Units[strings.TrimPrefix(r.Key, unitPrefix)] = u
		return err
	case r.Key == HeadKey:
		h, err := decode[HeadRow](r)
		v.Head = h
		return err
	}
	return nil
}

func decode[R any](r provider.Row) (Versioned[R], error) {
	v := Versioned[R]{Version: r.Version}
	return v, codec.Unmarshal(r.Value, &v.Row)
}

// RowError is the error for a row whose value cannot be encoded or decoded.
type RowError struct {
	Key   string
	Cause error
}

func (e *RowError) Error() string { return fmt.Sprintf("row %s cannot be read: %v", e.Key, e.Cause) }

func (e *RowError) Unwrap() error { return e.Cause }

// AllUnitNames returns the sorted names of the units of all halls of a configuration.
func AllUnitNames(s config.Set) []string {
	var names []string
	for _, h := range s.Halls {
		for index := range h.Units {
			names = append(names, unitName(h, index))
		}
	}
	slices.Sort(names)
	return names
}

// HallUnitNames returns the names of the units of a hall.
func HallUnitNames(h config.Hall) []string {
	var names []string
	for index := range h.Units {
		names = append(names, unitName(h, index))
	}
	return names
}

// UnitForRack returns the name of the unit to which a rack of a hall belongs. Racks
// are distributed over the hall's units by a hash of their names.
//
// A change of a hall's number of units reassigns racks, but migrates neither
// ledgers nor jobs: the hall must be drained first.
func UnitForRack(h config.Hall, rack string) string {
	sum := fnv.New32a()
	sum.Write([]byte(rack))
	return unitName(h, int(sum.Sum32()%uint32(h.Units)))
}

// unitName returns the name of a hall's unit. The only unit of a hall has the name
// of the hall.
func unitName(h config.Hall, index int) string {
	if h.Units == 1 {
		return h.Name
	}
	return fmt.Sprintf("%s-u%d", h.Name, index+1)
}
