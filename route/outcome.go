package route

import (
	"fmt"
	"net/http"
	"time"

	"chutereach/config"
)

// Request is an interactive request.
type Request struct {
	ID       string       `cbor:"1,keyasint"`
	Account  string       `cbor:"2,keyasint"`
	Route    config.Route `cbor:"3,keyasint"`
	Method   string       `cbor:"4,keyasint"`
	Path     string       `cbor:"5,keyasint"` // appended to the route's path
	Header   http.Header  `cbor:"6,keyasint"`
	Body     []byte       `cbor:"7,keyasint"`
	Deadline time.Time    `cbor:"8,keyasint"`
	Key      string       `cbor:"9,keyasint,omitempty"` // Idempotency-Key
	Ticket   string       `cbor:"10,keyasint,omitempty"`
}

// Response is an upstream's complete response.
type Response struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Possible outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Refused  Outcome = "refused" // only between boxes: the request is invalid
)

// Cause says why a request has no response. Causes are sent between boxes and compared
// there, so their texts must not change.
type Cause string

// Causes of a NotRunError.
const (
	CauseNoReplica           Cause = "no replica of the service is running"
	CauseQueueFull           Cause = "too many requests are waiting"
	CauseTooLate             Cause = "it cannot be answered before its deadline"
	CauseMoved               Cause = "its upstreams have moved to another box"
	CauseCanceled            Cause = "the caller has gone"
	CauseUpstreamUnreachable Cause = "no upstream could be reached"
	CauseTableUnavailable    Cause = "its key cannot be claimed while the table is out of reach"
	CausePeerUnreachable     Cause = "no other box could be reached"
)

// Causes of an UnknownError.
const (
	CauseDeadline          Cause = "the upstream did not answer before the deadline"
	CauseConnectionBroken  Cause = "the connection to the upstream broke"
	CauseResponseTruncated Cause = "the upstream's answer was cut off"
	CauseResponseTooLarge  Cause = "the upstream's answer is too large"
	CausePeerLost          Cause = "the box that had the request in hand did not answer"
	CauseEarlierUnknown    Cause = "an earlier request with the same key has an unknown outcome"
	CauseMinterGone        Cause = "the box that minted the ticket is gone"
	CauseTicketExpired     Cause = "the ticket has expired"
	CauseInProgress        Cause = "an earlier request with the same key is in progress"
)

// NotRunError reports that a request was certainly not run, and when its caller may
// retry.
type NotRunError struct {
	Cause      Cause
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string { return "the request was not run: " + string(e.Cause) }

// UnknownError reports that a request may have run.
type UnknownError struct{ Cause Cause }

func (e *UnknownError) Error() string {
	return "the outcome of the request is unknown: " + string(e.Cause)
}

// KeyReusedError reports that an Idempotency-Key was used before with a different
// request.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("the key %q was used for a different request; use a new key for a new request", e.Key)
}
