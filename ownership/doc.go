// Package ownership assigns units to boxes and detects failed owners by their
// heartbeats in the table.
//
// A box renews a single heartbeat row, however many units it owns. The row of a
// unit names the incarnation that owns it. Once a heartbeat has expired, any box
// may take over the units in one transaction, which requires the heartbeat row to
// be at the observed version and deletes it. After that the previous owner cannot
// renew its heartbeat, and its commits for these units fail, because each of them
// requires the version of the unit's row.
//
// Each observer judges expiry by its own clock only: a heartbeat has expired when
// its row has not changed for Settings.HeartbeatTimeout plus the duration of the observer's
// own last heartbeat write. The added duration keeps a slow table from causing
// takeovers. An owner counts Settings.HeartbeatTimeout from before it sent its last heartbeat,
// so its ownership ends before any observer considers it expired.
package ownership
