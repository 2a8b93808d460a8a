// Package clock measures spans of time that other processes measure too: leases, terms of
// ownership, fences.
//
// Go's time.Since goes by the steady clock of the system, which stands still while the
// machine is suspended. An owner that was suspended for ten seconds would take its term for
// confirmed though another node has taken the shard, and extend leases that its successor
// takes for lapsed. Nor does the time of day serve, which may be set. An Instant counts
// suspensions and nothing else besides the steady clock.
package clock
