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

// handover is one try to have another node take the shard.
type handover struct {
	why  string
	fits func(Member, peerState) bool // who may take it
	// look is how quickly the store must answer a successor, and pause what passes before the
	// next try.
	look, pause time.Duration
}

// handOver has another node that reaches the store, and that fits, take the shard.
func (n *Node) handOver(ctx context.Context, why string, fits func(Member, peerState) bool) {
	n.handOverTo(ctx, handover{why, fits, quickLook, handoverPause})
}

// handOverTo asks a few of the best nodes, each first whether it could take the shard: the owner's
// transactions are held only while one that can takes over.
func (n *Node) handOverTo(ctx context.Context, h handover) {
	n.mu.Lock()
	own := n.own
	if own == nil || n.handingOver || time.Now().Before(n.handOverAt) {
		n.mu.Unlock()
		return
	}
	n.handingOver = true
	defer n.endHandover()
	successors := n.successors(h.fits)
	if len(successors) > 0 {
		n.handOverAt = time.Now().Add(h.pause)
	}
	n.mu.Unlock()
	for _, successor := range successors {
		if err := n.callSuccessor(ctx, successor, takeoverCall{From: n.config.Self.Node, Probe: true, Look: h.look}); err != nil {
			n.log.Info().Str("successor", successor.Node).Str("why", h.why).Err(err).Msg("successor cannot take the shard")
			continue
		}
		if n.passOn(ctx, own, successor, h) {
			return
		}
	}
}

func (n *Node) endHandover() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handingOver = false
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
func (n *Node) callSuccessor(ctx context.Context, successor Member, call takeoverCall) error {
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := peer.Call[nothing](callCtx, n.client, successor.Address, takeoverPath, call)
	return err
}

// passOn holds the owner's transactions while a successor takes the shard, and
// reports whether this node owns it no more.
func (n *Node) passOn(ctx context.Context, own *scheduler.Scheduler, successor Member, h handover) bool {
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
	err = n.callSuccessor(ctx, successor, takeoverCall{From: n.config.Self.Node, Look: h.look})
	n.log.Info().Str("successor", successor.Node).Str("why", h.why).Dur("lag", n.lag.Mean()).
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
	look := call.Look
	if look <= 0 {
		look = quickLook
	}
	if err := n.lookQuickly(n.ctx, look); err != nil || call.Probe {
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

// lookQuickly reads the owner's row, and fails if that takes longer than a time.
func (n *Node) lookQuickly(ctx context.Context, within time.Duration) error {
	quick, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := leadership.Look(quick, n.platform.Store, n.config.Scheduler.Shard)
	return err
}
