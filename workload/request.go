package workload

import (
	"fmt"
	"time"

	"chutereach/resource"
)

// Bounds of what a request may hold.
const (
	MaxSpec  = 4000
	MaxSteps = 64
	MaxTasks = 4096 // of one round
	MaxRound = 10_000
)

// Step is a set of alike tasks.
type Step struct {
	Count       int             `cbor:"1,keyasint"`
	Need        resource.Amount `cbor:"2,keyasint"`
	Estimate    time.Duration   `cbor:"3,keyasint,omitempty"` // of one task's work; rough
	After       []int           `cbor:"4,keyasint,omitempty"` // earlier steps that must be done
	Checkpoints bool            `cbor:"5,keyasint,omitempty"`
	Gang        bool            `cbor:"6,keyasint,omitempty"` // all tasks run together or not at all
	SameRack    bool            `cbor:"7,keyasint,omitempty"`
	Label       string          `cbor:"8,keyasint,omitempty"`  // that the worker must have
	NearRack    string          `cbor:"9,keyasint,omitempty"`  // that holds the data
	PerWorker   int             `cbor:"10,keyasint,omitempty"` // most tasks on one worker; 0: any
	Speculative bool            `cbor:"11,keyasint,omitempty"` // copies may run beside each other
	Lasting     bool            `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image       string          `cbor:"13,keyasint,omitempty"`
	Fills       bool            `cbor:"14,keyasint,omitempty"` // takes only what others leave of the processors
	MayMiss     int             `cbor:"15,keyasint,omitempty"`
	TargetMS    int64           `cbor:"16,keyasint,omitempty"`
}

// Request is what a caller asks for. It never changes.
type Request struct {
	Spec     string        `cbor:"1,keyasint"`
	Steps    []Step        `cbor:"2,keyasint"`
	Rounds   int           `cbor:"3,keyasint,omitempty"` // how often the steps run; 0: once, at once
	First    int64         `cbor:"4,keyasint,omitempty"` // when round 0 is due, in ms since 1970
	Interval time.Duration `cbor:"5,keyasint,omitempty"` // between rounds
}

// InvalidError says which field of a request is wrong.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Check returns an InvalidError if the request cannot be taken.
func (r Request) Check() error {
	switch {
	case len(r.Spec) > MaxSpec:
		return &InvalidError{"spec", fmt.Sprintf("longer than %d bytes", MaxSpec)}
	case len(r.Steps) == 0 || len(r.Steps) > MaxSteps:
		return &InvalidError{"steps", fmt.Sprintf("there must be 1 to %d", MaxSteps)}
	case r.Rounds < 0 || r.Rounds > MaxRound:
		return &InvalidError{"rounds", fmt.Sprintf("must be 0 to %d", MaxRound)}
	case r.Interval < 0:
		return &InvalidError{"interval", "must not be negative"}
	}
	tasks := 0
	for i, step := range r.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Count
	}
	if tasks > MaxTasks {
		return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	return nil
}

func (s Step) check(index int) error {
	name := func(field string) string { return fmt.Sprintf("step %d: %s", index, field) }
	switch {
	case s.Count < 1:
		return &InvalidError{name("count"), "must be at least 1"}
	case !s.Need.Valid():
		return &InvalidError{name("need"), "must not be negative"}
	case s.Estimate < 0 || s.PerWorker < 0 || s.MayMiss < 0 || s.TargetMS < 0:
		return &InvalidError{name("numbers"), "must not be negative"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return &InvalidError{name("after"), "must name earlier steps"}
		}
	}
	return nil
}

// RoundCount returns how often the steps run, at least once.
func (r Request) RoundCount() int { return max(1, r.Rounds) }

// Timed reports whether rounds have times of their own.
func (r Request) Timed() bool { return r.Rounds > 0 }

// Due returns when a round may begin, in ms since 1970; 0 means at once.
func (r Request) Due(round int) int64 {
	if !r.Timed() {
		return 0
	}
	return r.First + int64(round)*r.Interval.Milliseconds()
}

// Chain returns the longest chain of estimated work through the steps that are
// not yet done, as done reports them.
func (r Request) Chain(done func(step int) bool) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(r.Steps))
	for i, step := range r.Steps {
		begin := time.Duration(0)
		for _, earlier := range step.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin
		if done == nil || !done(i) {
			ends[i] += step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
