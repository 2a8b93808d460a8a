// Package clock measures elapsed time including system suspend. Use it for timeouts that
// several processes measure independently: leases, terms of ownership and fences.
//
// time.Since uses CLOCK_MONOTONIC, which stops while the system is suspended. After a
// suspend, a former owner would consider its term valid although another node has taken
// over the shard, and would renew leases that the new owner considers expired. The wall
// clock is unsuitable because it can be set. An Instant combines the monotonic clock with
// the total time spent suspended.
package clock
