// Package leadership implements leader election for shards. One row of the row store names the
// owner of a shard. A node becomes the owner by replacing that row under a condition on its
// version.
//
// Every transaction of an owner is conditional on the version of the row that the owner last
// wrote, and rewrites the row. The transactions of a former owner therefore fail, and so do late
// copies of the owner's own transactions. The row version written by the acquisition is the
// fencing token of the owner's term, the period during which it owns the shard.
package leadership

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/xid"

	"chutereach/clock"
	"chutereach/codec"
	"chutereach/rowstore"
)

const (
	table   = "shards"
	rowName = "owner"
)

// Row is the stored record of a shard's owner.
type Row struct {
	Node     string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"` // for calls from other nodes
	Term     string `cbor:"3,keyasint"` // unique ID of the term
	Sequence uint64 `cbor:"4,keyasint"` // number of the owner's transactions in this term
	// BoundsSince is the lowest token as of which all owners up to this one have kept lease bounds (package
	// leases). Builds that keep none write rows without it.
	BoundsSince uint64 `cbor:"5,keyasint,omitempty"`
}

// boundsSinceAfter returns BoundsSince for the row of the next owner. Its token is above the version of this row.
func (r ObservedRow) boundsSinceAfter() uint64 {
	if r.BoundsSince != 0 {
		return r.BoundsSince
	}
	return r.Version + 1
}

// ObservedRow is an owner's row as read from the store. Version 0 means that the shard has never had
// an owner.
type ObservedRow struct {
	Row
	Version uint64
	// FirstSeen is when the row was first seen at this version, by the reader's clock. The owner sent
	// its last applied transaction before then.
	FirstSeen time.Time
	// Release is the owner's release of its leases, if it has handed the shard over at this version.
	Release Release
}

// Release tells a successor that the owner extends no leases until a transaction with a higher Sequence has been applied. The
// zero value is none.
type Release struct {
	Term     string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// Leases is how long the longest lease may still last, at the time of the release, that this owner has not granted for its usual
	// time: one of an earlier owner, or of a restarted worker.
	Leases time.Duration `cbor:"3,keyasint,omitempty"`
	// receivedAt is when the successor received the release, by its own clock.
	receivedAt time.Time
}

// WithLeases returns the release with a time for which leases may last.
func (r Release) WithLeases(last time.Duration) Release {
	r.Leases = max(0, last)
	return r
}

// WithReceipt returns the release as received at a time of the successor's clock.
func (r Release) WithReceipt(at time.Time) Release {
	r.receivedAt = at
	return r
}

// ReceivedAt returns when the successor received the release.
func (r Release) ReceivedAt() time.Time { return r.receivedAt }

// covers reports whether the release holds for an owner's row. A row with a higher Sequence shows that its owner may have
// extended leases again.
func (r Release) covers(row Row) bool {
	return r.Term != "" && r.Term == row.Term && row.Sequence <= r.Sequence
}

// WithRelease returns the row with the release of its owner, if that covers it.
func (r ObservedRow) WithRelease(release Release) ObservedRow {
	if release.covers(r.Row) {
		r.Release = release
	}
	return r
}

func ownerKey(shard string) rowstore.Key {
	return rowstore.Key{Table: table, Partition: shard, Name: rowName}
}

// ReadOwner reads the owner's row of a shard.
func ReadOwner(ctx context.Context, store rowstore.Store, shard string) (ObservedRow, error) {
	row, err := rowstore.ReadOne(ctx, store, ownerKey(shard))
	if err != nil {
		return ObservedRow{}, err
	}
	return decodeRow(row)
}

func decodeRow(row rowstore.Row) (ObservedRow, error) {
	seen := ObservedRow{Version: row.Version, FirstSeen: time.Now()}
	if row.Version == 0 {
		return seen, nil
	}
	if err := codec.Unmarshal(row.Value, &seen.Row); err != nil {
		return ObservedRow{}, &RowError{err}
	}
	return seen, nil
}

// RowError reports that an owner's row cannot be decoded.
type RowError struct{ Cause error }

func (e *RowError) Error() string { return fmt.Sprintf("decoding the owner's row: %v", e.Cause) }

func (e *RowError) Unwrap() error { return e.Cause }

// DeposedError reports that another node now owns the shard.
type DeposedError struct{ Owner ObservedRow }

func (e *DeposedError) Error() string {
	return fmt.Sprintf("shard is owned by node %s as of row version %d", e.Owner.Node, e.Owner.Version)
}

// Term is one node's ownership of a shard. Commit must not be called concurrently; the other
// methods are safe for concurrent use.
type Term struct {
	store       rowstore.Store
	shard       string
	id          string // Row.Term
	token       uint64
	boundsSince uint64 // Row.BoundsSince
	row         Row
	version     uint64
	// confirmed is a copy of version for concurrent readers.
	confirmed        atomic.Uint64
	formerSentBefore time.Time // upper bound of when the previous owner sent its last applied transaction
	formerRelease    Release   // of the previous owner's leases; zero if it has not released them
	// started and applied are the Sequence of the last transaction that was started, and of the last that is known to be applied.
	started, applied atomic.Uint64
	// answerTimeout is how long a transaction may go unanswered before the owner's row is read to
	// learn its outcome.
	answerTimeout time.Duration
	// largeStall is how long sending a large transaction may make no progress before it is
	// presumed lost. It is reduced when large transactions are answered sooner.
	largeStall time.Duration
	// lastCommitSent is when the last applied transaction was first sent. failingSince is when the
	// store stopped answering, or zero.
	lastCommitSent clock.Atomic
	failingSince   clock.Atomic
	// restoredAt is when the last outage of the store ended.
	restoredAt clock.Atomic
}

// Acquire makes a node the owner of a shard, provided that the row has not changed since it was seen.
// It returns a DeposedError if another node has become the owner.
func Acquire(ctx context.Context, store rowstore.Store, shard, node, address string, seen ObservedRow) (*Term, error) {
	term := &Term{
		store: store, shard: shard, version: seen.Version, formerSentBefore: seen.FirstSeen, answerTimeout: minAnswerTimeout, largeStall: maxLargeStall,
		formerRelease: seen.Release,
		row:           Row{Node: node, Address: address, Term: xid.New().String(), BoundsSince: seen.boundsSinceAfter()},
	}
	term.id, term.boundsSince = term.row.Term, term.row.BoundsSince
	if err := term.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	term.token = term.version
	return term, nil
}

// RestoredAt returns when the last outage of the store ended, or the zero time.
func (r *Term) RestoredAt() time.Time { return r.restoredAt.Load().Time() }

// Token returns the fencing token of the term.
func (r *Term) Token() uint64 { return r.token }

// ConfirmedVersion returns the version of the owner's row written by the last transaction known to be
// applied. It is at least the token, and less than the token of any successor.
func (r *Term) ConfirmedVersion() uint64 { return r.confirmed.Load() }

// FormerSentBefore returns an upper bound of the time at which the previous owner sent its last
// applied transaction.
func (r *Term) FormerSentBefore() time.Time { return r.formerSentBefore }

// BoundsSince returns the lowest token as of which all owners, up to this one, have kept lease bounds.
func (r *Term) BoundsSince() uint64 { return r.boundsSince }

// FormerRelease returns the previous owner's release of its leases, or the zero value.
func (r *Term) FormerRelease() Release { return r.formerRelease }

// Release returns a release of this owner's leases. The owner must extend none from before the call until Resumed.
func (r *Term) Release() Release { return Release{Term: r.id, Sequence: r.started.Load()} }

// Resumed reports whether a transaction that began after a release has been applied. The release covers the owner's row no
// longer then.
func (r *Term) Resumed(release Release) bool { return r.applied.Load() > release.Sequence }

// SinceLastCommit returns the time since the last applied transaction was first sent, including time
// during which the machine was suspended. A successor may have acquired the shard in that time,
// and computes the expiry of leases from the last transaction that it saw.
func (r *Term) SinceLastCommit() time.Duration { return r.lastCommitSent.Load().Since() }

// FailingSince returns when the store stopped answering, or the zero time if it answers. A slow
// store does not count as failing.
func (r *Term) FailingSince() time.Time { return r.failingSince.Load().Time() }
