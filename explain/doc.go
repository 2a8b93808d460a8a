// Package explain finds in the saved logs of several boxes what became of a job and
// why: its own lines in the order of time, what happened around it to owners and to
// the store, and a summary of where its time went.
//
// Boxes' clocks disagree by some milliseconds; lines of one box keep their order.
package explain
