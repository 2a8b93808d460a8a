// Package rowstore defines the interface of the transactional row store that the
// scheduler uses: conditional transactions within one partition, ordered reads and a
// feed of changes. Package platform implements it with the platform's store, package
// memory in memory for tests.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutereach/transfer"
)

// Key identifies a row. Rows of different tables can be in one transaction if they have
// the same Partition.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a row as returned by Read or Watch.
type Row struct {
	Key
	Value   []byte
	Version uint64 // increases with each transaction of the store; 0 if the row does not exist
	Deleted bool   // set only by Watch
}

// Condition requires that a row has the given version, or does not exist if it is 0.
type Condition struct {
	Key
	Version uint64
}

// Put inserts or replaces a row.
type Put struct {
	Key
	Value []byte
}

// Transaction is applied atomically. All its keys must have the same Partition.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// MaxTransactionEntries is the maximum number of conditions, puts and deletes of a Transaction
// together.
const MaxTransactionEntries = 100

// MaxRowBytes and MaxTransactionBytes are the limits of the platform's store for a value and for the body of a
// transaction. A store may be configured with another limit for values.
const (
	MaxRowBytes         = 64 << 10
	MaxTransactionBytes = 1 << 20
)

// MaxPageRows is the maximum number of rows that Read returns.
const MaxPageRows = 500

// Page is the response to Read or Watch.
type Page struct {
	Rows    []Row
	More    bool   // there are further rows after the last one
	Version uint64 // the version of the store at the time of the response
	// Now is the store's clock at the time of the response; 0 if it is not known. The clock is steady, and the same
	// for all clients.
	Now time.Duration
	// Received holds the size and transfer time of the response, if it was sent over a
	// network.
	Received transfer.Received
}

// Store is a transactional row store. Its methods return ConflictError, UnavailableError, RejectedError,
// UnknownOutcomeError and HistoryLostError.
type Store interface {
	// Commit applies a transaction and returns the version of the rows it wrote.
	Commit(ctx context.Context, transaction Transaction) (uint64, error)
	// Read returns the rows of one partition whose names are not less than from, in the order
	// of their names, limit at most. A limit of 0 selects MaxPageRows.
	Read(ctx context.Context, table, partition, from string, limit int) (Page, error)
	// Watch returns the rows of a table, in all partitions, that changed after a version. It
	// waits until there are any, and returns an empty page if there are none within wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// ReadAll reads all rows of a partition of a table, page by page. The version returned is
// that of the first page, so that a Watch after it misses no change made in between.
func ReadAll(ctx context.Context, store Store, table, partition string) (Page, error) {
	var all Page
	from := ""
	for {
		page, err := store.Read(ctx, table, partition, from, 0)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Now = page.Now
		all.Rows = append(all.Rows, page.Rows...)
		all.Received = all.Received.Plus(page.Received)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}

// ReadOne reads a single row. The Version is 0 if the row does not exist.
func ReadOne(ctx context.Context, store Store, key Key) (Row, error) {
	page, err := store.Read(ctx, key.Table, key.Partition, key.Name, 1)
	if err != nil {
		return Row{}, err
	}
	if len(page.Rows) > 0 && page.Rows[0].Name == key.Name {
		return page.Rows[0], nil
	}
	return Row{Key: key}, nil
}

// ConflictError reports that a condition of a transaction did not hold. Nothing was
// written. Rows holds the current row of each condition.
type ConflictError struct{ Rows []Row }

func (e *ConflictError) Error() string { return "transaction conflict: a condition did not hold" }

// UnavailableError reports that a call did not reach the store or was rejected by it.
// Nothing was written.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable: %v", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError reports that the store does not accept a transaction because of what it contains, for example a value that
// is too large. Nothing was written, and the same transaction would be rejected again.
type RejectedError struct{ Cause error }

func (e *RejectedError) Error() string { return fmt.Sprintf("transaction rejected: %v", e.Cause) }

func (e *RejectedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a call had no response. Its transaction may have been applied,
// or may still be applied later if its conditions hold then. It does not unwrap to its cause, which must not decide
// whether the transaction counts as applied.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no response from the store: %v", e.Cause)
}

// ReceivedPart implements transfer.Partial.
func (e *UnknownOutcomeError) ReceivedPart() transfer.Received {
	return transfer.ReceivedBefore(e.Cause)
}

// isTooLarge reports whether the response was longer than the limit.
func (e *UnknownOutcomeError) isTooLarge() bool {
	var tooLarge *transfer.TooLargeError
	return errors.As(e.Cause, &tooLarge)
}

// HistoryLostError reports that the store no longer has the changes after a version. The
// caller must read all rows again.
type HistoryLostError struct{ After uint64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes after version %d are no longer available", e.After)
}
