// Package fairness knows which jobs of a client account are owed to it, and which come on top.
//
// The load that it answers: one account of several sends many times its usual for some seconds,
// most of it lookups that must begin at once. Work is ordered by when it must begin, whoever
// sent it, so that all lookups then become late, those of the accounts that send no more than
// ever among them. What comes on top goes after what is owed and as urgent: it is served as far
// as there is room, which is as much as before, and the others are served in time.
//
// Everything here is a value, and time is an argument.
package fairness
