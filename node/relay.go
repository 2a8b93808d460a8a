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

// The operator's orders, the configuration and the evacuations, reach every node from the store's
// feed. In a large data hall most nodes have them from a relay instead, a node of the same hall
// that reads the feed for them: else each change would go from the store to each node, and every
// node would hold a call of the feed open. The owner, who knows all nodes, names the relays in its
// heartbeats. A node whose relay does not answer, or whose orders become stale, reads the store itself.

const (
	// relayWait is how long a relay holds a call without news, and relaySlack how much longer the
	// answer is waited for.
	relayWait  = time.Second
	relaySlack = 300 * time.Millisecond
	// relayFeed is how long a relay's own call of the feed stays open, so that its orders are fresh,
	// and relaying for how long it counts as a relay after the owner has said so. It is ready once
	// its orders are younger than relayReady.
	relayFeed  = 500 * time.Millisecond
	relaying   = 3 * farSlowest
	relayReady = 1200 * time.Millisecond
	// relayTerm is how long a new owner takes to hear which relays are ready.
	relayTerm = 2 * farSlowest
	// maxOrdersAge is how old a node's orders may be after a relay's answer; they become relayWait older
	// until the next one. The relay's own calls make it as old as twice relayFeed.
	maxOrdersAge = 1500 * time.Millisecond
	// relayRest is for how long a relay is not asked after it has failed.
	relayRest = 5 * time.Second
)

// orderExchange is what a node knows of where to have the operator's orders.
type orderExchange struct {
	mu       sync.Mutex
	relay    string    // as the owner names it; empty: the store
	failed   string    // the relay that failed last
	failedAt time.Time // when it did
	inUse    bool      // the orders come from a relay
	chosenAt time.Time // when the owner last chose this node as a relay
	changed  chan struct{}
}

// assign notes which relay the owner names, and whether it chooses this node as one.
func (e *orderExchange) assign(message beat, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !message.Undecided {
		e.relay = message.Relay
	}
	if message.Relays {
		e.chosenAt = now
	}
}

// usable returns the relay to be asked now, or nothing.
func (e *orderExchange) usable(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.relay == e.failed && now.Sub(e.failedAt) < relayRest {
		return ""
	}
	return e.relay
}

// distrust notes that a relay has failed.
func (e *orderExchange) distrust(relay string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed, e.failedAt = relay, now
}

// use notes whether the orders come from a relay.
func (e *orderExchange) use(inUse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inUse = inUse
}

// relayed reports whether the orders come from a relay.
func (e *orderExchange) relayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inUse
}

// feedWait returns how long this node's calls of the feed may stay open, as a relay; 0: as long as
// any.
func (e *orderExchange) feedWait(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.chosenAt) < relaying {
		return relayFeed
	}
	return 0
}

// news wakes the calls that are held for it.
func (e *orderExchange) news() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// awaitNews returns a channel that is closed with the next news.
func (e *orderExchange) awaitNews() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// followOrders keeps the table of routes and the evacuated data halls as the store has them, by way
// of a relay where there is one that can be trusted.
func (n *Node) followOrders(ctx context.Context) {
	for ctx.Err() == nil {
		n.followStore(ctx)
		n.followRelay(ctx)
	}
}

// relayNow returns the relay to be asked now. An owner reads the store itself: what it starts rests
// on how fresh its orders are. So does a node that has no table yet.
func (n *Node) relayNow() string {
	n.mu.Lock()
	owns := n.own != nil
	n.mu.Unlock()
	if _, ok := n.routes.Current(); !ok || owns {
		return ""
	}
	return n.orders.usable(time.Now())
}

// followStore follows the store until there is a relay to be asked.
func (n *Node) followStore(parent context.Context) {
	ctx, stop := context.WithCancel(parent)
	defer stop()
	offer := func(table routing.Table) { n.routes.Offer(table) }
	answered := func() {
		n.tableArrived()
		if n.relayNow() != "" {
			stop()
		}
	}
	n.platform.FollowOrders(ctx, offer, n.takeEvacuations, rowstore.Reach{
		Answered: answered, Failed: n.tableFails, Progressed: n.tableArrives, Received: n.tableReceived, Wait: n.feedWait,
	})
}

// feedWait returns how long a call of the feed may stay open; 0: as long as any.
func (n *Node) feedWait() time.Duration {
	wait := n.orders.feedWait(time.Now())
	if within := n.config.Scheduler.EvacuateWithin / evacuationCalls; within > 0 && (wait == 0 || within < wait) {
		wait = within
	}
	return wait
}

// followRelay follows a relay for as long as it is to be asked.
func (n *Node) followRelay(ctx context.Context) {
	defer n.orders.use(false)
	begun := ""
	for ctx.Err() == nil {
		relay := n.relayNow()
		if relay == "" {
			return
		}
		n.orders.use(true)
		if relay != begun {
			n.log.Info().Str("relay", relay).Msg("orders come from a relay")
			begun = relay
		}
		if err := n.askRelay(ctx, relay); err != nil && ctx.Err() == nil {
			n.metrics.relays.Add(relayFailed, 1)
			n.log.Info().Str("relay", relay).Err(err).Msg("orders come from the store: the relay failed")
			n.orders.distrust(relay, time.Now())
		}
	}
}

// StaleOrdersError says that a node's orders have become too old in spite of its relay.
type StaleOrdersError struct{ Age time.Duration }

func (e *StaleOrdersError) Error() string {
	return "the operator's orders may be " + e.Age.Round(time.Millisecond).String() + " old"
}

// askRelay asks a relay for news and takes them in.
func (n *Node) askRelay(parent context.Context, relay string) error {
	ctx, cancel := transfer.WithStallLimit(parent, relayWait+relaySlack, func() { n.tables.setArriving(true) })
	defer cancel()
	defer n.tables.setArriving(false)
	table, _ := n.routes.Current()
	view := n.evacuations.Current()
	sent := clock.Now()
	answer, err := peer.Call[ordersAnswer](ctx, n.client, relay, ordersPath, ordersCall{table.Version, view.Version(), view.Halls(), relayWait})
	if err != nil {
		return err
	}
	now := clock.Now()
	if err := n.takeOrders(answer, now, answer.Age+max(0, now.Sub(sent)-answer.Held)); err != nil {
		return err
	}
	if age, _ := n.evacuations.Current().Age(now); age > maxOrdersAge {
		return &StaleOrdersError{age}
	}
	n.metrics.relays.Add(relayAnswered, 1)
	return nil
}

// takeOrders takes in what a relay has told, which was true a time before now.
func (n *Node) takeOrders(answer ordersAnswer, now clock.Instant, age time.Duration) error {
	if len(answer.Table) > 0 {
		var table routing.Table
		if err := codec.Unmarshal(answer.Table, &table); err != nil {
			return err
		}
		n.metrics.tables.Add(fromRelay, 1)
		n.routes.Offer(table)
	}
	n.takeEvacuations(evacuation.NewView(answer.Halls, answer.Evacuations, now.Before(age)))
	if !n.routes.Lacks(answer.TableVersion) {
		n.tables.current(age)
	}
	return nil
}

// answerOrders holds a node's call until there is news for it, or for as long as it allows. A relay
// that the store does not answer says so at once.
func (n *Node) answerOrders(ctx context.Context, call ordersCall) (ordersAnswer, error) {
	begun := time.Now()
	timer := time.NewTimer(min(call.Wait, relayWait))
	defer timer.Stop()
	for {
		news := n.orders.awaitNews()
		if n.storeFailing() {
			return ordersAnswer{}, &StoreFailsError{}
		}
		table, ok := n.routes.Current()
		if !ok {
			return ordersAnswer{}, &NoTableError{}
		}
		view := n.evacuations.Current()
		if table.Version > call.Table || call.lacks(view) {
			return n.ordersNow(call, time.Since(begun))
		}
		select {
		case <-news:
		case <-timer.C:
			return n.ordersNow(call, time.Since(begun))
		case <-ctx.Done():
			return ordersAnswer{}, ctx.Err()
		}
	}
}

// lacks reports whether a view is news for the caller: one that has heard of a later change than its
// relay is held like any other.
func (c ordersCall) lacks(view evacuation.View) bool {
	return view.Version() > c.Evacuations && !view.SameHalls(evacuation.NewView(c.Halls, c.Evacuations, clock.Instant{}))
}

// ordersNow returns what this node has of the operator's orders.
func (n *Node) ordersNow(call ordersCall, held time.Duration) (ordersAnswer, error) {
	table, _ := n.routes.Current()
	view := n.evacuations.Current()
	age, known := view.Age(clock.Now())
	if !known {
		return ordersAnswer{}, &StoreFailsError{}
	}
	answer := ordersAnswer{TableVersion: table.Version, Evacuations: view.Version(), Halls: view.Halls(), Age: age, Held: held}
	if table.Version <= call.Table {
		return answer, nil
	}
	var err error
	answer.Table, err = n.tables.encode(table)
	return answer, err
}

// relaysNow reports whether this node is chosen as a relay and its orders are fresh enough.
func (n *Node) relaysNow() bool {
	age, known := n.evacuations.Current().Age(clock.Now())
	return known && age < relayReady && n.orders.feedWait(time.Now()) > 0
}

// storeFailing reports whether the store does not answer this node.
func (n *Node) storeFailing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeBad
}

// StoreFailsError says that a node cannot relay, for the store does not answer it.
type StoreFailsError struct{}

func (e *StoreFailsError) Error() string { return "the store does not answer this node" }
