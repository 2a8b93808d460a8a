package provider

import (
	"errors"
	"fmt"
	"time"
)

// Service is a service of the platform, as named in errors and metrics.
type Service string

// The services of the platform.
const (
	TableService   Service = "table"
	ObjectService  Service = "objects"
	BoxListService Service = "boxes"
	WorkerService  Service = "workers"
)

// UnavailableError reports a request that was not executed: it was refused or never
// sent.
type UnavailableError struct {
	Service Service
	Reason  string
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform's %s service is unavailable: %s", e.Service, e.Reason)
}

// RateLimitedError reports a request that was not executed because of the platform's
// rate limit.
type RateLimitedError struct {
	Service    Service
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("the platform's %s service limits the request rate; retry after %v", e.Service, e.RetryAfter)
}

// UnknownError reports a request without a response. The request may have taken
// effect, or may still do so. It does not unwrap to its cause, which must not decide whether NotApplied holds.
type UnknownError struct {
	Service Service
	Cause   error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("the platform's %s service did not answer: %v", e.Service, e.Cause)
}

// ConflictError reports a transaction that wrote nothing because one of its
// conditions did not hold. Have is the current row.
type ConflictError struct {
	Key  string
	Want uint64
	Have Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, not %d", e.Key, e.Have.Version, e.Want)
}

// NotFoundError reports an object or a worker that does not exist.
type NotFoundError struct {
	Service Service
	Name    string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the platform's %s service has no %q", e.Service, e.Name)
}

// RefusalReason is the reason why a worker did not execute a call.
type RefusalReason string

// Reasons for a refusal. Each guarantees that the call had no effect.
const (
	RefusedExpired        RefusalReason = "late"     // the call arrived after its expiry
	RefusedStaleBoot      RefusalReason = "boot"     // the call names an earlier boot
	RefusedCapacity       RefusalReason = "capacity" // the worker lacks the capacity
	RefusedUnknownAttempt RefusalReason = "unknown"  // the worker does not know the attempt
	RefusedLeaving        RefusalReason = "leaving"  // the worker takes no new work
)

// RefusedError reports a call that a worker did not execute.
type RefusedError struct {
	Worker string
	Reason RefusalReason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused the call: %s", e.Worker, e.Reason)
}

// IsUnknown reports whether the request of err may have taken effect.
func IsUnknown(err error) bool {
	var u *UnknownError
	return errors.As(err, &u)
}

// NotApplied reports whether the request of err certainly had no effect.
func NotApplied(err error) bool {
	var (
		unavailable *UnavailableError
		limited     *RateLimitedError
		refused     *RefusedError
		conflict    *ConflictError
		notFound    *NotFoundError
	)
	return errors.As(err, &unavailable) || errors.As(err, &limited) ||
		errors.As(err, &refused) || errors.As(err, &conflict) || errors.As(err, &notFound)
}

// RetryAfter returns the delay of a RateLimitedError, or zero for other errors.
func RetryAfter(err error) time.Duration {
	var l *RateLimitedError
	if errors.As(err, &l) {
		return l.RetryAfter
	}
	return 0
}
