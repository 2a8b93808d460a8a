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
	nodesTable = "nodes"
	lookEvery  = 50 * time.Millisecond
	// farLook is how often, at the least, a node beyond the succession looks for an owner. Others
	// take the shard before it tries; if each looked as often as they do, the store would have to
	// answer as many times more as there are nodes.
	farLook      = 800 * time.Millisecond
	pingTimeout  = 150 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
	// unchangedFor is how long the row of an owner that answers nothing must stay as it
	// is for the owner to count as dead; owners write each 250 ms at least. A wrong guess
	// costs a takeover, and no promise.
	unchangedFor = 350 * time.Millisecond
	rankDelay    = 120 * time.Millisecond
	maxRank      = 12
	// firstQuiet is for how long nothing may come of a shard's rows while they are read
	// for the first time, and mostQuiet any time; a slow store needs the longer ones.
	firstQuiet = 1500 * time.Millisecond
	mostQuiet  = 3 * time.Second
	// loadFailing is after how long without success a load is left to another node.
	loadFailing  = 300 * time.Millisecond
	registerWait = 200 * time.Millisecond
	// holdTimeout is how long a handover waits for a transaction under way; a
	// store that does not answer keeps it for longer.
	holdTimeout = 200 * time.Millisecond
	// failingHold is the same where the store has failed for a while: the transaction
	// under way would not end, and fails once the successor has taken the shard.
	failingHold = 10 * time.Millisecond
	// quickLook is how quickly the store must answer a successor, and handoverTimeout
	// how long one successor is waited for.
	quickLook = 150 * time.Millisecond
	// promptLook is the same where the owner has waited for the store for a short time only, and
	// the store may be slow for all.
	promptLook      = 50 * time.Millisecond
	handoverTimeout = 700 * time.Millisecond
	// maxSuccessors bounds the nodes that a handover asks, and handoverPause follows it.
	maxSuccessors = 4
	handoverPause = 800 * time.Millisecond
	// successorTries is how often a successor tries to take a shard that still changes.
	successorTries = 3
)

// watchOwner takes the shard when its owner is gone. It waits until the members are known:
// without them each node is the first in the order of succession, and when all 147 nodes of
// a deployment came back at once, eight of them took the shard within 0.1 s, weak ones all.
func (n *Node) watchOwner(ctx context.Context) {
	var d doubt
	var looks lookPace
	for ctx.Err() == nil {
		wait.For(ctx, lookEvery)
		n.mu.Lock()
		quiet := n.own != nil || n.stopping || !n.registered || time.Since(n.beatAt) < overdue(n.beatNext)
		owner := n.owner
		n.mu.Unlock()
		if quiet {
			d = doubt{}
			continue
		}
		if looks.due(time.Now(), n.succeeds()) {
			n.examine(ctx, &d, owner)
		}
	}
}

// lookPace spaces the looks of a node for an owner.
type lookPace struct {
	last  time.Time
	pause time.Duration // until the next look of a node beyond the succession
}

// due reports whether a node looks now, and counts on it to do so. Between looks of a node beyond
// the succession the time doubles, until it has needed none for a while.
func (p *lookPace) due(now time.Time, succeeds bool) bool {
	since := now.Sub(p.last)
	switch {
	case succeeds:
		return true
	case since > 2*farLook:
		p.pause = lookEvery
	case since < p.pause:
		return false
	default:
		p.pause = min(farLook, 2*p.pause)
	}
	p.last = now
	return true
}

// succeeds reports whether the node is of the succession, as far as it knows.
func (n *Node) succeeds() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rank("") < nearMost
}

// rank returns how many members would own the shard before this node, but for one. The lock is
// held.
func (n *Node) rank(but string) int {
	rank := 0
	for _, member := range n.members {
		if member.Node != but && member.compare(n.config.Self) < 0 {
			rank++
		}
	}
	return rank
}

// doubt is what a node has seen of an owner that it does not hear.
type doubt struct {
	version uint64    // of the owner's row
	since   time.Time // when the row was first seen at that version
	silent  int       // how often the owner was asked since then and did not answer
}

// stands reports whether the row has not changed for so long that its owner is gone.
func (d doubt) stands(now time.Time) bool { return now.Sub(d.since) >= unchangedFor }

// enoughAsked is how often an owner is asked: one that was silent so often is not waited for once
// more when its row stands.
const enoughAsked = 2

// examine asks the owner and the store, and takes the shard if both say that
// nobody owns it.
func (n *Node) examine(ctx context.Context, d *doubt, owner ownership) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := make(chan verdict, 1)
	if d.silent < enoughAsked {
		n.tasks.Go(func() { asked <- n.askOwner(callCtx, owner) })
	} else {
		asked <- ownerSaysNothing
	}
	seen, err := leadership.Look(callCtx, n.platform.Store, n.config.Scheduler.Shard)
	if err != nil {
		n.storeFails(err)
		return
	}
	n.storeAnswers()
	now := time.Now()
	if seen.Version != d.version {
		*d = doubt{version: seen.Version, since: now}
	}
	seen.Since = d.since
	var said verdict
	select {
	case said = <-asked:
	case <-callCtx.Done():
		return
	}
	if said == ownerAlive {
		return
	}
	if said == ownerSaysNothing {
		d.silent++
	}
	if seen.Version != 0 && seen.Address != owner.Address && seen.Node != n.config.Self.Node {
		if said = n.askOwner(ctx, ownership{seen.Node, seen.Address, 0}); said == ownerAlive {
			return
		}
	}
	gone := said == ownerGone || seen.Version == 0 || seen.Node == n.config.Self.Node
	if !gone && !d.stands(now) {
		return
	}
	if !n.myTurn(ctx, seen) {
		return
	}
	n.lose(seen.Node)
	n.take(ctx, seen, "the owner "+seen.Node+" is silent")
}

// verdict is what asking an owner came to.
type verdict int

const (
	ownerSaysNothing verdict = iota
	ownerAlive               // there is an owner that answers
	ownerGone                // the node answers that it owns nothing, or its machine that nobody listens
)

// askOwner asks the node that is believed to own the shard.
func (n *Node) askOwner(ctx context.Context, owner ownership) verdict {
	if owner.Address == "" {
		return ownerSaysNothing
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := peer.Call[pingAnswer](callCtx, n.client, owner.Address, pingPath, nothing{})
	switch {
	case err != nil && isRefused(err):
		return ownerGone
	case err != nil:
		return ownerSaysNothing
	case answer.Owns:
		n.heard(answer.Owner, beatEvery)
		return ownerAlive
	case answer.Owner.Token > owner.Token && owner.Token != 0 && answer.Owner.Address != owner.Address:
		n.believe(answer.Owner)
		return ownerSaysNothing
	}
	return ownerGone
}

// doubtOwner has the owner examined at once: its machine refuses connections.
func (n *Node) doubtOwner(owner ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == owner && n.own == nil {
		n.beatAt = time.Time{}
	}
}

// myTurn waits so that nodes try one after the other, and tells whether there is
// still no owner.
func (n *Node) myTurn(ctx context.Context, seen leadership.Sighting) bool {
	n.mu.Lock()
	rank := n.rank(seen.Node)
	n.mu.Unlock()
	begun := time.Now()
	wait.For(ctx, time.Duration(min(rank, maxRank))*rankDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	return ctx.Err() == nil && n.own == nil && !n.stopping && n.beatAt.Before(begun)
}

// lose counts a node as lost until it answers a heartbeat, so that nothing waits for it.
func (n *Node) lose(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[node] = peerState{lost: true, failed: time.Now()}
}

// take makes this node the owner, if the row still is as it was seen.
func (n *Node) take(ctx context.Context, seen leadership.Sighting, why string) error {
	n.takeMu.Lock()
	defer n.takeMu.Unlock()
	n.mu.Lock()
	owns, stopping := n.own != nil, n.stopping
	n.taking = true
	n.mu.Unlock()
	defer n.endTaking()
	if owns {
		return nil
	}
	if stopping {
		return &StoppingError{}
	}
	begun := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	self := n.config.Self
	term, err := leadership.Take(callCtx, n.platform.Store, n.config.Scheduler.Shard, self.Node, self.Address, seen)
	if err != nil {
		n.log.Info().Err(err).Str("why", why).Msg("shard not taken")
		return err
	}
	n.storeAnswers()
	n.log.Info().Uint64("token", term.Token()).Uint64("from", seen.Version).Str("why", why).Msg("shard taken")
	n.heard(ownership{self.Node, self.Address, term.Token()}, beatEvery)
	n.rule(term, begun)
	return nil
}

func (n *Node) endTaking() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.taking = false
}

// rule runs the shard in the background until the term ends.
func (n *Node) rule(term *leadership.Term, begun time.Time) {
	ctx, cancel := context.WithCancel(n.ctx)
	own := scheduler.New(n.config.Scheduler, n.platform.Store, n.platform.Workers, term, n.metrics.Scheduler, n.log)
	n.mu.Lock()
	n.own, n.endOwn, n.ownSince = own, cancel, time.Now()
	n.mu.Unlock()
	n.config.owns(true)
	n.announce(allNodes)
	loaded := make(chan struct{})
	n.tasks.Go(func() { n.platform.FollowWorkers(ctx, afterLoad(ctx, loaded, own.SetWorkers)) })
	n.tasks.Go(func() { n.followMembers(ctx) })
	n.tasks.Go(func() {
		defer cancel()
		err := n.load(ctx, own)
		if err == nil {
			n.log.Info().Uint64("token", term.Token()).Dur("took", time.Since(begun)).Msg("shard loaded")
			n.setLanes()
			close(loaded)
			close(own.Loaded)
			err = own.Run(ctx)
		}
		n.mu.Lock()
		over := n.own == own
		if over {
			n.own, n.endOwn = nil, nil
		}
		n.beatAt = time.Time{}
		n.mu.Unlock()
		if over {
			n.config.owns(false)
		}
		n.log.Info().Uint64("token", term.Token()).Err(err).Msg("term over")
	})
}

// afterLoad has a list of workers wait until the shard is loaded. Both are read from the store at
// the same time: one after the other, the workers of a large deployment took as long as the rows,
// and no end was heard of meanwhile.
func afterLoad(ctx context.Context, loaded <-chan struct{}, set func([]fleet.Worker)) func([]fleet.Worker) {
	return func(list []fleet.Worker) {
		select {
		case <-loaded:
			set(list)
		case <-ctx.Done():
		}
	}
}

// followMembers keeps all members while this node owns the shard, and has each be told of its owner
// as soon as it is known.
func (n *Node) followMembers(ctx context.Context) {
	first := true
	rowstore.Follow(ctx, n.platform.Store, nodesTable, "", func(rows map[string]rowstore.Row) {
		n.setMembers(rows)
		n.setLanes()
		if first {
			n.announce(allNodes)
		}
		first = false
	}, rowstore.Reach{})
}

// load reads the shard's rows until that succeeds. A node that the store turns away
// meanwhile hands the shard on; one that it answers quickly does not, as a shard that
// takes long to read takes as long elsewhere.
func (n *Node) load(ctx context.Context, own *scheduler.Scheduler) error {
	begun, quiet := time.Now(), firstQuiet
	n.loadFails.Store(false)
	for {
		callCtx, cancel := transfer.WithStallLimit(ctx, quiet, nil)
		err := own.Load(callCtx)
		cancel()
		quiet = min(mostQuiet, 2*quiet)
		if err == nil {
			n.loadFails.Store(false)
			if table, ok := n.routes.Current(); ok {
				configure(own, table)
			}
			return nil
		}
		n.loadFails.Store(true)
		n.log.Warn().Err(err).Msg("shard cannot be loaded yet")
		if time.Since(begun) > loadFailing && n.lookQuickly(ctx, quickLook) != nil {
			n.handOver(ctx, "the store does not let this node load the shard", anySuccessor)
		}
		if err := wait.For(ctx, registerWait); err != nil {
			return err
		}
	}
}
