package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chutereach/evacuation"
	"chutereach/fleet"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/wait"
)

// Config is what a node goes by.
type Config struct {
	Self      Member
	Scheduler scheduler.Config
	// Owns, if given, is told whether this node owns the shard, at each change.
	Owns func(bool)
}

func (c Config) owns(now bool) {
	if c.Owns != nil {
		c.Owns(now)
	}
}

// Platform is what a node needs of the platform beneath it.
type Platform struct {
	Store   rowstore.Store
	Workers fleet.Client
	Advisor fleet.Advisor
	// FollowWorkers calls changed with the workers that discovery names, after
	// the first read and after each change, until ctx ends.
	FollowWorkers func(ctx context.Context, changed func([]fleet.Worker))
	// FollowOrders calls changed with each table of routes and evacuated, after each answer of
	// the store, with the data halls that are evacuated, until ctx ends. It tells reach how its
	// calls to the store go.
	FollowOrders func(ctx context.Context, changed func(routing.Table), evacuated func(evacuation.View), reach rowstore.Reach)
}

// Node is one machine of the system.
type Node struct {
	config   Config
	platform Platform
	client   *peer.Client
	log      zerolog.Logger
	metrics  *Metrics
	routes   routing.Newest
	// evacuations are the data halls that the operator has evacuated.
	evacuations evacuation.Newest

	mu     sync.Mutex
	owner  ownership // the one with the highest token that was heard of
	beatAt time.Time // when the owner was last heard; zero if it is doubted
	// beatNext is how long after beatAt the owner should be heard again.
	beatNext time.Duration
	ownedAt  time.Time // when any owner was last heard
	toldAt   time.Time // when the last heartbeat came
	changed  chan struct{}
	members  map[string]Member
	peers    map[string]peerState
	// memberSerial counts changes of members; rankedMembers are all of them as of rankedAt, the
	// best owner first.
	memberSerial, rankedAt uint64
	rankedMembers          []Member
	// told are the members of the succession, which an owner tells each node once for each change
	// of them; toldSerial counts those.
	told       []Member
	toldSerial uint64
	// plan is which nodes relay the operator's orders, as of the serial planAt; nil: to be made.
	plan     *relayPlan
	planAt   uint64
	own      *scheduler.Scheduler // while this node owns the shard
	ownSince time.Time
	// calmSince is since when this owner's timers are in time, and wasCalm whether
	// they have been for a while in this term.
	calmSince time.Time
	wasCalm   bool
	// handOverAt is when a handover may be tried next, and handingOver whether one is under way.
	handOverAt  time.Time
	handingOver bool
	endOwn      context.CancelFunc
	storeOK     time.Time
	storeBad    bool
	stopping    bool
	registered  bool        // the rows of the succession were read
	taking      bool        // a takeover is under way: the row may name this node already
	loadFails   atomic.Bool // the store does not let this owner load the shard

	tables tableExchange
	orders orderExchange
	lag    lagMeter
	speed  speedMeter
	takeMu sync.Mutex // one takeover at a time
	ctx    context.Context
	tasks  wait.Group
}

// peerState is what the owner has heard of a node.
type peerState struct {
	heard   time.Time
	storeOK bool
	lag     time.Duration // its mean lateness
	lost    bool
	failed  time.Time
	relays  bool   // it is a relay, and ready
	told    uint64 // the serial of the succession that it has been told
}

// New returns a Node that may answer calls until ctx ends; Run makes it live.
func New(ctx context.Context, config Config, platform Platform, client *peer.Client, metrics *Metrics, log zerolog.Logger) *Node {
	n := &Node{
		ctx: ctx, config: config, platform: platform, client: client, log: log, metrics: metrics,
		changed: make(chan struct{}), members: map[string]Member{config.Self.Node: config.Self}, memberSerial: 1,
		peers: map[string]peerState{},
	}
	n.config.Scheduler.Lateness = n.lag.Mean
	n.config.Scheduler.Evacuations = n.evacuations.Current
	n.routes.OnChange(n.tableChanged)
	return n
}

// Run lives until New's ctx ends.
func (n *Node) Run() {
	ctx := n.ctx
	n.tasks.Go(func() { n.followOrders(ctx) })
	n.tasks.Go(func() { n.register(ctx) })
	n.tasks.Go(func() { n.watchOwner(ctx) })
	n.tasks.Go(func() { n.beatLoop(ctx) })
	n.tasks.Go(func() { n.fitnessLoop(ctx) })
	n.tasks.Go(func() { n.storeLoop(ctx) })
	n.tasks.Go(func() { n.tidyLoop(ctx) })
	n.tasks.Go(func() { n.lag.run(ctx, &n.speed) })
	<-ctx.Done()
	n.tasks.Close()
	n.client.Close()
}

// Routes returns the table of routes in force.
func (n *Node) Routes() (routing.Table, bool) { return n.routes.Current() }

// storeAnswers and storeFails note whether the store can be reached.
func (n *Node) storeAnswers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeOK = time.Now()
	if n.storeBad {
		n.storeBad = false
		n.log.Info().Msg("store answers again")
	}
}

func (n *Node) storeFails(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.storeBad {
		n.storeBad = true
		n.log.Warn().Err(err).Msg("store does not answer")
	}
}

// storeFresh is how recent an answer of the store must be for a node to count as
// reaching it: a feed without news answers about this often.
const storeFresh = 3 * time.Second

// reachesStore reports whether the store answers this node, as far as is known. One that has its orders
// from a relay has not asked of late; it is asked once more before it is given the shard.
func (n *Node) reachesStore() bool {
	return !n.storeBad && (time.Since(n.storeOK) < storeFresh || n.orders.relayed())
}

// beatLate is by how much a heartbeat is late, at the least, when its owner is asked and its row
// watched. An owner that is only late answers. beatShare is the same as a share of the time in which
// the next one comes: a node that seldom hears of its owner would else ask after most of them.
const (
	beatLate  = 50 * time.Millisecond
	beatShare = 0.125
)

// overdue returns after what time without a heartbeat its owner is asked, if the next one was to
// come in a time.
func overdue(next time.Duration) time.Duration {
	return next + max(beatLate, time.Duration(beatShare*float64(next)))
}

// Ready returns nil if the node can serve callers.
func (n *Node) Ready() error {
	if _, ok := n.routes.Current(); !ok {
		return &NoTableError{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return &StoppingError{}
	}
	if n.own == nil && time.Since(n.ownedAt) > unreadyAfter {
		return &NotOwnerError{}
	}
	return nil
}

// unreadyAfter is how long a node without word from an owner still counts as
// ready; a takeover fits in it.
const unreadyAfter = 4 * time.Second

// StoppingError says that the node is about to stop.
type StoppingError struct{}

func (e *StoppingError) Error() string { return "this node is stopping" }

// Mux answers the calls of the other nodes.
func (n *Node) Mux() http.Handler {
	mux := http.NewServeMux()
	peer.Handle(mux, beatPath, n.takeBeat)
	peer.Handle(mux, pingPath, n.answerPing)
	peer.Handle(mux, takeoverPath, n.answerTakeover)
	peer.Handle(mux, submitPath, n.answerSubmit)
	peer.Handle(mux, cancelPath, n.answerCancel)
	peer.Handle(mux, statePath, n.answerState)
	peer.Handle(mux, pendingPath, n.answerPending)
	peer.Handle(mux, advisePath, n.answerAdvise)
	peer.Handle(mux, tablePath, n.answerTable)
	peer.Handle(mux, ordersPath, n.answerOrders)
	return mux
}

// Stop hands the shard over, if this node owns it, so that callers do not wait
// for a successor to notice. The node still answers until Run's ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	own := n.own
	n.mu.Unlock()
	n.log.Info().Bool("owner", own != nil).Msg("stopping")
	if own == nil {
		return
	}
	n.mu.Lock()
	n.handOverAt = time.Time{}
	n.mu.Unlock()
	own.Pause()
	wait.For(ctx, pauseBeforeHandover)
	n.handOver(ctx, "this node is stopping", anySuccessor)
	own.Resume() // without a successor it goes on to the end
}

// pauseBeforeHandover lets starts and transactions under way end.
const pauseBeforeHandover = 50 * time.Millisecond

// AccountUsage returns what client accounts have of the shard, if this node owns it.
func (n *Node) AccountUsage() []scheduler.AccountUsage {
	n.mu.Lock()
	own := n.own
	n.mu.Unlock()
	if own == nil {
		return nil
	}
	return own.AccountUsage()
}

// Owns reports whether this node owns the shard, as far as it knows.
func (n *Node) Owns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.own != nil
}
