package api

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"chutereach/cell"
	"chutereach/commit"
	"chutereach/config"
	"chutereach/hall"
	"chutereach/job"
	"chutereach/peer"
	"chutereach/provider"
	"chutereach/publish"
	"chutereach/route"
)

// Code tells failures apart for scripts.
type Code string

// The codes of failures.
const (
	CodeUnauthorized Code = "unauthorized"
	CodeInvalid      Code = "invalid"
	CodeNotFound     Code = "not-found"
	CodeConflict     Code = "conflict"
	CodeKeyReused    Code = "key-reused"
	CodeNotRun       Code = "not-run"
	CodeUnknown      Code = "unknown"
	CodeUnavailable  Code = "unavailable"
	CodeInternal     Code = "internal"
)

// Failure is the body of every answer that is an error.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// UnauthorizedError says that a caller or operator showed no valid token.
type UnauthorizedError struct{ Who string }

func (e *UnauthorizedError) Error() string {
	return fmt.Sprintf("this needs an %s's token in the header Authorization: Bearer TOKEN", e.Who)
}

// NotFoundError says that there is no such thing.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// BodyError says what is wrong with a request.
type BodyError struct{ Reason string }

func (e *BodyError) Error() string { return "the request is not valid: " + e.Reason }

func number(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &BodyError{fmt.Sprintf("%q is not a number", text)}
	}
	return n, nil
}

// kind is how a type of error is told to callers.
type kind struct {
	is     func(error) bool
	status int
	code   Code
}

func as[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

// kinds lists the types of errors; the first that matches counts.
var kinds = []kind{
	{as[*UnauthorizedError], http.StatusUnauthorized, CodeUnauthorized},
	{as[*BodyError], http.StatusBadRequest, CodeInvalid},
	{as[*job.InvalidError], http.StatusBadRequest, CodeInvalid},
	{as[*config.InvalidError], http.StatusBadRequest, CodeInvalid},
	{as[*cell.NoUnitError], http.StatusBadRequest, CodeInvalid},
	{as[*job.SettleError], http.StatusConflict, CodeConflict},
	{as[*NotFoundError], http.StatusNotFound, CodeNotFound},
	{as[*hall.JobNotFoundError], http.StatusNotFound, CodeNotFound},
	{as[*publish.RevisionNotFoundError], http.StatusNotFound, CodeNotFound},
	{as[*publish.ConflictError], http.StatusConflict, CodeConflict},
	{as[*cell.KeyReusedError], http.StatusUnprocessableEntity, CodeKeyReused},
	{as[*route.KeyReusedError], http.StatusUnprocessableEntity, CodeKeyReused},
	{as[*route.TicketError], http.StatusBadRequest, CodeInvalid},
	{as[*route.NotRunError], http.StatusServiceUnavailable, CodeNotRun},
	{as[*route.UnknownError], http.StatusBadGateway, CodeUnknown},
	{as[*commit.NotAppliedError], http.StatusServiceUnavailable, CodeNotRun},
	{as[*commit.UnknownOutcomeError], http.StatusBadGateway, CodeUnknown},
	{as[*cell.NoOwnerError], http.StatusServiceUnavailable, CodeUnavailable},
	{as[*peer.UnreachableError], http.StatusServiceUnavailable, CodeUnavailable},
	{as[*peer.LostError], http.StatusBadGateway, CodeUnknown},
	{as[*provider.UnknownError], http.StatusBadGateway, CodeUnknown},
	{provider.NotApplied, http.StatusServiceUnavailable, CodeUnavailable},
}

func kindOf(err error) kind {
	for _, k := range kinds {
		if k.is(err) {
			return k
		}
	}
	var f *peer.Failure
	if errors.As(err, &f) && f.Code == cell.CodeNoJob {
		return kind{status: http.StatusNotFound, code: CodeNotFound}
	}
	return kind{status: http.StatusInternalServerError, code: CodeInternal}
}

// outcomes are the codes that tell a caller what became of its request.
var outcomes = map[Code]route.Outcome{CodeNotRun: route.NotRun, CodeUnknown: route.Unknown}

// fail writes an error. A request that was turned away is told when to come
// back.
func fail(w http.ResponseWriter, err error) {
	k := kindOf(err)
	if o, known := outcomes[k.code]; known {
		w.Header().Set(HeaderOutcome, string(o))
	}
	var notRun *route.NotRunError
	if errors.As(err, &notRun) {
		w.Header().Set("Retry-After", seconds(notRun.RetryAfter))
		if notRun.Cause == route.CauseQueueFull || notRun.Cause == route.CauseTooLate {
			k.status = http.StatusTooManyRequests
		}
	} else if k.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", seconds(time.Second))
	}
	reply(w, k.status, Failure{k.code, err.Error()})
}

func seconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(d, time.Second).Seconds())))
}
