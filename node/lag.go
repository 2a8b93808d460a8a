package node

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"chutereach/wait"
)

const (
	lagEvery = 50 * time.Millisecond
	// lagWeight is the weight of the newest measurement in the mean.
	lagWeight = 0.1
	// slowLag is from what mean lateness on an owner looks for an heir, and
	// heirRatio by how much less late the heir must be.
	slowLag   = 4 * time.Millisecond
	heirRatio = 4
	// settled is how long a reign lasts at least before the owner's lateness
	// counts: a takeover is work.
	settled = 3 * time.Second
)

// lagMeter measures how late timers are served, as a mean over a few tenths of a
// second: a process that is short of processor time serves them late.
type lagMeter struct{ mean atomic.Uint64 } // nanoseconds, as bits of a float64

// Mean returns the mean lateness.
func (m *lagMeter) Mean() time.Duration {
	return time.Duration(math.Float64frombits(m.mean.Load()))
}

func (m *lagMeter) add(late time.Duration) {
	former := math.Float64frombits(m.mean.Load())
	m.mean.Store(math.Float64bits(former*(1-lagWeight) + float64(late)*lagWeight))
}

// run measures until ctx ends.
func (m *lagMeter) run(ctx context.Context) {
	for {
		begun := time.Now()
		if wait.For(ctx, lagEvery) != nil {
			return
		}
		m.add(max(0, time.Since(begun)-lagEvery))
	}
}

// checkLag hands the shard over when this node is short of processor time and
// another is not.
func (n *Node) checkLag(ctx context.Context) {
	lag := n.lag.Mean()
	n.mu.Lock()
	own, since := n.own, n.ownSince
	n.mu.Unlock()
	if own == nil || lag < slowLag || time.Since(since) < settled {
		return
	}
	n.handOver(ctx, "this node is short of processor time", func(state peerState) bool {
		return state.lag*heirRatio < lag
	})
}
