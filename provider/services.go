package provider

import (
	"context"
	"time"

	"chutereach/resource"
)

// Objects is the platform's object store, for what is too large for a row.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// BoxState is what the platform says of a box.
type BoxState string

// The states of a box in the platform's list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is an entry of the platform's list of boxes, entry boxes and workers
// alike. The list lags behind reality.
type Box struct {
	Name  string   `json:"name" cbor:"1,keyasint"`
	State BoxState `json:"state" cbor:"2,keyasint"`
}

// BoxList is the platform's list of live and leaving boxes.
type BoxList interface {
	List(ctx context.Context) ([]Box, error)
}

// Worker describes a box that runs tasks.
type Worker struct {
	Name     string            `json:"name" cbor:"1,keyasint"`
	Hall     string            `json:"hall" cbor:"2,keyasint"`
	Rack     string            `json:"rack" cbor:"3,keyasint"`
	Capacity resource.Amount   `json:"capacity" cbor:"4,keyasint"`
	Labels   map[string]string `json:"labels,omitempty" cbor:"5,keyasint,omitempty"`
	Taints   []string          `json:"taints,omitempty" cbor:"6,keyasint,omitempty"`
}

// Phase is what a worker says of an attempt.
type Phase string

// The phases of an attempt on a worker.
const (
	PhaseRunning Phase = "running"
	PhaseEnded   Phase = "ended"   // it ran to its end, well or badly
	PhaseStopped Phase = "stopped" // it was stopped, or its lease lapsed
)

// AttemptState is what a worker knows of one attempt.
type AttemptState struct {
	Attempt    string    `cbor:"1,keyasint"`
	Phase      Phase     `cbor:"2,keyasint"`
	Until      time.Time `cbor:"3,keyasint"` // lease
	OK         bool      `cbor:"4,keyasint,omitempty"`
	Result     []byte    `cbor:"5,keyasint,omitempty"`
	Endpoint   string    `cbor:"6,keyasint,omitempty"` // host:port where a service listens
	Checkpoint string    `cbor:"7,keyasint,omitempty"` // object that a later attempt can resume from
}

// Report is what a worker says of itself.
type Report struct {
	Boot     string          `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"` // grows whenever an attempt changes phase
	Attempts []AttemptState  `cbor:"3,keyasint,omitempty"`
	Usage    resource.Amount `cbor:"4,keyasint"` // lags; never proof that capacity is free
}

// StartCall asks a worker to start an attempt. A worker that knows the attempt
// already answers with its state and does not start it again.
type StartCall struct {
	Attempt    string            `cbor:"1,keyasint"`
	Boot       string            `cbor:"2,keyasint"` // refused by any other boot
	Expires    time.Time         `cbor:"3,keyasint"` // ignored later than this
	Until      time.Time         `cbor:"4,keyasint"` // first lease
	Need       resource.Amount   `cbor:"5,keyasint"`
	Command    string            `cbor:"6,keyasint"`
	Params     map[string]string `cbor:"7,keyasint,omitempty"`
	Checkpoint string            `cbor:"8,keyasint,omitempty"`
}

// Lease extends one attempt's lease. A worker never shortens one.
type Lease struct {
	Attempt string    `cbor:"1,keyasint"`
	Until   time.Time `cbor:"2,keyasint"`
}

// RenewCall extends leases and waits for news: the answer comes when the
// worker's Seq is past Seen, or after Wait.
type RenewCall struct {
	Boot    string        `cbor:"1,keyasint"`
	Expires time.Time     `cbor:"2,keyasint"`
	Leases  []Lease       `cbor:"3,keyasint,omitempty"`
	Forget  []string      `cbor:"4,keyasint,omitempty"` // ended attempts whose end is recorded
	Seen    uint64        `cbor:"5,keyasint"`
	Wait    time.Duration `cbor:"6,keyasint"`
}

// AttemptCall names an attempt to stop, checkpoint or throttle.
type AttemptCall struct {
	Attempt string    `cbor:"1,keyasint"`
	Boot    string    `cbor:"2,keyasint"`
	Expires time.Time `cbor:"3,keyasint"`
	// Percent of its processors that a throttled attempt keeps; 100 undoes it.
	Percent int `cbor:"4,keyasint,omitempty"`
}

// Workers reaches the boxes that run tasks. Besides the errors of every
// service, a call to a worker may return a RefusedError.
type Workers interface {
	// Fleet lists the workers that the platform has.
	Fleet(ctx context.Context) ([]Worker, error)
	// List reads what a worker runs.
	List(ctx context.Context, worker string) (Report, error)
	Start(ctx context.Context, worker string, c StartCall) (AttemptState, error)
	Renew(ctx context.Context, worker string, c RenewCall) (Report, error)
	// Stop ends an attempt; its answer confirms that the attempt runs no more.
	Stop(ctx context.Context, worker string, c AttemptCall) (AttemptState, error)
	// Checkpoint saves an attempt's work and ends it.
	Checkpoint(ctx context.Context, worker string, c AttemptCall) (AttemptState, error)
	Throttle(ctx context.Context, worker string, c AttemptCall) (AttemptState, error)
}

// Platform is everything that chutereach asks of the platform.
type Platform struct {
	Table   Table
	Objects Objects
	Boxes   BoxList
	Workers Workers
}
