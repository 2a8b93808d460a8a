// Package reliability knows how far a worker can be relied on, from how attempts end there.
//
// The load that it answers: a worker that fails all it is given is free again after some 30 to
// 60 ms, so that on a full fleet it is the one with room, however little it is preferred. One
// in twenty failing so for seven seconds took 850 of 1,360 failed attempts of a day, 93 on a
// single worker, and a job of forty tasks of which each may fail once is lost with the second
// failure of any of them.
//
// Everything here is a value: a Record never changes, and time is an argument.
package reliability
