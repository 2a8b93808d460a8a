// Package fleet names the workers that run tasks and the service that says which
// of them may run a step, as the scheduler sees them. Package platform adapts
// the users' workers to it.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"chutereach/resource"
)

// Life names one life of a worker: from a start of its process to the end of that process.
// A worker that starts again may keep its id. It knows nothing of before then, and its clock
// and the numbers of its ends begin anew.
type Life struct {
	ID string
	// Born is when the life began, in Unix milliseconds of the worker's machine. It only tells
	// lives apart: the time of day can step back. 0: not known.
	Born int64
}

// Known reports whether it is known when the life began.
func (l Life) Known() bool { return l.Born != 0 }

func (l Life) String() string { return fmt.Sprintf("%s since %d", l.ID, l.Born) }

// Worker is one life of a machine that runs tasks.
type Worker struct {
	Life
	Service  string // the pool it belongs to
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Amount
	Draining bool
	// Remaining is how long a draining worker stays, at least.
	Remaining time.Duration
}

// Equal reports whether both say the same of the same life.
func (w Worker) Equal(other Worker) bool {
	return w.Life == other.Life && w.Service == other.Service && w.Address == other.Address && w.Zone == other.Zone &&
		w.Rack == other.Rack && slices.Equal(w.Labels, other.Labels) && w.Capacity == other.Capacity &&
		w.Draining == other.Draining && w.Remaining == other.Remaining
}

// HasLabel reports whether the worker bears a label; every worker bears the
// empty one.
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

// Clock is a worker's steady clock in milliseconds.
type Clock int64

// Outcome is how an attempt ended.
type Outcome string

// The outcomes of attempts.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	Stopped Outcome = "stopped"
	Lapsed  Outcome = "lapsed" // its lease ran out
	Broken  Outcome = "broken" // another member of its gang ended
	Alone   Outcome = "alone"  // the other members of its gang did not come in time
)

// Attempt is an attempt that a worker runs.
type Attempt struct {
	Task       string
	Number     int
	Checkpoint string
	Percent    int
}

// End is an attempt that has ended. Sequence begins at 1 in each life and rises.
type End struct {
	Sequence   uint64
	Task       string
	Number     int
	Outcome    Outcome
	Checkpoint string
}

// Report is what a worker says of itself.
type Report struct {
	Born    int64 // when the life that answers began; 0: it does not say
	Clock   Clock
	Running []Attempt
	Ended   []End
	// Unread counts the rows that could not be read. Ends from UnreadFrom on, if it is not 0, are
	// not to be acknowledged, for one of them is not known.
	Unread     int
	UnreadFrom uint64
}

// StartOrder asks for an attempt. It is void after Deadline.
type StartOrder struct {
	Task       string
	Number     int
	Spec       string
	Checkpoint string
	Ticket     string
	Token      uint64 // fencing token
	Deadline   Clock
}

// StopOrder ends an attempt, and keeps one that has not arrived from starting.
type StopOrder struct {
	Task   string
	Number int
	Token  uint64
}

// HoldOrder extends the lease of everything on a worker to Deadline and asks
// for a report, at the next end or after Wait. Ends up to Noted are forgotten; Noted is
// for the life that is meant.
type HoldOrder struct {
	Token    uint64
	Noted    uint64
	Deadline Clock // 0 extends nothing
	Wait     time.Duration
}

// Client calls workers. Errors are RefusedError, ReplacedError, BusyError and
// UnansweredError. A worker's id is all that a call can name on its way. So a client makes an order
// only where the life that is meant has answered before, and lets Noted, which has a life forget
// ends, reach no other. A call without answer may be carried out late, by a later life too.
type Client interface {
	Start(ctx context.Context, worker Worker, order StartOrder) (Clock, error)
	Stop(ctx context.Context, worker Worker, order StopOrder) (Clock, error)
	Hold(ctx context.Context, worker Worker, order HoldOrder) (Report, error)
}

// Reason is why a worker refused an order.
type Reason string

// The reasons of refusals.
const (
	Fenced   Reason = "fence"  // it has seen a higher token
	Outdated Reason = "old"    // the attempt is not above one that ended there
	Late     Reason = "late"   // past the order's deadline
	NoRoom   Reason = "room"   // it has not the capacity
	NoTicket Reason = "ticket" // the ticket is missing or has expired
	Invalid  Reason = "invalid"
)

// RefusedError says that a worker did not do what it was asked.
type RefusedError struct {
	Reason Reason
	Clock  Clock
}

func (e *RefusedError) Error() string { return fmt.Sprintf("the worker refused: %s", e.Reason) }

// ReplacedError says that another life of the worker answered: the one that was
// meant is over, and all that it ran.
type ReplacedError struct{ ID string }

func (e *ReplacedError) Error() string { return fmt.Sprintf("worker %s is over", e.ID) }

// BusyError says that an unhealthy worker refused for now and did nothing.
type BusyError struct{ ID string }

func (e *BusyError) Error() string { return fmt.Sprintf("worker %s refuses for now", e.ID) }

// UnansweredError says that a call had no answer; it may have been done, or may
// be done later.
type UnansweredError struct {
	Cause error
	// Unsent is whether the call never reached the worker, for certain.
	Unsent bool
	// Closed is whether the worker's side closed or refused the connection, as it does
	// when the worker's process has ended.
	Closed bool
}

// IsUnsent reports whether a call failed without having reached the worker.
func IsUnsent(err error) bool {
	var unanswered *UnansweredError
	return errors.As(err, &unanswered) && unanswered.Unsent
}

// IsClosed reports whether a call failed for a connection that the worker's side closed or
// refused.
func IsClosed(err error) bool {
	var unanswered *UnansweredError
	return errors.As(err, &unanswered) && unanswered.Closed
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("the worker did not answer: %v", e.Cause)
}

func (e *UnansweredError) Unwrap() error { return e.Cause }

// Advice says which workers may run a step: a ticket for each of them, good for
// Valid from the answer on. Workers that were asked about and are not named may
// not run the step, ever.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Advisor gives advice; it takes one call at a time from each node.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}

// AdvisorError says that there was no advice.
type AdvisorError struct{ Cause error }

func (e *AdvisorError) Error() string { return fmt.Sprintf("no advice: %v", e.Cause) }

func (e *AdvisorError) Unwrap() error { return e.Cause }
