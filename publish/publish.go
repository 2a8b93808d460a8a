// Package publish commits revisions of the configuration and applies them on
// every box.
//
// A revision is accepted by one transaction that advances the head and inserts
// the revision's row. Other boxes receive it by a push from a peer, or read it once
// they see the new head among the control rows. A box ignores a revision that is
// not newer than its own.
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

// revisionKey returns the key of a revision's row. The number is padded so that
// keys sort by revision.
func revisionKey(n uint64) string { return fmt.Sprintf("config/%016d", n) }

const revisionPrefix = "config/"

// Publisher holds the current revision of this box: the one it last applied.
type Publisher struct {
	sender    *commit.Sender
	events    *timeline.Ring
	log       zerolog.Logger
	callbacks []func(config.Revision)

	applyMu       sync.Mutex // held while callbacks run, so that they see revisions in order
	mu            sync.Mutex
	current       config.Revision
	inForceSince  time.Time
	headCheckedAt time.Time // when the head was last known to be no newer than current
}

// New returns a Publisher that has not applied a revision.
func New(sender *commit.Sender, events *timeline.Ring, log zerolog.Logger) *Publisher {
	return &Publisher{sender: sender, events: events, log: log, current: config.Revision{Set: config.NewSet()}}
}

// OnApply registers f to be called with each revision that is applied, in order.
// It must be called before any revision is applied.
func (p *Publisher) OnApply(f func(config.Revision)) { p.callbacks = append(p.callbacks, f) }

// Current returns the current revision. Its Number is 0 if none was applied.
func (p *Publisher) Current() config.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// InForceSince returns the time at which the current revision was applied on this box.
func (p *Publisher) InForceSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inForceSince
}

// HeadCheckedAt returns the latest time at which the head is known to have been no newer
// than the current revision.
func (p *Publisher) HeadCheckedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.headCheckedAt
}

// Apply makes r the current revision and runs the callbacks, if r is newer than
// the current revision.
func (p *Publisher) Apply(r config.Revision) {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	p.mu.Lock()
	if r.Number <= p.current.Number {
		p.mu.Unlock()
		return
	}
	p.current, p.inForceSince = r, time.Now()
	p.mu.Unlock()
	p.events.Add(timeline.Event{Kind: timeline.ConfigInForce, Detail: fmt.Sprintf("revision %d by %s", r.Number, r.Author)})
	p.log.Info().Uint64("revision", r.Number).Msg("configuration revision applied")
	for _, f := range p.callbacks {
		f(r)
	}
}

// FollowHead reads and applies the revision at the head in v, if it is newer than the
// current one.
func (p *Publisher) FollowHead(ctx context.Context, v control.View) {
	if v.Head.Row.Revision > p.Current().Number {
		r, err := p.Read(ctx, v.Head.Row.Revision)
		if err != nil {
			p.log.Warn().Err(err).Uint64("revision", v.Head.Row.Revision).Msg("cannot read configuration revision")
			return
		}
		p.Apply(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.headCheckedAt = v.RequestedAt
}

// ApplyFromPeer applies the revision with the given number, which read fetches from a peer,
// if it is newer than the current one. It lets a box receive revisions while it
// cannot reach the table.
func (p *Publisher) ApplyFromPeer(number uint64, read func() (config.Revision, error)) {
	if number <= p.Current().Number {
		return
	}
	r, err := read()
	if err != nil {
		p.log.Warn().Err(err).Uint64("revision", number).Msg("cannot fetch configuration revision from a peer")
		return
	}
	p.Apply(r)
}

// RevisionNotFoundError is the error for a revision that does not exist.
type RevisionNotFoundError struct{ Number uint64 }

func (e *RevisionNotFoundError) Error() string {
	return fmt.Sprintf("there is no revision %d", e.Number)
}

// Read reads an accepted revision from the table.
func (p *Publisher) Read(ctx context.Context, n uint64) (config.Revision, error) {
	row, err := p.sender.Table().Get(ctx, revisionKey(n))
	if err != nil {
		return config.Revision{}, err
	}
	if !row.Exists() {
		return config.Revision{}, &RevisionNotFoundError{n}
	}
	var r config.Revision
	if err := codec.Unmarshal(row.Value, &r); err != nil {
		return config.Revision{}, &control.RowError{Key: row.Key, Cause: err}
	}
	return r, nil
}

// ConflictError is the error for a change whose base is not the head, because
// another revision was accepted first.
type ConflictError struct {
	Base   uint64
	Winner config.Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s was accepted after revision %d, on which this change is based; "+
		"run 'chutereach plan' again and review the differences", e.Winner.Number, e.Winner.Author, e.Base)
}

const CodeConflict peer.Code = "conflict"

// Code implements peer.Coder.
func (e *ConflictError) Code() peer.Code { return CodeConflict }

// Proposal is a change to the configuration that an operator submits.
type Proposal struct {
	Base    uint64     `json:"base"` // number of the revision on which the change is based
	Set     config.Set `json:"set"`
	Author  string     `json:"author"`
	Message string     `json:"message,omitempty"`
}

// Propose commits a change as the next revision and applies it on this box. It
// returns a ConflictError if the head is not the base of the change. If the answer
// to the transaction is lost, the sender repeats it until the outcome is known or
// ctx ends.
func (p *Publisher) Propose(ctx context.Context, proposal Proposal) (config.Revision, error) {
	if errs := proposal.Set.Check(); len(errs) > 0 {
		return config.Revision{}, errs[0]
	}
	head, err := p.readHead(ctx)
	if err != nil {
		return config.Revision{}, err
	}
	if head.Row.Revision != proposal.Base {
		return config.Revision{}, p.newConflictError(ctx, proposal, head.Row.Revision)
	}
	r := config.Revision{Number: proposal.Base + 1, Set: proposal.Set, Author: proposal.Author, Message: proposal.Message, At: time.Now().UTC()}
	data, err := codec.Marshal(r)
	if err != nil {
		return config.Revision{}, &control.RowError{Key: revisionKey(r.Number), Cause: err}
	}
	txn := provider.Txn{ID: xid.New().String()}.
		Put(control.HeadKey, head.Version, control.Encode(control.HeadRow{Revision: r.Number})).
		Put(revisionKey(r.Number), 0, data)
	_, err = p.sender.Do(ctx, txn)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		return config.Revision{}, p.newConflictError(ctx, proposal, r.Number)
	}
	if err != nil {
		return config.Revision{}, err
	}
	p.events.Add(timeline.Event{Kind: timeline.ConfigAccepted, Detail: fmt.Sprintf("revision %d by %s", r.Number, r.Author)})
	p.Apply(r)
	return r, nil
}

// readHead reads the head. It returns a zero row if there is none.
func (p *Publisher) readHead(ctx context.Context) (control.Versioned[control.HeadRow], error) {
	var head control.Versioned[control.HeadRow]
	row, err := p.sender.Table().Get(ctx, control.HeadKey)
	if err != nil || !row.Exists() {
		return head, err
	}
	head.Version = row.Version
	return head, codec.Unmarshal(row.Value, &head.Row)
}

// newConflictError returns a ConflictError with the accepted revision, or with a
// placeholder if that cannot be read.
func (p *Publisher) newConflictError(ctx context.Context, proposal Proposal, winner uint64) error {
	r, err := p.Read(ctx, winner)
	if err != nil {
		r = config.Revision{Number: winner, Author: "another operator"}
	}
	return &ConflictError{proposal.Base, r}
}

// History returns the newest revisions without their sets, newest first. At most
// limit are returned, counted back from the current revision.
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
