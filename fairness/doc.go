// Package fairness decides which jobs of a client account are within its fair share and which
// exceed it.
//
// Queues are ordered by deadline across all accounts. Without a limit, a burst of urgent jobs from
// one account would therefore delay the urgent jobs of every other account. Jobs over an account's
// share are ordered after jobs of the same urgency that are within the share of their accounts, and
// still run when there is spare capacity.
//
// All types are immutable values, and the current time is passed as an argument.
package fairness
