package workload

import (
	"fmt"

	"chutereach/account"
	"chutereach/codec"
)

// State is what a caller is told of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state stays.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskProgress is what must last of a task that has begun and is not done.
type TaskProgress struct {
	Index      int    `cbor:"1,keyasint"`
	Attempt    int    `cbor:"2,keyasint,omitempty"` // the highest that was granted
	Failures   int    `cbor:"3,keyasint,omitempty"`
	Worker     string `cbor:"4,keyasint,omitempty"` // where the attempt may be; empty: nowhere
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// Born tells the worker's life from others under its id; 0: not known.
	Born int64 `cbor:"11,keyasint,omitempty"`
	// Address is where the worker is called, so that a successor need not wait for discovery. The
	// first task of the step on the worker has it.
	Address string `cbor:"12,keyasint,omitempty"`
	Crashes
}

// StepProgress is what must last of a step.
type StepProgress struct {
	Round int            `cbor:"1,keyasint,omitempty"`
	Step  int            `cbor:"2,keyasint,omitempty"`
	Done  []byte         `cbor:"3,keyasint,omitempty"` // a bit for each task; nil with AllDone
	All   bool           `cbor:"4,keyasint,omitempty"` // every task is done
	Tasks []TaskProgress `cbor:"5,keyasint,omitempty"`
}

// Progress is what must last of a job besides its request.
type Progress struct {
	State   State          `cbor:"1,keyasint"`
	Steps   []StepProgress `cbor:"2,keyasint,omitempty"`
	Begun   bool           `cbor:"3,keyasint,omitempty"` // a task has been started
	FinalAt int64          `cbor:"4,keyasint,omitempty"` // ms since 1970, when it became final
	// Generation counts the changes of the job; of two rows the higher is later.
	Generation uint64 `cbor:"6,keyasint,omitempty"`
	// Account names whose job it is, once it is final: its record goes then.
	Account string `cbor:"7,keyasint,omitempty"`
}

// SetBit marks a task in a bit set and returns it.
func SetBit(bits []byte, index int) []byte {
	for len(bits) <= index/8 {
		bits = append(bits, 0)
	}
	bits[index/8] |= 1 << (index % 8)
	return bits
}

// HasBit reports whether a task is marked.
func HasBit(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}

// Record is the row of an accepted job: what was asked, by which queue, when.
type Record struct {
	Request  Request `cbor:"1,keyasint"`
	Queue    Queue   `cbor:"2,keyasint"`
	Accepted int64   `cbor:"3,keyasint"` // ms since 1970
	// Account is whose job it is, on the terms of when it was accepted; they hold on if a
	// later configuration has no such account. Empty on a public route.
	Account account.Terms `cbor:"4,keyasint,omitempty"`
}

// RowError says that a row of a job cannot be read.
type RowError struct {
	Job   string
	Cause error
}

func (e *RowError) Error() string { return fmt.Sprintf("the row of job %s: %v", e.Job, e.Cause) }

func (e *RowError) Unwrap() error { return e.Cause }

// Encode writes a record as a row.
func (r Record) Encode() []byte { return codec.MustMarshal(r) }

// DecodeRecord reads a record's row.
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

// Encode writes progress as a row.
func (p Progress) Encode() []byte { return codec.MustMarshal(p) }

// DecodeProgress reads a row of progress.
func DecodeProgress(job string, value []byte) (Progress, error) {
	var progress Progress
	if err := codec.Unmarshal(value, &progress); err != nil {
		return Progress{}, &RowError{job, err}
	}
	return progress, nil
}
