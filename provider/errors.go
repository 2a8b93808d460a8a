package provider

import (
	"errors"
	"fmt"
	"time"
)

// Service names a part of the platform in errors and metrics.
type Service string

// The parts of the platform.
const (
	TableService   Service = "table"
	ObjectService  Service = "objects"
	BoxListService Service = "boxes"
	WorkerService  Service = "workers"
)

// UnavailableError says that a request was not carried out, for certain: it was
// refused, or it never left.
type UnavailableError struct {
	Service Service
	Reason  string
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform's %s service is unavailable: %s", e.Service, e.Reason)
}

// LimitedError says that the platform's rate limit refused a request. It was
// not carried out.
type LimitedError struct {
	Service    Service
	RetryAfter time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("the platform's %s service asks to wait %v", e.Service, e.RetryAfter)
}

// UnknownError says that no answer came. The request may have taken effect, and
// may still do so.
type UnknownError struct {
	Service Service
	Cause   error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("the platform's %s service did not answer: %v", e.Service, e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

// ConflictError says that a condition of a transaction did not hold. Nothing
// was written. Have is the row as the table found it.
type ConflictError struct {
	Key  string
	Want uint64
	Have Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, not %d", e.Key, e.Have.Version, e.Want)
}

// NotFoundError says that there is no such object or worker.
type NotFoundError struct {
	Service Service
	Name    string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the platform's %s service has no %q", e.Service, e.Name)
}

// RefusalReason says why a worker did not carry out a call.
type RefusalReason string

// Why a worker refuses. Each is a promise that the call had no effect.
const (
	RefusedLate     RefusalReason = "late"     // it came after its expiry
	RefusedBoot     RefusalReason = "boot"     // it was meant for an earlier boot
	RefusedCapacity RefusalReason = "capacity" // it would exceed the worker
	RefusedUnknown  RefusalReason = "unknown"  // the worker does not know the attempt
	RefusedLeaving  RefusalReason = "leaving"  // the worker takes no new work
)

// RefusedError says that a worker did not carry out a call, for certain.
type RefusedError struct {
	Worker string
	Reason RefusalReason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused the call: %s", e.Worker, e.Reason)
}

// IsUnknown reports whether err leaves it open if the request took effect.
func IsUnknown(err error) bool {
	var u *UnknownError
	return errors.As(err, &u)
}

// NotApplied reports whether err proves that the request had no effect.
func NotApplied(err error) bool {
	var (
		unavailable *UnavailableError
		limited     *LimitedError
		refused     *RefusedError
		conflict    *ConflictError
		missing     *NotFoundError
	)
	return errors.As(err, &unavailable) || errors.As(err, &limited) ||
		errors.As(err, &refused) || errors.As(err, &conflict) || errors.As(err, &missing)
}

// RetryAfter returns how long the platform asked to be left alone, or zero.
func RetryAfter(err error) time.Duration {
	var l *LimitedError
	if errors.As(err, &l) {
		return l.RetryAfter
	}
	return 0
}
