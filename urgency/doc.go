// Package urgency decides in which order waiting steps are placed, which of them may preempt other
// work, and which of them leave room to others.
//
// Preemption wastes the work that is stopped, and the room stays occupied until the stop is
// complete. When gangs preempted at once, a fifth to a third more attempts were started than there
// were tasks, and tasks being stopped held a tenth of all processors. Steps therefore wait for room
// as long as their deadline allows, and steps of lesser queues with time to spare leave free room to
// gangs.
//
// All types are immutable values, and the current time is passed as an argument.
package urgency
