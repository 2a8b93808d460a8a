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
	// leastPatience and mostPatience bound how long a transaction may go without an
	// answer before the store is asked what became of it; in between that is
	// patienceRatio times what answers take of late. Only calls that were answered count:
	// a transaction that was lost twice says nothing of how long an answer takes.
	leastPatience = 60 * time.Millisecond
	mostPatience  = 1200 * time.Millisecond
	patienceRatio = 3
	// lookAgain is the time between two looks at a store that does not answer them, so
	// that its return is soon noticed.
	lookAgain = 400 * time.Millisecond
	// slowRatio is how many times as long as a look takes a transaction may take at
	// the same store: it waits for its turn besides.
	slowRatio = 3
	// maxSendings and maxLooks bound the calls for one transaction under way at once. Where
	// two of five are lost, one transaction in a thousand needs eight sendings, and one in
	// thirty four.
	maxSendings = 8
	maxLooks    = 8
	// largeBytes is more than a connection takes in at once, and largeQuiet for how long, at
	// the most, nothing may have been sent of a transaction of that size for it to count as
	// lost: a crowded link holds packets up for half a second. Less is enough where such
	// transactions are answered sooner.
	largeBytes = 64 << 10
	largeQuiet = 500 * time.Millisecond
	// callQuiet is for how long nothing may move of a call.
	callQuiet = 3 * time.Second
	// outageFrom is how long the store must have answered nothing for that to count as
	// an outage, in which what others keep alive there may have lapsed.
	outageFrom = time.Second
	// retryPause follows a refusal, and takeRest is the longest that follows one of a takeover.
	retryPause = 25 * time.Millisecond
	takeRest   = 400 * time.Millisecond
)

// Commit applies puts and deletes as the shard's owner. It tries until the outcome is
// certain: nil, a DeposedError, or the error of ctx.
//
// A transaction without an answer may have been applied, may wait for its turn at a
// slow store, or may never have arrived. The owner's row tells which, and reading it
// holds up no transaction, while a second copy would take a turn of its own. So the
// row is read first, and the transaction sent again only if the row is as before and
// the store answers quickly enough for the first copy to have been lost. A copy that is
// still being sent is not lost: a large one takes long on a narrow link, and longer beside
// a second one. One copy at most applies.
func (r *Term) Commit(ctx context.Context, puts []rowstore.Put, deletes []rowstore.Key) error {
	next := r.row
	next.Sequence++
	c := &commit{
		term: r, next: next, begun: clock.Now(), large: isLarge(puts), results: make(chan result, maxSendings+maxLooks),
		transaction: rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: keyOf(r.shard), Version: r.version}},
			Puts:       append([]rowstore.Put{{Key: keyOf(r.shard), Value: codec.MustMarshal(next)}}, puts...),
			Deletes:    deletes,
		},
	}
	version, err := c.untilCertain(ctx)
	if err != nil {
		return err
	}
	r.version, r.row = version, next
	r.confirmed.Store(version)
	return nil
}

// commit is one transaction on its way.
type commit struct {
	term        *Term
	transaction rowstore.Transaction
	next        Row
	begun       clock.Instant
	lastSent    clock.Atomic // when a part of it was last sent
	large       bool
	results     chan result
	sendings    int           // under way
	looks       int           // under way
	rest        time.Duration // after the last refusal
}

// result is what came of one call.
type result struct {
	look    bool
	version uint64 // that the transaction has written; 0 of a look: not applied so far
	err     error
	took    time.Duration
}

func (c *commit) untilCertain(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	again := time.NewTimer(c.term.patience)
	defer again.Stop()
	c.send(ctx)
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-again.C:
			c.term.noAnswer(c.begun)
			if c.sendings == 0 {
				c.send(ctx)
				again.Reset(c.term.patience)
				continue
			}
			c.look(ctx)
			again.Reset(lookAgain)
		case got := <-c.results:
			version, err, certain := c.take(got)
			switch {
			case certain:
				return version, err
			case got.err != nil && c.sendings+c.looks == 0:
				again.Reset(c.pauseRefused()) // no call waits for the store's return
			case got.err == nil && c.seemsLost(got.took):
				c.send(ctx)
				again.Reset(c.term.patience)
			}
		}
	}
}

// pauseRefused returns what passes after a refusal until the next sending. An owner sends often, for
// all work waits for the store's return. Of the many nodes that may try to take a shard at once each
// sends less and less often.
func (c *commit) pauseRefused() time.Duration {
	c.rest = max(retryPause, 2*c.rest)
	if c.term.token != 0 {
		c.rest = retryPause
	}
	return min(takeRest, c.rest)
}

// take takes in the result of one call, and reports whether the outcome is certain.
func (c *commit) take(got result) (version uint64, err error, certain bool) {
	if got.look {
		c.looks--
	} else {
		c.sendings--
	}
	var deposed *DeposedError
	switch {
	case errors.As(got.err, &deposed):
		return 0, got.err, true
	case got.err != nil:
		c.term.noAnswer(c.begun)
		return 0, nil, false
	}
	c.term.answered()
	if got.version == 0 {
		return 0, nil, false
	}
	if !got.look {
		c.term.answeredIn(got.took, c.large)
	}
	// Others count from when they first see its row: what this owner counts from must not be
	// later, so a look that finds the row unchanged, or applied long ago, counts for nothing.
	c.term.sent.Store(c.begun)
	return got.version, nil, true
}

// seemsLost reports, after a look at the store that took so long and showed that the
// transaction is not applied, whether the last copy has been lost.
func (c *commit) seemsLost(look time.Duration) bool {
	quiet := leastPatience
	if c.large {
		quiet = c.term.largeQuiet
	}
	return c.lastSent.Load().Since() > max(quiet, slowRatio*look)
}

// isLarge reports whether a transaction that writes puts is more than a connection takes in
// at once.
func isLarge(puts []rowstore.Put) bool {
	size := 0
	for _, put := range puts {
		size += len(put.Value)
	}
	return size >= largeBytes
}

// noteSent notes that a part of the transaction has been sent just now.
func (c *commit) noteSent() { c.lastSent.Store(clock.Now()) }

// send sends the transaction, without waiting for what comes of it.
func (c *commit) send(ctx context.Context) {
	if c.sendings == maxSendings {
		return
	}
	c.sendings++
	c.noteSent()
	go func() {
		sent := time.Now()
		callCtx, cancel := transfer.WithStallLimit(ctx, callQuiet, c.noteSent)
		defer cancel()
		version, err := c.term.store.Commit(callCtx, c.transaction)
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			version, err = c.settleConflict(conflict)
		}
		c.results <- result{version: version, err: err, took: time.Since(sent)}
	}()
}

// look reads the owner's row, without waiting for what comes of it.
func (c *commit) look(ctx context.Context) {
	if c.looks == maxLooks {
		return
	}
	c.looks++
	go func() {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callQuiet)
		defer cancel()
		seen, err := Look(callCtx, c.term.store, c.term.shard)
		got := result{look: true, err: err, took: time.Since(sent)}
		if err == nil && seen.Version != c.transaction.Conditions[0].Version {
			got.version, got.err = c.settle(seen)
		}
		c.results <- got
	}()
}

// settleConflict reads from the row of a conflict what became of the transaction.
func (c *commit) settleConflict(conflict *rowstore.ConflictError) (uint64, error) {
	for _, row := range conflict.Rows {
		if row.Key != keyOf(c.term.shard) {
			continue
		}
		seen, err := sightingOf(row)
		if err != nil {
			return 0, err
		}
		return c.settle(seen)
	}
	return 0, &DeposedError{}
}

// settle tells from the owner's row, which has changed, whether the transaction has
// been applied.
func (c *commit) settle(seen Sighting) (uint64, error) {
	if seen.Row == c.next {
		return seen.Version, nil
	}
	return 0, &DeposedError{seen}
}

// noAnswer notes that the store has not answered a call in time.
func (r *Term) noAnswer(since clock.Instant) { r.failed.StoreFirst(since) }

// answered notes that the store has answered.
func (r *Term) answered() {
	if since := r.FailingSince(); !since.IsZero() && time.Since(since) > outageFrom {
		r.restored.Store(clock.Now())
	}
	r.failed.Store(clock.Instant{})
}

// answeredIn notes how long the store took to answer a transaction that it has applied.
func (r *Term) answeredIn(took time.Duration, large bool) {
	r.patience = min(mostPatience, max(leastPatience, (r.patience+patienceRatio*took)/2))
	if large {
		r.largeQuiet = min(largeQuiet, max(leastPatience, patienceRatio*took))
	}
}
