package node

import "time"

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
