// Package api serves the HTTP API for callers and operators, with JSON bodies. Every
// box serves it.
package api

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/xid"

	"chutereach/cell"
	"chutereach/config"
	"chutereach/guard"
	"chutereach/job"
	"chutereach/publish"
	"chutereach/route"
	"chutereach/timeline"
)

// Headers that the API reads and writes.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderOutcome = "Chutereach-Outcome" // answered, not-run or unknown
	HeaderTicket  = "Chutereach-Ticket"
	HeaderRequest = "Request-Id"
	HeaderBox     = "Chutereach-Box"
)

// MaxBodyBytes is the maximum size of a request's body.
const MaxBodyBytes = 4 << 20

// Server serves the API of one box.
type Server struct {
	Cell     *cell.Cell
	Router   *route.Router
	Config   func() config.Revision
	History  func(ctx context.Context, limit int) ([]config.Revision, error)
	Revision func(ctx context.Context, n uint64) (config.Revision, error)
	Ready    func() error
	Token    string // operator token; if empty, no operator is admitted
	Box      string

	accounts accountIndex
}

// Mux returns the handler of all API endpoints.
func (s *Server) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", s.withAccount(s.submit))
	mux.HandleFunc("GET /v1/jobs", s.withAccount(s.jobs))
	mux.HandleFunc("GET /v1/jobs/{id}", s.withAccount(s.job))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.withAccount(s.stop))
	mux.HandleFunc("/v1/call/{route}", s.withAccount(s.call))
	mux.HandleFunc("/v1/call/{route}/{path...}", s.withAccount(s.call))
	mux.HandleFunc("POST /v1/tickets/{route}", s.withAccount(s.ticket))
	mux.HandleFunc("POST /v1/jobs/{id}/settle", s.withOperator(s.settle))
	mux.HandleFunc("GET /v1/all/jobs", s.withOperator(s.allJobs))
	mux.HandleFunc("GET /v1/all/jobs/{id}", s.withOperator(s.anyJob))
	mux.HandleFunc("GET /v1/workers", s.withOperator(s.workers))
	mux.HandleFunc("GET /v1/status", s.withOperator(s.status))
	mux.HandleFunc("GET /v1/timeline", s.withOperator(s.timeline))
	mux.HandleFunc("GET /v1/config", s.withOperator(s.config))
	mux.HandleFunc("GET /v1/config/{number}", s.withOperator(s.revision))
	mux.HandleFunc("GET /v1/history", s.withOperator(s.history))
	mux.HandleFunc("POST /v1/config", s.withOperator(s.propose))
	return mux
}

type accountHandler func(http.ResponseWriter, *http.Request, config.Account)

// withAccount authenticates the caller by an account token and passes its account to next.
func (s *Server) withAccount(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderBox, s.Box)
		a, admitted := s.accounts.find(s.Config(), bearerToken(r))
		if !admitted {
			writeError(w, &UnauthorizedError{"account"})
			return
		}
		next(w, r, a)
	}
}

// withOperator authenticates the caller by the operator token.
func (s *Server) withOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderBox, s.Box)
		if s.Token == "" || subtle.ConstantTimeCompare([]byte(bearerToken(r)), []byte(s.Token)) != 1 {
			writeError(w, &UnauthorizedError{"operator"})
			return
		}
		next(w, r)
	}
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

// JobRequest is the body of a request to create a job.
type JobRequest struct {
	Template string                       `json:"template"`
	Hall     string                       `json:"hall,omitempty"`
	Params   guard.Map[string, maxParams] `json:"params,omitempty"`
	Tasks    int                          `json:"tasks,omitempty"`
	Start    time.Time                    `json:"start,omitzero"`
}

// maxParams bounds the parameters of a job. Templates have far fewer.
type maxParams struct{}

func (maxParams) Max() int { return 10_000 }

// JobCreated is the response to a JobRequest.
type JobCreated struct {
	ID      job.ID `json:"id"`
	Created bool   `json:"created"` // false if the idempotency key belongs to an existing job
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, a config.Account) {
	var req JobRequest
	if err := decode(r, &req); err != nil {
		writeError(w, err)
		return
	}
	id, created, err := s.Cell.Submit(r.Context(), a, cell.Submission{
		Request: job.Request{Template: req.Template, Params: req.Params, Tasks: req.Tasks, Start: req.Start},
		Hall:    req.Hall, Key: r.Header.Get(HeaderKey),
	})
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusCreated
	if !created {
		status = http.StatusOK
	}
	writeJSON(w, status, JobCreated{id, created})
}

func (s *Server) job(w http.ResponseWriter, r *http.Request, a config.Account) {
	got, err := s.Cell.Job(r.Context(), job.ID(r.PathValue("id")))
	if err == nil && got.Job.Account != a.Name {
		err = &NotFoundError{"job", r.PathValue("id")} // does not reveal that the job exists
	}
	writeResult(w, got, err)
}

func (s *Server) anyJob(w http.ResponseWriter, r *http.Request) {
	got, err := s.Cell.Job(r.Context(), job.ID(r.PathValue("id")))
	writeResult(w, got, err)
}

// Listing is a list of items, and the boxes that did not respond. Their items are missing.
type Listing[T any] struct {
	Items        []T      `json:"items"`
	Unresponsive []string `json:"silent,omitempty"`
}

func newListing[T any](items []T, unresponsive []string) Listing[T] {
	if items == nil {
		items = []T{}
	}
	return Listing[T]{items, unresponsive}
}

func (s *Server) jobs(w http.ResponseWriter, r *http.Request, a config.Account) {
	writeJSON(w, http.StatusOK, newListing(s.Cell.Jobs(r.Context(), a.Name)))
}

func (s *Server) allJobs(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, newListing(s.Cell.Jobs(r.Context(), r.URL.Query().Get("account"))))
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request, a config.Account) {
	id := job.ID(r.PathValue("id"))
	got, err := s.Cell.Job(r.Context(), id)
	if err == nil && got.Job.Account != a.Name {
		err = &NotFoundError{"job", string(id)}
	}
	if err == nil {
		err = s.Cell.Stop(r.Context(), id)
	}
	writeResult(w, JobCreated{ID: id}, err)
}

func (s *Server) settle(w http.ResponseWriter, r *http.Request) {
	var b cell.Settlement
	if err := decode(r, &b); err != nil {
		writeError(w, err)
		return
	}
	b.Job = job.ID(r.PathValue("id"))
	if b.State != job.Done && b.State != job.Failed && b.State != job.Waiting {
		writeError(w, &InvalidRequestError{"state must be done, failed or waiting"})
		return
	}
	writeResult(w, b, s.Cell.Settle(r.Context(), b))
}

func (s *Server) workers(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, newListing(s.Cell.Workers(r.Context())))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Cell.Status(s.Ready() == nil))
}

// TimelineEvents is the response of the timeline, and the boxes that did not respond.
type TimelineEvents struct {
	timeline.Page
	Unresponsive []string `json:"silent,omitempty"`
}

func (s *Server) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, unresponsive := s.Cell.Timeline(r.Context(), timeline.Filter{
		Job: q.Get("job"), Worker: q.Get("worker"), Account: q.Get("account"), Request: q.Get("request"), Unit: q.Get("unit"),
	})
	writeJSON(w, http.StatusOK, TimelineEvents{page, unresponsive})
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Config())
}

func (s *Server) revision(w http.ResponseWriter, r *http.Request) {
	n, err := parseNumber(r.PathValue("number"))
	if err != nil {
		writeError(w, err)
		return
	}
	rev, err := s.Revision(r.Context(), n)
	writeResult(w, rev, err)
}

const historyLimit = 50

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	revs, err := s.History(r.Context(), historyLimit)
	writeResult(w, newListing(revs, nil), err)
}

func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	var p publish.Proposal
	if err := decode(r, &p); err != nil {
		writeError(w, err)
		return
	}
	rev, err := s.Cell.Propose(r.Context(), p)
	writeResult(w, rev, err)
}

// call forwards an interactive request to an upstream and returns its response.
func (s *Server) call(w http.ResponseWriter, r *http.Request, a config.Account) {
	arrived := time.Now()
	rt, known := s.Config().Set.Routes[r.PathValue("route")]
	if !known {
		writeError(w, &NotFoundError{"route", r.PathValue("route")})
		return
	}
	body, err := guard.ReadBody(r, MaxBodyBytes)
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	req := &route.Request{
		ID: requestID(r), Account: a.Name, Route: rt, Method: r.Method, Path: upstreamPath(r),
		Header: r.Header, Body: body, Deadline: arrived.Add(rt.Deadline), Key: r.Header.Get(HeaderKey),
		Ticket: r.Header.Get(HeaderTicket),
	}
	w.Header().Set(HeaderRequest, req.ID)
	got, err := s.dispatch(r, req)
	if err != nil {
		writeError(w, err)
		return
	}
	for name, values := range got.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderOutcome, string(route.Answered))
	w.WriteHeader(got.Status)
	w.Write(got.Body)
}

func (s *Server) dispatch(r *http.Request, req *route.Request) (*route.Response, error) {
	switch {
	case req.Route.Safety == config.SafeRepeat:
		return s.Router.Do(r.Context(), req)
	case req.Ticket != "":
		return s.Router.DoTicket(r.Context(), req)
	case req.Route.Safety == config.SafeTicket:
		return nil, &InvalidRequestError{"this route needs the header " + HeaderTicket + "; get a ticket from /v1/tickets/" + req.Route.Name}
	case req.Key == "":
		return nil, &InvalidRequestError{"this route needs the header " + HeaderKey + " or " + HeaderTicket}
	}
	return s.Router.DoOnce(r.Context(), req)
}

// Ticket is the response to a request for a ticket.
type Ticket struct {
	Ticket  string    `json:"ticket"`
	Expires time.Time `json:"expires"`
}

func (s *Server) ticket(w http.ResponseWriter, r *http.Request, a config.Account) {
	name := r.PathValue("route")
	if _, known := s.Config().Set.Routes[name]; !known {
		writeError(w, &NotFoundError{"route", name})
		return
	}
	text, expires := s.Router.MintTicket(a.Name, name)
	writeJSON(w, http.StatusCreated, Ticket{text, expires})
}

// upstreamPath returns the path and query to append to the route's path.
func upstreamPath(r *http.Request) string {
	path := ""
	if rest := r.PathValue("path"); rest != "" {
		path = "/" + rest
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

const maxRequestIDBytes = 128

// requestID returns the ID that the caller assigned to a request, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequest); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return xid.New().String()
}

// bodyError returns the error for a caller whose request's body could not be read.
func bodyError(err error) error {
	var tooLarge *guard.BodyTooLargeError
	if errors.As(err, &tooLarge) {
		return tooLarge
	}
	return &InvalidRequestError{err.Error()}
}

// decode decodes a JSON body. It rejects unknown fields and trailing data.
func decode(r *http.Request, into any) error {
	data, err := guard.ReadBody(r, MaxBodyBytes)
	if err != nil {
		return bodyError(err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &InvalidRequestError{guard.Abridge(err.Error())}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &InvalidRequestError{"something follows the JSON value"}
	}
	return nil
}

func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}
