// Package commit sends transactions to the platform's table until their fate is
// known, at the rate that the table allows, and gathers small ones into larger
// ones.
package commit

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"chutereach/provider"
	"chutereach/wait"
)

const (
	firstRetry = 20 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// UndecidedError says that the caller gave up before a transaction's fate was
// known. It may have taken effect and may still do so.
type UndecidedError struct {
	Txn   string
	Cause error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether transaction %s took effect: %v", e.Txn, e.Cause)
}

func (e *UndecidedError) Unwrap() error { return e.Cause }

// AbandonedError says that the caller gave up on a transaction that surely had
// no effect.
type AbandonedError struct {
	Txn   string
	Cause error
}

func (e *AbandonedError) Error() string {
	return fmt.Sprintf("transaction %s was not carried out: %v", e.Txn, e.Cause)
}

func (e *AbandonedError) Unwrap() error { return e.Cause }

// Stats counts what a Sender did.
type Stats struct {
	Sent      atomic.Int64 // requests to the table
	Resent    atomic.Int64 // of them, repeats
	ReadBack  atomic.Int64 // transactions found to have applied unheard
	Conflicts atomic.Int64
}

// Sender sends transactions to a table.
type Sender struct {
	table provider.Table
	limit *rate.Limiter
	Stats Stats
}

// NewSender returns a Sender that sends to table no faster than limit.
func NewSender(table provider.Table, limit *rate.Limiter) *Sender {
	return &Sender{table: table, limit: limit}
}

// Table returns the table to read from.
func (s *Sender) Table() provider.Table { return s.table }

// Wait blocks until the rate limit allows one more transaction. A caller that
// gathers a batch waits first and gathers after, so that batches grow as the
// limit nears; it then calls DoNow.
func (s *Sender) Wait(ctx context.Context) error { return s.limit.Wait(ctx) }

// Do sends t until its fate is known or ctx ends. It returns the version of the
// rows written, or a ConflictError, an AbandonedError or an UndecidedError.
func (s *Sender) Do(ctx context.Context, t provider.Txn) (uint64, error) {
	if err := s.Wait(ctx); err != nil {
		return 0, &AbandonedError{t.ID, err}
	}
	return s.DoNow(ctx, t)
}

// DoNow is Do for a caller that has waited already.
//
// The same transaction, with the same conditions, is sent until it has an
// answer. A copy that the table takes up late conflicts with the one that was
// heard, so sending it often does no harm.
func (s *Sender) DoNow(ctx context.Context, t provider.Txn) (uint64, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, lastRetry
	open := false // an earlier sending may have taken effect
	for {
		s.Stats.Sent.Add(1)
		version, err := s.table.Commit(ctx, t)
		if err == nil {
			return version, nil
		}
		var conflict *provider.ConflictError
		if errors.As(err, &conflict) {
			if !open {
				s.Stats.Conflicts.Add(1)
				return 0, conflict
			}
			version, applied, backErr := s.readBack(ctx, t, conflict)
			if backErr == nil {
				return s.settle(version, applied, conflict)
			}
			err = backErr
		} else if !provider.NotApplied(err) {
			open = true
		}
		if wait.For(ctx, max(pause.NextBackOff(), provider.RetryAfter(err))) != nil {
			return 0, gaveUp(t, open, err)
		}
		s.Stats.Resent.Add(1)
	}
}

func (s *Sender) settle(version uint64, applied bool, conflict *provider.ConflictError) (uint64, error) {
	if applied {
		s.Stats.ReadBack.Add(1)
		return version, nil
	}
	s.Stats.Conflicts.Add(1)
	return 0, conflict
}

func gaveUp(t provider.Txn, open bool, cause error) error {
	if open {
		return &UndecidedError{t.ID, cause}
	}
	return &AbandonedError{t.ID, cause}
}

// readBack tells whether t took effect: whether a row that it wrote still names
// it. A transaction whose every row was written over since looks as if it had
// not; callers whose rows others may write must have a way of their own to tell.
// One that only removes rows leaves no trace: it counts as applied if they are
// all gone, which is what it was for.
func (s *Sender) readBack(ctx context.Context, t provider.Txn, c *provider.ConflictError) (version uint64, applied bool, err error) {
	if c.Have.Txn == t.ID {
		return c.Have.Version, true, nil // the conflict is with itself
	}
	puts, gone := 0, true
	for _, w := range t.Writes {
		row, err := s.table.Get(ctx, w.Key)
		if err != nil {
			return 0, false, err
		}
		if row.Txn == t.ID {
			return row.Version, true, nil
		}
		if w.Delete {
			gone = gone && !row.Exists()
		} else {
			puts++
		}
	}
	return 0, puts == 0 && gone, nil
}
