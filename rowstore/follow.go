package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutereach/clock"
	"chutereach/transfer"
	"chutereach/wait"
)

const (
	// followWait is how long one call of a feed may stay open without news, and followQuiet
	// for how long nothing may come of it. They are short so that a feed whose connection
	// has silently gone is noticed soon. A long answer takes as long as it takes.
	followWait  = 2 * time.Second
	followQuiet = followWait + 500*time.Millisecond
	// followPause follows a call that failed. From one failed call to the next the time doubles up
	// to followRest, so that a store that turns many callers away is not asked by all of them all
	// the time.
	followPause = 100 * time.Millisecond
	followRest  = 800 * time.Millisecond
	// newsGap is the least time between two calls that bring news. A table of which a row
	// changes each millisecond would otherwise be told a thousand times a second.
	newsGap = 50 * time.Millisecond
	// shortWait replaces followWait at a store that takes slowAnswer or more for an answer,
	// so that its calls without news have four times as long.
	shortWait  = 500 * time.Millisecond
	slowAnswer = 250 * time.Millisecond
	// readQuiet is for how long nothing may come while all rows are read, at the first try.
	// A store that is slow needs more: each failure doubles it, up to followQuiet.
	readQuiet = time.Second
)

// Reach is told how calls to a store go. The zero Reach tells nobody.
type Reach struct {
	// Answered is called once an answer is whole and changed has taken it in.
	Answered func()
	Failed   func(*FollowError)
	// Progressed is called whenever something of an answer has come.
	Progressed func()
	// Received is told of each answer of a table, as it came in.
	Received func(table string, answer transfer.Received)
	// Current is told, once an answer is taken in, of which version the rows are. They were so at
	// asOf or later.
	Current func(version uint64, asOf clock.Instant)
	// Wait, if given, tells for how long a call of the feed may stay open without news; 0: 2 s. What
	// is known of the rows is at most as old as two such calls.
	Wait func() time.Duration
}

// wait returns for how long a call of the feed stays open at the most.
func (r Reach) wait() time.Duration {
	if r.Wait == nil {
		return followWait
	}
	if wait := r.Wait(); wait > 0 {
		return min(wait, followWait)
	}
	return followWait
}

func (r Reach) current(version uint64, asOf clock.Instant) {
	if r.Current != nil {
		r.Current(version, asOf)
	}
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
	f := follower{
		store: store, table: table, partition: partition, wait: reach.wait(), quiet: readQuiet, progressed: reach.Progressed,
	}
	pause := followPause
	for ctx.Err() == nil {
		f.longest = reach.wait()
		begun, asOf, exchange := time.Now(), clock.Now(), f.exchange()
		news, received, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			reach.failed(&FollowError{table, exchange, time.Since(begun), err})
			wait.For(ctx, max(followPause, pause-time.Since(begun)))
			pause = min(followRest, 2*pause)
			continue
		}
		pause = followPause
		if news {
			changed(f.rows)
		}
		if f.rows != nil {
			reach.current(f.version, asOf)
		}
		reach.answered(table, received)
		if news {
			wait.For(ctx, newsGap-time.Since(begun))
		}
	}
}

type follower struct {
	store            Store
	table, partition string
	rows             map[string]Row // nil before the first read
	version          uint64
	longest, wait    time.Duration // for how long a call of the feed stays open at the most, and now
	quiet            time.Duration // for how long nothing may come while all rows are read
	progressed       func()        // nil: nobody is told
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
	callCtx, cancel := transfer.WithStallLimit(ctx, followQuiet, f.progressed)
	defer cancel()
	begun := time.Now()
	f.wait = min(f.wait, f.longest)
	page, err := f.store.Watch(callCtx, f.table, f.version, f.wait)
	f.adaptWait(time.Since(begun), len(page.Rows), err)
	var (
		lost  *HistoryLostError
		large *transfer.TooLargeError
	)
	switch {
	case errors.As(err, &lost):
		f.rows = nil
		return false, received, nil
	case errors.As(err, &large): // many changes of large rows: the rows as they are now take less
		f.rows = nil
		return false, received, err
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

// adaptWait chooses how long the next call of the feed stays open, from one that took so
// long and brought so many rows: only one without news tells how quick the store is.
func (f *follower) adaptWait(took time.Duration, rows int, err error) {
	switch {
	case err != nil:
		f.wait = min(shortWait, f.longest)
	case rows == 0 && took-f.wait < slowAnswer:
		f.wait = f.longest
	}
}

func (f *follower) readAll(ctx context.Context) (transfer.Received, error) {
	callCtx, cancel := transfer.WithStallLimit(ctx, f.quiet, f.progressed)
	defer cancel()
	all, err := ReadAll(callCtx, f.store, f.table, f.partition)
	if err != nil {
		f.quiet = min(followQuiet, 2*f.quiet)
		return transfer.Received{}, err
	}
	f.quiet = readQuiet
	f.rows = make(map[string]Row, len(all.Rows))
	for _, row := range all.Rows {
		f.rows[row.Name] = row
	}
	f.version = all.Version
	return all.Received, nil
}
