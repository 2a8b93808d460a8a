package workload

import (
	"fmt"
	"slices"
	"time"

	"chutereach/resource"
)

// Limits on a request.
const (
	MaxSpecBytes     = 4000
	MaxSteps         = 64
	MaxTasksPerRound = 4096
	MaxRounds        = 10_000
	// MaxIndefiniteRounds bounds the rounds of a request whose tasks run indefinitely, as all of them will be open at
	// the same time.
	MaxIndefiniteRounds = 4096
	// MaxTextBytes bounds the texts of a request together, so that its record fits into a row.
	MaxTextBytes = 32 << 10
)

// Step is a set of identical tasks.
type Step struct {
	Count         int             `cbor:"1,keyasint"`
	Need          resource.Amount `cbor:"2,keyasint"`
	Estimate      time.Duration   `cbor:"3,keyasint,omitempty"` // approximate run time of one task
	DependsOn     []int           `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must complete first
	Checkpoints   bool            `cbor:"5,keyasint,omitempty"`
	Gang          bool            `cbor:"6,keyasint,omitempty"` // all tasks run concurrently or not at all
	SameRack      bool            `cbor:"7,keyasint,omitempty"`
	RequiredLabel string          `cbor:"8,keyasint,omitempty"`  // label required of the worker
	PreferredRack string          `cbor:"9,keyasint,omitempty"`  // rack that holds the input data
	MaxPerWorker  int             `cbor:"10,keyasint,omitempty"` // maximum number of tasks per worker; 0: unlimited
	Speculative   bool            `cbor:"11,keyasint,omitempty"` // copies of a task may run concurrently
	LongRunning   bool            `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image         string          `cbor:"13,keyasint,omitempty"`
	BestEffortCPU bool            `cbor:"14,keyasint,omitempty"` // reserves no CPU and uses what is idle
	MayMiss       int             `cbor:"15,keyasint,omitempty"`
	TargetMS      int64           `cbor:"16,keyasint,omitempty"`
}

// Request is the immutable specification of a job as submitted by a client.
type Request struct {
	Spec     string        `cbor:"1,keyasint"`
	Steps    []Step        `cbor:"2,keyasint"`
	Rounds   int           `cbor:"3,keyasint,omitempty"` // number of scheduled runs of the steps; 0: one unscheduled run
	FirstDue int64         `cbor:"4,keyasint,omitempty"` // start time of round 0, in Unix milliseconds
	Interval time.Duration `cbor:"5,keyasint,omitempty"` // between the starts of rounds
}

// InvalidError reports an invalid field of a request.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Check returns an InvalidError if the request is invalid.
func (r Request) Check() error {
	switch {
	case len(r.Spec) > MaxSpecBytes:
		return &InvalidError{"spec", fmt.Sprintf("longer than %d bytes", MaxSpecBytes)}
	case len(r.Steps) == 0 || len(r.Steps) > MaxSteps:
		return &InvalidError{"steps", fmt.Sprintf("there must be 1 to %d", MaxSteps)}
	case r.Rounds < 0 || r.Rounds > MaxRounds:
		return &InvalidError{"rounds", fmt.Sprintf("must be 0 to %d", MaxRounds)}
	case r.Interval < 0:
		return &InvalidError{"interval", "must not be negative"}
	}
	for i, step := range r.Steps {
		if err := step.check(i); err != nil {
			return err
		}
	}
	if r.TasksPerRound() > MaxTasksPerRound {
		return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", MaxTasksPerRound)}
	}
	return nil
}

// CheckSize returns an InvalidError if the record or the progress of the request may not fit into a row. Stored records
// are not checked: earlier builds had no such limits.
func (r Request) CheckSize() error {
	switch {
	case r.TextBytes() > MaxTextBytes:
		return &InvalidError{"steps", fmt.Sprintf("texts of more than %d bytes", MaxTextBytes)}
	case r.RunsIndefinitely() && r.RoundCount() > MaxIndefiniteRounds:
		return &InvalidError{"rounds", fmt.Sprintf("more than %d of tasks that run indefinitely", MaxIndefiniteRounds)}
	}
	return nil
}

func (s Step) check(index int) error {
	qualified := func(field string) string { return fmt.Sprintf("step %d: %s", index, field) }
	switch {
	case s.Count < 1:
		return &InvalidError{qualified("count"), "must be at least 1"}
	case !s.Need.Valid():
		return &InvalidError{qualified("need"), "must not be negative"}
	case s.Estimate < 0 || s.MaxPerWorker < 0 || s.MayMiss < 0 || s.TargetMS < 0:
		return &InvalidError{qualified("numbers"), "must not be negative"}
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return &InvalidError{qualified("after"), "must name earlier steps"}
		}
	}
	return nil
}

// TasksPerRound returns the number of tasks of all steps.
func (r Request) TasksPerRound() int {
	tasks := 0
	for _, step := range r.Steps {
		tasks += min(step.Count, MaxTasksPerRound+1) // the sum does not overflow
	}
	return tasks
}

// TextBytes returns the length of all texts of the request.
func (r Request) TextBytes() int {
	size := len(r.Spec)
	for _, step := range r.Steps {
		size += len(step.RequiredLabel) + len(step.PreferredRack) + len(step.Image)
	}
	return size
}

// RoundCount returns the number of rounds, which is at least 1.
func (r Request) RoundCount() int { return max(1, r.Rounds) }

// RunsIndefinitely reports whether a step has tasks that run until the job is cancelled.
func (r Request) RunsIndefinitely() bool {
	return slices.ContainsFunc(r.Steps, func(s Step) bool { return s.LongRunning })
}

// Scheduled reports whether rounds have scheduled start times.
func (r Request) Scheduled() bool { return r.Rounds > 0 }

// Due returns the earliest start time of a round in Unix milliseconds, or 0 if it has none.
func (r Request) Due(round int) int64 {
	if !r.Scheduled() {
		return 0
	}
	return r.FirstDue + int64(round)*r.Interval.Milliseconds()
}

// CriticalPath returns the length of the critical path: the largest sum of estimates along a chain
// of dependent steps. Steps for which done returns true count as zero; done may be nil.
func (r Request) CriticalPath(done func(step int) bool) time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(r.Steps))
	for i, step := range r.Steps {
		start := time.Duration(0)
		for _, dependency := range step.DependsOn {
			start = max(start, finish[dependency])
		}
		finish[i] = start
		if done == nil || !done(i) {
			finish[i] += step.Estimate
		}
		longest = max(longest, finish[i])
	}
	return longest
}
