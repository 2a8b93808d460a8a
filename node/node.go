package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chutereach/clock"
	"chutereach/evacuation"
	"chutereach/fleet"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/wait"
)

// Config configures a Node.
type Config struct {
	Self      Member
	Scheduler scheduler.Config
	// OnOwnershipChange, if not nil, is called with whether this node owns the shard, at each change.
	OnOwnershipChange func(bool)
}

func (c Config) notifyOwnership(now bool) {
	if c.OnOwnershipChange != nil {
		c.OnOwnershipChange(now)
	}
}

// Platform holds the services that a node depends on.
type Platform struct {
	Store   rowstore.Store
	Workers fleet.Client
	Advisor fleet.Advisor
	// FollowWorkers calls changed with the workers known to discovery, after the first read and
	// after each change, until ctx ends.
	FollowWorkers func(ctx context.Context, changed func([]fleet.Worker))
	// FollowOrders calls changed with each table of routes, and evacuated with the evacuated
	// data halls after each answer of the store, until ctx ends. It reports the progress of its
	// calls to the store to reach.
	FollowOrders func(ctx context.Context, changed func(routing.Table), evacuated func(evacuation.View), reach rowstore.FollowOptions)
}

// Node is a member of the cluster. It takes part in choosing the owner of the shard, and runs
// the shard while it is the owner.
type Node struct {
	config   Config
	platform Platform
	client   *peer.Client
	log      zerolog.Logger
	metrics  *Metrics
	routes   routing.Newest
	// configurer passes the table in routes to the scheduler.
	configurer configurer
	// evacuations holds the data halls that the operator has evacuated.
	evacuations evacuation.Newest

	mu           sync.Mutex
	owner        ownership // the known owner with the highest token
	ownerHeardAt time.Time // when the owner was last heard from; zero to have it checked at once
	// nextHeartbeatIn is how long after ownerHeardAt the owner's next heartbeat is due.
	nextHeartbeatIn     time.Duration
	anyOwnerHeardAt     time.Time     // when any owner was last heard from
	heartbeatReceivedAt time.Time     // when the last heartbeat arrived
	changed             chan struct{} // closed and replaced when the owner changes
	members             map[string]Member
	peers               map[string]peerState
	// membersVersion is incremented with each change of members. rankedMembers holds all members
	// as of rankedVersion, the best owner first.
	membersVersion, rankedVersion uint64
	// smallestMemory is the memory in bytes of the smallest machine of all members; 0 if none is known.
	smallestMemory atomic.Int64
	rankedMembers  []Member
	// announced is the succession that an owner sends to each node once per change.
	// announcedVersion is incremented with each change.
	announced        []Member
	announcedVersion uint64
	// plan assigns the relays of the operator's orders, as of the members version planVersion. It is nil
	// when it must be computed anew.
	plan          *relayPlan
	planVersion   uint64
	scheduler     *scheduler.Scheduler // nil unless this node owns the shard
	soleOwner     *soleOwner           // of the term of scheduler
	termStartedAt time.Time
	// lagNormalSince is when this owner's timer lag last became normal, or zero while it is
	// high. lagWasNormal is whether it has been normal for lagNormalPeriod during this term.
	lagNormalSince time.Time
	lagWasNormal   bool
	// nextHandoverAt is the earliest time of the next handover. handingOver is whether one is
	// in progress.
	nextHandoverAt  time.Time
	handingOver     bool
	cancelTerm      context.CancelFunc
	storeAnsweredAt time.Time
	storeDown       bool
	stopping        bool
	registered      bool // the node's row is written and the succession read
	// presentSince is when this process first knew its row to be in the store without a departure; zero if it does not.
	presentSince clock.Instant
	takingOver   bool        // a takeover is in progress; the owner's row may already name this node
	loadFailing  atomic.Bool // the last attempt to load the shard failed

	// sampledLog is for calls of callers, which may be repeated indefinitely.
	sampledLog zerolog.Logger
	tables     tableTracker
	orders     orderSource
	lag        lagMeter
	speed      speedMeter
	takeover   chan struct{} // holds an element during a takeover, so that takeovers are serialized
	ctx        context.Context
	tasks      wait.Group
}

// peerState is what the owner knows about another node.
type peerState struct {
	heardAt           time.Time
	storeOK           bool
	lag               time.Duration // mean timer lag
	lost              bool
	failedAt          time.Time
	relays            bool   // whether it serves as a relay and is ready
	successionVersion uint64 // the version of the succession last sent to it
}

// New returns a Node that answers calls until ctx ends. Run starts its background work.
func New(ctx context.Context, config Config, platform Platform, client *peer.Client, metrics *Metrics, log zerolog.Logger) *Node {
	n := &Node{
		ctx: ctx, config: config, platform: platform, client: client, log: log, metrics: metrics,
		sampledLog: log.Sample(&zerolog.BurstSampler{Burst: callLogBurst, Period: time.Second}),
		changed:    make(chan struct{}), members: map[string]Member{config.Self.Node: config.Self}, membersVersion: 1,
		peers: map[string]peerState{}, takeover: make(chan struct{}, 1),
	}
	n.config.Scheduler.TimerLag = n.lag.Mean
	n.config.Scheduler.Evacuations = n.evacuations.Current
	n.configurer.current = n.routes.Current
	n.routes.OnChange(n.tableChanged)
	n.updateSmallestMemory()
	return n
}

// callLogBurst is the maximum number of log lines per second about rejected calls and calls of unknown outcome.
const callLogBurst = 50

// Run runs the node's background work until the context given to New ends.
func (n *Node) Run() {
	ctx := n.ctx
	n.tasks.Go(func() { n.followOrders(ctx) })
	n.tasks.Go(func() {
		n.register(ctx)
		n.clearDeparture(ctx)
	})
	n.tasks.Go(func() { n.watchOwner(ctx) })
	n.tasks.Go(func() { n.heartbeatLoop(ctx) })
	n.tasks.Go(func() { n.lagCheckLoop(ctx) })
	n.tasks.Go(func() { n.storeCheckLoop(ctx) })
	n.tasks.Go(func() { n.membershipLoop(ctx) })
	n.tasks.Go(func() { n.lag.run(ctx, &n.speed) })
	<-ctx.Done()
	n.tasks.Close()
	n.client.Close()
}

// Routes returns the current table of routes.
func (n *Node) Routes() (routing.Table, bool) { return n.routes.Current() }

// recordStoreSuccess and recordStoreFailure record whether the store can be reached.
func (n *Node) recordStoreSuccess() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeAnsweredAt = time.Now()
	if n.storeDown {
		n.storeDown = false
		n.log.Info().Msg("store answers again")
	}
}

func (n *Node) recordStoreFailure(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.storeDown {
		n.storeDown = true
		n.log.Warn().Err(err).Msg("store does not answer")
	}
}

// storeContactTTL is how recent the last answer of the store must be for a node to count as
// reaching it. An idle feed answers about this often.
const storeContactTTL = 3 * time.Second

// reachesStore reports whether the store is believed to answer this node. A node whose orders
// come from a relay may not have called the store recently; it is probed before it is given the
// shard. n.mu must be held.
func (n *Node) reachesStore() bool {
	return !n.storeDown && (time.Since(n.storeAnsweredAt) < storeContactTTL || n.orders.relayed())
}

// minHeartbeatDelay and heartbeatDelayShare set how late a heartbeat must be, as a minimum and as a share
// of its interval, before the owner is pinged and its row watched. The share keeps nodes with
// long intervals from pinging the owner after most heartbeats.
const (
	minHeartbeatDelay   = 50 * time.Millisecond
	heartbeatDelayShare = 0.125
)

// heartbeatDeadline returns how long after the last heartbeat the owner is checked, given the interval
// until the next one.
func heartbeatDeadline(next time.Duration) time.Duration {
	return next + max(minHeartbeatDelay, time.Duration(heartbeatDelayShare*float64(next)))
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
	if n.scheduler == nil && time.Since(n.anyOwnerHeardAt) > unreadyAfter {
		return &NotOwnerError{}
	}
	return nil
}

// unreadyAfter is how long a node that hears from no owner still counts as ready. It exceeds
// the duration of a takeover.
const unreadyAfter = 4 * time.Second

// StoppingError reports that the node is shutting down.
type StoppingError struct{}

func (e *StoppingError) Error() string { return "this node is stopping" }

// Mux returns the handler of the calls from other nodes.
func (n *Node) Mux() http.Handler {
	mux := http.NewServeMux()
	peer.Handle(mux, heartbeatPath, n.handleHeartbeat)
	peer.Handle(mux, pingPath, n.answerPing)
	peer.Handle(mux, takeoverPath, n.answerTakeover)
	peer.Handle(mux, submitPath, n.answerSubmit)
	peer.Handle(mux, cancelPath, n.answerCancel)
	peer.Handle(mux, statePath, n.answerState)
	peer.Handle(mux, pendingPath, n.answerPending)
	peer.Handle(mux, absentPath, n.answerAbsent)
	peer.Handle(mux, advisePath, n.answerAdvise)
	peer.Handle(mux, tablePath, n.answerTable)
	peer.Handle(mux, ordersPath, n.answerOrders)
	return mux
}

// Stop hands the shard over if this node owns it, so that callers need not wait until a
// successor detects the loss. The node still answers calls until the context given to New ends.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	own := n.scheduler
	n.mu.Unlock()
	n.log.Info().Bool("owner", own != nil).Msg("stopping")
	n.tasks.Go(func() { n.markDeparted(n.ctx) })
	if own == nil {
		return
	}
	n.mu.Lock()
	n.nextHandoverAt = time.Time{}
	n.mu.Unlock()
	own.Pause()
	wait.For(ctx, pauseBeforeHandover)
	n.handOver(ctx, "this node is stopping", anySuccessor)
	own.Resume() // if no successor took the shard, this node runs it until it exits
}

// pauseBeforeHandover gives starts and transactions in progress time to finish.
const pauseBeforeHandover = 50 * time.Millisecond

// AccountUsage returns each client account's usage of the shard, or nil if this node does not
// own it.
func (n *Node) AccountUsage() []scheduler.AccountUsage {
	n.mu.Lock()
	own := n.scheduler
	n.mu.Unlock()
	if own == nil {
		return nil
	}
	return own.AccountUsage()
}

// Owns reports whether this node believes that it owns the shard.
func (n *Node) Owns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.scheduler != nil
}
