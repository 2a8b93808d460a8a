// Package resource defines the resource amounts that workers offer and tasks
// request.
//
// Amounts are integers, so that arithmetic on them is exact: CPU is counted in
// thousandths of a processor, memory in bytes and accelerators in devices.
package resource

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
)

// MilliCPU is an amount of CPU in thousandths of a processor.
type MilliCPU int64

// Bytes is an amount of memory in bytes.
type Bytes int64

// Kind is the name of a dimension of an Amount.
type Kind string

// The dimensions of an Amount, in the order in which shortages are reported.
const (
	CPU          Kind = "cpu"
	Memory       Kind = "memory"
	Accelerators Kind = "accelerators"
)

// Amount is a quantity of each kind of resource.
type Amount struct {
	CPU          MilliCPU `json:"cpu" cbor:"1,keyasint,omitempty"`
	Memory       Bytes    `json:"memory" cbor:"2,keyasint,omitempty"`
	Accelerators int64    `json:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the difference of a and b. It may be negative: see Valid.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Max returns the larger of a and b in each dimension.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPU, b.CPU), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// Times returns a multiplied by n.
func (a Amount) Times(n int64) Amount {
	return Amount{a.CPU * MilliCPU(n), a.Memory * Bytes(n), a.Accelerators * n}
}

// Fits reports whether free is at least a in every dimension.
func (a Amount) Fits(free Amount) bool {
	return a.CPU <= free.CPU && a.Memory <= free.Memory && a.Accelerators <= free.Accelerators
}

// Shortage returns the first kind of which free has less than a, and whether there
// is one.
func (a Amount) Shortage(free Amount) (Kind, bool) {
	switch {
	case a.CPU > free.CPU:
		return CPU, true
	case a.Memory > free.Memory:
		return Memory, true
	case a.Accelerators > free.Accelerators:
		return Accelerators, true
	}
	return "", false
}

// IsZero reports whether a is zero in every dimension.
func (a Amount) IsZero() bool { return a == Amount{} }

// Valid reports whether a is negative in no dimension.
func (a Amount) Valid() bool { return a.CPU >= 0 && a.Memory >= 0 && a.Accelerators >= 0 }

// DominantShare returns the dominant share of a: its largest fraction of capacity in
// any dimension. It is +Inf if a has a kind of which capacity has none.
func (a Amount) DominantShare(capacity Amount) float64 {
	return max(
		share(int64(a.CPU), int64(capacity.CPU)),
		share(int64(a.Memory), int64(capacity.Memory)),
		share(a.Accelerators, capacity.Accelerators),
	)
}

// share returns part/total, or 0 if both are 0.
func share(part, total int64) float64 {
	if part == 0 {
		return 0
	}
	if total == 0 {
		return math.Inf(1)
	}
	return float64(part) / float64(total)
}

// String formats a, for example "2 cpu 4.0 GiB 1 acc".
func (a Amount) String() string {
	s := fmt.Sprintf("%s cpu %s", a.CPU, a.Memory)
	if a.Accelerators != 0 {
		s += fmt.Sprintf(" %d acc", a.Accelerators)
	}
	return s
}

// String formats c in processors, for example "2" or "0.25".
func (c MilliCPU) String() string {
	return strconv.FormatFloat(float64(c)/1000, 'f', -1, 64)
}

// String formats b with a binary unit, for example "4.0 GiB".
func (b Bytes) String() string {
	if b < 0 {
		return "-" + humanize.IBytes(uint64(-b))
	}
	return humanize.IBytes(uint64(b))
}

// ParseError is the error for a text that is not a valid amount.
type ParseError struct {
	Text string
	Want string // description of the expected format
}

func (e *ParseError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Want) }

const (
	wantCPU    = `a number of processors such as "2", "0.5" or "500m"`
	wantMemory = `an amount of memory with its unit such as "512MiB" or "64GB"`
	// The largest values that UnmarshalFlag accepts, in processors and bytes. They
	// catch typing errors and keep sums from overflowing.
	maxCPU    = 1_000_000
	maxMemory = 1 << 50
)

// UnmarshalFlag parses a number of processors such as "0.5" or "500m".
func (c *MilliCPU) UnmarshalFlag(text string) error {
	scale := 1000.0
	digits, milli := strings.CutSuffix(text, "m")
	if milli {
		scale = 1
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(v >= 0 && v <= maxCPU*1000/scale) {
		return &ParseError{text, wantCPU}
	}
	n := v * scale
	if n != math.Trunc(n) {
		return &ParseError{text, wantCPU + ", a multiple of 0.001"}
	}
	*c = MilliCPU(n)
	return nil
}

// UnmarshalFlag parses an amount of memory such as "512MiB". It rejects a number
// without a unit, except 0, since the unit was probably forgotten.
func (b *Bytes) UnmarshalFlag(text string) error {
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		return &ParseError{text, wantMemory}
	}
	v, err := humanize.ParseBytes(text)
	if err != nil || v > maxMemory {
		return &ParseError{text, wantMemory}
	}
	*b = Bytes(v)
	return nil
}
