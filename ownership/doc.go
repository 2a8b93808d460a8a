// Package ownership keeps a box's heartbeat in the table, and by it the units
// that the box owns.
//
// A box renews one row, whatever it owns. A unit's row names its owner's
// incarnation. When a heartbeat has lapsed, any box may take the units over, in
// one transaction that requires the heartbeat to be as it was seen and deletes
// it: from then on the old owner cannot renew, and every commit of its units
// fails, because each requires the unit's row.
//
// Whether a heartbeat has lapsed is judged by the observer's own clock alone:
// the row has not changed for the setting Lapse, plus the time that the
// observer's own heartbeat takes, so that a slow table makes the boxes patient
// rather than quarrelsome. The owner counts from before it sent its heartbeat,
// and so is never surer than the observers.
package ownership
