// Package cell implements the cluster-wide operations of callers and operators. An
// operation runs on this box, on the box that owns the unit, or against the table.
package cell

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chutereach/codec"
	"chutereach/commit"
	"chutereach/config"
	"chutereach/control"
	"chutereach/hall"
	"chutereach/job"
	"chutereach/member"
	"chutereach/peer"
	"chutereach/provider"
	"chutereach/publish"
	"chutereach/timeline"
)

// Units gives access to the units that this box owns.
type Units interface {
	// Unit returns the named unit, or nil if this box does not own it.
	Unit(name string) *hall.Unit
	// All returns all units that this box owns.
	All() []*hall.Unit
}

// Deps holds the dependencies of a Cell.
type Deps struct {
	Self      control.BoxRow
	Units     Units
	Members   *member.Members
	Client    *peer.Client
	Publisher *publish.Publisher
	Sender    *commit.Sender
	Inserts   *commit.Group
	View      func() control.View
	Events    *timeline.Ring
	Log       zerolog.Logger
}

// Cell runs operations across all boxes.
type Cell struct {
	Deps
	mu     sync.Mutex
	recent map[string]recentTasks // by unit
}

// recentTasks counts the tasks that this box has submitted to a unit since a point in
// time. The unit's summary may not include them yet.
type recentTasks struct {
	tasks int
	since time.Time
}

// New returns a Cell.
func New(d Deps) *Cell { return &Cell{Deps: d, recent: map[string]recentTasks{}} }

// Paths of calls between boxes.
const (
	pathNotify   = "/peer/notify"
	pathJob      = "/peer/job"
	pathJobs     = "/peer/jobs"
	pathStop     = "/peer/stop"
	pathSettle   = "/peer/settle"
	pathWorkers  = "/peer/workers"
	pathTimeline = "/peer/timeline"
	pathRevision = "/peer/revision"
	pathCurrent  = "/peer/current"
)

// Serve registers the handlers for calls from other boxes.
func (c *Cell) Serve(mux *http.ServeMux) {
	peer.Handle(mux, c.Members.StatePath(), c.Members.HandleState)
	peer.Handle(mux, c.Members.LeavingPath(), c.Members.HandleLeaving)
	peer.Handle(mux, pathNotify, c.localNotify)
	peer.Handle(mux, pathJob, c.localJob)
	peer.Handle(mux, pathJobs, c.localJobs)
	peer.Handle(mux, pathStop, c.localStop)
	peer.Handle(mux, pathSettle, c.localSettle)
	peer.Handle(mux, pathWorkers, c.localWorkers)
	peer.Handle(mux, pathTimeline, c.localTimeline)
	peer.Handle(mux, pathRevision, c.applyRevision)
	peer.Handle(mux, pathCurrent, c.localRevision)
}

// empty is a request or response without content.
type empty struct{}

// NoOwnerError reports that no box currently owns a unit.
type NoOwnerError struct{ Unit string }

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("unit %s currently has no owner; retry in a few seconds", e.Unit)
}

// CodeNoOwner is the wire code of a NoOwnerError.
const CodeNoOwner peer.Code = "no-owner"

// Code implements peer.Coder.
func (e *NoOwnerError) Code() peer.Code { return CodeNoOwner }

// CodeNoJob is the wire code of a hall.JobNotFoundError in calls between boxes.
const CodeNoJob peer.Code = "no-job"

// codedNotFoundError is a hall.JobNotFoundError with a wire code.
type codedNotFoundError struct{ *hall.JobNotFoundError }

func (codedNotFoundError) Code() peer.Code { return CodeNoJob }

// Unwrap lets errors.As find the hall.JobNotFoundError in results of local calls.
func (e codedNotFoundError) Unwrap() error { return e.JobNotFoundError }

// CodeUnavailable is the wire code of a hall.UnavailableError in calls between boxes.
const CodeUnavailable peer.Code = "unavailable"

// codedUnavailableError is a hall.UnavailableError with a wire code.
type codedUnavailableError struct{ *hall.UnavailableError }

func (codedUnavailableError) Code() peer.Code { return CodeUnavailable }

// Unwrap lets errors.As find the hall.UnavailableError in results of local calls.
func (e codedUnavailableError) Unwrap() error { return e.UnavailableError }

// CodeUnconfirmed is the wire code of a hall.UnconfirmedError in calls between boxes.
const CodeUnconfirmed peer.Code = "unconfirmed"

// codedUnconfirmedError is a hall.UnconfirmedError with a wire code.
type codedUnconfirmedError struct{ *hall.UnconfirmedError }

func (codedUnconfirmedError) Code() peer.Code { return CodeUnconfirmed }

// Unwrap lets errors.As find the hall.UnconfirmedError in results of local calls.
func (e codedUnconfirmedError) Unwrap() error { return e.UnconfirmedError }

// withCode adds the wire code to an error of a hall.Unit that has one, and returns other errors unchanged.
func withCode(err error) error {
	var (
		notFound    *hall.JobNotFoundError
		unavailable *hall.UnavailableError
		unconfirmed *hall.UnconfirmedError
	)
	switch {
	case errors.As(err, &notFound):
		return codedNotFoundError{notFound}
	case errors.As(err, &unavailable):
		return codedUnavailableError{unavailable}
	case errors.As(err, &unconfirmed):
		return codedUnconfirmedError{unconfirmed}
	}
	return err
}

// callOwner runs an operation at the owner of a unit. It calls local if this box is the owner, and
// otherwise sends the request to path on the owner's box.
func callOwner[Resp, Req any](ctx context.Context, c *Cell, unit, path string, request Req, local func(context.Context, Req) (Resp, error)) (Resp, error) {
	if c.Units.Unit(unit) != nil {
		return local(ctx, request)
	}
	var response Resp
	owner := c.View().Units[unit].Row.Owner
	row, found := c.View().Boxes[owner]
	if owner == c.Self.Incarnation || !found {
		return response, &NoOwnerError{unit}
	}
	return peer.Call[Resp](ctx, c.Client, row.Row.Peer, path, request)
}

// callAll runs an operation on all boxes concurrently: local on this box, and path on
// its peers. It returns the responses and the names of the peers whose call failed.
func callAll[Resp, Req any](ctx context.Context, c *Cell, path string, request Req, local func(context.Context, Req) (Resp, error)) (responses []Resp, unresponsive []string) {
	peers := c.Members.Peers()
	results := make([]*Resp, len(peers)+1)
	var wg sync.WaitGroup
	wg.Go(func() {
		if r, err := local(ctx, request); err == nil {
			results[len(peers)] = &r
		}
	})
	for i, p := range peers {
		wg.Go(func() {
			r, err := peer.Call[Resp](ctx, c.Client, p.Row.Peer, path, request)
			if err == nil {
				results[i] = &r
			}
		})
	}
	wg.Wait()
	for i, r := range results {
		if r != nil {
			responses = append(responses, *r)
		} else {
			unresponsive = append(unresponsive, peers[i].Row.Incarnation.Box())
		}
	}
	return responses, unresponsive
}

// Submission is a request to create a job.
//
// The field names must not change: the stored digest of a submission covers its JSON
// encoding.
type Submission struct {
	Request job.Request
	Hall    string // empty for any hall that the template allows
	Key     string // optional idempotency key
}

// keyRow is the table row that maps an idempotency key to the job created with it.
type keyRow struct {
	Job    job.ID            `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
}

// KeyReusedError reports that an idempotency key was used before for a different job.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was already used for a different job; use a new key for each job", e.Key)
}

// Submit creates a job. When it returns without an error the job is stored in the table
// and no longer depends on this box. Created is false if the job was created by an
// earlier submission with the same key.
func (c *Cell) Submit(ctx context.Context, account config.Account, s Submission) (id job.ID, created bool, err error) {
	rev := c.Publisher.Current()
	unit, err := c.reserveUnit(rev, s)
	if err != nil {
		return "", false, err
	}
	j, err := job.New(unit, s.Request, account, rev, time.Now().UTC())
	if err != nil {
		return "", false, err
	}
	part := commit.Part{}.Insert(job.InboxKey(j.ID), j.Encode())
	if s.Key != "" {
		row, err := codec.Marshal(keyRow{j.ID, digest(s)})
		if err != nil {
			return "", false, err
		}
		part = part.Insert("jobkey/"+account.Name+"/"+s.Key, row)
	}
	_, err = c.Inserts.Do(ctx, part)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) && s.Key != "" {
		id, err := existingJob(s, conflict.Have)
		return id, false, err
	}
	if err != nil {
		return "", false, err
	}
	go c.notifyOwner(unit)
	return j.ID, true, nil
}

func digest(s Submission) [sha256.Size]byte {
	encoded, err := json.Marshal(s) // deterministic: map keys are sorted
	if err != nil {
		panic(err) // unreachable: every field has a JSON encoding
	}
	return sha256.Sum256(encoded)
}

// existingJob returns the job recorded in the row of the submission's key, or a
// KeyReusedError if that job was created by a different submission.
func existingJob(s Submission, row provider.Row) (job.ID, error) {
	var k keyRow
	if err := codec.Unmarshal(row.Value, &k); err != nil {
		return "", &control.RowError{Key: row.Key, Cause: err}
	}
	if k.Digest != digest(s) {
		return "", &KeyReusedError{s.Key}
	}
	return k.Job, nil
}

// notifyTimeout bounds the notification of a unit's owner. A lost notification only
// delays the job: the owner also polls the inbox.
const notifyTimeout = time.Second

func (c *Cell) notifyOwner(unit string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, err := callOwner(ctx, c, unit, pathNotify, unit, c.localNotify)
	if err != nil {
		c.Log.Debug().Err(err).Str("unit", unit).Msg("failed to notify the unit's owner of a new job")
	}
}

func (c *Cell) localNotify(_ context.Context, unit string) (empty, error) {
	if u := c.Units.Unit(unit); u != nil {
		u.NotifyInbox()
	}
	return empty{}, nil
}

// NoUnitError reports that no unit can run a job's tasks.
type NoUnitError struct {
	Template string
	Hall     string
}

func (e *NoUnitError) Error() string {
	if e.Hall != "" {
		return fmt.Sprintf("template %s may not run in hall %q", e.Template, e.Hall)
	}
	return fmt.Sprintf("no hall has a worker large enough for a task of template %s", e.Template)
}

// reserveUnit chooses the unit for a job and counts the job's tasks immediately, so that
// a burst of submissions is not sent to one unit based on an outdated summary.
func (c *Cell) reserveUnit(rev config.Revision, s Submission) (string, error) {
	summaries := c.summaries()
	c.mu.Lock()
	defer c.mu.Unlock()
	unit, err := c.chooseUnit(rev, s, summaries)
	if err != nil {
		return "", err
	}
	tasks := s.Request.Tasks
	if tasks == 0 {
		tasks = rev.Set.Templates[s.Request.Template].Tasks
	}
	c.countRecent(unit, tasks)
	return unit, nil
}

// chooseUnit returns the unit with the lowest utilization among those in which the job
// may run and that have a worker large enough for its tasks. If there is none it returns
// a random unit among those that report no workers or have no summary. Utilization
// includes tasks that this box submitted recently. The caller must hold c.mu.
func (c *Cell) chooseUnit(rev config.Revision, s Submission, summaries map[string]hall.Summary) (string, error) {
	t, known := rev.Set.Templates[s.Request.Template]
	if !known {
		return "", &job.InvalidError{Reason: fmt.Sprintf("there is no template %q", s.Request.Template)}
	}
	if s.Hall != "" && !t.AllowsHall(s.Hall) {
		return "", &NoUnitError{t.Name, s.Hall}
	}
	best, lowest, unreported := "", 0.0, []string{}
	for _, h := range rev.Set.Halls {
		if !t.AllowsHall(h.Name) || s.Hall != "" && s.Hall != h.Name {
			continue
		}
		for _, unit := range control.HallUnitNames(h) {
			summary, reported := summaries[unit]
			if !reported || summary.Workers == 0 {
				unreported = append(unreported, unit)
				continue
			}
			if !t.Need.Fits(summary.MaxPerWorker) {
				continue
			}
			if u := c.utilization(summary, t); best == "" || u < lowest {
				best, lowest = unit, u
			}
		}
	}
	switch {
	case best != "":
		return best, nil
	case len(unreported) > 0:
		return unreported[rand.IntN(len(unreported))], nil
	}
	return "", &NoUnitError{t.Name, s.Hall}
}

// utilization returns the dominant share of a unit's capacity that is granted to
// tasks or requested by waiting ones. Each waiting task counts with the need of t.
func (c *Cell) utilization(s hall.Summary, t config.Template) float64 {
	waiting := int64(s.Waiting + c.recent[s.Unit].tasks)
	return s.Used.Plus(t.Need.Times(waiting)).DominantShare(s.Capacity)
}

// countRecent adds tasks to the unit's count, which restarts after one second. The caller
// must hold c.mu.
func (c *Cell) countRecent(unit string, tasks int) {
	n := c.recent[unit]
	if time.Since(n.since) > time.Second {
		n = recentTasks{since: time.Now()}
	}
	n.tasks += tasks
	c.recent[unit] = n
}

// summaries returns the latest known summary of each unit, by unit.
func (c *Cell) summaries() map[string]hall.Summary {
	all := map[string]hall.Summary{}
	add := func(s hall.Summary) {
		if old, known := all[s.Unit]; !known || s.Epoch > old.Epoch {
			all[s.Unit] = s
		}
	}
	for _, p := range c.Members.Peers() {
		if !p.Alive() {
			continue
		}
		for _, s := range p.State.Units {
			add(s)
		}
	}
	for _, u := range c.Units.All() {
		add(u.Summary())
	}
	return all
}
