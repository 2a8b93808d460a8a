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
	"chutereach/guard"
	"chutereach/hall"
	"chutereach/job"
	"chutereach/peer"
	"chutereach/provider"
	"chutereach/publish"
	"chutereach/route"
)

// Code is a machine-readable error code.
type Code string

// The error codes.
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

// Failure is the body of error responses.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// UnauthorizedError reports a request without a valid token for the required role.
type UnauthorizedError struct{ Role string }

func (e *UnauthorizedError) Error() string {
	return fmt.Sprintf("this needs an %s's token in the header Authorization: Bearer TOKEN", e.Role)
}

// NotFoundError reports that no object of a kind has the given name.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// InvalidRequestError reports why a request is invalid.
type InvalidRequestError struct{ Reason string }

func (e *InvalidRequestError) Error() string { return "the request is not valid: " + e.Reason }

func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &InvalidRequestError{fmt.Sprintf("%q is not a number", text)}
	}
	return n, nil
}

// errorMapping maps a type of error to an HTTP status and an error code.
type errorMapping struct {
	matches func(error) bool
	status  int
	code    Code
}

func isType[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

// errorMappings lists the mappings in order of precedence: the first match applies.
var errorMappings = []errorMapping{
	{isType[*UnauthorizedError], http.StatusUnauthorized, CodeUnauthorized},
	{isType[*InvalidRequestError], http.StatusBadRequest, CodeInvalid},
	{isType[*guard.BodyTooLargeError], http.StatusRequestEntityTooLarge, CodeInvalid},
	{isType[*job.InvalidError], http.StatusBadRequest, CodeInvalid},
	{isType[*config.InvalidError], http.StatusBadRequest, CodeInvalid},
	{isType[*cell.NoUnitError], http.StatusBadRequest, CodeInvalid},
	{isType[*job.SettleError], http.StatusConflict, CodeConflict},
	{isType[*NotFoundError], http.StatusNotFound, CodeNotFound},
	{isType[*hall.JobNotFoundError], http.StatusNotFound, CodeNotFound},
	{isType[*publish.RevisionNotFoundError], http.StatusNotFound, CodeNotFound},
	{isType[*publish.ConflictError], http.StatusConflict, CodeConflict},
	{isType[*cell.KeyReusedError], http.StatusUnprocessableEntity, CodeKeyReused},
	{isType[*route.KeyReusedError], http.StatusUnprocessableEntity, CodeKeyReused},
	{isType[*route.TicketError], http.StatusBadRequest, CodeInvalid},
	{isType[*route.NotRunError], http.StatusServiceUnavailable, CodeNotRun},
	{isType[*route.UnknownError], http.StatusBadGateway, CodeUnknown},
	{isType[*commit.NotAppliedError], http.StatusServiceUnavailable, CodeNotRun},
	{isType[*hall.UnconfirmedError], http.StatusBadGateway, CodeUnknown},
	{isType[*commit.UnknownOutcomeError], http.StatusBadGateway, CodeUnknown},
	{isType[*cell.NoOwnerError], http.StatusServiceUnavailable, CodeUnavailable},
	{isType[*hall.UnavailableError], http.StatusServiceUnavailable, CodeUnavailable},
	{isType[*peer.UnreachableError], http.StatusServiceUnavailable, CodeUnavailable},
	{isType[*peer.NoResponseError], http.StatusBadGateway, CodeUnknown},
	{isType[*provider.UnknownError], http.StatusBadGateway, CodeUnknown},
	{provider.NotApplied, http.StatusServiceUnavailable, CodeUnavailable},
}

// failureMappings maps the codes of failures of other boxes.
var failureMappings = map[peer.Code]errorMapping{
	cell.CodeNoJob:       {status: http.StatusNotFound, code: CodeNotFound},
	cell.CodeNoOwner:     {status: http.StatusServiceUnavailable, code: CodeUnavailable},
	cell.CodeUnavailable: {status: http.StatusServiceUnavailable, code: CodeUnavailable},
	cell.CodeUnconfirmed: {status: http.StatusBadGateway, code: CodeUnknown},
}

func mappingOf(err error) errorMapping {
	for _, k := range errorMappings {
		if k.matches(err) {
			return k
		}
	}
	var f *peer.Failure
	if errors.As(err, &f) {
		if k, known := failureMappings[f.Code]; known {
			return k
		}
	}
	return errorMapping{status: http.StatusInternalServerError, code: CodeInternal}
}

// outcomeByCode maps the codes that imply the outcome of a request.
var outcomeByCode = map[Code]route.Outcome{CodeNotRun: route.NotRun, CodeUnknown: route.Unknown}

// writeError writes an error response. If a request was not run, or the status is 503,
// it sets the header Retry-After.
func writeError(w http.ResponseWriter, err error) {
	k := mappingOf(err)
	if outcome, known := outcomeByCode[k.code]; known {
		w.Header().Set(HeaderOutcome, string(outcome))
	}
	var notRun *route.NotRunError
	if errors.As(err, &notRun) {
		w.Header().Set("Retry-After", retryAfterSeconds(notRun.RetryAfter))
		if notRun.Cause == route.CauseQueueFull || notRun.Cause == route.CauseTooLate {
			k.status = http.StatusTooManyRequests
		}
	} else if k.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds(time.Second))
	}
	writeJSON(w, k.status, Failure{k.code, err.Error()})
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(d, time.Second).Seconds())))
}
