// Package provider names what chutereach asks of the platform beneath it: a
// transactional table, an object store, the list of boxes, and the workers.
//
// The interfaces are narrow on purpose. The platform publishes no wire format
// yet, so each has one adapter (package platformhttp) and one stand-in
// (package standin), and the contract tests in package platformtest run the
// same cases against both.
//
// # What may be assumed of the table
//
// A transaction is all or nothing and carries an id, which the table keeps with
// each row that it wrote. A request may take effect although its answer never
// arrives, and it may take effect late. ErrUnknown says so. The safe way on is
// to send the same transaction again: either it applies now (and the late one
// then fails its conditions), or it conflicts, and the row tells by its Txn
// whether the earlier sending won. Package commit does this.
//
// # What may be assumed of a worker
//
// A worker ends a task by itself when the task's lease lapses. It ignores a
// call that arrives after the call's expiry, by its own clock; clocks differ by
// at most the setting clock-error. It remembers attempts that ended until it is
// told to forget them or reboots, and a reboot changes its boot id.
package provider
