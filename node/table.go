package node

import (
	"context"
	"sync"
	"time"

	"chutereach/account"
	"chutereach/clock"
	"chutereach/codec"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/transfer"
	"chutereach/workload"
)

const (
	// fetchStallLimit is how long the transfer of a table from another node may make no progress.
	fetchStallLimit = 2 * time.Second
	// fetchDelay is how long to wait for the store to start sending a newer table before it is
	// fetched from another node. Both at once would take twice as long on a narrow link.
	fetchDelay = 2 * heartbeatInterval
	// largeResponseBytes is the size from which a response of the store is logged. It takes 50 ms
	// on a link of 10 Mbit/s, the narrowest in known deployments.
	largeResponseBytes = 64 << 10
)

// tableTracker tracks how current a node's table of routes is and the transfers of newer tables.
// A node fetches at most one table from other nodes at a time, and none while the store or a relay
// sends one.
type tableTracker struct {
	mu          sync.Mutex
	behindSince time.Time // when a newer table became known; zero: none is known
	receiving   bool      // a response of the store or a relay has started and is not applied yet
	fetching    bool
	// confirmedAt is when the table was last confirmed as the newest, confirmedAge the age of that
	// information then.
	confirmedAt  clock.Instant
	confirmedAge time.Duration

	encodeMu       sync.Mutex // guards encoded and encodedVersion; held during encoding
	encoded        codec.Raw  // encoding of the table of version encodedVersion
	encodedVersion uint64
}

// tableChanged applies a table that has come into force.
func (n *Node) tableChanged(table routing.Table) {
	n.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Msg("configuration in force")
	n.metrics.tableVersion.Set(int64(table.Version))
	n.tables.mu.Lock()
	n.tables.behindSince = time.Time{}
	n.tables.mu.Unlock()
	n.orders.notifyChange()
	n.mu.Lock()
	own := n.scheduler
	n.mu.Unlock()
	if own != nil {
		n.configurer.apply(own)
	}
}

// configurer passes the configuration in force to schedulers. It reads and passes on one table at a time, so that a
// table that comes into force meanwhile is not overwritten by the one before it.
type configurer struct {
	mu      sync.Mutex
	current func() (routing.Table, bool)
}

// configurable is a scheduler.
type configurable interface {
	SetAccounts(account.Directory)
	SetQueues([]workload.Queue)
}

func (c *configurer) apply(own configurable) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if table, ok := c.current(); ok {
		own.SetAccounts(table.Directory())
		own.SetQueues(table.Queues())
	}
}

// tableTrustPeriod is how long a table counts as the newest after a confirmation. The store
// confirms it at least every 2 s, and the owner does in its heartbeats.
const tableTrustPeriod = 2500 * time.Millisecond

// TableIsCurrent reports whether the table in force was recently confirmed as the newest.
// Otherwise calls must not be rejected by it, as their key or route may be new.
func (n *Node) TableIsCurrent() bool { return n.tableAge() < tableTrustPeriod }

// tableAge returns the time since the table was last confirmed as the newest, or tableTrustPeriod
// if it is known to be outdated.
func (n *Node) tableAge() time.Duration {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	if !n.tables.behindSince.IsZero() {
		return tableTrustPeriod
	}
	return n.tables.age(clock.Now())
}

// age returns the time since the table was last confirmed as the newest, or tableTrustPeriod if it
// never was. e.mu must be held.
func (e *tableTracker) age(now clock.Instant) time.Duration {
	if e.confirmedAt.IsZero() {
		return tableTrustPeriod
	}
	return e.confirmedAge + now.Sub(e.confirmedAt)
}

// confirm records that this node's table was the newest the given time ago.
func (e *tableTracker) confirm(ago time.Duration) {
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt.IsZero() || ago < e.age(now) {
		e.confirmedAt, e.confirmedAge = now, ago
	}
}

// feedProgressed records that a part of a response of the store has arrived. The store then counts
// as available, however long the whole response takes.
func (n *Node) feedProgressed() {
	n.recordStoreSuccess()
	n.tables.setReceiving(true)
}

// feedAnswered records that a response of the store is complete and applied.
func (n *Node) feedAnswered() {
	n.recordStoreSuccess()
	n.tables.setReceiving(false)
	n.tables.confirm(0)
}

func (e *tableTracker) setReceiving(receiving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receiving = receiving
}

// feedReceived logs and counts a large response of the feed.
func (n *Node) feedReceived(table string, answer transfer.Received) {
	if answer.Bytes < largeResponseBytes {
		return
	}
	n.metrics.tableExchanges.Add(fromStore, 1)
	n.metrics.transferTimes.Record(answer.Took)
	n.log.Info().Str("table", table).Int("bytes", answer.Bytes).Dur("took", answer.Took).Msg("received large response from the store")
}

// feedFailed records a failed feed call. It logs each call whose response was interrupted.
func (n *Node) feedFailed(err *rowstore.FollowError) {
	n.recordStoreFailure(err)
	n.orders.notifyChange() // waiting followers get an error and turn to the store
	n.tables.setReceiving(false)
	partial := transfer.ReceivedBefore(err)
	if partial.Bytes == 0 {
		return
	}
	n.metrics.tableExchanges.Add(storeTruncated, 1)
	n.log.Warn().Str("table", err.Table).Str("exchange", string(err.Request)).Int("bytes", partial.Bytes).
		Dur("took", err.Took).Err(err).Msg("store response truncated")
}

// recordTableVersion records the version of another node's table, and fetches that table if it is newer
// than this node's and the store does not send it.
func (n *Node) recordTableVersion(version uint64, address string) {
	if version == 0 || !n.routes.OlderThan(version) {
		return
	}
	n.mu.Lock()
	storeBad := n.storeDown
	n.mu.Unlock()
	if n.tables.beginFetch(time.Now(), storeBad) {
		n.tasks.Go(func() { n.fetchTable(address) })
	}
}

// beginFetch reports whether to fetch a newer table from another node now. If so, it marks the fetch
// as started.
func (e *tableTracker) beginFetch(now time.Time, storeBad bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.behindSince.IsZero() {
		e.behindSince = now
	}
	if e.fetching || e.receiving {
		return false
	}
	if !storeBad && now.Sub(e.behindSince) < fetchDelay {
		return false
	}
	e.fetching = true
	return true
}

func (e *tableTracker) endFetch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
}

// fetchTable fetches the table of routes from another node.
func (n *Node) fetchTable(address string) {
	defer n.tables.endFetch()
	ctx, cancel := transfer.WithStallLimit(n.ctx, fetchStallLimit, nil)
	defer cancel()
	startedAt := time.Now()
	table, err := peer.Call[routing.Table](ctx, n.client, address, tablePath, empty{})
	if err != nil {
		n.metrics.tableExchanges.Add(nodeFetchFailed, 1)
		n.log.Warn().Str("from", address).Int("bytes", transfer.ReceivedBefore(err).Bytes).
			Dur("took", time.Since(startedAt)).Err(err).Msg("cannot fetch configuration from node")
		return
	}
	n.metrics.tableExchanges.Add(fromNode, 1)
	n.metrics.transferTimes.Record(time.Since(startedAt))
	newer := n.routes.Offer(table)
	n.log.Info().Str("from", address).Uint64("version", table.Version).Bool("newer", newer).
		Dur("took", time.Since(startedAt)).Msg("configuration fetched")
}

// answerTable sends the table of routes to another node.
func (n *Node) answerTable(context.Context, empty) (codec.Raw, error) {
	table, ok := n.routes.Current()
	if !ok {
		return nil, &NoTableError{}
	}
	n.metrics.tableExchanges.Add(servedToNode, 1)
	return n.tables.encode(table)
}

// encode returns the encoded table. The result is cached for each version, because many nodes may
// request it at once.
func (e *tableTracker) encode(table routing.Table) (codec.Raw, error) {
	e.encodeMu.Lock()
	defer e.encodeMu.Unlock()
	if e.encoded != nil && e.encodedVersion == table.Version {
		return e.encoded, nil
	}
	data, err := codec.Marshal(table)
	if err != nil {
		return nil, err
	}
	e.encoded, e.encodedVersion = data, table.Version
	return e.encoded, nil
}
