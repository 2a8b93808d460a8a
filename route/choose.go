package route

import (
	"math/rand/v2"
	"sync/atomic"

	"chutereach/member"
)

// Self is what a Chooser returns for the local box.
const Self = -1

// Chooser is a policy that selects the box for a request, among the local box and those
// peers that have upstreams of the service.
type Chooser interface {
	// Choose returns an index into peers, or Self. If own has no slots, peers is not empty.
	Choose(own member.Load, peers []member.PeerLoad) int
}

// LeastLoaded selects the box with the lowest load per slot. The local box wins a tie,
// which saves a hop.
type LeastLoaded struct{}

// Choose implements Chooser.
func (LeastLoaded) Choose(own member.Load, peers []member.PeerLoad) int {
	best, least, found := Self, loadPerSlot(own), own.Slots > 0
	for i, p := range peers {
		if c := loadPerSlot(p.Load); !found || c < least {
			best, least, found = i, c, true
		}
	}
	return best
}

// TwoChoices selects the local box while it has a free slot, which saves a hop, and
// otherwise the less loaded of two boxes drawn at random. The known loads of peers are
// out of date during a burst, and boxes that all select the least loaded peer overload
// it; the random draw spreads them (M. Mitzenmacher, The Power of Two Choices in
// Randomized Load Balancing, 2001).
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(own member.Load, peers []member.PeerLoad) int {
	if own.Queued == 0 && own.Busy < own.Slots {
		return Self
	}
	n := len(peers)
	if own.Slots > 0 {
		n++
	}
	a, b := rand.IntN(n), rand.IntN(n)
	if loadPerSlot(loadAt(b, own, peers)) < loadPerSlot(loadAt(a, own, peers)) {
		a = b
	}
	return peerIndex(a, peers)
}

// RoundRobin selects the boxes in turn, regardless of their load.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Chooser.
func (r *RoundRobin) Choose(own member.Load, peers []member.PeerLoad) int {
	n := len(peers)
	if own.Slots > 0 {
		n++
	}
	return peerIndex(int(r.next.Add(1)%uint64(n)), peers)
}

// loadAt returns the load of box n. The peers come first, then the local box.
func loadAt(n int, own member.Load, peers []member.PeerLoad) member.Load {
	if n < len(peers) {
		return peers[n].Load
	}
	return own
}

func peerIndex(n int, peers []member.PeerLoad) int {
	if n < len(peers) {
		return n
	}
	return Self
}

// loadPerSlot returns the used slots and queued requests of a box, divided by its slots.
func loadPerSlot(l member.Load) float64 {
	return float64(l.Busy+l.Queued) / float64(max(l.Slots, 1))
}
