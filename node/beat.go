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
	// beatEvery is how often an owner sends heartbeats to the nodes that would take the
	// shard over first, nearMost of them.
	beatEvery = 150 * time.Millisecond
	nearMost  = 12
	// farBeats bounds the heartbeats a second to all other nodes together: with one to each
	// at every turn, 146 nodes took 970 calls a second. Nobody hears of an owner less often
	// than each farSlowest, well within unreadyAfter.
	farBeats    = 200
	farSlowest  = 2 * time.Second
	beatTimeout = 400 * time.Millisecond
	// memberLost is after how long without an answer a node gets no advice calls.
	memberLost = time.Second
	// lostPause spares a node that does not answer most heartbeats.
	lostPause = time.Second
	// storeFailing is after how long without the store an owner hands over to any node that the
	// store answers, and storeDoubted to one that it answers at once: the longer it is waited, the
	// more ends and new jobs wait with it.
	storeFailing = 350 * time.Millisecond
	storeDoubted = 150 * time.Millisecond
	// storeCheck is how often an owner looks at how the store answers it.
	storeCheck = 50 * time.Millisecond
)

// beatLoop sends heartbeats while this node owns the shard.
func (n *Node) beatLoop(ctx context.Context) {
	for turn := 1; ctx.Err() == nil; turn++ {
		wait.For(ctx, beatEvery)
		n.announce(turn)
	}
}

// fitnessLoop looks whether this node is still fit to own the shard. It is apart
// from the heartbeats, which a handover must not hold up.
func (n *Node) fitnessLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, beatEvery)
		n.checkLag(ctx)
	}
}

// storeLoop looks whether the store answers this node.
func (n *Node) storeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, storeCheck)
		n.checkStore(ctx)
	}
}

// allNodes is the turn in which every node gets a heartbeat.
const allNodes = 0

// farPeriod returns in how many turns each of a number of far nodes gets one heartbeat.
func farPeriod(far int) int {
	perTurn := farBeats * beatEvery.Seconds()
	period := int(math.Ceil(float64(far) / perTurn))
	return max(1, min(period, int(farSlowest/beatEvery)))
}

// announce sends the heartbeats of a turn. The nodes that would succeed this one get one
// at each turn, the others in turn.
func (n *Node) announce(turn int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own == nil {
		return
	}
	table, _ := n.routes.Current()
	ranked := n.ranked()
	period := farPeriod(len(ranked) - 1 - nearMost)
	short := beat{Undecided: time.Since(n.ownSince) < relayTerm, Owner: n.owner, TableVersion: table.Version, TableAge: n.tableAge()}
	full := short
	told, serial := n.tellSuccession()
	full.Members = told
	plan := n.relayPlan(ranked)
	near := nearMost
	for i, member := range ranked {
		if member.Node == n.config.Self.Node {
			near++ // it counts for none of them
			continue
		}
		every := 1
		if i >= near {
			every = period
		}
		if turn != allNodes && (turn+i)%every != 0 {
			continue
		}
		state := n.peers[member.Node]
		if state.lost && time.Since(state.failed) < lostPause {
			continue
		}
		short.Next, full.Next = time.Duration(every)*beatEvery, time.Duration(every)*beatEvery
		short.Relay, full.Relay = plan.relays[member.Node], plan.relays[member.Node]
		short.Relays, full.Relays = plan.chosen[member.Node], plan.chosen[member.Node]
		message := short
		if state.told != serial {
			message = full
		}
		n.tasks.Go(func() { n.sendBeat(member, message, serial) })
	}
}

// sendBeat sends a heartbeat with the succession as of a serial, or without it.
func (n *Node) sendBeat(member Member, message beat, serial uint64) {
	ctx, cancel := context.WithTimeout(n.ctx, beatTimeout)
	defer cancel()
	answer, err := peer.Call[beatAnswer](ctx, n.client, member.Address, beatPath, message)
	now := time.Now()
	n.mu.Lock()
	state := n.peers[member.Node]
	wasLost, relayed := state.lost, state.relays
	if err == nil {
		state = peerState{heard: now, storeOK: answer.StoreOK, lag: answer.Lag, told: serial, relays: answer.Relays}
		if answer.Members < len(n.told) {
			state.told = 0 // it has begun anew, or has not heard of all
		}
	} else {
		state.failed = now
		state.lost = now.Sub(state.heard) > memberLost
	}
	n.peers[member.Node] = state
	if wasLost != state.lost || relayed != state.relays {
		n.plan = nil
	}
	n.mu.Unlock()
	if wasLost != state.lost {
		n.log.Info().Str("node", member.Node).Bool("lost", state.lost).Msg("node lost or back")
		n.setLanes()
	}
	if err != nil {
		return
	}
	if answer.Owner.Token > message.Owner.Token {
		n.believe(answer.Owner)
	}
	n.hearOfTable(answer.TableVersion, member.Address)
}

// takeBeat takes in an owner's heartbeat.
func (n *Node) takeBeat(_ context.Context, message beat) (beatAnswer, error) {
	n.heard(message.Owner, message.Next)
	n.orders.assign(message, time.Now())
	n.hearOfTable(message.TableVersion, message.Owner.Address)
	if !n.routes.Lacks(message.TableVersion) {
		n.tables.current(message.TableAge)
	}
	table, _ := n.routes.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.toldAt = time.Now()
	n.followSuccession(message.Members)
	return beatAnswer{
		Owner: n.owner, StoreOK: n.reachesStore() && !n.stopping, TableVersion: table.Version, Lag: n.lag.Mean(),
		Members: len(n.members), Relays: n.relaysNow() && !n.storeBad && !n.stopping,
	}, nil
}

// heard notes a sign of life of an owner, unless a later one is known, and after how long
// the next one is due.
func (n *Node) heard(owner ownership, next time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owner.Token < n.owner.Token {
		return
	}
	n.beatAt = time.Now()
	n.beatNext = max(next, beatEvery)
	n.ownedAt = n.beatAt
	n.followLocked(owner)
}

// believe notes that another node owns the shard, without a sign of its life.
func (n *Node) believe(owner ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owner.Token > n.owner.Token {
		n.followLocked(owner)
	}
}

func (n *Node) followLocked(owner ownership) {
	if owner == n.owner {
		return
	}
	n.owner = owner
	n.log.Info().Str("owner", owner.Node).Uint64("token", owner.Token).Msg("owner")
	if n.own != nil && n.own.Token() < owner.Token && n.endOwn != nil {
		n.endOwn()
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) answerPing(context.Context, nothing) (pingAnswer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return pingAnswer{n.owner, n.own != nil || n.taking}, nil
}

// checkStore hands the shard over when the store does not answer this node but
// answers others.
func (n *Node) checkStore(ctx context.Context) {
	n.mu.Lock()
	own := n.own
	n.mu.Unlock()
	if own == nil {
		return
	}
	since := own.Term().FailingSince()
	if since.IsZero() {
		return
	}
	const why = "the store does not answer this node"
	switch silent := time.Since(since); {
	case silent >= storeFailing:
		n.handOver(ctx, why, anySuccessor)
	case silent >= storeDoubted:
		n.handOverTo(ctx, handover{why: why, fits: anySuccessor, look: promptLook, pause: storeFailing - storeDoubted})
	}
}

// isRefused reports whether a machine answered that nobody listens there.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
