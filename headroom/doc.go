// Package headroom decides how much room to reserve for gangs that have not arrived yet, from the
// rate at which gangs have arrived recently.
//
// Small tasks fit on almost any worker. Without headroom they can leave no single worker with room
// for the larger task of a gang, although many processors are free in total: a fifth of them in a
// load of four gangs per second, of twenty tasks each, three of which fill a worker.
//
// All types are immutable values, and the current time is passed as an argument.
package headroom
