// Package node is one machine of the system: it knows the other nodes, follows
// or becomes the owner of the shard, and takes callers' jobs to the owner.
//
// # Who owns the shard
//
// The owner sends heartbeats to every node. A node that hears none for a while
// asks the owner and then the store. If the owner's row has not changed between
// two looks, or the owner's machine answers that it is no owner, the node takes
// the row under a condition on its version (package leadership). Nobody's clock
// decides: a node that is wrong about the owner's death costs a takeover, not a
// promise. An owner that cannot reach the store hands the shard to a node that
// can; one that is about to stop hands it over first.
package node
