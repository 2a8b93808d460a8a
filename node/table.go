package node

import (
	"context"
	"sync"
	"time"

	"chutereach/clock"
	"chutereach/codec"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/transfer"
)

const (
	// fetchQuiet is for how long nothing may come of a table that another node sends.
	fetchQuiet = 2 * time.Second
	// fetchAfter is how long the store has to begin with a table that another node has,
	// before it is fetched there: two heartbeats. On a narrow link two copies at once take
	// twice as long each.
	fetchAfter = 2 * beatEvery
	// largeAnswer is from how many bytes on an answer of the store leaves a line: on the
	// narrowest link at hand, 10 Mbit/s, it takes 50 ms.
	largeAnswer = 64 << 10
)

// tableExchange is what a node knows of newer tables of routes than its own, and of their
// transfers. At most one comes from another node at a time, and none while the store
// brings one.
type tableExchange struct {
	mu       sync.Mutex
	behind   time.Time // since when a newer table has been known; zero: none is
	arriving bool      // the store has begun an answer that is not taken in yet
	fetching bool
	// toldAt is when there was word that this node's table is the newest, or was at a time
	// that was toldAge ago then.
	toldAt  clock.Instant
	toldAge time.Duration

	encodeMu sync.Mutex // held while a table is encoded, which others wait for
	encoded  codec.Raw  // of the version
	version  uint64
}

// tableChanged takes note of the table that is in force from now on.
func (n *Node) tableChanged(table routing.Table) {
	n.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Msg("configuration in force")
	n.metrics.tableVersion.Set(int64(table.Version))
	n.tables.mu.Lock()
	n.tables.behind = time.Time{}
	n.tables.mu.Unlock()
	n.orders.news()
	n.mu.Lock()
	own := n.own
	n.mu.Unlock()
	if own != nil {
		configure(own, table)
	}
}

// configure tells a scheduler the configuration in force.
func configure(own *scheduler.Scheduler, table routing.Table) {
	own.SetAccounts(table.Directory())
	own.SetQueues(table.Queues())
}

// tableTrusted is for how long a table counts as the newest without word of that. The store
// says so each two seconds at the least, and the owner with its heartbeats.
const tableTrusted = 2500 * time.Millisecond

// TableIsCurrent reports whether no newer table than the one in force is likely to be. By an
// old one no call is turned away: its key or route may be new.
func (n *Node) TableIsCurrent() bool { return n.tableAge() < tableTrusted }

// tableAge returns for how long there has been no word that this node's table is the newest;
// a long time if it is known not to be.
func (n *Node) tableAge() time.Duration {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	if !n.tables.behind.IsZero() {
		return tableTrusted
	}
	return n.tables.age(clock.Now())
}

// age returns for how long there has been no word that the table is the newest. The lock is
// held.
func (e *tableExchange) age(now clock.Instant) time.Duration {
	if e.toldAt.IsZero() {
		return tableTrusted
	}
	return e.toldAge + now.Sub(e.toldAt)
}

// current notes that this node's table was the newest a time ago.
func (e *tableExchange) current(ago time.Duration) {
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.toldAt.IsZero() || ago < e.age(now) {
		e.toldAt, e.toldAge = now, ago
	}
}

// tableArrives notes that the store has brought a part of an answer: it is there, however
// long the whole takes.
func (n *Node) tableArrives() {
	n.storeAnswers()
	n.tables.setArriving(true)
}

// tableArrived notes that an answer of the store is whole and taken in.
func (n *Node) tableArrived() {
	n.storeAnswers()
	n.tables.setArriving(false)
	n.tables.current(0)
}

func (e *tableExchange) setArriving(arriving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arriving = arriving
}

// tableReceived notes an answer of the feed of configurations.
func (n *Node) tableReceived(table string, answer transfer.Received) {
	if answer.Bytes < largeAnswer {
		return
	}
	n.metrics.tables.Add(fromStore, 1)
	n.metrics.transferTimes.Record(answer.Took)
	n.log.Info().Str("table", table).Int("bytes", answer.Bytes).Dur("took", answer.Took).Msg("large answer of the store")
}

// tableFails notes a failed call of the feed of configurations. A call whose answer broke
// off leaves a line each time: it was long under way.
func (n *Node) tableFails(err *rowstore.FollowError) {
	n.storeFails(err)
	n.orders.news() // who waits for this node's word asks elsewhere
	n.tables.setArriving(false)
	broken := transfer.ReceivedBefore(err)
	if broken.Bytes == 0 {
		return
	}
	n.metrics.tables.Add(storeBrokenOff, 1)
	n.log.Warn().Str("table", err.Table).Str("exchange", string(err.Exchange)).Int("bytes", broken.Bytes).
		Dur("took", err.Took).Err(err).Msg("answer of the store broke off")
}

// hearOfTable notes which table of routes another node has, and fetches it there if it is
// newer than this node's and the store does not bring it.
func (n *Node) hearOfTable(version uint64, address string) {
	if version == 0 || !n.routes.Lacks(version) {
		return
	}
	n.mu.Lock()
	storeBad := n.storeBad
	n.mu.Unlock()
	if n.tables.mayFetch(time.Now(), storeBad) {
		n.tasks.Go(func() { n.fetchTable(address) })
	}
}

// mayFetch reports whether a newer table is to be fetched from another node now, and notes
// that it is.
func (e *tableExchange) mayFetch(now time.Time, storeBad bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.behind.IsZero() {
		e.behind = now
	}
	if e.fetching || e.arriving {
		return false
	}
	if !storeBad && now.Sub(e.behind) < fetchAfter {
		return false
	}
	e.fetching = true
	return true
}

func (e *tableExchange) fetched() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
}

// fetchTable reads the table of routes from another node, for a node that the
// store does not serve.
func (n *Node) fetchTable(address string) {
	defer n.tables.fetched()
	ctx, cancel := transfer.WithStallLimit(n.ctx, fetchQuiet, nil)
	defer cancel()
	begun := time.Now()
	table, err := peer.Call[routing.Table](ctx, n.client, address, tablePath, nothing{})
	if err != nil {
		n.metrics.tables.Add(nodeFetchFailed, 1)
		n.log.Warn().Str("from", address).Int("bytes", transfer.ReceivedBefore(err).Bytes).
			Dur("took", time.Since(begun)).Err(err).Msg("configuration not fetched")
		return
	}
	n.metrics.tables.Add(fromNode, 1)
	n.metrics.transferTimes.Record(time.Since(begun))
	newer := n.routes.Offer(table)
	n.log.Info().Str("from", address).Uint64("version", table.Version).Bool("newer", newer).
		Dur("took", time.Since(begun)).Msg("configuration fetched")
}

// answerTable sends the table of routes to another node.
func (n *Node) answerTable(context.Context, nothing) (codec.Raw, error) {
	table, ok := n.routes.Current()
	if !ok {
		return nil, &NoTableError{}
	}
	n.metrics.tables.Add(servedToNode, 1)
	return n.tables.encode(table)
}

// encode returns a table as it is sent. Many nodes may ask for it at once, so it is
// encoded once for each version.
func (e *tableExchange) encode(table routing.Table) (codec.Raw, error) {
	e.encodeMu.Lock()
	defer e.encodeMu.Unlock()
	if e.encoded != nil && e.version == table.Version {
		return e.encoded, nil
	}
	data, err := codec.Marshal(table)
	if err != nil {
		return nil, err
	}
	e.encoded, e.version = data, table.Version
	return e.encoded, nil
}
