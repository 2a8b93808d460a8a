package daemon

import (
	"chutereach/guard"
	"chutereach/node"
	"chutereach/settings"
)

// Shares of a process's sockets. An owner needs most of them for its workers. What is left is for the connections to
// other nodes, the store and the advice service: as many as all callers' requests take that are passed on.
const (
	workerShare = 0.76
	callerShare = 0.08
	peerShare   = 0.08
)

// workerConnections returns how many connections to workers are kept; 0: any number.
func workerConnections(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return int(workerShare * float64(guard.Sockets(descriptors)))
}

// callerLimits returns the limits for callers. Those of the operator's configuration apply once the node has one.
func callerLimits(set *settings.Node, n *node.Node) func() guard.Limits {
	limits := set.Callers.Limits(set.Self.Memory, set.Self.Descriptors, callerShare, 0)
	return func() guard.Limits {
		table, ok := n.Routes()
		if !ok {
			return limits
		}
		return limits.WithRequestBytes(table.Limits.HeaderBytes, table.Limits.BodyBytes).
			WithTimeoutsFrom(table.Limits.HeaderTimeout, table.Limits.IdleTimeout)
	}
}

// peerSendBuffer is large enough for a configuration at the rate of a wide link.
const peerSendBuffer = 256 << 10

// peerLimits returns the limits for other nodes, whose requests are mostly those of their callers. They may open a
// connection that they use only later.
func peerLimits(set *settings.Node) func() guard.Limits {
	limits := guard.DefaultLimits().ForMachine(int64(set.Self.Memory)<<20, set.Self.Descriptors, peerShare)
	limits.HeaderTimeout, limits.SendBuffer = limits.IdleTimeout, peerSendBuffer
	return func() guard.Limits { return limits }
}

// checkConnections are enough for the platform's checks of a node and for those who read its metrics.
const checkConnections = 16

func checkLimits() func() guard.Limits {
	limits := guard.DefaultLimits().WithRequestBytes(8<<10, 1)
	limits.Connections, limits.Memory = checkConnections, 0
	return func() guard.Limits { return limits }
}
