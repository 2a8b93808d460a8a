// Package commit sends transactions to the platform's table. It retries them until their
// outcome is known, limits their rate, and batches small ones into larger ones.
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
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// UnknownOutcomeError reports that the outcome of a transaction was still unknown when its
// context ended. The transaction may have been applied or may still be applied. It does not unwrap to its cause,
// which is the result of the last request only.
type UnknownOutcomeError struct {
	Txn   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("transaction %s: outcome unknown, it may have been applied: %v", e.Txn, e.Cause)
}

// NotAppliedError reports that a transaction was not applied, and never will be, because its
// context ended first.
type NotAppliedError struct {
	Txn   string
	Cause error
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("transaction %s: not applied: %v", e.Txn, e.Cause)
}

func (e *NotAppliedError) Unwrap() error { return e.Cause }

// Stats holds the counters of a Sender.
type Stats struct {
	Sent            atomic.Int64 // requests to the table
	Retries         atomic.Int64 // retries among Sent
	ConfirmedByRead atomic.Int64 // transactions without a response that reads showed to be applied
	Conflicts       atomic.Int64 // transactions that failed with a conflict
}

// Sender sends transactions to a table at a limited rate.
type Sender struct {
	table provider.Table
	limit *rate.Limiter
	Stats Stats
}

// NewSender returns a Sender for table with the given rate limit.
func NewSender(table provider.Table, limit *rate.Limiter) *Sender {
	return &Sender{table: table, limit: limit}
}

// Table returns the table, for reads.
func (s *Sender) Table() provider.Table { return s.table }

// Wait blocks until the rate limit permits another transaction. Callers that build batches
// call Wait before they collect a batch and send it with DoUnthrottled, so that batches grow
// when the rate is limited.
func (s *Sender) Wait(ctx context.Context) error { return s.limit.Wait(ctx) }

// Do sends t, with retries, until its outcome is known or ctx ends. It returns the version
// of the written rows, or a provider.ConflictError, a NotAppliedError or an UnknownOutcomeError.
func (s *Sender) Do(ctx context.Context, t provider.Txn) (uint64, error) {
	if err := s.Wait(ctx); err != nil {
		return 0, &NotAppliedError{t.ID, err}
	}
	return s.DoUnthrottled(ctx, t)
}

// DoUnthrottled is like Do but does not call Wait.
//
// Retries are safe because each sends the same transaction with the same conditions: if one
// request is applied, a delayed duplicate fails with a conflict.
func (s *Sender) DoUnthrottled(ctx context.Context, t provider.Txn) (uint64, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialRetryDelay, maxRetryDelay
	mayHaveApplied := false // whether an earlier request may have been applied
	for {
		s.Stats.Sent.Add(1)
		version, err := s.table.Commit(ctx, t)
		if err == nil {
			return version, nil
		}
		var conflict *provider.ConflictError
		if errors.As(err, &conflict) {
			if !mayHaveApplied {
				s.Stats.Conflicts.Add(1)
				return 0, conflict
			}
			version, applied, readErr := s.readBack(ctx, t, conflict)
			if readErr == nil {
				return s.resolveConflict(version, applied, conflict)
			}
			err = readErr
		} else if !provider.NotApplied(err) {
			mayHaveApplied = true
		}
		if wait.For(ctx, max(retry.NextBackOff(), provider.RetryAfter(err))) != nil {
			return 0, gaveUpError(t, mayHaveApplied, err)
		}
		s.Stats.Retries.Add(1)
	}
}

// resolveConflict returns the outcome of a transaction that conflicted after an earlier
// request may have been applied.
func (s *Sender) resolveConflict(version uint64, applied bool, conflict *provider.ConflictError) (uint64, error) {
	if applied {
		s.Stats.ConfirmedByRead.Add(1)
		return version, nil
	}
	s.Stats.Conflicts.Add(1)
	return 0, conflict
}

// gaveUpError returns the error for a transaction whose context ended.
func gaveUpError(t provider.Txn, mayHaveApplied bool, cause error) error {
	if mayHaveApplied {
		return &UnknownOutcomeError{t.ID, cause}
	}
	return &NotAppliedError{t.ID, cause}
}

// readBack reads the rows of t to determine whether t was applied, which is the case if a
// row carries its transaction ID. It wrongly reports false if all of the rows have been
// overwritten since; callers whose rows have other writers must detect this themselves. A
// transaction that only deletes rows counts as applied if none of them exists.
func (s *Sender) readBack(ctx context.Context, t provider.Txn, c *provider.ConflictError) (version uint64, applied bool, err error) {
	if c.Have.Txn == t.ID {
		return c.Have.Version, true, nil // t conflicts with its own earlier request
	}
	puts, allDeleted := 0, true
	for _, w := range t.Writes {
		row, err := s.table.Get(ctx, w.Key)
		if err != nil {
			return 0, false, err
		}
		if row.Txn == t.ID {
			return row.Version, true, nil
		}
		if w.Delete {
			allDeleted = allDeleted && !row.Exists()
		} else {
			puts++
		}
	}
	return 0, puts == 0 && allDeleted, nil
}
