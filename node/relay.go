package node

import (
	"context"
	"sync"
	"time"

	"chutereach/clock"
	"chutereach/codec"
	"chutereach/evacuation"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/transfer"
)

// The operator's orders are the configuration and the evacuations. Nodes read them from the store's
// feed. In a large data hall most nodes get them from a relay instead, a node of the same hall that
// reads the feed on their behalf. This limits the open feed calls at the store and the copies of
// each change that it sends. The owner assigns relays in its heartbeats. A node whose relay fails or
// returns stale orders reads the store itself.

const (
	// relayPollWait is how long a relay holds a request if its orders are unchanged. A caller allows
	// relayCallMargin more for the response.
	relayPollWait   = time.Second
	relayCallMargin = 300 * time.Millisecond
	// relayFeedWait is how long a relay's own call of the feed stays open, which bounds the age of
	// its orders. A node remains a relay for relayAssignmentTTL after the owner last assigned it.
	// It is ready while its orders are younger than maxReadyAge.
	relayFeedWait      = 500 * time.Millisecond
	relayAssignmentTTL = 3 * maxFarHeartbeatInterval
	maxReadyAge        = 1200 * time.Millisecond
	// relayUndecidedPeriod is how long a new owner collects reports of which relays are ready.
	relayUndecidedPeriod = 2 * maxFarHeartbeatInterval
	// maxOrdersAge is the maximum age of a node's orders after a relay's response. They age by
	// another relayPollWait before the next one. The relay's own feed calls account for up to
	// twice relayFeedWait.
	maxOrdersAge = 1500 * time.Millisecond
	// relayRetryDelay is how long a failed relay is not asked again.
	relayRetryDelay = 5 * time.Second
)

// orderSource tracks from where a node gets the operator's orders.
type orderSource struct {
	mu          sync.Mutex
	relay       string    // address assigned by the owner; empty: the store
	failedRelay string    // address of the relay that failed last
	failedAt    time.Time // when that relay failed
	viaRelay    bool      // whether the orders come from a relay
	assignedAt  time.Time // when the owner last assigned this node as a relay
	changed     chan struct{}
}

// assign records the relay named in a heartbeat, and whether the heartbeat assigns this node as a
// relay.
func (e *orderSource) assign(message heartbeat, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !message.RelayUndecided {
		e.relay = message.Relay
	}
	if message.IsRelay {
		e.assignedAt = now
	}
}

// usableRelay returns the address of the relay to ask, or "" if there is none or it failed recently.
func (e *orderSource) usableRelay(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.relay == e.failedRelay && now.Sub(e.failedAt) < relayRetryDelay {
		return ""
	}
	return e.relay
}

func (e *orderSource) markFailed(relay string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedRelay, e.failedAt = relay, now
}

// setViaRelay records whether the orders come from a relay.
func (e *orderSource) setViaRelay(viaRelay bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.viaRelay = viaRelay
}

// relayed reports whether the orders come from a relay.
func (e *orderSource) relayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.viaRelay
}

// feedWait returns how long the feed calls of this node may stay open if it is a relay; 0: no
// limit beyond the default.
func (e *orderSource) feedWait(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.assignedAt) < relayAssignmentTTL {
		return relayFeedWait
	}
	return 0
}

// notifyChange wakes the requests that wait for newer orders.
func (e *orderSource) notifyChange() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// nextChange returns a channel that is closed at the next call of notifyChange.
func (e *orderSource) nextChange() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// followOrders keeps the table of routes and the evacuated data halls up to date, from a relay if
// a usable one is assigned and from the store otherwise.
func (n *Node) followOrders(ctx context.Context) {
	for ctx.Err() == nil {
		n.followStore(ctx)
		n.followRelay(ctx)
	}
}

// currentRelay returns the address of the relay to ask, or "" if the node must read the store. An
// owner reads the store, because its scheduling decisions depend on fresh orders. So does a node
// without a table.
func (n *Node) currentRelay() string {
	n.mu.Lock()
	owns := n.scheduler != nil
	n.mu.Unlock()
	if _, ok := n.routes.Current(); !ok || owns {
		return ""
	}
	return n.orders.usableRelay(time.Now())
}

// followStore follows the store's feed until there is a relay to ask.
func (n *Node) followStore(parent context.Context) {
	ctx, stop := context.WithCancel(parent)
	defer stop()
	onTable := func(table routing.Table) { n.routes.Offer(table) }
	onAnswer := func() {
		n.feedAnswered()
		if n.currentRelay() != "" {
			stop()
		}
	}
	n.platform.FollowOrders(ctx, onTable, n.applyEvacuations, rowstore.FollowOptions{
		OnResponse: onAnswer, OnError: n.feedFailed, OnProgress: n.feedProgressed, OnReceived: n.feedReceived, PollWait: n.feedWait,
	})
}

// feedWait returns how long a feed call may stay open; 0: no limit beyond the default.
func (n *Node) feedWait() time.Duration {
	wait := n.orders.feedWait(time.Now())
	if within := n.config.Scheduler.EvacuateWithin / feedCallsPerEvacuation; within > 0 && (wait == 0 || within < wait) {
		wait = within
	}
	return wait
}

// followRelay polls a relay until there is none to ask.
func (n *Node) followRelay(ctx context.Context) {
	defer n.orders.setViaRelay(false)
	logged := ""
	for ctx.Err() == nil {
		relay := n.currentRelay()
		if relay == "" {
			return
		}
		n.orders.setViaRelay(true)
		if relay != logged {
			n.log.Info().Str("relay", relay).Msg("orders come from a relay")
			logged = relay
		}
		if err := n.pollRelay(ctx, relay); err != nil && ctx.Err() == nil {
			n.metrics.relayCalls.Add(relayFailed, 1)
			n.log.Info().Str("relay", relay).Err(err).Msg("orders come from the store: the relay failed")
			n.orders.markFailed(relay, time.Now())
		}
	}
}

// StaleOrdersError reports that the orders received from a relay are too old.
type StaleOrdersError struct{ Age time.Duration }

func (e *StaleOrdersError) Error() string {
	return "operator's orders may be " + e.Age.Round(time.Millisecond).String() + " old, want at most " + maxOrdersAge.String()
}

// pollRelay requests newer orders from a relay and applies them.
func (n *Node) pollRelay(parent context.Context, relay string) error {
	ctx, cancel := transfer.WithStallLimit(parent, relayPollWait+relayCallMargin, func() { n.tables.setReceiving(true) })
	defer cancel()
	defer n.tables.setReceiving(false)
	table, _ := n.routes.Current()
	view := n.evacuations.Current()
	sent := clock.Now()
	answer, err := peer.Call[ordersResponse](ctx, n.client, relay, ordersPath, ordersRequest{table.Version, view.Version(), view.Halls(), relayPollWait})
	if err != nil {
		return err
	}
	now := clock.Now()
	if err := n.applyOrders(answer, now, answer.Age+max(0, now.Sub(sent)-answer.HeldFor)); err != nil {
		return err
	}
	if age, _ := n.evacuations.Current().Age(now); age > maxOrdersAge {
		return &StaleOrdersError{age}
	}
	n.metrics.relayCalls.Add(relayAnswered, 1)
	return nil
}

// applyOrders applies a relay's response whose contents had the given age at now.
func (n *Node) applyOrders(answer ordersResponse, now clock.Instant, age time.Duration) error {
	if len(answer.Table) > 0 {
		var table routing.Table
		if err := codec.Unmarshal(answer.Table, &table); err != nil {
			return err
		}
		n.metrics.tableExchanges.Add(fromRelay, 1)
		n.routes.Offer(table)
	}
	n.applyEvacuations(evacuation.NewView(answer.Halls, answer.EvacuationVersion, now.Earlier(age)))
	if !n.routes.OlderThan(answer.TableVersion) {
		n.tables.confirm(age)
	}
	return nil
}

// answerOrders holds a node's request until there are newer orders for it, or until the wait it
// allows has passed. It fails at once if the store does not answer this relay.
func (n *Node) answerOrders(ctx context.Context, call ordersRequest) (ordersResponse, error) {
	startedAt := time.Now()
	timer := time.NewTimer(min(call.Wait, relayPollWait))
	defer timer.Stop()
	for {
		changed := n.orders.nextChange()
		if n.storeUnavailable() {
			return ordersResponse{}, &StoreUnavailableError{}
		}
		table, ok := n.routes.Current()
		if !ok {
			return ordersResponse{}, &NoTableError{}
		}
		view := n.evacuations.Current()
		if table.Version > call.TableVersion || call.outdatedBy(view) {
			return n.currentOrders(call, time.Since(startedAt))
		}
		select {
		case <-changed:
		case <-timer.C:
			return n.currentOrders(call, time.Since(startedAt))
		case <-ctx.Done():
			return ordersResponse{}, ctx.Err()
		}
	}
}

// outdatedBy reports whether a view is newer than the caller's and lists different halls. A caller
// whose view is newer than the relay's is held like any other.
func (c ordersRequest) outdatedBy(view evacuation.View) bool {
	return view.Version() > c.EvacuationVersion && !view.SameHalls(evacuation.NewView(c.Halls, c.EvacuationVersion, clock.Instant{}))
}

// currentOrders returns the operator's orders as known to this node.
func (n *Node) currentOrders(call ordersRequest, held time.Duration) (ordersResponse, error) {
	table, _ := n.routes.Current()
	view := n.evacuations.Current()
	age, known := view.Age(clock.Now())
	if !known {
		return ordersResponse{}, &StoreUnavailableError{}
	}
	answer := ordersResponse{TableVersion: table.Version, EvacuationVersion: view.Version(), Halls: view.Halls(), Age: age, HeldFor: held}
	if table.Version <= call.TableVersion {
		return answer, nil
	}
	var err error
	answer.Table, err = n.tables.encode(table)
	return answer, err
}

// relayReady reports whether this node is assigned as a relay and its orders are fresh enough.
func (n *Node) relayReady() bool {
	age, known := n.evacuations.Current().Age(clock.Now())
	return known && age < maxReadyAge && n.orders.feedWait(time.Now()) > 0
}

// storeUnavailable reports whether the store does not answer this node.
func (n *Node) storeUnavailable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeDown
}

// StoreUnavailableError reports that a node cannot act as a relay because the store does not
// answer it.
type StoreUnavailableError struct{}

func (e *StoreUnavailableError) Error() string { return "the store does not answer this node" }
