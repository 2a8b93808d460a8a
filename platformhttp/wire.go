// Package platformhttp speaks to the platform over HTTP with CBOR bodies. The
// platform publishes no wire format yet; this one is the project's own, for its
// stand-in, and is the only place to change when the platform's is known.
package platformhttp

import (
	"errors"
	"time"

	"chutereach/provider"
)

// maxBody bounds what is read of a request or an answer.
const maxBody = 64 << 20

// Paths of the operations.
const (
	pathGet        = "/table/get"
	pathRange      = "/table/range"
	pathCommit     = "/table/commit"
	pathObjectPut  = "/objects/put"
	pathObjectGet  = "/objects/get"
	pathObjectDel  = "/objects/delete"
	pathBoxes      = "/boxes/list"
	pathFleet      = "/workers/fleet"
	pathList       = "/workers/list"
	pathStart      = "/workers/start"
	pathRenew      = "/workers/renew"
	pathStop       = "/workers/stop"
	pathCheckpoint = "/workers/checkpoint"
	pathThrottle   = "/workers/throttle"
)

type rangeRequest struct {
	Prefix string `cbor:"1,keyasint"`
	After  string `cbor:"2,keyasint"`
	Limit  int    `cbor:"3,keyasint"`
}

type object struct {
	Name string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// workerRequest is a call to one worker.
type workerRequest[C any] struct {
	Worker string `cbor:"1,keyasint"`
	Call   C      `cbor:"2,keyasint"`
}

// none stands where a request or an answer says nothing.
type none struct{}

// failure is a platform error as it travels.
type failure struct {
	Kind       failureKind            `cbor:"1,keyasint"`
	Service    provider.Service       `cbor:"2,keyasint"`
	Reason     string                 `cbor:"3,keyasint,omitempty"`
	Name       string                 `cbor:"4,keyasint,omitempty"`
	Want       uint64                 `cbor:"5,keyasint,omitempty"`
	Have       provider.Row           `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration          `cbor:"7,keyasint,omitempty"`
	Refusal    provider.RefusalReason `cbor:"8,keyasint,omitempty"`
}

type failureKind string

const (
	kindUnavailable failureKind = "unavailable"
	kindLimited     failureKind = "limited"
	kindConflict    failureKind = "conflict"
	kindNotFound    failureKind = "not-found"
	kindRefused     failureKind = "refused"
)

// pack turns an error into a failure; false for one that says that no answer
// came, which travels as a cut connection.
func pack(err error) (failure, bool) {
	var (
		unavailable *provider.UnavailableError
		limited     *provider.RateLimitedError
		conflict    *provider.ConflictError
		missing     *provider.NotFoundError
		refused     *provider.RefusedError
	)
	switch {
	case errors.As(err, &unavailable):
		return failure{Kind: kindUnavailable, Service: unavailable.Service, Reason: unavailable.Reason}, true
	case errors.As(err, &limited):
		return failure{Kind: kindLimited, Service: limited.Service, RetryAfter: limited.RetryAfter}, true
	case errors.As(err, &conflict):
		return failure{Kind: kindConflict, Name: conflict.Key, Want: conflict.Want, Have: conflict.Have}, true
	case errors.As(err, &missing):
		return failure{Kind: kindNotFound, Service: missing.Service, Name: missing.Name}, true
	case errors.As(err, &refused):
		return failure{Kind: kindRefused, Name: refused.Worker, Refusal: refused.Reason}, true
	}
	return failure{}, false
}

// unpack turns a failure back into the error that it was.
func (f failure) unpack(s provider.Service) error {
	switch f.Kind {
	case kindUnavailable:
		return &provider.UnavailableError{Service: f.Service, Reason: f.Reason}
	case kindLimited:
		return &provider.RateLimitedError{Service: f.Service, RetryAfter: f.RetryAfter}
	case kindConflict:
		return &provider.ConflictError{Key: f.Name, Want: f.Want, Have: f.Have}
	case kindNotFound:
		return &provider.NotFoundError{Service: f.Service, Name: f.Name}
	case kindRefused:
		return &provider.RefusedError{Worker: f.Name, Reason: f.Refusal}
	}
	return &provider.UnknownError{Service: s, Cause: &FailureError{string(f.Kind)}}
}

// FailureError says that the platform answered in a way that is not understood.
type FailureError struct{ Got string }

func (e *FailureError) Error() string { return "the answer is not understood: " + e.Got }
