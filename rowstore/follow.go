package rowstore

import (
	"context"
	"errors"
	"time"

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
	Failed   func(error)
}

func (r Reach) tell(err error) {
	switch {
	case err == nil && r.Answered != nil:
		r.Answered()
	case err != nil && r.Failed != nil:
		r.Failed(err)
	}
}

// Follow keeps a partition of a table in memory and calls changed with all its
// rows after the first read and after each change, until ctx ends. Failed calls
// are tried again.
func Follow(ctx context.Context, store Store, table, partition string, changed func(map[string]Row), reach Reach) {
	f := follower{store: store, table: table, partition: partition}
	for ctx.Err() == nil {
		news, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		reach.tell(err)
		if err != nil {
			wait.For(ctx, followPause)
			continue
		}
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

// step reads everything, or waits for the next changes.
func (f *follower) step(ctx context.Context) (news bool, err error) {
	if f.rows == nil {
		return true, f.readAll(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	page, err := f.store.Watch(callCtx, f.table, f.version, followWait)
	var lost *HistoryLostError
	switch {
	case errors.As(err, &lost):
		f.rows = nil
		return false, nil
	case err != nil:
		return false, err
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
	return news, nil
}

func (f *follower) readAll(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, version, err := ReadAll(callCtx, f.store, f.table, f.partition)
	if err != nil {
		return err
	}
	f.rows = make(map[string]Row, len(rows))
	for _, row := range rows {
		f.rows[row.Name] = row
	}
	f.version = version
	return nil
}
