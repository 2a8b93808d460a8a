package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutereach/transfer"
	"chutereach/wait"
)

const (
	// followWait is how long one call of a feed may stay open, and followSlack
	// how much longer its answer is waited for. They are short so that a feed
	// whose connection has silently gone is noticed soon.
	followWait  = 2 * time.Second
	followSlack = 500 * time.Millisecond
	followPause = 100 * time.Millisecond
	readTimeout = time.Second
)

// Reach is told how calls to a store go. The zero Reach tells nobody.
type Reach struct {
	Answered func()
	Failed   func(*FollowError)
	// Received is told of each answer of a table, as it came in.
	Received func(table string, answer transfer.Received)
}

func (r Reach) failed(err *FollowError) {
	if r.Failed != nil {
		r.Failed(err)
	}
}

func (r Reach) answered(table string, answer transfer.Received) {
	if r.Answered != nil {
		r.Answered()
	}
	if r.Received != nil {
		r.Received(table, answer)
	}
}

// Exchange is one of the two calls of Follow.
type Exchange string

// The exchanges of Follow.
const (
	Feed  Exchange = "feed"  // the changes since a version
	Whole Exchange = "whole" // all rows
)

// FollowError says which call of Follow failed. The call is made again.
type FollowError struct {
	Table    string
	Exchange Exchange
	Took     time.Duration
	Cause    error
}

func (e *FollowError) Error() string {
	return fmt.Sprintf("%s of table %s, after %v: %v", e.Exchange, e.Table, e.Took.Round(time.Millisecond), e.Cause)
}

func (e *FollowError) Unwrap() error { return e.Cause }

// Follow keeps a partition of a table in memory and calls changed with all its
// rows after the first read and after each change, until ctx ends. Failed calls
// are tried again.
func Follow(ctx context.Context, store Store, table, partition string, changed func(map[string]Row), reach Reach) {
	f := follower{store: store, table: table, partition: partition}
	for ctx.Err() == nil {
		begun, exchange := time.Now(), f.exchange()
		news, received, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			reach.failed(&FollowError{table, exchange, time.Since(begun), err})
			wait.For(ctx, followPause)
			continue
		}
		reach.answered(table, received)
		if news {
			changed(f.rows)
		}
	}
}

type follower struct {
	store            Store
	table, partition string
	rows             map[string]Row // nil before the first read
	version          uint64
}

// exchange is what step does next.
func (f *follower) exchange() Exchange {
	if f.rows == nil {
		return Whole
	}
	return Feed
}

// step reads everything, or waits for the next changes.
func (f *follower) step(ctx context.Context) (news bool, received transfer.Received, err error) {
	if f.rows == nil {
		received, err = f.readAll(ctx)
		return err == nil, received, err
	}
	callCtx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	page, err := f.store.Watch(callCtx, f.table, f.version, followWait)
	var lost *HistoryLostError
	switch {
	case errors.As(err, &lost):
		f.rows = nil
		return false, received, nil
	case err != nil:
		return false, received, err
	}
	for _, row := range page.Rows {
		if row.Partition != f.partition {
			continue
		}
		news = true
		if row.Deleted {
			delete(f.rows, row.Name)
		} else {
			f.rows[row.Name] = row
		}
	}
	f.version = max(f.version, page.Version)
	return news, page.Received, nil
}

func (f *follower) readAll(ctx context.Context) (transfer.Received, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	all, err := ReadAll(callCtx, f.store, f.table, f.partition)
	if err != nil {
		return transfer.Received{}, err
	}
	f.rows = make(map[string]Row, len(all.Rows))
	for _, row := range all.Rows {
		f.rows[row.Name] = row
	}
	f.version = all.Version
	return all.Received, nil
}
