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

// Reign is one node's ownership of a shard. Commit is for one goroutine at a
// time; the other methods are for any.
type Reign struct {
	store   rowstore.Store
	shard   string
	token   uint64
	row     Row
	version uint64
	former  time.Time     // when the former owner had sent its last transaction, at the latest
	delay   time.Duration // after which a transaction without an answer is sent again
	// sent is when the last successful transaction was sent, and tried since when
	// the store has failed without a success; both in Unix nanoseconds.
	sent   atomic.Int64
	failed atomic.Int64
}

const (
	// minDelay and maxDelay bound after what time without an answer a transaction
	// is sent again; in between it follows the store's own speed.
	minDelay    = 60 * time.Millisecond
	maxDelay    = 1200 * time.Millisecond
	delayRatio  = 3
	delayGrowth = 2
	// resendMost bounds the time between two sendings, but for a store that is
	// slower: the first one after an outage tells of its end.
	resendMost = 400 * time.Millisecond
	// maxCalls bounds the sendings of one transaction under way at once: as many as
	// callTimeout holds, so that a silent store is asked again and again.
	maxCalls    = 10
	callTimeout = 3 * time.Second
	retryPause  = 25 * time.Millisecond
)

// Take makes a node the owner of a shard, provided that the row still is as it
// was seen. It returns a DeposedError if another node was faster.
func Take(ctx context.Context, store rowstore.Store, shard, node, address string, seen Sighting) (*Reign, error) {
	reign := &Reign{
		store: store, shard: shard, version: seen.Version, former: seen.Since, delay: minDelay,
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

// FormerSuccess returns a time before which the former owner had sent the last
// transaction that succeeded.
func (r *Reign) FormerSuccess() time.Time { return r.former }

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
//
// A call without an answer is not given up when another is sent: a slow store
// answers the first, one that loses answers the second. All carry the same
// transaction, of which one at most applies.
func (r *Reign) Commit(ctx context.Context, puts []rowstore.Put, deletes []rowstore.Key) error {
	next := r.row
	next.Sequence++
	calls := &calls{
		reign: r, next: next, begun: time.Now(), results: make(chan result, maxCalls),
		transaction: rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: keyOf(r.shard), Version: r.version}},
			Puts:       append([]rowstore.Put{{Key: keyOf(r.shard), Value: codec.MustMarshal(next)}}, puts...),
			Deletes:    deletes,
		},
	}
	version, err := calls.untilCertain(ctx)
	if err != nil {
		return err
	}
	r.version, r.row = version, next
	return nil
}

// calls are the sendings of one transaction.
type calls struct {
	reign       *Reign
	transaction rowstore.Transaction
	next        Row
	begun       time.Time
	results     chan result
	open        int
}

// result is what came of one sending.
type result struct {
	version uint64
	err     error
	sent    time.Time
}

func (c *calls) untilCertain(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delay := c.reign.delay
	again := time.NewTimer(delay)
	defer again.Stop()
	c.send(ctx)
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-again.C:
			c.reign.failed.CompareAndSwap(0, c.begun.UnixNano())
			if c.open < maxCalls {
				c.send(ctx)
			}
			delay = max(c.reign.delay, min(resendMost, delay*delayGrowth))
			again.Reset(delay)
		case got := <-c.results:
			c.open--
			var deposed *DeposedError
			switch {
			case got.err == nil:
				c.reign.succeeded(got.sent)
				return got.version, nil
			case errors.As(got.err, &deposed):
				return 0, got.err
			}
			c.reign.failed.CompareAndSwap(0, c.begun.UnixNano())
			if c.open == 0 {
				again.Reset(retryPause)
			}
		}
	}
}

// send sends the transaction once more, without waiting for what comes of it.
func (c *calls) send(ctx context.Context) {
	c.open++
	go func() {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		version, err := c.reign.store.Commit(callCtx, c.transaction)
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			version, err = c.reign.settle(conflict, c.next)
		}
		c.results <- result{version, err, sent}
	}()
}

// succeeded notes a transaction's success, and how long its answer took.
func (r *Reign) succeeded(sent time.Time) {
	took := time.Since(sent)
	r.delay = min(maxDelay, max(minDelay, (r.delay+delayRatio*took)/2))
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
