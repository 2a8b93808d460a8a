package workload

import (
	"fmt"
	"slices"

	"chutereach/account"
	"chutereach/codec"
	"chutereach/sizeclass"
)

// State is the state of a job as reported to clients.
type State string

const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s is a terminal state.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskProgress is the persistent state of a task that has started and is not done.
type TaskProgress struct {
	Index      int    `cbor:"1,keyasint"`
	Attempt    int    `cbor:"2,keyasint,omitempty"` // number of the latest granted attempt
	Failures   int    `cbor:"3,keyasint,omitempty"` // len(FailedAttempts); all that earlier builds store
	Worker     string `cbor:"4,keyasint,omitempty"` // worker that may hold the attempt, or empty
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// StartTime distinguishes incarnations of a worker that reuse its ID; 0 if unknown.
	StartTime int64 `cbor:"11,keyasint,omitempty"`
	// Address is the address of the worker, which lets a new owner contact it before discovery
	// has listed it. It is set only on the first task of the step on each worker.
	Address string `cbor:"12,keyasint,omitempty"`
	// FailedAttempts is set only on the first task of a gang, whose tasks share it.
	FailedAttempts FailedAttempts `cbor:"13,keyasint,omitempty"`
	CrashHistory
}

// StepProgress is the persistent state of a step.
type StepProgress struct {
	Round   int            `cbor:"1,keyasint,omitempty"`
	Step    int            `cbor:"2,keyasint,omitempty"`
	Done    []byte         `cbor:"3,keyasint,omitempty"` // bit set of completed tasks; nil if all are done
	AllDone bool           `cbor:"4,keyasint,omitempty"` // all tasks are done
	Tasks   []TaskProgress `cbor:"5,keyasint,omitempty"`
}

// Progress is the persistent state of a job apart from its request.
type Progress struct {
	State   State          `cbor:"1,keyasint"`
	Steps   []StepProgress `cbor:"2,keyasint,omitempty"`
	Started bool           `cbor:"3,keyasint,omitempty"` // at least one task has been started
	FinalAt int64          `cbor:"4,keyasint,omitempty"` // when the state became final, in Unix milliseconds of the owner's clock
	// Generation increases with each change to the job; the row with the highest value is current.
	Generation uint64 `cbor:"6,keyasint,omitempty"`
	// Account is the name of the owning account. It is set once the state is final, because the
	// Record is deleted then.
	Account string `cbor:"7,keyasint,omitempty"`
	// FinalAtStoreMS is when the state became final by the store's clock; 0 if unknown. Earlier builds have only
	// FinalAt, and clocks of different owners may differ by any time.
	FinalAtStoreMS int64 `cbor:"8,keyasint,omitempty"`
	// Rounds is set if the row does not list each step that has begun: the tasks of open rounds are in rows of
	// their own (Part), and the other rounds before Rounds.Opened are done. Steps is empty then.
	Rounds *OpenRounds `cbor:"9,keyasint,omitempty"`
}

// OpenRounds lists the rounds of a job that have begun and are not done.
type OpenRounds struct {
	Opened int         `cbor:"1,keyasint,omitempty"` // rounds that have begun, the first ones
	Open   []OpenRound `cbor:"2,keyasint,omitempty"` // those of them that are not done, in ascending order
}

// OpenRound is a round that has begun and is not done.
type OpenRound struct {
	Number    int    `cbor:"1,keyasint,omitempty"`
	DoneSteps uint64 `cbor:"2,keyasint,omitempty"` // bit set of the steps that are done
}

// Part is the persistent state of some consecutive tasks of a step whose job has Progress.Rounds.
type Part struct {
	Step StepProgress `cbor:"1,keyasint"`
	// AcceptedAt is the Record's, which tells jobs apart that use one ID after the other.
	AcceptedAt int64 `cbor:"2,keyasint,omitempty"`
}

// PartTasks is the number of tasks in a Part. A task takes at most 1,900 bytes there, by the limits below and
// those of the names of rows, so that a part fits into a row.
const PartTasks = 32

// Limits of a task's state in a row.
const (
	MaxCheckpointBytes  = 1024
	maxStoredAddress    = 64 // bytes
	maxStoredFailures   = 16 // the latest; the others are only counted
	maxStoredUnresolved = 2  // lost workers, the latest
)

// Bounded returns the task's state with what a row cannot hold left out.
func (t TaskProgress) Bounded() TaskProgress {
	if len(t.Address) > maxStoredAddress {
		t.Address = ""
	}
	t.FailedAttempts = t.FailedAttempts[max(0, len(t.FailedAttempts)-maxStoredFailures):]
	if len(t.Unresolved) > maxStoredUnresolved {
		// Those whose loss may count against the task matter more than the others.
		suspicious := slices.DeleteFunc(slices.Clone(t.Unresolved), func(lost LostWorker) bool { return !lost.Suspicious() })
		t.Unresolved = suspicious[max(0, len(suspicious)-maxStoredUnresolved):]
	}
	return t
}

// SetBit returns bits with the bit at index set, grown if necessary.
func SetBit(bits []byte, index int) []byte {
	for len(bits) <= index/8 {
		bits = append(bits, 0)
	}
	bits[index/8] |= 1 << (index % 8)
	return bits
}

// HasBit reports whether the bit at index is set.
func HasBit(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}

// Record is the stored row of an accepted job.
type Record struct {
	Request    Request `cbor:"1,keyasint"`
	Queue      Queue   `cbor:"2,keyasint"`
	AcceptedAt int64   `cbor:"3,keyasint"` // in Unix milliseconds
	// Account holds the terms of the owning account at the time of acceptance. They remain in
	// force if a later configuration removes the account. Empty for a job without an account.
	Account account.Terms `cbor:"4,keyasint,omitempty"`
	// Size is the class of the job among those of its queue at the time of acceptance. Later owners do not
	// know the other jobs.
	Size sizeclass.Class `cbor:"5,keyasint,omitempty"`
}

// RowError reports a stored row of a job that cannot be decoded.
type RowError struct {
	Job   string
	Cause error
}

func (e *RowError) Error() string {
	return fmt.Sprintf("invalid stored row of job %s: %v", e.Job, e.Cause)
}

func (e *RowError) Unwrap() error { return e.Cause }

// Encode returns the row encoding of r.
func (r Record) Encode() []byte { return codec.MustMarshal(r) }

// DecodeRecord decodes and validates the record of a job. It returns a RowError if either fails.
func DecodeRecord(job string, value []byte) (Record, error) {
	var record Record
	if err := codec.Unmarshal(value, &record); err != nil {
		return Record{}, &RowError{job, err}
	}
	if err := record.Request.Check(); err != nil {
		return Record{}, &RowError{job, err}
	}
	return record, nil
}

// partedRow is the encoding of a Progress with Rounds. Builds that do not know parts cannot decode it, and therefore
// leave the job alone: by the rest of the row, they would start tasks again that the parts show as done.
type partedRow struct {
	Format   int      `cbor:"1,keyasint"`
	Progress Progress `cbor:"2,keyasint"`
}

const partedFormat = 2

// Encode returns the row encoding of p.
func (p Progress) Encode() []byte {
	if p.Rounds != nil {
		return codec.MustMarshal(partedRow{partedFormat, p})
	}
	return codec.MustMarshal(p)
}

// DecodeProgress decodes the progress of a job. It returns a RowError on failure.
func DecodeProgress(job string, value []byte) (Progress, error) {
	var progress Progress
	err := codec.Unmarshal(value, &progress)
	if err == nil {
		return progress, nil
	}
	var parted partedRow
	if codec.Unmarshal(value, &parted) == nil && parted.Format == partedFormat && parted.Progress.Rounds != nil {
		return parted.Progress, nil
	}
	return Progress{}, &RowError{job, err}
}

// Encode returns the row encoding of p.
func (p Part) Encode() []byte { return codec.MustMarshal(p) }

// DecodePart decodes a part of the progress of a job. It returns a RowError on failure.
func DecodePart(job string, value []byte) (Part, error) {
	var part Part
	if err := codec.Unmarshal(value, &part); err != nil {
		return Part{}, &RowError{job, err}
	}
	return part, nil
}
