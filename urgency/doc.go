// Package urgency knows in which order work that waits gets room, which of it is worth that
// other work is stopped for it, and which of it may leave room to others.
//
// The load that it answers: gangs of twenty to a hundred tasks that must begin within seconds,
// statements of as many tasks that may take four times their work, and lookups that must begin
// at once, on workers of which nine tenths are in use. Whatever is free is taken within
// moments by the statements, which are many and small, and a gang that comes then has them
// stopped: a fifth to a third more runs than tasks, and a tenth of all processors held by what
// is being stopped. So a gang first waits for room that becomes free by itself, as long as it
// has time, and statements with time leave it to the gang.
//
// Everything here is a value, and time is an argument.
package urgency
