// Package route brings interactive requests to upstreams.
//
// An upstream is a running replica of a service, with a number of slots. Each
// has a home box, by rendezvous hashing over the boxes that answer; the home
// counts the slots exactly and holds
// the connections. A request is served where it came in while a slot is
// free there, and goes else to the better of two boxes, where it waits. A box
// whose queue runs low pulls requests from the one that has the most waiting.
//
// # The three outcomes
//
// A request is answered; or it was not run, for certain; or its outcome is
// unknown. "Not run" is said only if no byte of the request was written to an
// upstream. A request is tried again only after "not run", or if its route says
// that it may be repeated, within its deadline and the box's budget of retries.
//
// While boxes come or go, two of them may count the slots of one upstream for a
// moment, each up to its full number. This is not handled yet.
package route
