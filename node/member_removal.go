package node

import (
	"context"
	"errors"
	"time"

	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/transfer"
	"chutereach/wait"
)

// Replaced nodes leave their rows behind. Unless these are deleted, the succession fills with
// nodes that no longer exist, and every takeover waits for each of them.

const (
	// memberRemovalDelay is how long a node must have been unresponsive before the owner
	// removes it and deletes its row.
	memberRemovalDelay = 3 * time.Minute
	// membershipCheckInterval is how often nodes other than the owner check that they are still members. A member gets a
	// heartbeat at least every maxFarHeartbeatInterval.
	membershipCheckInterval = 30 * time.Second
	// silenceCheckInterval is how often an owner looks for members to remove. silenceNotedAfter is how long an owner must
	// have owned the shard, and heard nothing from a member, to note or to count the member's silence. All proofs of earlier
	// owners, who may have counted on the member, have expired by then.
	silenceCheckInterval = 5 * time.Second
	silenceNotedAfter    = acceptanceDelay
	// removalTermAge is how recent the owner's last transaction must be for it to remove members.
	removalTermAge = time.Second
)

// membershipLoop removes lost members while this node owns the shard. Otherwise it registers
// this node again if it has received no heartbeat recently.
func (n *Node) membershipLoop(ctx context.Context) {
	registerAt := time.Now().Add(membershipCheckInterval)
	for wait.For(ctx, silenceCheckInterval) == nil {
		n.mu.Lock()
		isOwner, noHeartbeat := n.scheduler != nil, time.Since(n.heartbeatReceivedAt) > membershipCheckInterval
		n.mu.Unlock()
		switch {
		case isOwner:
			n.checkSilence(ctx)
		case noHeartbeat && !time.Now().Before(registerAt):
			n.register(ctx)
			registerAt = time.Now().Add(membershipCheckInterval)
		}
	}
}

// checkSilence notes in the rows of members since when they are silent, and removes the members that have been silent for
// memberRemovalDelay. While the owner's term is not confirmed it removes none: it may be the
// owner that is cut off, and the members are asked whether one of them has replaced it (soleOwner).
func (n *Node) checkSilence(ctx context.Context) {
	if !n.silenceMatters(time.Now()) {
		return
	}
	callCtx, cancel := transfer.WithStallLimit(ctx, storeTimeout, nil)
	page, err := rowstore.ReadAll(callCtx, n.platform.Store, nodesTable, "")
	cancel()
	if err != nil {
		n.log.Warn().Err(err).Msg("cannot read the members to remove lost ones")
		return
	}
	transaction, removed := n.silenceChanges(page, time.Now())
	if len(transaction.Conditions) == 0 {
		return
	}
	commitCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := n.platform.Store.Commit(commitCtx, transaction); err != nil {
		n.log.Warn().Int("nodes", len(transaction.Conditions)).Err(err).Msg("cannot store which members are silent")
		if notWritten(err) {
			n.addMembers(removed)
		}
		return
	}
	for _, member := range removed {
		n.log.Info().Str("node", member.Node).Dur("after", memberRemovalDelay).Msg("removed unresponsive node")
	}
	if len(removed) > 0 {
		n.updateAdviceNodes()
	}
}

// silenceMatters reports whether the rows of members may have to be changed because a member has stopped answering or answers
// again. It saves reading the table of nodes otherwise.
func (n *Node) silenceMatters(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.mayNoteSilence(now) {
		return false
	}
	for _, member := range n.members {
		if n.isSilent(member, now) || member.SilentSince != 0 {
			return true
		}
	}
	return false
}

// mayNoteSilence reports whether this node has owned the shard for long enough to note or to count silence, and still
// owns it. n.mu must be held.
func (n *Node) mayNoteSilence(now time.Time) bool {
	return n.scheduler != nil && now.Sub(n.termStartedAt) >= silenceNotedAfter && n.scheduler.Term().SinceLastCommit() <= removalTermAge
}

// isSilent reports whether a member has not answered this owner for silenceNotedAfter. n.mu must be held.
func (n *Node) isSilent(member Member, now time.Time) bool {
	state := n.peers[member.Node]
	return member.Node != n.config.Self.Node && state.lost && now.Sub(state.heardAt) >= silenceNotedAfter
}

// silenceChanges returns the changes to the rows of the members, and the members that these remove. It removes the latter
// from n.members. Each change is conditional on the row, which a returning node replaces.
func (n *Node) silenceChanges(page rowstore.Page, now time.Time) (rowstore.Transaction, []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var transaction rowstore.Transaction
	var removed []Member
	if !n.mayNoteSilence(now) || page.Now == 0 {
		return transaction, nil
	}
	stored := indexByName(page.Rows)
	for name, member := range n.members {
		if _, found := stored[member.rowName()]; !found && n.isSilent(member, now) {
			n.dropMember(name) // an earlier owner has deleted the row
		}
	}
	for _, row := range page.Rows {
		var member Member
		// A change takes a condition and a put or delete.
		if 2*len(transaction.Conditions)+2 > rowstore.MaxTransactionEntries || codec.Unmarshal(row.Value, &member) != nil {
			continue
		}
		silent, noted := n.isSilent(member, now), member.SilentSince
		switch {
		case silent && noted != 0 && page.Now-noted >= memberRemovalDelay:
			transaction.Deletes = append(transaction.Deletes, row.Key)
			removed = append(removed, member)
			n.dropMember(member.Node)
		case silent && noted == 0:
			silentFor := now.Sub(laterOf(n.peers[member.Node].heardAt, n.termStartedAt))
			member.SilentSince = max(1, page.Now-silentFor)
			transaction.Puts = append(transaction.Puts, rowstore.Put{Key: row.Key, Value: codec.MustMarshal(member)})
		case !silent && noted != 0 && now.Sub(n.peers[member.Node].heardAt) < silenceNotedAfter:
			member.SilentSince = 0
			transaction.Puts = append(transaction.Puts, rowstore.Put{Key: row.Key, Value: codec.MustMarshal(member)})
		default:
			continue
		}
		transaction.Conditions = append(transaction.Conditions, rowstore.Condition{Key: row.Key, Version: row.Version})
	}
	return transaction, removed
}

// notWritten reports whether an error of the store says that a transaction was not applied.
func notWritten(err error) bool {
	var conflict *rowstore.ConflictError
	var unavailable *rowstore.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}

func (n *Node) addMembers(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, member := range members {
		n.addMember(member)
	}
}

// dropMember removes a member. n.mu must be held.
func (n *Node) dropMember(name string) {
	delete(n.members, name)
	delete(n.peers, name)
	n.membersVersion++
	n.updateSmallestMemory()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
