package node

import (
	"context"
	"time"

	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/transfer"
	"chutereach/wait"
)

const (
	nodesTable         = "nodes"
	ownerCheckInterval = 50 * time.Millisecond
	// maxOwnerCheckInterval is the longest interval between the owner checks of a node outside
	// the succession. Such nodes back off so that the load on the store does not grow with
	// their number.
	maxOwnerCheckInterval = 800 * time.Millisecond
	pingTimeout           = 150 * time.Millisecond
	storeTimeout          = 1500 * time.Millisecond
	// ownerStaleAfter is how long the row of an unresponsive owner must stay unchanged before
	// the owner is presumed dead. Owners write the row at least every 250 ms. A false positive
	// costs a takeover but loses no accepted job.
	ownerStaleAfter = 350 * time.Millisecond
	rankDelay       = 120 * time.Millisecond
	maxDelayedRank  = 12
	// initialStallLimit is the stall limit of the first attempt to load the shard. It doubles
	// with each failed attempt, up to maxStallLimit.
	initialStallLimit = 1500 * time.Millisecond
	maxStallLimit     = 3 * time.Second
	// loadHandoverAfter is how long a failing load is retried before the node tries to hand the
	// shard over.
	loadHandoverAfter = 300 * time.Millisecond
	storeRetryDelay   = 200 * time.Millisecond
	// holdTimeout bounds how long a handover waits for the transaction in progress.
	holdTimeout = 200 * time.Millisecond
	// failingStoreHoldTimeout replaces holdTimeout while the store is failing: the transaction
	// in progress would not finish, and it is rejected once the successor has taken the shard.
	failingStoreHoldTimeout = 10 * time.Millisecond
	// storeProbeTimeout is how quickly the store must answer a prospective successor. handoverTimeout
	// bounds each call to a successor.
	storeProbeTimeout = 150 * time.Millisecond
	// shortStoreProbeTimeout replaces storeProbeTimeout when the store has failed the owner only briefly and
	// may be slow for every node.
	shortStoreProbeTimeout = 50 * time.Millisecond
	handoverTimeout        = 700 * time.Millisecond
	// maxSuccessors bounds the nodes asked during one handover. handoverRetryDelay is the
	// minimum time between handover attempts.
	maxSuccessors      = 4
	handoverRetryDelay = 800 * time.Millisecond
	// maxTakeoverAttempts is how often a successor tries to take a shard whose owner row keeps
	// changing.
	maxTakeoverAttempts = 3
)

// watchOwner takes the shard when its owner is gone. It does nothing until the members are
// known: without them, every node would rank itself first and try to take the shard at the same
// time. When all 147 nodes of a deployment restarted at once, eight of them took the shard within
// 0.1 s, all on weak machines.
func (n *Node) watchOwner(ctx context.Context) {
	var suspicion ownerSuspicion
	var pacer ownerCheckPacer
	for ctx.Err() == nil {
		wait.For(ctx, ownerCheckInterval)
		n.mu.Lock()
		skip := n.scheduler != nil || n.stopping || !n.registered || time.Since(n.ownerHeardAt) < heartbeatDeadline(n.nextHeartbeatIn)
		owner := n.owner
		n.mu.Unlock()
		if skip {
			suspicion = ownerSuspicion{}
			continue
		}
		if pacer.due(time.Now(), n.inSuccession()) {
			n.checkOwner(ctx, &suspicion, owner)
		}
	}
}

// ownerCheckPacer limits how often a node checks whether the shard has an owner.
type ownerCheckPacer struct {
	last     time.Time
	interval time.Duration // current minimum interval for a node outside the succession
}

// due reports whether to check now, and if so records the check. For a node outside the
// succession the interval doubles with each check, and is reset once no check was needed for
// twice the maximum interval.
func (p *ownerCheckPacer) due(now time.Time, inSuccession bool) bool {
	since := now.Sub(p.last)
	switch {
	case inSuccession:
		return true
	case since > 2*maxOwnerCheckInterval:
		p.interval = ownerCheckInterval
	case since < p.interval:
		return false
	default:
		p.interval = min(maxOwnerCheckInterval, 2*p.interval)
	}
	p.last = now
	return true
}

// inSuccession reports whether the node is in the succession, given the members it knows.
func (n *Node) inSuccession() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rank("") < maxNearNodes
}

// rank returns how many members, other than exclude, precede this node in the order of
// succession. n.mu must be held.
func (n *Node) rank(exclude string) int {
	rank := 0
	for _, member := range n.members {
		if member.Node != exclude && member.compare(n.config.Self) < 0 {
			rank++
		}
	}
	return rank
}

// ownerSuspicion is the evidence that an owner without recent heartbeats is dead.
type ownerSuspicion struct {
	version         uint64    // version of the owner's row
	unchangedSince  time.Time // when the row was first seen at this version
	unansweredPings int       // pings without an answer since then
}

// isStale reports whether the row has been unchanged for long enough to presume its owner dead.
func (s ownerSuspicion) isStale(now time.Time) bool {
	return now.Sub(s.unchangedSince) >= ownerStaleAfter
}

// maxOwnerPings is the number of unanswered pings after which checkOwner relies on the row
// alone.
const maxOwnerPings = 2

// checkOwner pings the owner and reads its row, and takes the shard if neither shows a live
// owner.
func (n *Node) checkOwner(ctx context.Context, suspicion *ownerSuspicion, owner ownership) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	statuses := make(chan ownerStatus, 1)
	if suspicion.unansweredPings < maxOwnerPings {
		n.tasks.Go(func() { statuses <- n.pingOwner(callCtx, owner) })
	} else {
		statuses <- ownerUnknown
	}
	seen, err := leadership.ReadOwner(callCtx, n.platform.Store, n.config.Scheduler.Shard)
	if err != nil {
		n.recordStoreFailure(err)
		return
	}
	n.recordStoreSuccess()
	now := time.Now()
	if seen.Version != suspicion.version {
		*suspicion = ownerSuspicion{version: seen.Version, unchangedSince: now}
	}
	seen.FirstSeen = suspicion.unchangedSince
	var status ownerStatus
	select {
	case status = <-statuses:
	case <-callCtx.Done():
		return
	}
	if status == ownerAlive {
		return
	}
	if status == ownerUnknown {
		suspicion.unansweredPings++
	}
	if seen.Version != 0 && seen.Address != owner.Address && seen.Node != n.config.Self.Node {
		if status = n.pingOwner(ctx, ownership{seen.Node, seen.Address, 0}); status == ownerAlive {
			return
		}
	}
	gone := status == ownerGone || seen.Version == 0 || seen.Node == n.config.Self.Node
	if !gone && !suspicion.isStale(now) {
		return
	}
	if !n.waitTurn(ctx, seen) {
		return
	}
	n.markLost(seen.Node)
	n.takeOwnership(ctx, seen, "the owner "+seen.Node+" is silent")
}

// ownerStatus is the outcome of pinging an owner.
type ownerStatus int

const (
	ownerUnknown ownerStatus = iota
	ownerAlive               // the node answers that it owns the shard
	ownerGone                // the node answers that it is not the owner, or its machine refuses the connection
)

// pingOwner asks a node whether it owns the shard. It records any newer owner that the answer
// names.
func (n *Node) pingOwner(ctx context.Context, owner ownership) ownerStatus {
	if owner.Address == "" {
		return ownerUnknown
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := peer.Call[pingResponse](callCtx, n.client, owner.Address, pingPath, empty{})
	switch {
	case err != nil && isRefused(err):
		return ownerGone
	case err != nil:
		return ownerUnknown
	case answer.IsOwner:
		n.ownerHeard(answer.Owner, heartbeatInterval)
		return ownerAlive
	case answer.Owner.Token > owner.Token && owner.Token != 0 && answer.Owner.Address != owner.Address:
		n.learnOwner(answer.Owner)
		return ownerUnknown
	}
	return ownerGone
}

// suspectOwner schedules an immediate check of an owner whose machine refuses connections.
func (n *Node) suspectOwner(owner ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == owner && n.scheduler == nil {
		n.ownerHeardAt = time.Time{}
	}
}

// waitTurn delays this node by its rank, so that nodes try to take the shard one after another.
// It reports whether the shard still has no owner afterwards.
func (n *Node) waitTurn(ctx context.Context, seen leadership.ObservedRow) bool {
	n.mu.Lock()
	rank := n.rank(seen.Node)
	n.mu.Unlock()
	startedAt := time.Now()
	wait.For(ctx, time.Duration(min(rank, maxDelayedRank))*rankDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	return ctx.Err() == nil && n.scheduler == nil && !n.stopping && n.ownerHeardAt.Before(startedAt)
}

// markLost marks a node as lost until it answers a heartbeat, so that calls do not wait for it.
func (n *Node) markLost(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[node] = peerState{lost: true, failedAt: time.Now()}
}

// takeOwnership makes this node the owner unless the owner's row has changed since it was seen.
func (n *Node) takeOwnership(ctx context.Context, seen leadership.ObservedRow, why string) error {
	select {
	case n.takeover <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-n.takeover }()
	n.mu.Lock()
	isOwner, stopping := n.scheduler != nil, n.stopping
	n.takingOver = true
	n.mu.Unlock()
	defer n.endTakeover()
	if isOwner {
		return nil
	}
	if stopping {
		return &StoppingError{}
	}
	startedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	self := n.config.Self
	term, err := leadership.Acquire(callCtx, n.platform.Store, n.config.Scheduler.Shard, self.Node, self.Address, seen)
	if err != nil {
		n.log.Info().Err(err).Str("why", why).Msg("takeover of the shard failed")
		return err
	}
	n.recordStoreSuccess()
	n.log.Info().Uint64("token", term.Token()).Uint64("from", seen.Version).Str("why", why).Msg("shard taken")
	n.ownerHeard(ownership{self.Node, self.Address, term.Token()}, heartbeatInterval)
	n.startTerm(term, startedAt)
	return nil
}

func (n *Node) endTakeover() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takingOver = false
}

// startTerm loads and runs the shard in the background until the term ends.
func (n *Node) startTerm(term *leadership.Term, startedAt time.Time) {
	ctx, cancel := context.WithCancel(n.ctx)
	config, sole := n.config.Scheduler, newSoleOwner(n, term)
	config.ConfirmSoleOwner, config.Memory = sole.confirm, n.smallestMemory.Load
	own := scheduler.New(config, n.platform.Store, n.platform.Workers, term, n.metrics.Scheduler, n.log)
	n.mu.Lock()
	n.scheduler, n.soleOwner, n.cancelTerm, n.termStartedAt = own, sole, cancel, time.Now()
	members := len(n.members)
	n.mu.Unlock()
	n.config.notifyOwnership(true)
	n.sendHeartbeats(allNodesTurn)
	loaded := make(chan struct{})
	n.tasks.Go(func() { n.platform.FollowWorkers(ctx, afterLoad(ctx, loaded, own.SetWorkers)) })
	n.tasks.Go(func() { n.followMembers(ctx, sole) })
	n.tasks.Go(func() { sole.expireFormer(ctx, members) })
	n.tasks.Go(func() {
		defer cancel()
		err := n.load(ctx, own)
		if err == nil {
			n.log.Info().Uint64("token", term.Token()).Dur("took", time.Since(startedAt)).Msg("shard loaded")
			n.updateAdviceNodes()
			close(loaded)
			close(own.Loaded)
			err = own.Run(ctx)
		}
		n.mu.Lock()
		current := n.scheduler == own
		if current {
			n.scheduler, n.soleOwner, n.cancelTerm = nil, nil, nil
		}
		n.ownerHeardAt = time.Time{}
		n.mu.Unlock()
		if current {
			n.config.notifyOwnership(false)
		}
		n.log.Info().Uint64("token", term.Token()).Err(err).Msg("term over")
	})
}

// afterLoad returns a function that passes a list of workers to set once the shard is loaded.
// It lets workers and rows be read from the store concurrently. In a large deployment both take
// equally long, and read one after the other they delayed all reports of ended attempts.
func afterLoad(ctx context.Context, loaded <-chan struct{}, set func([]fleet.Worker)) func([]fleet.Worker) {
	return func(list []fleet.Worker) {
		select {
		case <-loaded:
			set(list)
		case <-ctx.Done():
		}
	}
}

// followMembers keeps all members up to date while this node owns the shard, and announces the
// owner to them once the first read has succeeded.
func (n *Node) followMembers(ctx context.Context, sole *soleOwner) {
	first := true
	rowstore.Follow(ctx, n.platform.Store, nodesTable, "", func(rows map[string]rowstore.Row) {
		sole.acknowledgeDeparted(n.setMembers(rows))
		sole.membersKnown.Store(true)
		n.updateAdviceNodes()
		if first {
			n.sendHeartbeats(allNodesTurn)
		}
		first = false
	}, rowstore.FollowOptions{})
}

// load reads the shard's rows, and retries until that succeeds. If loading fails and the store
// does not answer a quick probe either, it tries to hand the shard over. A node that the store
// answers quickly keeps the shard, since loading would take as long elsewhere.
func (n *Node) load(ctx context.Context, own *scheduler.Scheduler) error {
	startedAt, stallLimit := time.Now(), initialStallLimit
	n.loadFailing.Store(false)
	for {
		callCtx, cancel := transfer.WithStallLimit(ctx, stallLimit, nil)
		err := own.Load(callCtx)
		cancel()
		stallLimit = min(maxStallLimit, 2*stallLimit)
		if err == nil {
			n.loadFailing.Store(false)
			n.configurer.apply(own)
			return nil
		}
		n.loadFailing.Store(true)
		n.log.Warn().Err(err).Msg("shard cannot be loaded yet")
		if time.Since(startedAt) > loadHandoverAfter && n.probeStore(ctx, storeProbeTimeout) != nil {
			n.handOver(ctx, "this node cannot load the shard from the store", anySuccessor)
		}
		if err := wait.For(ctx, storeRetryDelay); err != nil {
			return err
		}
	}
}
