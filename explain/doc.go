// Package explain reconstructs a job's history from the saved logs of several boxes: its
// log lines in time order, concurrent changes of shard owner and store outages, and a
// summary of where its time went.
//
// Clocks of different boxes may differ by a few milliseconds. Lines of one box keep
// their order.
package explain
