package leases_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/fleet"
	"chutereach/leases"
	"chutereach/proptest"
)

var bounds = rapid.SliceOf(rapid.Custom(func(t *rapid.T) leases.Bound {
	incarnation := fleet.Incarnation{ID: rapid.StringN(0, 200, 200).Draw(t, "id"), StartTime: rapid.Int64Min(0).Draw(t, "start")}
	return leases.NewBound(incarnation, time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "expiry")))
}))

// Guards against rows that the store rejects because they are too long, and against bounds that are lost in between.
func TestRowsHoldAllBounds(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list := bounds.Draw(t, "bounds")
		limit := rapid.IntRange(300, 2000).Draw(t, "limit")
		var got []leases.Bound
		for i, row := range leases.Rows(7, list, limit, len(list)) {
			encoded := row.Encode()
			if len(encoded) > limit {
				t.Errorf("row %d has %d bytes, limit %d", i, len(encoded), limit)
			}
			decoded, err := leases.DecodeRow(leases.RowName(i), encoded)
			if err != nil || decoded.Token != 7 {
				t.Fatalf("DecodeRow() = token %d, %v; want 7, nil", decoded.Token, err)
			}
			got = append(got, decoded.Bounds...)
		}
		if !slices.Equal(got, list) {
			t.Errorf("rows hold %v, want %v", got, list)
		}
	})
}

func TestRowsAreLimited(t *testing.T) {
	list := slices.Repeat([]leases.Bound{{Worker: strings.Repeat("w", 100)}}, 50)
	if rows := leases.Rows(1, list, 1000, 3); len(rows) != 3 {
		t.Errorf("%d rows, want 3", len(rows))
	}
}

// Guards against a bound that ends too early because its time is rounded down.
func TestExpiryIsRoundedUp(t *testing.T) {
	for _, expiry := range []time.Duration{0, time.Nanosecond, time.Millisecond, time.Millisecond + 1, time.Hour} {
		if got := leases.NewBound(fleet.Incarnation{}, expiry).Expiry(); got < expiry || got-expiry >= time.Millisecond {
			t.Errorf("Expiry() = %v, want %v rounded up to a millisecond", got, expiry)
		}
	}
}

func TestDecodeInvalidRow(t *testing.T) {
	if _, err := leases.DecodeRow("0", []byte("x")); err == nil {
		t.Error("DecodeRow() of an invalid row returned no error")
	}
}
