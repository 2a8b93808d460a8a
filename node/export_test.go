package node

import "time"

// AddTimerLag makes a node believe that its timers are served late, as a process
// short of processor time does.
func (n *Node) AddTimerLag(late time.Duration) { n.lag.add(late) }

// MemberCount returns how many nodes the node knows, itself included.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}

// IsPeerLost reports whether the node waits for nothing from another one.
func (n *Node) IsPeerLost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[name].lost
}

// ShardLoaded reports whether this node owns the shard and has read its rows.
func (n *Node) ShardLoaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own == nil {
		return false
	}
	select {
	case <-n.own.Loaded:
		return true
	default:
		return false
	}
}

// KnownOwner returns the node that this one takes for the owner.
func (n *Node) KnownOwner() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner.Node
}

// Relay returns the relay that the node is to ask, or nothing.
func (n *Node) Relay() string { return n.orders.usable(time.Now()) }

// UsesRelay reports whether the operator's orders come from a relay now.
func (n *Node) UsesRelay() bool { return n.orders.relayed() }

// Stopped reports whether the node's life is over.
func (n *Node) Stopped() bool { return n.ctx.Err() != nil }
