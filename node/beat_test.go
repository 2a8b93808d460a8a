package node

import (
	"fmt"
	"testing"
	"time"
)

// A node waits a little longer the more seldom it hears of its owner, and never so long that it would
// count as unready.
func TestWhenAHeartbeatIsOverdue(t *testing.T) {
	for _, test := range []struct{ interval, want time.Duration }{
		{beatEvery, beatEvery + beatLate},
		{2 * beatEvery, 2*beatEvery + beatLate},
		{farSlowest, farSlowest + farSlowest/8},
	} {
		if got := overdue(test.interval); got != test.want || got >= unreadyAfter {
			t.Errorf("overdue after %v if the next comes in %v, want %v", got, test.interval, test.want)
		}
	}
}

func TestHeartbeatRateToFarNodesIsBounded(t *testing.T) {
	for _, nodes := range []int{1, 13, 40, 147, 300, 1000} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			far := max(0, nodes-1-nearMost)
			period := farPeriod(far)
			between := time.Duration(period) * beatEvery
			if between > farSlowest {
				t.Errorf("a node hears of its owner each %v, want each %v at least", between, farSlowest)
			}
			if between >= unreadyAfter/2 {
				t.Errorf("one lost heartbeat in %v would make a node unready", between)
			}
			perSecond := float64(far) / between.Seconds()
			if perSecond > farBeats && between < farSlowest-beatEvery {
				t.Errorf("%.0f heartbeats a second, want %d at most", perSecond, farBeats)
			}
		})
	}
}
