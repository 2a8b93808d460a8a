package node

import (
	"context"
	"errors"
	"sort"
	"time"

	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/scheduler"
)

// anySuccessor accepts every member as a successor.
func anySuccessor(Member, peerState) bool { return true }

// handover describes an attempt to have another node take the shard.
type handover struct {
	why      string
	eligible func(Member, peerState) bool // reports whether a member may take the shard
	// probeTimeout is how quickly the store must answer a successor. retryDelay is the minimum
	// time before the next attempt.
	probeTimeout, retryDelay time.Duration
}

// handOver has an eligible node that reaches the store take the shard.
func (n *Node) handOver(ctx context.Context, why string, eligible func(Member, peerState) bool) {
	n.tryHandover(ctx, handover{why, eligible, storeProbeTimeout, handoverRetryDelay})
}

// tryHandover tries the best successors in turn. It first probes whether each can take the
// shard, so that the owner's transactions are held only for one that can.
func (n *Node) tryHandover(ctx context.Context, h handover) {
	n.mu.Lock()
	own := n.scheduler
	if own == nil || n.handingOver || time.Now().Before(n.nextHandoverAt) {
		n.mu.Unlock()
		return
	}
	n.handingOver = true
	defer n.endHandover()
	successors := n.successors(h.eligible)
	if len(successors) > 0 {
		n.nextHandoverAt = time.Now().Add(h.retryDelay)
	}
	n.mu.Unlock()
	for _, successor := range successors {
		if err := n.callSuccessor(ctx, successor, takeoverRequest{From: n.config.Self.Node, Probe: true, StoreTimeout: h.probeTimeout}); err != nil {
			n.log.Info().Str("successor", successor.Node).Str("why", h.why).Err(err).Msg("probe of successor failed")
			continue
		}
		if n.transferTo(ctx, own, successor, h) {
			return
		}
	}
}

func (n *Node) endHandover() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handingOver = false
}

// successors returns up to maxSuccessors eligible members that reach the store, the best first.
// n.mu must be held.
func (n *Node) successors(eligible func(Member, peerState) bool) []Member {
	var successors []Member
	for _, member := range n.others() {
		if state := n.peers[member.Node]; state.storeOK && time.Since(state.heardAt) < storeContactTTL && eligible(member, state) {
			successors = append(successors, member)
		}
	}
	sort.SliceStable(successors, func(i, k int) bool {
		a, b := successors[i], successors[k]
		if a.Cores != b.Cores {
			return a.Cores > b.Cores
		}
		return n.peers[a.Node].lag < n.peers[b.Node].lag
	})
	return successors[:min(len(successors), maxSuccessors)]
}

// callSuccessor asks a node to take the shard, or with call.Probe whether it could.
func (n *Node) callSuccessor(ctx context.Context, successor Member, call takeoverRequest) error {
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := peer.Call[empty](callCtx, n.client, successor.Address, takeoverPath, call)
	return err
}

// transferTo holds the owner's transactions while a successor takes the shard. It reports
// whether this node no longer owns it. It ends the term as well if the successor finds that the store names
// another owner: the answer to an earlier handover was lost, and that owner may be gone by now.
func (n *Node) transferTo(ctx context.Context, own *scheduler.Scheduler, successor Member, h handover) bool {
	holdLimit := holdTimeout
	if !own.Term().FailingSince().IsZero() {
		holdLimit = failingStoreHoldTimeout
	}
	holdCtx, cancel := context.WithTimeout(ctx, holdLimit)
	release, err := own.HoldCommits(holdCtx)
	cancel()
	if err == nil {
		defer release()
	}
	err = n.callSuccessor(ctx, successor, takeoverRequest{From: n.config.Self.Node, StoreTimeout: h.probeTimeout, Release: own.StopExtendingLeases()})
	n.log.Info().Str("successor", successor.Node).Str("why", h.why).Dur("lag", n.lag.Mean()).
		Bool("machine_slow", n.speed.slow()).Err(err).Msg("handing the shard over")
	n.mu.Lock()
	defer n.mu.Unlock()
	replaced := err == nil || isNotOwner(err)
	if !replaced && isNotTaken(err) {
		own.ResumeExtendingLeases()
	}
	if replaced && n.scheduler == own && n.cancelTerm != nil {
		n.cancelTerm()
	}
	return replaced || n.scheduler != own
}

// isNotTaken reports whether a successor that failed with err has not taken the shard and will not.
func isNotTaken(err error) bool {
	var failure *peer.Failure
	var unreachable *peer.UnreachableError
	return errors.As(err, &failure) || errors.As(err, &unreachable)
}

// isNotOwner reports whether a peer has answered with NotOwnerError.
func isNotOwner(err error) bool {
	var failure *peer.Failure
	return errors.As(err, &failure) && failure.Code == codeNotOwner
}

// answerTakeover takes the shard from its owner, or for a probe reports whether it could. It
// fails unless the store answers this node quickly: if the store is slow for every node, a
// handover does not help.
func (n *Node) answerTakeover(_ context.Context, call takeoverRequest) (empty, error) {
	release := call.Release.WithReceipt(time.Now())
	look := call.StoreTimeout
	if look <= 0 {
		look = storeProbeTimeout
	}
	if err := n.probeStore(n.ctx, look); err != nil || call.Probe {
		return empty{}, err
	}
	var err error
	for range maxTakeoverAttempts {
		if err = n.takeOverFrom(n.ctx, call.From, release); err == nil {
			break
		}
	}
	return empty{}, err
}

// takeOverFrom takes the shard from a node that hands it over and has released its leases.
func (n *Node) takeOverFrom(parent context.Context, from string, release leadership.Release) error {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	seen, err := leadership.ReadOwner(ctx, n.platform.Store, n.config.Scheduler.Shard)
	if err != nil {
		return err
	}
	if seen.Version != 0 && seen.Node != from && seen.Node != n.config.Self.Node {
		return &NotOwnerError{}
	}
	return n.takeOwnership(parent, seen.WithRelease(release), "handed over by "+from)
}

// probeStore reads the owner's row, and fails if that takes longer than within.
func (n *Node) probeStore(ctx context.Context, within time.Duration) error {
	probeCtx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := leadership.ReadOwner(probeCtx, n.platform.Store, n.config.Scheduler.Shard)
	return err
}
