// Package rowstore names what the scheduler asks of a transactional row store:
// conditional transactions within one partition, ordered reads, and a feed of
// changes. Package platform adapts the users' store to it; tests bring a store
// of their own.
package rowstore

import (
	"context"
	"fmt"
	"time"

	"chutereach/transfer"
)

// Key names a row. Rows with one Partition may share a transaction, whatever
// their tables.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is one row as it was read.
type Row struct {
	Key
	Value   []byte
	Version uint64 // rises with each transaction of the store; 0: there is no such row
	Deleted bool   // only in a feed
}

// Condition demands that a row be at a version, or absent if it is 0.
type Condition struct {
	Key
	Version uint64
}

// Put writes a row.
type Put struct {
	Key
	Value []byte
}

// Transaction applies whole or not at all. All its keys have one Partition.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// MaxEntries bounds the entries of a Transaction, of all three kinds together.
const MaxEntries = 100

// MaxPage bounds the rows of a Page.
const MaxPage = 500

// Page is an answer to a read or a feed.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64 // the store's newest version at the time of the answer
	// Received is the answer as it came in, if the store has a network in between.
	Received transfer.Received
}

// Store is the row store. Errors are ConflictError, UnavailableError,
// UnknownError and HistoryLostError.
type Store interface {
	// Commit applies a transaction and returns the version of the rows it wrote.
	Commit(ctx context.Context, transaction Transaction) (uint64, error)
	// Read returns rows of one partition whose names are from or later, by name, at most limit of
	// them; 0: as many as a page holds.
	Read(ctx context.Context, table, partition, from string, limit int) (Page, error)
	// Watch returns the rows of a table that changed after a version, as soon as
	// there are any, or an empty page after wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// ReadAll reads a whole partition of a table, page by page. The version is that
// of the first page, so that a feed from there misses nothing.
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
		all.Rows = append(all.Rows, page.Rows...)
		all.Received = all.Received.Plus(page.Received)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}

// ReadOne reads a single row; an absent row has Version 0.
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

// ConflictError says that a condition did not hold. Rows are those of the
// conditions as they are.
type ConflictError struct{ Rows []Row }

func (e *ConflictError) Error() string { return "a condition of the transaction did not hold" }

// UnavailableError says that the store refused a call; nothing was done.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store refused the call: %v", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError says that a call had no answer: it may have been done, or may
// still be done while its conditions hold.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("the store did not answer: %v", e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

// HistoryLostError says that a feed cannot continue from a version; read all
// rows anew.
type HistoryLostError struct{ After uint64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the history after version %d is gone", e.After)
}
