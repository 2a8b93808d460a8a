package node

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"chutereach/wait"
)

const (
	lagSampleInterval = 50 * time.Millisecond
	// lagWeight is the weight of the newest sample in the mean.
	lagWeight = 0.1
	// slowLag is the mean lag from which an owner on a slow machine looks for a successor.
	// successorRatio is how many times smaller the successor's lag must be.
	slowLag        = 4 * time.Millisecond
	successorRatio = 4
	// starvedLag is the mean lag from which an owner looks for a successor even if its machine
	// is not slow: its processor quota may be exhausted.
	starvedLag = 40 * time.Millisecond
	// minTermAge is the age of a term from which the owner's lag counts. A takeover itself
	// causes lag.
	minTermAge = 1500 * time.Millisecond
)

// lagMeter measures timer lag, the delay with which timers fire, as an exponentially weighted
// mean. A process short of processor time has a high lag.
type lagMeter struct{ mean atomic.Uint64 } // nanoseconds, as the bits of a float64

func (m *lagMeter) Mean() time.Duration {
	return time.Duration(math.Float64frombits(m.mean.Load()))
}

func (m *lagMeter) add(late time.Duration) {
	former := math.Float64frombits(m.mean.Load())
	m.mean.Store(math.Float64bits(former*(1-lagWeight) + float64(late)*lagWeight))
}

// run measures the lag until ctx ends, and samples the machine's speed after each measurement.
func (m *lagMeter) run(ctx context.Context, speed *speedMeter) {
	for {
		startedAt := time.Now()
		if wait.For(ctx, lagSampleInterval) != nil {
			return
		}
		m.add(max(0, time.Since(startedAt)-lagSampleInterval))
		speed.sample()
	}
}

// checkLag hands the shard over when this node has become slow and another one has not, or when
// another machine is much more powerful. A node whose lag has been high throughout its term is
// overloaded rather than slow: another owner would be too, and a takeover adds load, so it keeps the
// shard.
func (n *Node) checkLag(ctx context.Context) {
	lag := n.lag.Mean()
	n.mu.Lock()
	own, age := n.scheduler, time.Since(n.termStartedAt)
	if own == nil || age < minTermAge {
		n.lagNormalSince, n.lagWasNormal = time.Time{}, false
		n.mu.Unlock()
		return
	}
	switch {
	case lag >= slowLag/2:
		n.lagNormalSince = time.Time{}
	case n.lagNormalSince.IsZero():
		n.lagNormalSince = time.Now()
	case time.Since(n.lagNormalSince) > lagNormalPeriod:
		n.lagWasNormal = true
	}
	becameSlow := n.lagWasNormal && (lag >= slowLag && n.speed.slow() || lag >= starvedLag)
	n.mu.Unlock()
	self := n.config.Self.Cores
	switch {
	case becameSlow:
		n.handOver(ctx, "this node is short of processor time", func(_ Member, state peerState) bool {
			return state.lag*successorRatio < lag
		})
	case self > 0 && lag < slowLag:
		n.handOver(ctx, "another machine is much more powerful", func(member Member, state peerState) bool {
			return member.Cores >= strongerRatio*self && state.lag < slowLag
		})
	}
}

// lagNormalPeriod is how long the lag must have been normal during the term before a high lag
// counts as the node becoming slow.
const lagNormalPeriod = 500 * time.Millisecond

// strongerRatio is how many times more powerful a machine must be to be given the shard by an
// owner that is not slow.
const strongerRatio = 2
