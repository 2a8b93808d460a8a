// Package fleet defines the scheduler's interfaces to the workers that run tasks and to the
// advice service, which decides which workers may run a step. Package platform implements
// them over HTTP.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"chutereach/resource"
)

// Incarnation identifies one incarnation of a worker: one run of its process. A restarted worker may
// keep its id, but it has no state of the former incarnation, and its clock and the sequence
// numbers of its ended attempts start over.
type Incarnation struct {
	ID string
	// StartTime is the start time of the process in Unix milliseconds, by the wall clock of the
	// worker's machine. That clock can step back: compare for equality only. 0: unknown.
	StartTime int64
}

// HasStartTime reports whether the start time of the process is known.
func (l Incarnation) HasStartTime() bool { return l.StartTime != 0 }

func (l Incarnation) String() string { return fmt.Sprintf("%s since %d", l.ID, l.StartTime) }

// Worker describes one incarnation of a machine that runs tasks.
type Worker struct {
	Incarnation
	Service  string // the pool it belongs to
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Amount
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down.
	Remaining time.Duration
}

// Equal reports whether both describe the same incarnation and all fields are equal.
func (w Worker) Equal(other Worker) bool {
	return w.Incarnation == other.Incarnation && w.Service == other.Service && w.Address == other.Address && w.Zone == other.Zone &&
		w.Rack == other.Rack && slices.Equal(w.Labels, other.Labels) && w.Capacity == other.Capacity &&
		w.Draining == other.Draining && w.Remaining == other.Remaining
}

// HasLabel reports whether the worker has the label. Every worker has the empty label.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// Clock is a reading of a worker's monotonic clock in milliseconds.
type Clock int64

// Outcome is reported by workers for each ended attempt.
type Outcome string

// Outcomes of attempts.
const (
	Done           Outcome = "done"
	Failed         Outcome = "failed"
	Stopped        Outcome = "stopped"
	LeaseExpired   Outcome = "lapsed" // its lease expired
	GangBroken     Outcome = "broken" // another member of its gang ended first
	GangIncomplete Outcome = "alone"  // the other members of its gang did not start in time
)

// Attempt is a running attempt in a worker's report.
type Attempt struct {
	Task       string
	Number     int
	Checkpoint string
	Percent    int
}

// EndedAttempt is an ended attempt in a worker's report. Sequence starts at 1 in each incarnation and
// increases.
type EndedAttempt struct {
	Sequence   uint64
	Task       string
	Number     int
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a HoldOrder.
type Report struct {
	StartTime int64 // start time of the incarnation that answered; 0: not reported
	Clock     Clock
	Running   []Attempt
	Ended     []EndedAttempt
	// UndecodedRows is the number of rows that could not be decoded. If UndecodedFrom is not 0,
	// an ended attempt could not be decoded: those from that sequence number on must not be
	// acknowledged.
	UndecodedRows int
	UndecodedFrom uint64
	// MoreEnds is whether the worker may have ended attempts beyond those in Ended. It lists them once these are
	// acknowledged.
	MoreEnds bool
	// Partial is whether the report was not read to its end: any attempt may be missing from Running and Ended. The
	// ends up to the last one in Ended are complete.
	Partial bool
}

// ListsAll reports whether every attempt that runs on the worker, or has ended there and is not acknowledged, is in the
// report, except for undecoded rows.
func (r Report) ListsAll() bool { return !r.MoreEnds && !r.Partial }

// StartOrder asks a worker to start an attempt. Workers refuse it after Deadline.
type StartOrder struct {
	Task       string
	Number     int
	Spec       string
	Checkpoint string
	Ticket     string
	Token      uint64 // fencing token
	Deadline   Clock
}

// StopOrder asks a worker to stop an attempt, or to refuse it if its StartOrder arrives later.
type StopOrder struct {
	Task   string
	Number int
	Token  uint64 // fencing token
}

// HoldOrder renews the lease of all attempts on a worker to Deadline and asks for a report, to
// be sent when an attempt ends or after Wait. It acknowledges the ended attempts up to sequence
// number AckedThrough of the incarnation that it is addressed to; the worker stops reporting them.
type HoldOrder struct {
	Token        uint64 // fencing token
	AckedThrough uint64
	Deadline     Clock // 0: the lease is not renewed
	Wait         time.Duration
}

// Client calls workers. Its errors are RefusedError, ReplacedError, UnavailableError and
// NoResponseError. Requests carry a worker's id but not its incarnation. A client therefore sends
// Start and Stop only over a connection on which the addressed incarnation has answered, and sends
// AckedThrough to no other incarnation. A call without a response may still be executed later, even
// by a later incarnation.
type Client interface {
	Start(ctx context.Context, worker Worker, order StartOrder) (Clock, error)
	Stop(ctx context.Context, worker Worker, order StopOrder) (Clock, error)
	Hold(ctx context.Context, worker Worker, order HoldOrder) (Report, error)
}

// Reason is a worker's reason for refusing an order.
type Reason string

// Reasons for refusing an order.
const (
	Fenced               Reason = "fence"  // the worker has seen a higher fencing token
	StaleAttempt         Reason = "old"    // an attempt with this number or a higher one has ended there
	DeadlinePassed       Reason = "late"   // the order's deadline has passed
	InsufficientCapacity Reason = "room"   // insufficient free capacity
	InvalidTicket        Reason = "ticket" // the ticket is missing or has expired
	Invalid              Reason = "invalid"
)

// RefusedError is returned when a worker refused an order and did not execute it.
type RefusedError struct {
	Reason Reason
	Clock  Clock
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the order: %s", e.Reason) }

// ReplacedError is returned when another worker process answered at the worker's address. The
// addressed incarnation has ended, and so have all of its attempts.
type ReplacedError struct{ ID string }

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("worker %s has been replaced: another process answers at its address", e.ID)
}

// UnavailableError is returned when a worker is temporarily unavailable and did not execute the call.
type UnavailableError struct{ ID string }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("worker %s is temporarily unavailable", e.ID)
}

// NoResponseError is returned when a call got no valid response. Unless Unsent is set, the
// worker may have executed it, or may still do so. It does not unwrap to its cause; Unsent and ConnectionClosed say
// what callers may conclude from that.
type NoResponseError struct {
	Cause error
	// Unsent is set if the call certainly did not reach the worker.
	Unsent bool
	// ConnectionClosed is set if the worker's machine closed or refused the connection, as it does when
	// the worker's process has ended.
	ConnectionClosed bool
}

// IsUnsent reports whether err says that the call certainly did not reach the worker.
func IsUnsent(err error) bool {
	var noResponse *NoResponseError
	return errors.As(err, &noResponse) && noResponse.Unsent
}

// IsConnectionClosed reports whether err says that the worker's machine closed or refused the connection.
func IsConnectionClosed(err error) bool {
	var noResponse *NoResponseError
	return errors.As(err, &noResponse) && noResponse.ConnectionClosed
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no valid response from worker: %v", e.Cause)
}

// Advice lists the workers that may run a step, with a ticket for each. Tickets are valid for
// Valid from the time of the response. Workers that the request named and Tickets does not may
// never run the step.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Advisor calls the advice service, which accepts one call at a time from each node.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}

// AdvisorError is returned when a call to the advice service failed.
type AdvisorError struct{ Cause error }

func (e *AdvisorError) Error() string { return fmt.Sprintf("advice service failed: %v", e.Cause) }

func (e *AdvisorError) Unwrap() error { return e.Cause }
