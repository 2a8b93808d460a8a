package node

import (
	"context"
	"errors"
	"math"
	"syscall"
	"time"

	"chutereach/peer"
	"chutereach/wait"
)

const (
	// heartbeatInterval is the interval of heartbeats to the first maxNearNodes nodes in the order
	// of succession.
	heartbeatInterval = 150 * time.Millisecond
	maxNearNodes      = 12
	// maxFarHeartbeatsPerSecond bounds the heartbeats per second to all other nodes together. Each of them still
	// gets one at least every maxFarHeartbeatInterval, which is well within unreadyAfter. One to
	// each node every heartbeatInterval took 970 calls a second with 146 nodes.
	maxFarHeartbeatsPerSecond = 200
	maxFarHeartbeatInterval   = 2 * time.Second
	heartbeatTimeout          = 400 * time.Millisecond
	// memberLostAfter is how long a node may leave heartbeats unanswered before it is
	// considered lost and gets no more advice calls.
	memberLostAfter = time.Second
	// lostMemberRetryDelay is the minimum time between heartbeats to a lost node.
	lostMemberRetryDelay = time.Second
	// storeFailedAfter is how long the store must have failed the owner before it hands the shard
	// over to any node that reaches the store. After storeSuspectAfter it already hands over to
	// a node that the store answers within shortStoreProbeTimeout. New jobs and results wait until
	// the store answers again or another node owns the shard.
	storeFailedAfter  = 350 * time.Millisecond
	storeSuspectAfter = 150 * time.Millisecond
	// storeCheckInterval is how often an owner checks whether the store answers it.
	storeCheckInterval = 50 * time.Millisecond
)

// heartbeatLoop sends heartbeats while this node owns the shard.
func (n *Node) heartbeatLoop(ctx context.Context) {
	for turn := 1; ctx.Err() == nil; turn++ {
		wait.For(ctx, heartbeatInterval)
		n.sendHeartbeats(turn)
	}
}

// lagCheckLoop hands the shard over when a better owner is available. It runs apart from
// heartbeatLoop so that a handover does not delay heartbeats.
func (n *Node) lagCheckLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, heartbeatInterval)
		n.checkLag(ctx)
	}
}

// storeCheckLoop hands the shard over when the store does not answer this node.
func (n *Node) storeCheckLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, storeCheckInterval)
		n.checkStore(ctx)
	}
}

// allNodesTurn is the turn in which every node gets a heartbeat.
const allNodesTurn = 0

// farHeartbeatPeriod returns the number of turns between two heartbeats to the same node, given the
// number of nodes that do not get one every turn.
func farHeartbeatPeriod(far int) int {
	perTurn := maxFarHeartbeatsPerSecond * heartbeatInterval.Seconds()
	period := int(math.Ceil(float64(far) / perTurn))
	return max(1, min(period, int(maxFarHeartbeatInterval/heartbeatInterval)))
}

// sendHeartbeats sends the heartbeats of a turn: to the first maxNearNodes nodes in the order of
// succession every turn, and to each of the others every farHeartbeatPeriod turns.
func (n *Node) sendHeartbeats(turn int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scheduler == nil {
		return
	}
	table, _ := n.routes.Current()
	ranked := n.ranked()
	period := farHeartbeatPeriod(len(ranked) - 1 - maxNearNodes)
	short := heartbeat{RelayUndecided: time.Since(n.termStartedAt) < relayUndecidedPeriod, Owner: n.owner, TableVersion: table.Version, TableAge: n.tableAge()}
	full := short
	members, version := n.currentSuccession()
	full.Members = members
	plan := n.relayPlan(ranked)
	near := maxNearNodes
	for i, member := range ranked {
		if member.Node == n.config.Self.Node {
			near++ // this node does not count toward maxNearNodes
			continue
		}
		every := 1
		if i >= near {
			every = period
		}
		if turn != allNodesTurn && (turn+i)%every != 0 {
			continue
		}
		state := n.peers[member.Node]
		if state.lost && time.Since(state.failedAt) < lostMemberRetryDelay {
			continue
		}
		short.NextIn, full.NextIn = time.Duration(every)*heartbeatInterval, time.Duration(every)*heartbeatInterval
		short.Relay, full.Relay = plan.relayAddress[member.Node], plan.relayAddress[member.Node]
		short.IsRelay, full.IsRelay = plan.relayNodes[member.Node], plan.relayNodes[member.Node]
		message := short
		if state.successionVersion != version {
			message = full
		}
		n.tasks.Go(func() { n.sendHeartbeat(member, message, version) })
	}
}

// sendHeartbeat sends a heartbeat to a member and records the answer. version is the version of
// the succession as of the heartbeat.
func (n *Node) sendHeartbeat(member Member, message heartbeat, version uint64) {
	ctx, cancel := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer cancel()
	answer, err := peer.Call[heartbeatResponse](ctx, n.client, member.Address, heartbeatPath, message)
	now := time.Now()
	n.mu.Lock()
	state := n.peers[member.Node]
	wasLost, relayed := state.lost, state.relays
	if err == nil {
		state = peerState{heardAt: now, storeOK: answer.StoreOK, lag: answer.Lag, successionVersion: version, relays: answer.RelayReady}
		if answer.Members < len(n.announced) {
			state.successionVersion = 0 // the node has restarted or missed an update
		}
	} else {
		state.failedAt = now
		state.lost = now.Sub(state.heardAt) > memberLostAfter
	}
	n.peers[member.Node] = state
	if wasLost != state.lost || relayed != state.relays {
		n.plan = nil
	}
	if sole := n.soleOwner; err == nil && sole != nil && answer.Owner.Token == message.Owner.Token && sole.term.Token() == answer.Owner.Token {
		sole.acknowledge(member.Node, len(n.members))
	}
	n.mu.Unlock()
	if wasLost != state.lost {
		n.log.Info().Str("node", member.Node).Bool("lost", state.lost).Msg("node reachability changed")
		n.updateAdviceNodes()
	}
	if err != nil {
		return
	}
	if answer.Owner.Token > message.Owner.Token {
		n.learnOwner(answer.Owner)
	}
	n.recordTableVersion(answer.TableVersion, member.Address)
}

// handleHeartbeat answers a heartbeat of the owner.
func (n *Node) handleHeartbeat(_ context.Context, message heartbeat) (heartbeatResponse, error) {
	n.ownerHeard(message.Owner, message.NextIn)
	n.orders.assign(message, time.Now())
	n.recordTableVersion(message.TableVersion, message.Owner.Address)
	if !n.routes.OlderThan(message.TableVersion) {
		n.tables.confirm(message.TableAge)
	}
	table, _ := n.routes.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeatReceivedAt = time.Now()
	n.applySuccession(message.Members)
	return heartbeatResponse{
		Owner: n.owner, StoreOK: n.reachesStore() && !n.stopping, TableVersion: table.Version, Lag: n.lag.Mean(),
		Members: len(n.members), RelayReady: n.relayReady() && !n.storeDown && !n.stopping,
	}, nil
}

// ownerHeard records a message from an owner and when the next heartbeat is due, unless an
// owner with a higher token is known.
func (n *Node) ownerHeard(owner ownership, next time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owner.Token < n.owner.Token {
		return
	}
	n.ownerHeardAt = time.Now()
	n.nextHeartbeatIn = max(next, heartbeatInterval)
	n.anyOwnerHeardAt = n.ownerHeardAt
	n.setOwnerLocked(owner)
}

// learnOwner records that another node owns the shard, without counting it as a message from that node.
func (n *Node) learnOwner(owner ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owner.Token > n.owner.Token {
		n.setOwnerLocked(owner)
	}
}

func (n *Node) setOwnerLocked(owner ownership) {
	if owner == n.owner {
		return
	}
	n.owner = owner
	n.log.Info().Str("owner", owner.Node).Uint64("token", owner.Token).Msg("owner changed")
	if n.scheduler != nil && n.scheduler.Token() < owner.Token && n.cancelTerm != nil {
		n.cancelTerm()
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) answerPing(context.Context, empty) (pingResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return pingResponse{Owner: n.owner, IsOwner: n.scheduler != nil || n.takingOver, UpFor: n.confirmedFor()}, nil
}

// checkStore hands the shard over when the store does not answer this node but answers others.
func (n *Node) checkStore(ctx context.Context) {
	n.mu.Lock()
	own := n.scheduler
	n.mu.Unlock()
	if own == nil {
		return
	}
	since := own.Term().FailingSince()
	if since.IsZero() {
		return
	}
	const why = "the store does not answer this node"
	switch failingFor := time.Since(since); {
	case failingFor >= storeFailedAfter:
		n.handOver(ctx, why, anySuccessor)
	case failingFor >= storeSuspectAfter:
		n.tryHandover(ctx, handover{why: why, eligible: anySuccessor, probeTimeout: shortStoreProbeTimeout, retryDelay: storeFailedAfter - storeSuspectAfter})
	}
}

// isRefused reports whether a machine refused the connection, as it does when no process
// listens on the port.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
