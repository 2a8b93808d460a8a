package node

import (
	"context"
	"time"

	"chutereach/codec"
	"chutereach/rowstore"
)

// AddTimerLag records one sample of timer lag, as on a node that lacks processor time.
func (n *Node) AddTimerLag(late time.Duration) { n.lag.add(late) }

// MemberCount returns the number of members that the node knows, including itself.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}

// IsPeerLost reports whether the node has marked a peer as lost.
func (n *Node) IsPeerLost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[name].lost
}

// ShardLoaded reports whether this node owns the shard and has loaded its rows.
func (n *Node) ShardLoaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scheduler == nil {
		return false
	}
	select {
	case <-n.scheduler.Loaded:
		return true
	default:
		return false
	}
}

// KnownOwner returns the name of the owner with the highest token that this node has heard of.
func (n *Node) KnownOwner() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner.Node
}

// Relay returns the address of the relay that the node polls, or an empty string if it reads the store.
func (n *Node) Relay() string { return n.orders.usableRelay(time.Now()) }

// UsesRelay reports whether the node receives configuration and evacuations from a relay.
func (n *Node) UsesRelay() bool { return n.orders.relayed() }

// Stopped reports whether the node's context has ended.
func (n *Node) Stopped() bool { return n.ctx.Err() != nil }

// ProveSoleOwner returns nil if this node owns the shard and proves that no later owner has accepted a job.
func (n *Node) ProveSoleOwner(ctx context.Context) error {
	n.mu.Lock()
	sole := n.soleOwner
	n.mu.Unlock()
	if sole == nil {
		return &NotOwnerError{}
	}
	return sole.confirm(ctx)
}

// RowName returns the name of the node's row in the table of nodes.
func (n *Node) RowName() string { return n.config.Self.rowName() }

// AcceptingToken returns the token of the term in which this node accepts jobs, or 0 if it accepts none.
func (n *Node) AcceptingToken() uint64 {
	n.mu.Lock()
	sole := n.soleOwner
	n.mu.Unlock()
	if sole == nil {
		return 0
	}
	select {
	case <-sole.acceptable:
		return sole.term.Token()
	default:
		return 0
	}
}

// OwnedToken returns the token of this node's term, or 0 if it does not own the shard.
func (n *Node) OwnedToken() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.soleOwner == nil {
		return 0
	}
	return n.soleOwner.term.Token()
}

// IsDepartedRow reports whether a row of the table of nodes says that its node has departed.
func IsDepartedRow(row rowstore.Row) bool {
	var member Member
	return codec.Unmarshal(row.Value, &member) == nil && member.Departure == departed
}
