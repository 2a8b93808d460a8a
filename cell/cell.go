// Package cell carries out what callers and operators ask, on whichever box it
// can be done: here, at the owner of a unit, or in the table.
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

// Units is what a box needs to know of the units that it owns.
type Units interface {
	// Unit returns a unit that this box owns, or nil.
	Unit(name string) *hall.Unit
	// All returns every unit that this box owns.
	All() []*hall.Unit
}

// Deps are what a Cell works with.
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

// Cell carries out operations over all boxes.
type Cell struct {
	Deps
	mu   sync.Mutex
	sent map[string]sentTo // by unit
}

// sentTo is how much work this box has sent to a unit since the unit's owner
// last said what it has.
type sentTo struct {
	tasks int
	heard time.Time
}

// New returns a Cell.
func New(d Deps) *Cell { return &Cell{Deps: d, sent: map[string]sentTo{}} }

// Paths of the calls between boxes.
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

// Serve adds the calls that other boxes make.
func (c *Cell) Serve(mux *http.ServeMux) {
	peer.Handle(mux, c.Members.Path(), c.Members.Answer)
	peer.Handle(mux, c.Members.LeavingPath(), c.Members.Left)
	peer.Handle(mux, pathNotify, c.notified)
	peer.Handle(mux, pathJob, c.ownJob)
	peer.Handle(mux, pathJobs, c.ownJobs)
	peer.Handle(mux, pathStop, c.ownStop)
	peer.Handle(mux, pathSettle, c.ownSettle)
	peer.Handle(mux, pathWorkers, c.ownWorkers)
	peer.Handle(mux, pathTimeline, c.ownTimeline)
	peer.Handle(mux, pathRevision, c.pushed)
	peer.Handle(mux, pathCurrent, c.ownCurrent)
}

// none stands where a call says nothing.
type none struct{}

// NoOwnerError says that nobody runs a unit at the moment.
type NoOwnerError struct{ Unit string }

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("unit %s has no owner at the moment; try again in some seconds", e.Unit)
}

// CodeNoOwner is the code of a NoOwnerError.
const CodeNoOwner peer.Code = "no-owner"

// Code implements peer.Coder.
func (e *NoOwnerError) Code() peer.Code { return CodeNoOwner }

// CodeNoJob is the code of a hall.NoJobError between boxes.
const CodeNoJob peer.Code = "no-job"

// noJob gives a NoJobError its code.
type noJob struct{ *hall.JobNotFoundError }

func (noJob) Code() peer.Code { return CodeNoJob }

// Unwrap lets callers on this box find the NoJobError.
func (e noJob) Unwrap() error { return e.JobNotFoundError }

func coded(err error) error {
	var missing *hall.JobNotFoundError
	if errors.As(err, &missing) {
		return noJob{missing}
	}
	return err
}

// atOwner carries out a call at a unit's owner: here by do, or there by path.
func atOwner[A, R any](ctx context.Context, c *Cell, unit, path string, request R, do func(context.Context, R) (A, error)) (A, error) {
	if c.Units.Unit(unit) != nil {
		return do(ctx, request)
	}
	var answer A
	owner := c.View().Units[unit].Row.Owner
	row, there := c.View().Boxes[owner]
	if owner == c.Self.Incarnation || !there {
		return answer, &NoOwnerError{unit}
	}
	return peer.Call[A](ctx, c.Client, row.Row.Peer, path, request)
}

// everywhere makes a call at every box that answers, this one included, and
// returns the answers and the boxes that gave none.
func everywhere[A, R any](ctx context.Context, c *Cell, path string, request R, do func(context.Context, R) (A, error)) (answers []A, silent []string) {
	peers := c.Members.Peers()
	got := make([]*A, len(peers)+1)
	var wg sync.WaitGroup
	wg.Go(func() {
		if a, err := do(ctx, request); err == nil {
			got[len(peers)] = &a
		}
	})
	for i, p := range peers {
		wg.Go(func() {
			a, err := peer.Call[A](ctx, c.Client, p.Row.Peer, path, request)
			if err == nil {
				got[i] = &a
			}
		})
	}
	wg.Wait()
	for i, a := range got {
		if a != nil {
			answers = append(answers, *a)
		} else {
			silent = append(silent, peers[i].Row.Incarnation.Box())
		}
	}
	return answers, silent
}

// Submission is a job to create, and the key by which the caller may hand it in
// again without creating it again.
type Submission struct {
	Request job.Request
	Hall    string // "" leaves the choice to the box
	Key     string
}

// keyRow remembers which job a key created.
type keyRow struct {
	Job    job.ID            `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
}

// KeyReusedError says that a key came with another job before.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("the key %q was used for a different job; use a new key for a new job", e.Key)
}

// Submit creates a job. When it returns without error the job is in the table
// and will run, whatever becomes of this box. Created is false if the key's job
// was there already.
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
		id, err := known(s, conflict.Have)
		return id, false, err
	}
	if err != nil {
		return "", false, err
	}
	go c.notify(unit)
	return j.ID, true, nil
}

func digest(s Submission) [sha256.Size]byte {
	text, err := json.Marshal(s) // which writes maps in the order of their keys
	if err != nil {
		panic(err) // the type holds nothing that JSON refuses
	}
	return sha256.Sum256(text)
}

// known returns the job that a key created before.
func known(s Submission, row provider.Row) (job.ID, error) {
	var k keyRow
	if err := codec.Unmarshal(row.Value, &k); err != nil {
		return "", &control.RowError{Key: row.Key, Cause: err}
	}
	if k.Digest != digest(s) {
		return "", &KeyReusedError{s.Key}
	}
	return k.Job, nil
}

// notifyTimeout bounds a hint; the inbox is read anyway.
const notifyTimeout = time.Second

func (c *Cell) notify(unit string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, err := atOwner(ctx, c, unit, pathNotify, unit, c.notified)
	if err != nil {
		c.Log.Debug().Err(err).Str("unit", unit).Msg("Owner could not be told of a job.")
	}
}

func (c *Cell) notified(_ context.Context, unit string) (none, error) {
	if u := c.Units.Unit(unit); u != nil {
		u.NotifyInbox()
	}
	return none{}, nil
}

// NoUnitError says that no hall can run a job's tasks.
type NoUnitError struct {
	Template string
	Hall     string
}

func (e *NoUnitError) Error() string {
	if e.Hall != "" {
		return fmt.Sprintf("template %s may not run in hall %q", e.Template, e.Hall)
	}
	return fmt.Sprintf("no hall has a worker that is large enough for template %s", e.Template)
}

// reserveUnit chooses the unit of a job and counts the job in at once, so that a
// burst does not go to one unit that was empty a moment ago.
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
	c.countSent(unit, tasks)
	return unit, nil
}

// chooseUnit returns the unit with the least work for its size among those in
// which the job may run and that have a worker for it. What is known of units
// is up to a second old; work sent since then is counted in. The caller holds
// c.mu.
func (c *Cell) chooseUnit(rev config.Revision, s Submission, summaries map[string]hall.Summary) (string, error) {
	t, known := rev.Set.Templates[s.Request.Template]
	if !known {
		return "", &job.InvalidError{Reason: fmt.Sprintf("there is no template %q", s.Request.Template)}
	}
	if s.Hall != "" && !t.AllowsHall(s.Hall) {
		return "", &NoUnitError{t.Name, s.Hall}
	}
	best, least, unheard := "", 0.0, []string{}
	for _, h := range rev.Set.Halls {
		if !t.AllowsHall(h.Name) || s.Hall != "" && s.Hall != h.Name {
			continue
		}
		for _, unit := range control.UnitsOf(h) {
			sum, heard := summaries[unit]
			if !heard || sum.Workers == 0 {
				unheard = append(unheard, unit)
				continue
			}
			if !t.Need.Fits(sum.MaxPerWorker) {
				continue
			}
			if f := c.fullness(sum, t); best == "" || f < least {
				best, least = unit, f
			}
		}
	}
	switch {
	case best != "":
		return best, nil
	case len(unheard) > 0:
		return unheard[rand.IntN(len(unheard))], nil
	}
	return "", &NoUnitError{t.Name, s.Hall}
}

// fullness returns how much of a unit is taken or spoken for, in shares of it.
func (c *Cell) fullness(s hall.Summary, t config.Template) float64 {
	waiting := int64(s.Waiting + c.sent[s.Unit].tasks)
	return s.Used.Plus(t.Need.Times(waiting)).Dominant(s.Capacity)
}

func (c *Cell) countSent(unit string, tasks int) {
	n := c.sent[unit]
	if time.Since(n.heard) > time.Second {
		n = sentTo{heard: time.Now()}
	}
	n.tasks += tasks
	c.sent[unit] = n
}

// summaries returns what is known of every unit.
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
