// Package hall schedules the jobs of one unit on behalf of the box that owns it.
// It holds the unit's jobs, queue and worker ledgers in memory, places tasks on
// workers, commits the placements, and renews the task leases.
//
// # Commit order
//
// The start call for a task is sent only after the ledger that contains its
// grant has been committed under the owner's epoch. A grant is removed from the
// ledger only when its attempt can no longer be running, in the same transaction
// that records the outcome of the task. The ledgers therefore hold all that a
// new owner needs to know which attempts may be running on which worker.
//
// A placement changes the ledger in memory at once and marks it dirty. Several
// goroutines commit dirty ledgers concurrently, batching as many as fit one
// transaction, as fast as the rate limit allows. A ledger that changes while its
// commit is in flight is marked dirty again and is written by a later
// transaction, so placement never waits for a commit.
//
// # When an attempt can no longer be running
//
// One of these conditions must hold:
//
//   - The worker reports that the attempt ended or was stopped.
//   - The boot ID of the worker differs from the one in the grant.
//   - The worker does not list the attempt in a report that was requested after
//     the start call expired. The attempt was then never started.
//   - The worker is unreachable, and the longest lease that any owner may have
//     granted has expired, including the clock error bound.
//
// A lease never extends past Deps.OwnedUntil plus the lease duration of the template,
// where OwnedUntil is the time until which no other box can have taken over the unit.
// A new owner derives the same bound by adding the lease duration to the time of
// its takeover, so renewals need not be stored.
//
// # Locking
//
// One mutex guards all state of a unit and is never held across blocking calls.
// Each worker has two goroutines: one polls for reports and renews leases, the
// other makes start, stop and checkpoint calls.
package hall
