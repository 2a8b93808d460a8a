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
	// slowLag is from what mean lateness on an owner looks for a successor, and
	// successorRatio by how much less late the successor must be.
	slowLag        = 4 * time.Millisecond
	successorRatio = 4
	// starvedLag is from what mean lateness on an owner looks for a successor even if
	// its machine is as fast as ever: its share of the processor may be used up.
	starvedLag = 40 * time.Millisecond
	// settled is how long a term lasts at least before the owner's lateness
	// counts: a takeover is work.
	settled = 1500 * time.Millisecond
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

// run measures until ctx ends, and samples the machine's speed at each turn.
func (m *lagMeter) run(ctx context.Context, speed *speedMeter) {
	for {
		begun := time.Now()
		if wait.For(ctx, lagEvery) != nil {
			return
		}
		m.add(max(0, time.Since(begun)-lagEvery))
		speed.sample()
	}
}

// checkLag hands the shard over when this node has turned slow and another is
// not, or when another is much the stronger machine. A node that has been short of
// processor time for the whole of its term has too much to do, not too little to
// do it with: another would fare no better, and each takeover is work.
func (n *Node) checkLag(ctx context.Context) {
	lag := n.lag.Mean()
	n.mu.Lock()
	own, age := n.own, time.Since(n.ownSince)
	if own == nil || age < settled {
		n.calmSince, n.wasCalm = time.Time{}, false
		n.mu.Unlock()
		return
	}
	switch {
	case lag >= slowLag/2:
		n.calmSince = time.Time{}
	case n.calmSince.IsZero():
		n.calmSince = time.Now()
	case time.Since(n.calmSince) > calmFor:
		n.wasCalm = true
	}
	turnedSlow := n.wasCalm && (lag >= slowLag && n.speed.slow() || lag >= starvedLag)
	n.mu.Unlock()
	self := n.config.Self.Power
	switch {
	case turnedSlow:
		n.handOver(ctx, "this node is short of processor time", func(_ Member, state peerState) bool {
			return state.lag*successorRatio < lag
		})
	case self > 0 && lag < slowLag:
		n.handOver(ctx, "another machine is much stronger", func(member Member, state peerState) bool {
			return member.Power >= strongerRatio*self && state.lag < slowLag
		})
	}
}

// calmFor is how long an owner must have been in time to be able to turn slow.
const calmFor = 500 * time.Millisecond

// strongerRatio is by how much stronger a machine must be to be given the shard
// without need.
const strongerRatio = 2
