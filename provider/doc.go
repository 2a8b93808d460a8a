// Package provider defines the interfaces to the platform: a transactional table,
// an object store, the list of boxes, and the workers.
//
// The interfaces are narrow because the platform publishes no wire format yet. Each
// has one adapter (package platformhttp) and one stand-in (package standin). The
// contract tests in package platformtest run the same cases against both.
//
// # Guarantees of the table
//
// A transaction is atomic and has an ID, which the table stores with each row
// written. A request may take effect although its response is lost, and it may take
// effect late; UnknownError reports this. It is safe to send the same transaction
// again: either it is applied (and the delayed one then fails its conditions), or it
// conflicts, and the row's Txn shows whether the earlier request was applied.
// Package commit does this.
//
// # Guarantees of a worker
//
// A worker stops a task when the task's lease expires. It refuses a call that
// arrives after the call's expiry, by its own clock; clocks differ by at most the
// setting clock-error. It keeps the state of ended attempts until it is told to
// forget them or reboots, and a reboot changes its boot ID.
package provider
