package node

import (
	"cmp"
	"errors"
	"time"

	"chutereach/codec"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/scheduler"
	"chutereach/workload"
)

// Paths of the calls between nodes.
const (
	beatPath     = "/v1/beat"
	pingPath     = "/v1/ping"
	takeoverPath = "/v1/takeover"
	submitPath   = "/v1/submit"
	cancelPath   = "/v1/cancel"
	statePath    = "/v1/state"
	pendingPath  = "/v1/pending"
	advisePath   = "/v1/advise"
	tablePath    = "/v1/table"
	ordersPath   = "/v1/orders"
)

// Member is a node as the others know it.
type Member struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // for the other nodes
	Hall    string `cbor:"3,keyasint"`
	// Power is what the machine has of a processor's core.
	Power float64 `cbor:"4,keyasint,omitempty"`
	// Link is what the machine's link takes in Mbit/s; 0: not known.
	Link float64 `cbor:"5,keyasint,omitempty"`
}

// compare orders members that fit, the best owner first.
func (m Member) compare(other Member) int {
	return cmp.Or(cmp.Compare(other.Power, m.Power), cmp.Compare(m.Node, other.Node))
}

// ownership is who owns the shard, as a node believes. Tokens order beliefs.
type ownership struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Token   uint64 `cbor:"3,keyasint"`
}

// beat is what an owner tells each node.
type beat struct {
	Owner        ownership `cbor:"1,keyasint"`
	TableVersion uint64    `cbor:"2,keyasint"`
	// TableAge is for how long the owner has had no word that its table is current.
	TableAge time.Duration `cbor:"5,keyasint,omitempty"`
	Members  []Member      `cbor:"3,keyasint,omitempty"` // empty: as last told
	// Next is after how long the next one comes; 0: beatEvery.
	Next time.Duration `cbor:"4,keyasint,omitempty"`
	// Relay is the address of the node from which the operator's orders are to be had; empty: from
	// the store. An owner that does not know yet who relays leaves it to each node to go on as before.
	Relay     string `cbor:"6,keyasint,omitempty"`
	Undecided bool   `cbor:"8,keyasint,omitempty"`
	// Relays is whether the node itself is to be a relay.
	Relays bool `cbor:"7,keyasint,omitempty"`
}

// beatAnswer is what a node tells the owner.
type beatAnswer struct {
	Owner        ownership     `cbor:"1,keyasint"` // whom the node follows now
	StoreOK      bool          `cbor:"2,keyasint"` // it has reached the store of late
	TableVersion uint64        `cbor:"3,keyasint"`
	Lag          time.Duration `cbor:"4,keyasint"`           // its mean lateness
	Members      int           `cbor:"5,keyasint"`           // how many it knows, itself included
	Relays       bool          `cbor:"6,keyasint,omitempty"` // it is a relay, and its orders are fresh
}

// ordersCall asks a relay for the operator's orders that are newer than the caller's.
type ordersCall struct {
	Table       uint64        `cbor:"1,keyasint"` // version of the caller's table of routes
	Evacuations uint64        `cbor:"2,keyasint"` // version of its view of evacuated data halls
	Halls       []string      `cbor:"3,keyasint,omitempty"`
	Wait        time.Duration `cbor:"4,keyasint"` // for how long the call may be held without news
}

// ordersAnswer is what a relay has from the store.
type ordersAnswer struct {
	TableVersion uint64    `cbor:"1,keyasint"`
	Table        codec.Raw `cbor:"2,keyasint,omitempty"` // only if it is newer than the caller's
	Evacuations  uint64    `cbor:"3,keyasint"`
	Halls        []string  `cbor:"4,keyasint,omitempty"`
	// Age is for how long, at the most, all of this may have been untrue when it was sent.
	Age time.Duration `cbor:"5,keyasint"`
	// Held is for how long the call was held.
	Held time.Duration `cbor:"6,keyasint"`
}

// pingAnswer tells whom a node follows, and whether it is the owner itself.
type pingAnswer struct {
	Owner ownership `cbor:"1,keyasint"`
	Owns  bool      `cbor:"2,keyasint"`
}

type takeoverCall struct {
	From  string `cbor:"1,keyasint"`
	Probe bool   `cbor:"2,keyasint,omitempty"` // only say whether it could be done
	// Look is how quickly the store must answer the successor; 0: quickLook.
	Look time.Duration `cbor:"3,keyasint,omitempty"`
}

type submitCall struct {
	ID     string          `cbor:"1,keyasint"`
	Record workload.Record `cbor:"2,keyasint"`
	Within time.Duration   `cbor:"3,keyasint"`
	Caller routing.Caller  `cbor:"4,keyasint"`
}

type jobCall struct {
	ID     string         `cbor:"1,keyasint"`
	Within time.Duration  `cbor:"2,keyasint"`
	Caller routing.Caller `cbor:"3,keyasint"`
}

type pendingCall struct {
	Queue  string         `cbor:"1,keyasint"`
	Caller routing.Caller `cbor:"2,keyasint"`
}

type adviseCall struct {
	Step    string        `cbor:"1,keyasint"`
	Workers []string      `cbor:"2,keyasint"`
	Within  time.Duration `cbor:"3,keyasint"`
}

type adviseAnswer struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"`
}

type nothing struct{}

// Codes of the failures that nodes tell each other.
const (
	codeNotOwner    peer.Code = "not-owner"
	codeOverloaded  peer.Code = "overloaded"
	codeUnknownJob  peer.Code = "no-such-job"
	codeUnconfirmed peer.Code = "unconfirmed"
	codeNoTable     peer.Code = "no-table"
	codeOverQuota   peer.Code = "over-quota"
	codeNoRoute     peer.Code = "no-route"
	codeKey         peer.Code = "key"
)

// NotOwnerError says that the node asked does not own the shard; nothing was
// done.
type NotOwnerError struct{}

func (e *NotOwnerError) Error() string { return "this node does not own the shard" }

// Code is how peers tell the error.
func (e *NotOwnerError) Code() peer.Code { return codeNotOwner }

// NoTableError says that a node has no table of routes yet.
type NoTableError struct{}

func (e *NoTableError) Error() string { return "this node has no configuration yet" }

// Code is how peers tell the error.
func (e *NoTableError) Code() peer.Code { return codeNoTable }

// coded is a scheduler's error with a code for peers.
type coded struct {
	error
	code peer.Code
}

func (c coded) Code() peer.Code { return c.code }

func (c coded) Unwrap() error { return c.error }

// encodeError gives a scheduler's error its code.
func encodeError(err error) error {
	var (
		overloaded  *scheduler.RejectedError
		notJob      *scheduler.UnknownJobError
		unconfirmed *scheduler.UnconfirmedError
		deposed     *scheduler.DeposedError
		overQuota   *scheduler.QuotaError
		noRoute     *routing.NoRouteError
		noKey       *routing.KeyError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &overQuota):
		return coded{err, codeOverQuota}
	case errors.As(err, &noRoute):
		return coded{err, codeNoRoute}
	case errors.As(err, &noKey):
		return coded{err, codeKey}
	case errors.As(err, &overloaded):
		return coded{err, codeOverloaded}
	case errors.As(err, &notJob):
		return coded{err, codeUnknownJob}
	case errors.As(err, &unconfirmed):
		return coded{err, codeUnconfirmed}
	case errors.As(err, &deposed):
		return &NotOwnerError{}
	}
	return err
}

// retryAfter is when a caller that was refused by another node may come again.
const retryAfter = time.Second

// decodeError turns a peer's failure back into the scheduler's error.
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
	case codeKey:
		return &routing.KeyError{Fault: routing.KeyUnknown}
	}
	return err
}
