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
	// maxPollWait is the longest time that a Watch call waits for changes.
	maxPollWait = 2 * time.Second
	// pollStallTimeout is how long a Watch call may make no progress before it is canceled.
	// It exceeds maxPollWait only by a short margin so that a dead connection is detected
	// quickly. The total duration of a response is not limited.
	pollStallTimeout = maxPollWait + 500*time.Millisecond
	// minRetryDelay is the minimum time between a failed call and the next one. The time
	// between the starts of calls doubles with each consecutive failure, up to
	// maxRetryDelay, to limit the load on a store that rejects many clients.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// minUpdateInterval is the minimum time between the starts of two calls if the first
	// returned changes. It limits the call rate for a table that changes constantly.
	minUpdateInterval = 50 * time.Millisecond
	// reducedPollWait replaces maxPollWait after a failed Watch call, to leave a slow store
	// more of pollStallTimeout for its response. It applies until the store answers a Watch
	// call without changes less than slowResponse after the requested wait.
	reducedPollWait = 500 * time.Millisecond
	slowResponse    = 250 * time.Millisecond
	// minReadStallTimeout is how long the first attempt to read all rows may make no
	// progress. It doubles with each failure, up to pollStallTimeout, for slow stores.
	minReadStallTimeout = time.Second
)

// FollowOptions holds the callbacks and options of Follow. All fields are optional.
type FollowOptions struct {
	// OnResponse is called after each complete response has been processed, unless it says that the history is
	// lost.
	OnResponse func()
	// OnError is called after each failed call.
	OnError func(*FollowError)
	// OnProgress is called whenever part of a response arrives.
	OnProgress func()
	// OnReceived is called with the size and duration of each complete response.
	OnReceived func(table string, response transfer.Received)
	// OnSynced is called after each response that leaves the rows up to date, with their
	// version. The rows reflect the state of the store at asOf or later.
	OnSynced func(version uint64, asOf clock.Instant)
	// PollWait returns the longest time that a Watch call waits for changes; 0 selects the
	// default of 2 s, which is also the maximum. While calls succeed, the copy is at most
	// two such waits old.
	PollWait func() time.Duration
}

// pollWait returns the longest time that the next Watch call may wait for changes.
func (o FollowOptions) pollWait() time.Duration {
	if o.PollWait == nil {
		return maxPollWait
	}
	if wait := o.PollWait(); wait > 0 {
		return min(wait, maxPollWait)
	}
	return maxPollWait
}

func (o FollowOptions) notifySynced(version uint64, asOf clock.Instant) {
	if o.OnSynced != nil {
		o.OnSynced(version, asOf)
	}
}

func (o FollowOptions) notifyFailed(err *FollowError) {
	if o.OnError != nil {
		o.OnError(err)
	}
}

func (o FollowOptions) notifyResponse(table string, response transfer.Received) {
	if o.OnResponse != nil {
		o.OnResponse()
	}
	if o.OnReceived != nil {
		o.OnReceived(table, response)
	}
}

// RequestKind is the kind of a call that Follow makes.
type RequestKind string

// The kinds of calls that Follow makes.
const (
	WatchRequest    RequestKind = "feed"  // the changes after a version
	SnapshotRequest RequestKind = "whole" // all rows of the partition
)

// FollowError reports a failed call of Follow. Follow retries it.
type FollowError struct {
	Table   string
	Request RequestKind
	Took    time.Duration
	Cause   error
}

func (e *FollowError) Error() string {
	return fmt.Sprintf("%s request for table %s failed after %v: %v", e.Request, e.Table, e.Took.Round(time.Millisecond), e.Cause)
}

func (e *FollowError) Unwrap() error { return e.Cause }

// Follow keeps a copy of one partition of a table in memory until ctx is done. It calls
// changed with all rows after the first read and after each response with changes. Later
// updates modify the same map, so changed must not retain it. Failed calls are retried.
func Follow(ctx context.Context, store Store, table, partition string, changed func(map[string]Row), options FollowOptions) {
	f := follower{
		store: store, table: table, partition: partition, pollWait: options.pollWait(), readStallTimeout: minReadStallTimeout, onProgress: options.OnProgress,
	}
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		f.maxPollWait = options.pollWait()
		start, asOf, request := time.Now(), clock.Now(), f.nextRequest()
		updated, received, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			options.notifyFailed(&FollowError{table, request, time.Since(start), err})
			wait.For(ctx, max(minRetryDelay, retryDelay-time.Since(start)))
			retryDelay = min(maxRetryDelay, 2*retryDelay)
			continue
		}
		retryDelay = minRetryDelay
		if updated {
			changed(f.rows)
		}
		if f.rows != nil { // else the history is lost, and all rows are read next
			options.notifySynced(f.version, asOf)
			options.notifyResponse(table, received)
		}
		if updated {
			wait.For(ctx, minUpdateInterval-time.Since(start))
		}
	}
}

// follower holds the state of one Follow call.
type follower struct {
	store                 Store
	table, partition      string
	rows                  map[string]Row // nil before the first read
	version               uint64
	maxPollWait, pollWait time.Duration
	readStallTimeout      time.Duration
	onProgress            func() // may be nil
}

// nextRequest returns the kind of the call that step makes next.
func (f *follower) nextRequest() RequestKind {
	if f.rows == nil {
		return SnapshotRequest
	}
	return WatchRequest
}

// step reads all rows if there is no copy yet, else waits for changes and applies them.
// updated reports whether the rows may have changed.
func (f *follower) step(ctx context.Context) (updated bool, received transfer.Received, err error) {
	if f.rows == nil {
		received, err = f.readAll(ctx)
		return err == nil, received, err
	}
	callCtx, cancel := transfer.WithStallLimit(ctx, pollStallTimeout, f.onProgress)
	defer cancel()
	start := time.Now()
	f.pollWait = min(f.pollWait, f.maxPollWait)
	page, err := f.store.Watch(callCtx, f.table, f.version, f.pollWait)
	f.adjustPollWait(time.Since(start), len(page.Rows), err)
	var (
		historyLost *HistoryLostError
		lost        *UnknownOutcomeError
	)
	switch {
	case errors.As(err, &historyLost):
		f.rows = nil
		return false, received, nil
	case errors.As(err, &lost) && lost.isTooLarge(): // a snapshot can be smaller than the list of changes
		f.rows = nil
		return false, received, err
	case err != nil:
		return false, received, err
	}
	for _, row := range page.Rows {
		if row.Partition != f.partition {
			continue
		}
		updated = true
		if row.Deleted {
			delete(f.rows, row.Name)
		} else {
			f.rows[row.Name] = row
		}
	}
	f.version = max(f.version, page.Version)
	return updated, page.Received, nil
}

// adjustPollWait sets the wait of the next Watch call from the outcome of the last one.
// Only a call without changes shows the latency of the store: it takes the requested wait
// plus the latency.
func (f *follower) adjustPollWait(took time.Duration, changes int, err error) {
	switch {
	case err != nil:
		f.pollWait = min(reducedPollWait, f.maxPollWait)
	case changes == 0 && took-f.pollWait < slowResponse:
		f.pollWait = f.maxPollWait
	}
}

func (f *follower) readAll(ctx context.Context) (transfer.Received, error) {
	callCtx, cancel := transfer.WithStallLimit(ctx, f.readStallTimeout, f.onProgress)
	defer cancel()
	all, err := ReadAll(callCtx, f.store, f.table, f.partition)
	if err != nil {
		f.readStallTimeout = min(pollStallTimeout, 2*f.readStallTimeout)
		return transfer.Received{}, err
	}
	f.readStallTimeout = minReadStallTimeout
	f.rows = make(map[string]Row, len(all.Rows))
	for _, row := range all.Rows {
		f.rows[row.Name] = row
	}
	f.version = all.Version
	return all.Received, nil
}
