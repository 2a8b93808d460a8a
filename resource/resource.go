// Package resource knows the amounts that a worker has and a task asks for.
//
// An Amount is a value: every operation returns a new one, and none of them
// rounds. Processors are counted in thousandths, memory in bytes, accelerators
// in whole devices, so that sums never drift.
package resource

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
)

// MilliCPU counts processors in thousandths of one.
type MilliCPU int64

// Bytes counts memory.
type Bytes int64

// Kind names one dimension of an Amount.
type Kind string

// The dimensions of an Amount, in the order in which they are reported.
const (
	CPU          Kind = "cpu"
	Memory       Kind = "memory"
	Accelerators Kind = "accelerators"
)

// Amount is a quantity of each kind of resource. The zero Amount asks for
// nothing.
type Amount struct {
	CPU          MilliCPU `json:"cpu" cbor:"1,keyasint,omitempty"`
	Memory       Bytes    `json:"memory" cbor:"2,keyasint,omitempty"`
	Accelerators int64    `json:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns a less b. The result may be negative; Valid tells.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Times returns a taken n times.
func (a Amount) Times(n int64) Amount {
	return Amount{a.CPU * MilliCPU(n), a.Memory * Bytes(n), a.Accelerators * n}
}

// Fits reports whether a can be taken from free.
func (a Amount) Fits(free Amount) bool {
	return a.CPU <= free.CPU && a.Memory <= free.Memory && a.Accelerators <= free.Accelerators
}

// Lacking names the first kind of which free has too little for a.
func (a Amount) Lacking(free Amount) (Kind, bool) {
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

// IsZero reports whether a asks for nothing.
func (a Amount) IsZero() bool { return a == Amount{} }

// Valid reports whether no part of a is negative.
func (a Amount) Valid() bool { return a.CPU >= 0 && a.Memory >= 0 && a.Accelerators >= 0 }

// Dominant returns the largest share that a takes of any kind of whole. A kind
// of which whole has none counts only if a asks for it, and then without bound.
func (a Amount) Dominant(whole Amount) float64 {
	return max(
		share(int64(a.CPU), int64(whole.CPU)),
		share(int64(a.Memory), int64(whole.Memory)),
		share(a.Accelerators, whole.Accelerators),
	)
}

func share(part, whole int64) float64 {
	if part == 0 {
		return 0
	}
	if whole == 0 {
		return math.Inf(1)
	}
	return float64(part) / float64(whole)
}

// String writes a as people read it, for example "2 cpu 4.0 GiB 1 acc".
func (a Amount) String() string {
	s := fmt.Sprintf("%s cpu %s", a.CPU, a.Memory)
	if a.Accelerators != 0 {
		s += fmt.Sprintf(" %d acc", a.Accelerators)
	}
	return s
}

// String writes c in processors, for example "2" or "0.25".
func (c MilliCPU) String() string {
	return strconv.FormatFloat(float64(c)/1000, 'f', -1, 64)
}

// String writes b with a binary unit, for example "4.0 GiB".
func (b Bytes) String() string {
	if b < 0 {
		return "-" + humanize.IBytes(uint64(-b))
	}
	return humanize.IBytes(uint64(b))
}

// ParseError tells which text could not be read as an amount.
type ParseError struct {
	Text string
	Want string
}

func (e *ParseError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Want) }

const (
	wantCPU    = `a number of processors such as "2", "0.5" or "500m"`
	wantMemory = `an amount of memory with its unit such as "512MiB" or "64GB"`
	// maxCPU bounds what a setting may ask for: a million processors is a slip
	// of the hand, and the bound keeps sums far from overflowing.
	maxCPU = 1_000_000
	maxMem = 1 << 50
)

// UnmarshalFlag reads processors from a setting.
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
		return &ParseError{text, wantCPU + ", in whole thousandths"}
	}
	*c = MilliCPU(n)
	return nil
}

// UnmarshalFlag reads memory from a setting. A bare number is refused: it is
// more often a forgotten unit than a count of bytes.
func (b *Bytes) UnmarshalFlag(text string) error {
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		return &ParseError{text, wantMemory}
	}
	v, err := humanize.ParseBytes(text)
	if err != nil || v > maxMem {
		return &ParseError{text, wantMemory}
	}
	*b = Bytes(v)
	return nil
}
