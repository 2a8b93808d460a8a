// Package node implements a node of the cluster. A node tracks the other nodes, follows the owner
// of the shard or becomes it, and forwards callers' jobs to it.
//
// # Shard ownership
//
// The owner sends heartbeats to every node. A node that misses them pings the owner and reads the
// owner's row in the store. If the row has not changed between two reads, or the owner's machine
// answers that it is not the owner, the node takes the row by a conditional write on its version
// (package leadership). The decision depends on no node's clock: a node that wrongly presumes the
// owner dead causes a takeover but loses no accepted job. An owner that cannot reach the store
// hands the shard to a node that can, and an owner that is shutting down hands it over first.
package node
