package node

import (
	"context"
	"sort"
	"time"

	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/scheduler"
)

// anySuccessor is the choice of an owner that must not be.
func anySuccessor(Member, peerState) bool { return true }

// handOver has another node that reaches the store, and that fits, take the shard.
// It asks a few of the best, each first whether it could: the owner's transactions
// are held only while one that can takes over.
func (n *Node) handOver(ctx context.Context, why string, fits func(Member, peerState) bool) {
	n.mu.Lock()
	own := n.own
	if own == nil || time.Now().Before(n.handOverAt) {
		n.mu.Unlock()
		return
	}
	successors := n.successors(fits)
	if len(successors) > 0 {
		n.handOverAt = time.Now().Add(handoverPause)
	}
	n.mu.Unlock()
	for _, successor := range successors {
		if err := n.callSuccessor(ctx, successor, true); err != nil {
			n.log.Info().Str("successor", successor.Node).Str("why", why).Err(err).Msg("successor cannot take the shard")
			continue
		}
		if n.passOn(ctx, own, successor, why) {
			return
		}
	}
}

// successors returns the members that fit, the best first. The lock is held.
func (n *Node) successors(fits func(Member, peerState) bool) []Member {
	var successors []Member
	for _, member := range n.others() {
		if state := n.peers[member.Node]; state.storeOK && time.Since(state.heard) < storeFresh && fits(member, state) {
			successors = append(successors, member)
		}
	}
	sort.SliceStable(successors, func(i, k int) bool {
		a, b := successors[i], successors[k]
		if a.Power != b.Power {
			return a.Power > b.Power
		}
		return n.peers[a.Node].lag < n.peers[b.Node].lag
	})
	return successors[:min(len(successors), maxSuccessors)]
}

// callSuccessor asks a node to take the shard, or whether it could.
func (n *Node) callSuccessor(ctx context.Context, successor Member, probe bool) error {
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := peer.Call[nothing](callCtx, n.client, successor.Address, takeoverPath, takeoverCall{n.config.Self.Node, probe})
	return err
}

// passOn holds the owner's transactions while a successor takes the shard, and
// reports whether this node owns it no more.
func (n *Node) passOn(ctx context.Context, own *scheduler.Scheduler, successor Member, why string) bool {
	patience := holdTimeout
	if !own.Term().FailingSince().IsZero() {
		patience = failingHold
	}
	holdCtx, cancel := context.WithTimeout(ctx, patience)
	release, err := own.Hold(holdCtx)
	cancel()
	if err == nil {
		defer release()
	}
	err = n.callSuccessor(ctx, successor, false)
	n.log.Info().Str("successor", successor.Node).Str("why", why).Dur("lag", n.lag.Mean()).
		Bool("machine_slow", n.speed.slow()).Err(err).Msg("handing the shard over")
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && n.own == own && n.endOwn != nil {
		n.endOwn()
	}
	return err == nil || n.own != own
}

// answerTakeover takes the shard over from its owner, or says that it could, if
// the store answers this node quickly: one that is slow for all is no reason to hand
// over.
func (n *Node) answerTakeover(_ context.Context, call takeoverCall) (nothing, error) {
	if err := n.lookQuickly(n.ctx); err != nil || call.Probe {
		return nothing{}, err
	}
	var err error
	for range successorTries {
		if err = n.takeFrom(n.ctx, call.From); err == nil {
			break
		}
	}
	return nothing{}, err
}

// takeFrom takes the shard from a node that hands it over.
func (n *Node) takeFrom(parent context.Context, from string) error {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	seen, err := leadership.Look(ctx, n.platform.Store, n.config.Scheduler.Shard)
	if err != nil {
		return err
	}
	if seen.Version != 0 && seen.Node != from && seen.Node != n.config.Self.Node {
		return &NotOwnerError{}
	}
	return n.take(parent, seen, "handed over by "+from)
}

// lookQuickly reads the owner's row, and fails if that takes long.
func (n *Node) lookQuickly(ctx context.Context) error {
	quick, cancel := context.WithTimeout(ctx, quickLook)
	defer cancel()
	_, err := leadership.Look(quick, n.platform.Store, n.config.Scheduler.Shard)
	return err
}
