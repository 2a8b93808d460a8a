// Package headroom knows how much room is kept whole for gangs that are yet to come, from how
// many came of late.
//
// The load that it answers: four gangs a second of twenty tasks each, three of which fill a
// worker, beside thousands of small tasks that may wait. The small ones fit everywhere, so that
// without headroom no worker has room for a gang's task when the gang comes, although a fifth
// of all processors is free.
//
// Everything here is a value, and time is an argument.
package headroom
