// Package leadership knows who owns a shard. The owner is named by one row of
// the row store; whoever replaces that row under a condition on its version owns
// the shard from then on.
//
// Every transaction of an owner requires the row at the version that the owner
// last wrote and writes it anew. So a former owner's transactions fail, and so
// does a copy of an owner's own transaction that the store carries out late. The
// version of the row at the moment of taking is the reign's fencing token.
package leadership

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/xid"

	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/wait"
)

const (
	table   = "shards"
	rowName = "owner"
)

// Row is what the store holds of a shard's owner.
type Row struct {
	Node     string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"` // for the other nodes
	Reign    string `cbor:"3,keyasint"` // names one time of ownership
	Sequence uint64 `cbor:"4,keyasint"` // counts the owner's transactions
}

// Sighting is a row as it was read. Version 0 means that nobody has owned the
// shard yet.
type Sighting struct {
	Row
	Version uint64
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
	seen := Sighting{Version: row.Version}
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

// Reign is one node's ownership of a shard. Commit is for one goroutine at a
// time; the other methods are for any.
type Reign struct {
	store   rowstore.Store
	shard   string
	token   uint64
	row     Row
	version uint64
	timeout time.Duration
	// sent is when the last successful transaction was sent, and tried since when
	// the store has failed without a success; both in Unix nanoseconds.
	sent   atomic.Int64
	failed atomic.Int64
}

// Bounds of the time that a transaction's answer is waited for; it follows the
// store's own speed between them. A call that is given up and sent again is not
// lost work: if it was applied, the second tells so. A silent store is noticed to
// be back within the longer bound.
const (
	minTimeout   = 150 * time.Millisecond
	maxTimeout   = 600 * time.Millisecond
	retryPause   = 25 * time.Millisecond
	timeoutRatio = 5
)

// Take makes a node the owner of a shard, provided that the row still is as it
// was seen. It returns a DeposedError if another node was faster.
func Take(ctx context.Context, store rowstore.Store, shard, node, address string, seen Sighting) (*Reign, error) {
	reign := &Reign{
		store: store, shard: shard, version: seen.Version, timeout: maxTimeout,
		row: Row{Node: node, Address: address, Reign: xid.New().String()},
	}
	if err := reign.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	reign.token = reign.version
	return reign, nil
}

// Token returns the fencing token of the reign.
func (r *Reign) Token() uint64 { return r.token }

// LastSuccess returns when the last transaction that succeeded was sent.
func (r *Reign) LastSuccess() time.Time { return time.Unix(0, r.sent.Load()) }

// FailingSince returns since when the store has answered nothing well, or the
// zero time.
func (r *Reign) FailingSince() time.Time {
	if since := r.failed.Load(); since != 0 {
		return time.Unix(0, since)
	}
	return time.Time{}
}

// Commit applies puts and deletes as the shard's owner. It tries until the
// outcome is certain: nil, a DeposedError, or the error of ctx.
func (r *Reign) Commit(ctx context.Context, puts []rowstore.Put, deletes []rowstore.Key) error {
	next := r.row
	next.Sequence++
	transaction := rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: keyOf(r.shard), Version: r.version}},
		Puts:       append([]rowstore.Put{{Key: keyOf(r.shard), Value: codec.MustMarshal(next)}}, puts...),
		Deletes:    deletes,
	}
	begun := time.Now()
	for {
		version, err := r.try(ctx, transaction, next)
		if err == nil {
			r.version, r.row = version, next
			return nil
		}
		var deposed *DeposedError
		if errors.As(err, &deposed) {
			return err
		}
		r.failed.CompareAndSwap(0, begun.UnixNano())
		if err := wait.For(ctx, retryPause); err != nil {
			return err
		}
	}
}

func (r *Reign) try(ctx context.Context, transaction rowstore.Transaction, next Row) (uint64, error) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	version, err := r.store.Commit(callCtx, transaction)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		version, err = r.settle(conflict, next)
	}
	if err == nil {
		r.succeeded(sent)
		return version, nil
	}
	var unknown *rowstore.UnknownError
	if errors.As(err, &unknown) {
		r.timeout = min(maxTimeout, 2*r.timeout)
	}
	return 0, err
}

func (r *Reign) succeeded(sent time.Time) {
	took := time.Since(sent)
	r.timeout = min(maxTimeout, max(minTimeout, (3*r.timeout+timeoutRatio*took)/4))
	r.sent.Store(sent.UnixNano())
	r.failed.Store(0)
}

// settle reads from the row of a conflict whether an earlier sending of the same
// transaction has been applied.
func (r *Reign) settle(conflict *rowstore.ConflictError, next Row) (uint64, error) {
	for _, row := range conflict.Rows {
		if row.Key != keyOf(r.shard) {
			continue
		}
		seen, err := sightingOf(row)
		if err != nil {
			return 0, err
		}
		if seen.Row == next {
			return seen.Version, nil
		}
		return 0, &DeposedError{seen}
	}
	return 0, &DeposedError{}
}
