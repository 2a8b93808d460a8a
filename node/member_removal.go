package node

import (
	"context"
	"time"

	"chutereach/rowstore"
	"chutereach/wait"
)

// Replaced nodes leave their rows behind. Unless these are deleted, the succession fills with
// nodes that no longer exist, and every takeover waits for each of them.

const (
	// memberRemovalDelay is how long a node must have been unresponsive before the owner
	// removes it and deletes its row.
	memberRemovalDelay = 3 * time.Minute
	// membershipCheckInterval is how often an owner looks for members to remove, and how often
	// other nodes check that they are still members. A member gets a heartbeat at least every
	// maxFarHeartbeatInterval.
	membershipCheckInterval = 30 * time.Second
	// removalTermAge is how recent the owner's last transaction must be for it to remove members.
	removalTermAge = time.Second
)

// membershipLoop removes lost members while this node owns the shard. Otherwise it registers
// this node again if it has received no heartbeat recently.
func (n *Node) membershipLoop(ctx context.Context) {
	for wait.For(ctx, membershipCheckInterval) == nil {
		n.mu.Lock()
		isOwner, noHeartbeat := n.scheduler != nil, time.Since(n.heartbeatReceivedAt) > membershipCheckInterval
		n.mu.Unlock()
		switch {
		case isOwner:
			n.removeLostMembers(ctx)
		case noHeartbeat:
			n.register(ctx)
		}
	}
}

// removeLostMembers removes the members that have not answered this owner for
// memberRemovalDelay, and deletes their rows. While the owner's term is not confirmed it removes none: it may be the
// owner that is cut off, and the members are asked whether one of them has replaced it (soleOwner).
func (n *Node) removeLostMembers(ctx context.Context) {
	removed := n.dropLostMembers(time.Now())
	if len(removed) == 0 {
		return
	}
	var keys []rowstore.Key
	for _, member := range removed {
		keys = append(keys, member.rowKey())
		n.log.Info().Str("node", member.Node).Dur("after", memberRemovalDelay).Msg("removed unresponsive node")
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := n.platform.Store.Commit(callCtx, rowstore.Transaction{Deletes: keys}); err != nil {
		n.log.Warn().Int("nodes", len(removed)).Err(err).Msg("cannot delete the rows of removed nodes")
	}
	n.updateAdviceNodes()
}

// dropLostMembers removes lost members from n.members and returns them. It removes no more than
// one transaction can delete.
func (n *Node) dropLostMembers(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scheduler == nil || now.Sub(n.termStartedAt) < memberRemovalDelay || n.scheduler.Term().SinceLastCommit() > removalTermAge {
		return nil
	}
	var removed []Member
	for name, member := range n.members {
		state := n.peers[name]
		if name == n.config.Self.Node || !state.lost || now.Sub(state.heardAt) < memberRemovalDelay || len(removed) == rowstore.MaxTransactionEntries {
			continue
		}
		removed = append(removed, member)
		delete(n.members, name)
		delete(n.peers, name)
		n.membersVersion++
		n.updateSmallestMemory()
	}
	return removed
}

// applySuccession replaces the known members by the succession that an owner sent. n.mu must be
// held.
func (n *Node) applySuccession(members []Member) {
	if len(members) == 0 || n.scheduler != nil {
		return
	}
	former := n.members
	n.members = map[string]Member{n.config.Self.Node: former[n.config.Self.Node]}
	for _, member := range members {
		n.addMember(member)
	}
	n.membersVersion++
}
