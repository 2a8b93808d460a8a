package node

import (
	"context"
	"sort"
	"time"

	"chutereach/leadership"
	"chutereach/peer"
)

// anyHeir is the choice of an owner that must not be.
func anyHeir(Member, peerState) bool { return true }

// handOver has another node that reaches the store, and that fits, take the shard.
func (n *Node) handOver(ctx context.Context, why string, fits func(Member, peerState) bool) {
	n.mu.Lock()
	var heirs []Member
	for _, member := range n.others() {
		if state := n.peers[member.Node]; state.storeOK && time.Since(state.heard) < storeFresh && fits(member, state) {
			heirs = append(heirs, member)
		}
	}
	sort.SliceStable(heirs, func(i, k int) bool {
		a, b := heirs[i], heirs[k]
		if a.Power != b.Power {
			return a.Power > b.Power
		}
		return n.peers[a.Node].lag < n.peers[b.Node].lag
	})
	own := n.own
	n.mu.Unlock()
	if own == nil || len(heirs) == 0 {
		return
	}
	holdCtx, cancelHold := context.WithTimeout(ctx, holdTimeout)
	release, err := own.Hold(holdCtx)
	cancelHold()
	if err == nil {
		defer release()
	}
	for _, heir := range heirs {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_, err := peer.Call[nothing](callCtx, n.client, heir.Address, takeoverPath, takeoverCall{n.config.Self.Node})
		cancel()
		n.log.Info().Str("heir", heir.Node).Str("why", why).Err(err).Msg("handing the shard over")
		if err != nil {
			continue
		}
		n.mu.Lock()
		if n.own == own && n.endOwn != nil {
			n.endOwn()
		}
		n.mu.Unlock()
		return
	}
}

// answerTakeover takes the shard over from its owner, if the store answers this
// node quickly: one that is slow for all is no reason to hand over.
func (n *Node) answerTakeover(_ context.Context, call takeoverCall) (nothing, error) {
	quick, cancel := context.WithTimeout(n.ctx, quickLook)
	defer cancel()
	if _, err := leadership.Look(quick, n.platform.Store, n.config.Scheduler.Shard); err != nil {
		return nothing{}, err
	}
	var err error
	for range heirTries {
		if err = n.inherit(n.ctx, call.From); err == nil {
			break
		}
	}
	return nothing{}, err
}

// inherit takes the shard from a node that hands it over.
func (n *Node) inherit(parent context.Context, from string) error {
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
