// Package control knows the rows by which the boxes agree: one for each box
// that is alive, one for each unit of ownership, and the head of the
// configuration. They stand under one prefix, so that one read a tick shows a
// box all of them.
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
	prefix     = "ctl/"
	boxPrefix  = prefix + "box/"
	unitPrefix = prefix + "unit/"
	// HeadKey is the row that names the newest revision of the configuration.
	HeadKey = prefix + "head"
	// viewLimit bounds the rows of a view: boxes, units and the head.
	viewLimit = 2000
)

// Incarnation names one run of a box's daemon. No two runs share one.
type Incarnation string

// NewIncarnation returns a new incarnation of the box called name.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + "." + xid.New().String())
}

// Box returns the name of the box.
func (i Incarnation) Box() string {
	name, _, _ := strings.Cut(string(i), ".")
	return name
}

// BoxRow is a box's heartbeat.
type BoxRow struct {
	Incarnation Incarnation `json:"incarnation" cbor:"1,keyasint"`
	Hall        string      `json:"hall" cbor:"2,keyasint"`
	Peer        string      `json:"peer" cbor:"3,keyasint"` // host:port for other boxes
	HTTP        string      `json:"http" cbor:"4,keyasint"` // host:port for callers and operators
	Leaving     bool        `json:"leaving" cbor:"5,keyasint,omitempty"`
	Beat        uint64      `json:"beat" cbor:"6,keyasint"`
}

// Key returns the key of b's row.
func (b BoxRow) Key() string { return boxPrefix + string(b.Incarnation) }

// UnitRow says who owns a unit. Its version in the table is the fence: every
// commit for the unit requires it.
type UnitRow struct {
	Owner Incarnation `cbor:"1,keyasint"` // empty when released
	Epoch uint64      `cbor:"2,keyasint"`
	// Sure is until when the owner before this one may have given out leases,
	// by the clock of whoever wrote the row.
	Sure time.Time `cbor:"3,keyasint"`
}

// HeadRow names the newest revision.
type HeadRow struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Encode returns a row of this package as the table keeps it.
func Encode[R BoxRow | UnitRow | HeadRow](r R) []byte { return codec.MustMarshal(r) }

// UnitKey returns the key of a unit's row.
func UnitKey(unit string) string { return unitPrefix + unit }

// Versioned is a row and its version in the table.
type Versioned[R any] struct {
	Row     R
	Version uint64
}

// View is what the control rows said at one read.
type View struct {
	Boxes map[Incarnation]Versioned[BoxRow]
	Units map[string]Versioned[UnitRow]
	Head  Versioned[HeadRow]
	// Asked is when the read was sent: the view is no older.
	Asked time.Time
}

// Read reads the control rows.
func Read(ctx context.Context, t provider.Table) (View, error) {
	v := View{
		Boxes: map[Incarnation]Versioned[BoxRow]{},
		Units: map[string]Versioned[UnitRow]{},
		Asked: time.Now(),
	}
	rows, err := t.Range(ctx, prefix, "", viewLimit)
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

// RowError says that a row could not be read.
type RowError struct {
	Key   string
	Cause error
}

func (e *RowError) Error() string { return fmt.Sprintf("row %s cannot be read: %v", e.Key, e.Cause) }

func (e *RowError) Unwrap() error { return e.Cause }

// Units returns the names of the units that a set declares, in order.
func Units(s config.Set) []string {
	var names []string
	for _, h := range s.Halls {
		for part := range h.Units {
			names = append(names, unitName(h, part))
		}
	}
	slices.Sort(names)
	return names
}

// UnitsOf returns the names of a hall's units.
func UnitsOf(h config.Hall) []string {
	var names []string
	for part := range h.Units {
		names = append(names, unitName(h, part))
	}
	return names
}

// UnitOf returns the unit to which a rack of a hall belongs. Racks are spread
// over a hall's units by their names.
//
// A change of a hall's number of units moves racks between units. Ledgers and
// jobs of the old units are not moved: an operator drains the hall first.
func UnitOf(h config.Hall, rack string) string {
	sum := fnv.New32a()
	sum.Write([]byte(rack))
	return unitName(h, int(sum.Sum32()%uint32(h.Units)))
}

func unitName(h config.Hall, part int) string {
	if h.Units == 1 {
		return h.Name
	}
	return fmt.Sprintf("%s-u%d", h.Name, part+1)
}
