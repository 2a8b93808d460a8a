package provider

import (
	"context"
	"time"

	"chutereach/resource"
)

// Objects is the platform's object store, for values too large for a row.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// BoxState is the state of a box in the platform's list.
type BoxState string

// States of a box.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is an entry of the platform's list of boxes, which includes entry boxes and
// workers. The list may be out of date.
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

// Phase is the phase of an attempt, as its worker reports it.
type Phase string

// Phases of an attempt.
const (
	PhaseRunning Phase = "running"
	PhaseEnded   Phase = "ended"   // it ran to completion or failed
	PhaseStopped Phase = "stopped" // it was stopped, or its lease expired
)

// AttemptState is the state of one attempt, as its worker reports it.
type AttemptState struct {
	Attempt    string    `cbor:"1,keyasint"`
	Phase      Phase     `cbor:"2,keyasint"`
	Until      time.Time `cbor:"3,keyasint"` // expiry of the lease
	OK         bool      `cbor:"4,keyasint,omitempty"`
	Result     []byte    `cbor:"5,keyasint,omitempty"`
	Endpoint   string    `cbor:"6,keyasint,omitempty"` // host:port where a service listens
	Checkpoint string    `cbor:"7,keyasint,omitempty"` // object that a later attempt can resume from
}

// Report is the state of a worker, as it reports it.
type Report struct {
	Boot     string          `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"` // increases when an attempt changes phase
	Attempts []AttemptState  `cbor:"3,keyasint,omitempty"`
	Usage    resource.Amount `cbor:"4,keyasint"` // may be out of date; no proof of free capacity
}

// StartCall starts an attempt on a worker. If the worker already has the attempt, it
// returns the attempt's state and does not start it again.
type StartCall struct {
	Attempt    string            `cbor:"1,keyasint"`
	Boot       string            `cbor:"2,keyasint"` // refused if the worker has another boot ID
	Expires    time.Time         `cbor:"3,keyasint"` // refused after this time
	Until      time.Time         `cbor:"4,keyasint"` // expiry of the first lease
	Need       resource.Amount   `cbor:"5,keyasint"`
	Command    string            `cbor:"6,keyasint"`
	Params     map[string]string `cbor:"7,keyasint,omitempty"`
	Checkpoint string            `cbor:"8,keyasint,omitempty"`
}

// Lease extends the lease of one attempt. A worker never shortens a lease.
type Lease struct {
	Attempt string    `cbor:"1,keyasint"`
	Until   time.Time `cbor:"2,keyasint"`
}

// RenewCall extends leases and waits for changes: the worker responds when its Seq
// exceeds Seen, or after Wait.
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
	// Percent is the share of its processors that a throttled attempt keeps; 100 ends
	// the throttling.
	Percent int `cbor:"4,keyasint,omitempty"`
}

// Workers calls the boxes that run tasks. Besides the errors common to all
// services, a call to a worker may return a RefusedError.
type Workers interface {
	// Fleet returns the workers of the platform.
	Fleet(ctx context.Context) ([]Worker, error)
	// List returns a worker's report with its attempts.
	List(ctx context.Context, worker string) (Report, error)
	Start(ctx context.Context, worker string, c StartCall) (AttemptState, error)
	Renew(ctx context.Context, worker string, c RenewCall) (Report, error)
	// Stop stops an attempt. Success confirms that the attempt no longer runs.
	Stop(ctx context.Context, worker string, c AttemptCall) (AttemptState, error)
	// Checkpoint saves the state of an attempt and stops it.
	Checkpoint(ctx context.Context, worker string, c AttemptCall) (AttemptState, error)
	Throttle(ctx context.Context, worker string, c AttemptCall) (AttemptState, error)
}

// Platform groups the services of the platform.
type Platform struct {
	Table   Table
	Objects Objects
	Boxes   BoxList
	Workers Workers
}
