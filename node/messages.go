package node

import (
	"cmp"
	"errors"
	"time"

	"chutereach/codec"
	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/scheduler"
	"chutereach/workload"
)

// Paths of the calls between nodes.
const (
	heartbeatPath = "/v1/beat"
	pingPath      = "/v1/ping"
	takeoverPath  = "/v1/takeover"
	submitPath    = "/v1/submit"
	cancelPath    = "/v1/cancel"
	statePath     = "/v1/state"
	pendingPath   = "/v1/pending"
	absentPath    = "/v1/absent"
	advisePath    = "/v1/advise"
	tablePath     = "/v1/table"
	ordersPath    = "/v1/orders"
)

// Member describes a node to the other nodes.
type Member struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // for calls from other nodes
	Hall    string `cbor:"3,keyasint"`
	// Cores is the share of a CPU core that the machine has.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s; 0: unknown.
	LinkMbps float64 `cbor:"5,keyasint,omitempty"`
	// MemoryMiB is the memory of the machine; 0: unknown.
	MemoryMiB int `cbor:"6,keyasint,omitempty"`
	// Departure is set in the row of a node whose process has been told to stop.
	Departure departure `cbor:"7,keyasint,omitempty"`
	// SilentSince is set in the row of a node that has not answered an owner since a time of the store's clock, until it
	// answers one.
	SilentSince time.Duration `cbor:"8,keyasint,omitempty"`
}

// compare orders members by preference as owner, the most preferred first.
func (m Member) compare(other Member) int {
	return cmp.Or(cmp.Compare(other.Cores, m.Cores), cmp.Compare(m.Node, other.Node))
}

// ownership names the owner of the shard as known to a node. A higher token is more recent.
type ownership struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Token   uint64 `cbor:"3,keyasint"`
}

// heartbeat is an owner's heartbeat to one node.
type heartbeat struct {
	Owner        ownership `cbor:"1,keyasint"`
	TableVersion uint64    `cbor:"2,keyasint"`
	// TableAge is the time since the owner's table of routes was last confirmed as current.
	TableAge time.Duration `cbor:"5,keyasint,omitempty"`
	Members  []Member      `cbor:"3,keyasint,omitempty"` // empty: unchanged since the last heartbeat that listed them
	// NextIn is the time until the next heartbeat; 0: heartbeatInterval.
	NextIn time.Duration `cbor:"4,keyasint,omitempty"`
	// Relay is the address of the relay from which the node gets the operator's orders; empty: it
	// reads the store. If RelayUndecided is set, the owner has not chosen relays yet and the node keeps
	// its current one.
	Relay          string `cbor:"6,keyasint,omitempty"`
	RelayUndecided bool   `cbor:"8,keyasint,omitempty"`
	// IsRelay reports whether the node itself is assigned as a relay.
	IsRelay bool `cbor:"7,keyasint,omitempty"`
}

// heartbeatResponse is a node's reply to a heartbeat.
type heartbeatResponse struct {
	Owner        ownership     `cbor:"1,keyasint"` // as known to the node
	StoreOK      bool          `cbor:"2,keyasint"` // it has reached the store recently
	TableVersion uint64        `cbor:"3,keyasint"`
	Lag          time.Duration `cbor:"4,keyasint"`           // mean lateness of its timers
	Members      int           `cbor:"5,keyasint"`           // number of members it knows, including itself
	RelayReady   bool          `cbor:"6,keyasint,omitempty"` // it is a relay with fresh orders
}

// ordersRequest requests the operator's orders from a relay. The relay may hold the request until it
// has newer orders than the caller.
type ordersRequest struct {
	TableVersion      uint64        `cbor:"1,keyasint"` // version of the caller's table of routes
	EvacuationVersion uint64        `cbor:"2,keyasint"` // version of the caller's view of evacuated data halls
	Halls             []string      `cbor:"3,keyasint,omitempty"`
	Wait              time.Duration `cbor:"4,keyasint"` // maximum time to hold the request if there are no newer orders
}

// ordersResponse contains the operator's orders as known to a relay.
type ordersResponse struct {
	TableVersion      uint64    `cbor:"1,keyasint"`
	Table             codec.Raw `cbor:"2,keyasint,omitempty"` // only if newer than the caller's
	EvacuationVersion uint64    `cbor:"3,keyasint"`
	Halls             []string  `cbor:"4,keyasint,omitempty"`
	// Age is an upper bound of the age of the orders when the response was sent.
	Age time.Duration `cbor:"5,keyasint"`
	// HeldFor is how long the relay held the request.
	HeldFor time.Duration `cbor:"6,keyasint"`
}

// pingResponse names the owner known to a node and reports whether the node itself is the owner.
type pingResponse struct {
	Owner   ownership `cbor:"1,keyasint"`
	IsOwner bool      `cbor:"2,keyasint"`
	// UpFor is how long the node's process has been up and its row been in the store, including time during which its
	// machine was suspended. It is negative if the node confirms nothing.
	UpFor time.Duration `cbor:"3,keyasint,omitempty"`
}

type takeoverRequest struct {
	From  string `cbor:"1,keyasint"`
	Probe bool   `cbor:"2,keyasint,omitempty"` // only check whether a takeover is possible
	// StoreTimeout is the time within which the store must answer the successor; 0: storeProbeTimeout.
	StoreTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// Release is the caller's release of its leases. Earlier builds send none.
	Release leadership.Release `cbor:"4,keyasint,omitempty"`
}

type submitRequest struct {
	ID      string          `cbor:"1,keyasint"`
	Record  workload.Record `cbor:"2,keyasint"`
	Timeout time.Duration   `cbor:"3,keyasint"`
	Caller  routing.Caller  `cbor:"4,keyasint"`
}

// jobRequest is a call about a job. The Caller of a call to absentPath is zero, as that call is not made for an account.
type jobRequest struct {
	ID      string         `cbor:"1,keyasint"`
	Timeout time.Duration  `cbor:"2,keyasint"`
	Caller  routing.Caller `cbor:"3,keyasint"`
}

type pendingRequest struct {
	Queue  string         `cbor:"1,keyasint"`
	Caller routing.Caller `cbor:"2,keyasint"`
}

type adviseRequest struct {
	Step    string        `cbor:"1,keyasint"`
	Workers []string      `cbor:"2,keyasint"`
	Timeout time.Duration `cbor:"3,keyasint"`
}

type adviseResponse struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"`
}

type empty struct{}

// Error codes in calls between nodes.
const (
	codeNotOwner    peer.Code = "not-owner"
	codeOverloaded  peer.Code = "overloaded"
	codeUnknownJob  peer.Code = "no-such-job"
	codeUnconfirmed peer.Code = "unconfirmed"
	codeNoTable     peer.Code = "no-table"
	codeOverQuota   peer.Code = "over-quota"
	codeNoRoute     peer.Code = "no-route"
	codeKey         peer.Code = "key"
	// codeNotCarriedOut is passed on by older builds as an error of unknown kind, which says as little.
	codeNotCarriedOut peer.Code = "not-carried-out"
)

// NotOwnerError reports that the called node does not own the shard. The call was not carried out.
type NotOwnerError struct{}

func (e *NotOwnerError) Error() string { return "this node does not own the shard" }

func (e *NotOwnerError) Code() peer.Code { return codeNotOwner }

// NoTableError reports that a node has no table of routes yet.
type NoTableError struct{}

func (e *NoTableError) Error() string { return "this node has no configuration yet" }

func (e *NoTableError) Code() peer.Code { return codeNoTable }

// codedError is a scheduler's error with its code for peers.
type codedError struct {
	error
	code peer.Code
}

func (c codedError) Code() peer.Code { return c.code }

func (c codedError) Unwrap() error { return c.error }

// encodeError adds the code for peers to a scheduler's error.
func encodeError(err error) error {
	var (
		overloaded  *scheduler.RejectedError
		notJob      *scheduler.UnknownJobError
		unconfirmed *scheduler.UnconfirmedError
		deposed     *scheduler.DeposedError
		overQuota   *scheduler.QuotaError
		noRoute     *routing.NoRouteError
		noKey       *routing.KeyError
		undone      *scheduler.NotCarriedOutError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &undone):
		return codedError{err, codeNotCarriedOut}
	case errors.As(err, &overQuota):
		return codedError{err, codeOverQuota}
	case errors.As(err, &noRoute):
		return codedError{err, codeNoRoute}
	case errors.As(err, &noKey):
		return codedError{err, codeKey}
	case errors.As(err, &overloaded):
		return codedError{err, codeOverloaded}
	case errors.As(err, &notJob):
		return codedError{err, codeUnknownJob}
	case errors.As(err, &unconfirmed):
		return codedError{err, codeUnconfirmed}
	case errors.As(err, &deposed):
		return &NotOwnerError{}
	}
	return err
}

// retryAfter is the delay that callers are told to wait after another node refused a call.
const retryAfter = time.Second

// decodeError converts a peer's failure back to the scheduler's error.
func decodeError(id string, err error) error {
	var failure *peer.Failure
	if !errors.As(err, &failure) {
		return err
	}
	switch failure.Code {
	case codeOverloaded:
		return &scheduler.RejectedError{Reason: failure.Message, RetryAfter: retryAfter}
	case codeUnknownJob:
		return &scheduler.UnknownJobError{ID: id}
	case codeUnconfirmed:
		return &scheduler.UnconfirmedError{Cause: failure}
	case codeNotOwner:
		return &NotOwnerError{}
	case codeOverQuota:
		return &scheduler.QuotaError{Why: failure.Message}
	case codeNoRoute:
		return &routing.NoRouteError{}
	case codeNotCarriedOut:
		return &scheduler.NotCarriedOutError{Reason: failure.Message}
	case codeKey:
		return &routing.KeyError{Fault: routing.KeyUnknown}
	}
	return err
}
