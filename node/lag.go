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
// another is not, or is much the stronger machine.
func (n *Node) checkLag(ctx context.Context) {
	lag := n.lag.Mean()
	n.mu.Lock()
	own, since := n.own, n.ownSince
	n.mu.Unlock()
	if own == nil || time.Since(since) < settled {
		return
	}
	late := func(_ Member, state peerState) bool { return lag >= slowLag && state.lag*heirRatio < lag }
	stronger := func(member Member, state peerState) bool {
		return member.Power >= strongerRatio*n.config.Self.Power && n.config.Self.Power > 0 && state.lag < slowLag
	}
	switch {
	case lag >= slowLag:
		n.handOver(ctx, "this node is short of processor time", func(m Member, p peerState) bool { return late(m, p) || stronger(m, p) })
	default:
		n.handOver(ctx, "another machine is much stronger", stronger)
	}
}

// strongerRatio is by how much stronger a machine must be to be given the shard
// without need.
const strongerRatio = 2
