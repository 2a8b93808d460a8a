// Package leadership knows who owns a shard. The owner is named by one row of
// the row store; whoever replaces that row under a condition on its version owns
// the shard from then on.
//
// Every transaction of an owner requires the row at the version that the owner
// last wrote and writes it anew. So a former owner's transactions fail, and so
// does a copy of an owner's own transaction that the store carries out late. The
// version of the row at the moment of taking is the fencing token of the owner's term:
// the time for which it owns the shard.
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

// Row is what the store holds of a shard's owner.
type Row struct {
	Node     string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"` // for the other nodes
	Term     string `cbor:"3,keyasint"` // names one time of ownership
	Sequence uint64 `cbor:"4,keyasint"` // counts the owner's transactions
}

// Sighting is a row as it was read. Version 0 means that nobody has owned the
// shard yet.
type Sighting struct {
	Row
	Version uint64
	// Since is when the row was first seen at this version, by the observer's clock:
	// the owner's last transaction was sent before.
	Since time.Time
}

func keyOf(shard string) rowstore.Key {
	return rowstore.Key{Table: table, Partition: shard, Name: rowName}
}

// Look reads who owns a shard.
func Look(ctx context.Context, store rowstore.Store, shard string) (Sighting, error) {
	row, err := rowstore.ReadOne(ctx, store, keyOf(shard))
	if err != nil {
		return Sighting{}, err
	}
	return sightingOf(row)
}

func sightingOf(row rowstore.Row) (Sighting, error) {
	seen := Sighting{Version: row.Version, Since: time.Now()}
	if row.Version == 0 {
		return seen, nil
	}
	if err := codec.Unmarshal(row.Value, &seen.Row); err != nil {
		return Sighting{}, &RowError{err}
	}
	return seen, nil
}

// RowError says that an owner's row cannot be read.
type RowError struct{ Cause error }

func (e *RowError) Error() string { return fmt.Sprintf("the owner's row: %v", e.Cause) }

func (e *RowError) Unwrap() error { return e.Cause }

// DeposedError says that another node owns the shard now.
type DeposedError struct{ By Sighting }

func (e *DeposedError) Error() string {
	return fmt.Sprintf("node %s owns the shard since version %d", e.By.Node, e.By.Version)
}

// Term is one node's ownership of a shard. Commit is for one goroutine at a
// time; the other methods are for any.
type Term struct {
	store   rowstore.Store
	shard   string
	token   uint64
	row     Row
	version uint64
	// confirmed is version, for any goroutine.
	confirmed atomic.Uint64
	former    time.Time // when the former owner had sent its last transaction, at the latest
	// patience is how long a transaction may go without an answer before the store is
	// asked what became of it.
	patience time.Duration
	// largeQuiet is for how long nothing may have been sent of a large transaction for it to
	// count as lost.
	largeQuiet time.Duration
	// sent is when the last transaction that was applied was first sent, and failed since
	// when the store has answered no call.
	sent   clock.Atomic
	failed clock.Atomic
	// restored is when the store last answered again after an outage.
	restored clock.Atomic
}

// Take makes a node the owner of a shard, provided that the row still is as it
// was seen. It returns a DeposedError if another node was faster.
func Take(ctx context.Context, store rowstore.Store, shard, node, address string, seen Sighting) (*Term, error) {
	term := &Term{
		store: store, shard: shard, version: seen.Version, former: seen.Since, patience: leastPatience, largeQuiet: largeQuiet,
		row: Row{Node: node, Address: address, Term: xid.New().String()},
	}
	if err := term.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	term.token = term.version
	return term, nil
}

// RestoredAt returns when the last outage of the store ended, or the zero time.
func (r *Term) RestoredAt() time.Time { return r.restored.Load().Time() }

// Token returns the fencing token of the term.
func (r *Term) Token() uint64 { return r.token }

// Confirmed returns the version of the owner's row as of the last transaction that is known to
// have been applied. It is at least the token, and below that of any successor.
func (r *Term) Confirmed() uint64 { return r.confirmed.Load() }

// FormerSuccess returns a time before which the former owner had sent the last
// transaction that succeeded.
func (r *Term) FormerSuccess() time.Time { return r.former }

// Unconfirmed returns for how long the store has not confirmed the term: the time since the
// last transaction that was applied was first sent, with that in which the machine was
// suspended. A successor may have taken the shard meanwhile, and counts from there when
// leases have run out.
func (r *Term) Unconfirmed() time.Duration { return r.sent.Load().Since() }

// FailingSince returns since when the store has answered nothing, or the zero time. A
// store that is slow is not failing.
func (r *Term) FailingSince() time.Time { return r.failed.Load().Time() }
