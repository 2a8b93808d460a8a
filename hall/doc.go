// Package hall runs a unit for its owner: it holds the unit's jobs, its queue
// and its workers' ledgers in memory, decides where tasks run, commits the
// decisions, and keeps the tasks' leases.
//
// # What is committed before what
//
// A worker hears of a placement only after the ledger with the grant has been
// committed under the owner's epoch. A grant is taken out of the ledger only
// when the attempt surely runs no more, in the same transaction that records
// how the task ended. So the ledgers alone tell a successor what may run where.
//
// Decisions change the ledgers in memory at once and mark them. Lanes write
// marked ledgers, as many as fit one transaction, as fast as the rate limit
// allows. A ledger that is on its way is marked again by later decisions and
// goes out with the next transaction, so no decision waits for another's.
//
// # When an attempt surely runs no more
//
//   - The worker reports that it ended or was stopped.
//   - The worker has another boot id than the one in the grant.
//   - The worker does not know the attempt, and was asked after the last moment
//     at which a start call could have taken effect. Then it never ran.
//   - The worker is out of reach, and the longest lease that any owner may have
//     given has lapsed, clock error included.
//
// No lease goes beyond Sure plus the template's lease, where Sure is until when
// the owner knew that nobody had taken over. A successor adds the lease to the
// moment of its takeover and has the same bound without a record of renewals.
//
// # Locking
//
// One mutex guards all of a unit. Nothing that waits happens under it. Each
// worker has two goroutines: one that renews and listens, one that carries out
// orders; each is written straight down.
package hall
