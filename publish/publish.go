// Package publish accepts revisions of the configuration and brings them into
// force on every box.
//
// A revision is accepted by one transaction that moves the head and inserts the
// revision's row. A box learns of it from its peers, who push, or from the
// head, which it reads every tick; it applies only higher revisions.
package publish

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"chutereach/codec"
	"chutereach/commit"
	"chutereach/config"
	"chutereach/control"
	"chutereach/peer"
	"chutereach/provider"
	"chutereach/timeline"
)

// revisionKey returns the key of a revision's row; the digits keep the rows in
// order.
func revisionKey(n uint64) string { return fmt.Sprintf("config/%016d", n) }

const revisionPrefix = "config/"

// Publisher holds the revision in force on this box.
type Publisher struct {
	sender *commit.Sender
	events *timeline.Ring
	log    zerolog.Logger
	apply  []func(config.Revision)

	applying sync.Mutex // keeps revisions in order while they are applied
	mu       sync.Mutex
	current  config.Revision
	since    time.Time
	checked  time.Time // when the head was last known to be no higher
}

// New returns a Publisher with no revision in force.
func New(sender *commit.Sender, events *timeline.Ring, log zerolog.Logger) *Publisher {
	return &Publisher{sender: sender, events: events, log: log, current: config.Revision{Set: config.NewSet()}}
}

// OnApply calls f with each revision that comes into force, in order. It must be
// called before the first revision comes.
func (p *Publisher) OnApply(f func(config.Revision)) { p.apply = append(p.apply, f) }

// Current returns the revision in force; its Number is 0 before the first.
func (p *Publisher) Current() config.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Since returns since when the current revision has been in force here.
func (p *Publisher) Since() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since
}

// Checked returns when the head was last seen to be no higher than the current
// revision.
func (p *Publisher) Checked() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checked
}

// Apply brings r into force if it is higher than the current revision.
func (p *Publisher) Apply(r config.Revision) {
	p.applying.Lock()
	defer p.applying.Unlock()
	p.mu.Lock()
	if r.Number <= p.current.Number {
		p.mu.Unlock()
		return
	}
	p.current, p.since = r, time.Now()
	p.mu.Unlock()
	p.events.Add(timeline.Event{Kind: timeline.ConfigInForce, Detail: fmt.Sprintf("revision %d by %s", r.Number, r.Author)})
	p.log.Info().Uint64("revision", r.Number).Msg("Revision is in force.")
	for _, f := range p.apply {
		f(r)
	}
}

// SetView follows the head that a view shows.
func (p *Publisher) SetView(ctx context.Context, v control.View) {
	if v.Head.Row.Revision > p.Current().Number {
		r, err := p.Read(ctx, v.Head.Row.Revision)
		if err != nil {
			p.log.Warn().Err(err).Uint64("revision", v.Head.Row.Revision).Msg("Revision cannot be read.")
			return
		}
		p.Apply(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checked = v.Asked
}

// Heard brings a revision into force that a peer has, read by read from there. It
// is how a box follows while the table is out of reach.
func (p *Publisher) Heard(number uint64, read func() (config.Revision, error)) {
	if number <= p.Current().Number {
		return
	}
	r, err := read()
	if err != nil {
		p.log.Warn().Err(err).Uint64("revision", number).Msg("Revision cannot be had from a peer.")
		return
	}
	p.Apply(r)
}

// NoRevisionError says that there is no such revision.
type NoRevisionError struct{ Number uint64 }

func (e *NoRevisionError) Error() string { return fmt.Sprintf("there is no revision %d", e.Number) }

// Read reads an accepted revision.
func (p *Publisher) Read(ctx context.Context, n uint64) (config.Revision, error) {
	row, err := p.sender.Table().Get(ctx, revisionKey(n))
	if err != nil {
		return config.Revision{}, err
	}
	if !row.Exists() {
		return config.Revision{}, &NoRevisionError{n}
	}
	var r config.Revision
	if err := codec.Unmarshal(row.Value, &r); err != nil {
		return config.Revision{}, &control.RowError{Key: row.Key, Cause: err}
	}
	return r, nil
}

// ConflictError says that another operator's revision was accepted first.
type ConflictError struct {
	Base   uint64
	Winner config.Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s was accepted since revision %d, on which this change rests; "+
		"run 'chutereach plan' again and look at what differs", e.Winner.Number, e.Winner.Author, e.Base)
}

// CodeConflict is the code of a ConflictError.
const CodeConflict peer.Code = "conflict"

// Code implements peer.Coder.
func (e *ConflictError) Code() peer.Code { return CodeConflict }

// Proposal is a change that an operator wants accepted.
type Proposal struct {
	Base    uint64     `json:"base"` // the revision on which it rests
	Set     config.Set `json:"set"`
	Author  string     `json:"author"`
	Message string     `json:"message,omitempty"`
}

// Propose accepts a change: it becomes the next revision, or there is a
// ConflictError. A lost answer is settled by the sender, never guessed.
func (p *Publisher) Propose(ctx context.Context, c Proposal) (config.Revision, error) {
	if errs := c.Set.Check(); len(errs) > 0 {
		return config.Revision{}, errs[0]
	}
	head, err := p.head(ctx)
	if err != nil {
		return config.Revision{}, err
	}
	if head.Row.Revision != c.Base {
		return config.Revision{}, p.conflict(ctx, c, head.Row.Revision)
	}
	r := config.Revision{Number: c.Base + 1, Set: c.Set, Author: c.Author, Message: c.Message, At: time.Now().UTC()}
	data, err := codec.Marshal(r)
	if err != nil {
		return config.Revision{}, &control.RowError{Key: revisionKey(r.Number), Cause: err}
	}
	t := provider.Txn{ID: xid.New().String()}.
		Put(control.HeadKey, head.Version, control.Encode(control.HeadRow{Revision: r.Number})).
		Put(revisionKey(r.Number), 0, data)
	_, err = p.sender.Do(ctx, t)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		return config.Revision{}, p.conflict(ctx, c, r.Number)
	}
	if err != nil {
		return config.Revision{}, err
	}
	p.events.Add(timeline.Event{Kind: timeline.ConfigAccepted, Detail: fmt.Sprintf("revision %d by %s", r.Number, r.Author)})
	p.Apply(r)
	return r, nil
}

func (p *Publisher) head(ctx context.Context) (control.Versioned[control.HeadRow], error) {
	var head control.Versioned[control.HeadRow]
	row, err := p.sender.Table().Get(ctx, control.HeadKey)
	if err != nil || !row.Exists() {
		return head, err
	}
	head.Version = row.Version
	return head, codec.Unmarshal(row.Value, &head.Row)
}

// conflict names the revision that came first.
func (p *Publisher) conflict(ctx context.Context, c Proposal, winner uint64) error {
	r, err := p.Read(ctx, winner)
	if err != nil {
		r = config.Revision{Number: winner, Author: "another operator"}
	}
	return &ConflictError{c.Base, r}
}

// History returns the newest revisions, the newest first, without their sets.
func (p *Publisher) History(ctx context.Context, limit int) ([]config.Revision, error) {
	from := ""
	if n := p.Current().Number; n > uint64(limit) {
		from = revisionKey(n - uint64(limit))
	}
	rows, err := p.sender.Table().Range(ctx, revisionPrefix, from, limit)
	if err != nil {
		return nil, err
	}
	var all []config.Revision
	for i := len(rows) - 1; i >= 0; i-- {
		var r config.Revision
		if err := codec.Unmarshal(rows[i].Value, &r); err != nil {
			return nil, &control.RowError{Key: rows[i].Key, Cause: err}
		}
		r.Set = config.Set{}
		all = append(all, r)
	}
	return all, nil
}
