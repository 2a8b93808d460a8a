package node

import (
	"context"
	"time"

	"chutereach/rowstore"
	"chutereach/wait"
)

// Nodes that are replaced for good leave their rows. Without an end to that the succession would
// come to be of nodes that are gone, and every takeover would wait for each of them.

const (
	// forgetAfter is after how long without an answer an owner forgets a node and deletes its row.
	forgetAfter = 3 * time.Minute
	// tidyEvery is how often an owner looks for such nodes, and other nodes whether they are still
	// known: one that lives on hears of its owner at least each farSlowest.
	tidyEvery = 30 * time.Second
)

// tidyLoop forgets nodes that are gone while this node owns the shard, and else has this node
// registered again if no owner sends it heartbeats.
func (n *Node) tidyLoop(ctx context.Context) {
	for wait.For(ctx, tidyEvery) == nil {
		n.mu.Lock()
		owns, unheard := n.own != nil, time.Since(n.toldAt) > tidyEvery
		n.mu.Unlock()
		switch {
		case owns:
			n.forgetGone(ctx)
		case unheard:
			n.register(ctx)
		}
	}
}

// forgetGone forgets the members that have not answered this owner for long.
func (n *Node) forgetGone(ctx context.Context) {
	gone := n.takeGone(time.Now())
	if len(gone) == 0 {
		return
	}
	var keys []rowstore.Key
	for _, member := range gone {
		keys = append(keys, rowstore.Key{Table: nodesTable, Name: member.rowName()})
		n.log.Info().Str("node", member.Node).Dur("after", forgetAfter).Msg("node is forgotten")
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := n.platform.Store.Commit(callCtx, rowstore.Transaction{Deletes: keys}); err != nil {
		n.log.Warn().Int("nodes", len(gone)).Err(err).Msg("rows of forgotten nodes stay")
	}
	n.setLanes()
}

// takeGone takes out of the members those that have not answered for long, as many as one
// transaction deletes.
func (n *Node) takeGone(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own == nil || now.Sub(n.ownSince) < forgetAfter {
		return nil
	}
	var gone []Member
	for name, member := range n.members {
		state := n.peers[name]
		if name == n.config.Self.Node || !state.lost || now.Sub(state.heard) < forgetAfter || len(gone) == rowstore.MaxEntries {
			continue
		}
		gone = append(gone, member)
		delete(n.members, name)
		delete(n.peers, name)
		n.memberSerial++
	}
	return gone
}

// followSuccession takes in the members that an owner tells. The lock is held.
func (n *Node) followSuccession(told []Member) {
	if len(told) == 0 || n.own != nil {
		return
	}
	former := n.members
	n.members = map[string]Member{n.config.Self.Node: former[n.config.Self.Node]}
	for _, member := range told {
		n.addMember(member)
	}
	n.memberSerial++
}
