// Package route sends interactive requests to upstreams.
//
// An upstream is a running replica of a service with a fixed number of slots. Rendezvous
// hashing over the live boxes assigns each upstream a home box, which counts the
// upstream's slots and holds the connections to it. A request is served by the box that
// received it while that box has a free slot. Otherwise it is queued at the less loaded
// of two boxes drawn at random. A box whose queue is nearly empty pulls requests from
// the box with the most waiting requests per slot.
//
// # Outcomes
//
// A request has one of three outcomes: it was answered, it was not run, or its outcome
// is unknown. "Not run" is reported only if no byte of the request was written to an
// upstream. A request is retried only if it was not run or if its route declares it
// repeatable, and only within its deadline and the box's retry budget.
//
// # Limitation
//
// A new home counts an upstream's slots as used until the former home reports how many
// requests it still has there. Two boxes may nevertheless use the slots of one upstream
// at the same time while their views of the live boxes differ, or if the home changes
// again before that handover ends.
package route
