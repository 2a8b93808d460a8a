// Package overload detects when a service has more work than it can complete in time, and computes the
// relative sizes of jobs. Under overload, waiting steps are ordered by them.
//
// Once the backlog is longer than the slack of the callers, ordering by latest start places each step
// just as its slack runs out, so that nearly all of them finish slightly late. Ordering by size
// completes more of them in time. With a short backlog it completes fewer, so it must apply only under
// overload.
//
// All types are immutable values, and the current time is passed as an argument.
package overload
