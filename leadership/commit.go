package leadership

import (
	"context"
	"errors"
	"time"

	"chutereach/clock"
	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/transfer"
)

const (
	// minAnswerTimeout and maxAnswerTimeout bound how long a transaction may go unanswered before
	// the owner's row is read to learn its outcome. In between, the timeout tracks
	// answerTimeoutFactor times the latency of recent answered transactions.
	minAnswerTimeout    = 60 * time.Millisecond
	maxAnswerTimeout    = 1200 * time.Millisecond
	answerTimeoutFactor = 3
	// pollInterval is the time between reads of the owner's row while a transaction is unanswered.
	// It is short so that the store's recovery is noticed soon.
	pollInterval = 400 * time.Millisecond
	// lostFactor is how many times the latency of a read a transaction may take before it is
	// presumed lost. Transactions also queue in the store.
	lostFactor = 3
	// maxSends and maxReads bound the concurrent calls for one transaction. If two of five calls
	// are lost, one transaction in thirty needs four sends, and one in a thousand needs eight.
	maxSends = 8
	maxReads = 8
	// largeTransactionBytes is the size from which a transaction counts as large: it exceeds what
	// a connection buffers. maxLargeStall bounds how long sending a large transaction may make no
	// progress before it is presumed lost: a congested link holds packets up for half a second.
	largeTransactionBytes = 64 << 10
	maxLargeStall         = 500 * time.Millisecond
	// callStallLimit is how long a Commit call may make no progress, and the timeout of a read.
	callStallLimit = 3 * time.Second
	// minOutage is how long the store must not have answered for it to count as an outage, during
	// which registrations kept alive in the store may have expired.
	minOutage = time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a refused transaction is sent again.
	minRetryDelay = 25 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Commit applies puts and deletes as the shard's owner. It retries until the outcome is known and
// returns nil, a DeposedError, a rowstore.RejectedError if the store does not accept the puts and deletes, or the error of ctx.
//
// A transaction without an answer may have been applied, may be queued in a slow store, or may be
// lost. Commit reads the owner's row to find out, because a read does not queue behind
// transactions as a second copy would. It sends the transaction again only if the row is unchanged
// and enough time has passed, compared with the latency of the read, for the last copy to be lost.
// A copy that is still being transmitted is not lost. The condition on the row's version ensures
// that at most one copy is applied.
func (r *Term) Commit(ctx context.Context, puts []rowstore.Put, deletes []rowstore.Key) error {
	next := r.row
	next.Sequence++
	r.started.Store(next.Sequence)
	c := &commit{
		term: r, nextRow: next, startedAt: clock.Now(), large: isLarge(puts), results: make(chan result, maxSends+maxReads),
		transaction: rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: ownerKey(r.shard), Version: r.version}},
			Puts:       append([]rowstore.Put{{Key: ownerKey(r.shard), Value: codec.MustMarshal(next)}}, puts...),
			Deletes:    deletes,
		},
	}
	version, err := c.awaitOutcome(ctx)
	if err != nil {
		return err
	}
	r.version, r.row = version, next
	r.confirmed.Store(version)
	r.applied.Store(next.Sequence)
	return nil
}

// commit is one transaction in progress.
type commit struct {
	term        *Term
	transaction rowstore.Transaction
	nextRow     Row
	startedAt   clock.Instant
	lastSent    clock.Atomic // when a part of it was last sent
	large       bool
	results     chan result
	sends       int           // in progress
	reads       int           // in progress
	retryDelay  time.Duration // before the last refused transaction is sent again
}

// result is the outcome of one call.
type result struct {
	isRead  bool
	version uint64 // of the owner's row as written by the transaction; 0: a read found it not applied
	err     error
	took    time.Duration
}

// awaitOutcome sends the transaction, and sends it again as needed, until its outcome is known. It
// returns the version of the owner's row that the transaction wrote.
func (c *commit) awaitOutcome(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(c.term.answerTimeout)
	defer timer.Stop()
	c.send(ctx)
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
			c.term.recordNoAnswer(c.unansweredSince())
			if c.sends == 0 {
				c.send(ctx)
				timer.Reset(c.term.answerTimeout)
				continue
			}
			c.readOwner(ctx)
			timer.Reset(pollInterval)
		case got := <-c.results:
			version, err, certain := c.handleResult(got)
			switch {
			case certain:
				return version, err
			case got.err != nil && c.sends+c.reads == 0:
				timer.Reset(c.nextRetryDelay()) // no call is in progress that would notice the store's recovery
			case got.err == nil && c.presumedLost(got.took):
				c.send(ctx)
				timer.Reset(c.term.answerTimeout)
			}
		}
	}
}

// nextRetryDelay returns the delay before a refused transaction is sent again. It is constant and
// short for an owner, because all work waits for the store's recovery. While acquiring a shard it
// backs off exponentially, because many nodes may try at once.
func (c *commit) nextRetryDelay() time.Duration {
	c.retryDelay = max(minRetryDelay, 2*c.retryDelay)
	if c.term.token != 0 {
		c.retryDelay = minRetryDelay
	}
	return min(maxRetryDelay, c.retryDelay)
}

// handleResult processes the result of one call and reports whether the outcome of the transaction
// is known.
func (c *commit) handleResult(got result) (version uint64, err error, certain bool) {
	if got.isRead {
		c.reads--
	} else {
		c.sends--
	}
	var (
		deposed  *DeposedError
		rejected *rowstore.RejectedError
	)
	switch {
	case errors.As(got.err, &deposed):
		return 0, got.err, true
	case errors.As(got.err, &rejected) && !c.onlyOwner():
		c.term.recordAnswer()
		return 0, got.err, true
	case got.err != nil:
		c.term.recordNoAnswer(c.unansweredSince())
		return 0, nil, false
	}
	c.term.recordAnswer()
	if got.version == 0 {
		return 0, nil, false
	}
	if !got.isRead {
		c.term.recordLatency(got.took, c.large)
	}
	// A successor counts leases from when it first sees the row that this transaction wrote. The
	// owner must not count from a later time, so it uses the time of the first send.
	c.term.lastCommitSent.Store(c.startedAt)
	return got.version, nil, true
}

// onlyOwner reports whether the transaction changes nothing but the owner's row. A caller could not send another one in its
// place.
func (c *commit) onlyOwner() bool {
	return len(c.transaction.Puts) == 1 && len(c.transaction.Deletes) == 0
}

// unansweredSince returns since when the store has failed to answer the transaction. It is at most answerTimeout ago:
// the failure is noticed after that time at the latest, unless this process was frozen in between.
func (c *commit) unansweredSince() clock.Instant {
	if c.startedAt.Since() <= c.term.answerTimeout {
		return c.startedAt
	}
	return clock.Now().Earlier(c.term.answerTimeout)
}

// presumedLost reports whether the last copy of the transaction is presumed lost, after a read
// that took readTime found it not applied.
func (c *commit) presumedLost(readTime time.Duration) bool {
	stallLimit := minAnswerTimeout
	if c.large {
		stallLimit = c.term.largeStall
	}
	return c.lastSent.Load().Since() > max(stallLimit, lostFactor*readTime)
}

// isLarge reports whether a transaction that writes puts is a large one.
func isLarge(puts []rowstore.Put) bool {
	size := 0
	for _, put := range puts {
		size += len(put.Value)
	}
	return size >= largeTransactionBytes
}

// markSent records that a part of the transaction has just been sent.
func (c *commit) markSent() { c.lastSent.Store(clock.Now()) }

// send sends the transaction in a new goroutine, which delivers the result to c.results.
func (c *commit) send(ctx context.Context) {
	if c.sends == maxSends {
		return
	}
	c.sends++
	c.markSent()
	go func() {
		sent := time.Now()
		callCtx, cancel := transfer.WithStallLimit(ctx, callStallLimit, c.markSent)
		defer cancel()
		version, err := c.term.store.Commit(callCtx, c.transaction)
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			version, err = c.resolveConflict(conflict)
		}
		c.results <- result{version: version, err: err, took: time.Since(sent)}
	}()
}

// readOwner reads the owner's row in a new goroutine, which delivers the result to c.results.
func (c *commit) readOwner(ctx context.Context) {
	if c.reads == maxReads {
		return
	}
	c.reads++
	go func() {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callStallLimit)
		defer cancel()
		seen, err := ReadOwner(callCtx, c.term.store, c.term.shard)
		got := result{isRead: true, err: err, took: time.Since(sent)}
		if err == nil && seen.Version != c.transaction.Conditions[0].Version {
			got.version, got.err = c.resolve(seen)
		}
		c.results <- got
	}()
}

// resolveConflict determines the outcome of the transaction from the rows of a conflict.
func (c *commit) resolveConflict(conflict *rowstore.ConflictError) (uint64, error) {
	for _, row := range conflict.Rows {
		if row.Key != ownerKey(c.term.shard) {
			continue
		}
		seen, err := decodeRow(row)
		if err != nil {
			return 0, err
		}
		return c.resolve(seen)
	}
	return 0, &DeposedError{}
}

// resolve determines the outcome of the transaction from the owner's row, whose version has
// changed.
func (c *commit) resolve(seen ObservedRow) (uint64, error) {
	if seen.Row == c.nextRow {
		return seen.Version, nil
	}
	return 0, &DeposedError{seen}
}

// recordNoAnswer records that the store has failed to answer since the given time, unless an
// earlier failure is recorded.
func (r *Term) recordNoAnswer(since clock.Instant) { r.failingSince.StoreFirst(since) }

// recordAnswer records that the store has answered, and the end of an outage if there was one.
func (r *Term) recordAnswer() {
	if since := r.FailingSince(); !since.IsZero() && time.Since(since) > minOutage {
		r.restoredAt.Store(clock.Now())
	}
	r.failingSince.Store(clock.Instant{})
}

// recordLatency adjusts the timeouts to the latency of an applied transaction.
func (r *Term) recordLatency(took time.Duration, large bool) {
	r.answerTimeout = min(maxAnswerTimeout, max(minAnswerTimeout, (r.answerTimeout+answerTimeoutFactor*took)/2))
	if large {
		r.largeStall = min(maxLargeStall, max(minAnswerTimeout, answerTimeoutFactor*took))
	}
}
