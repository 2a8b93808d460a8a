package node

import (
	"fmt"
	"testing"
	"time"
)

// The heartbeat timeout grows with the heartbeat interval, but stays below the time after which the
// node reports itself unready.
func TestHeartbeatTimeout(t *testing.T) {
	for _, test := range []struct{ interval, want time.Duration }{
		{heartbeatInterval, heartbeatInterval + minHeartbeatDelay},
		{2 * heartbeatInterval, 2*heartbeatInterval + minHeartbeatDelay},
		{maxFarHeartbeatInterval, maxFarHeartbeatInterval + maxFarHeartbeatInterval/8},
	} {
		if got := heartbeatDeadline(test.interval); got != test.want || got >= unreadyAfter {
			t.Errorf("timeout %v for a heartbeat interval of %v, want %v", got, test.interval, test.want)
		}
	}
}

func TestHeartbeatRateToFarNodesIsBounded(t *testing.T) {
	for _, nodes := range []int{1, 13, 40, 147, 300, 1000} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			far := max(0, nodes-1-maxNearNodes)
			period := farHeartbeatPeriod(far)
			between := time.Duration(period) * heartbeatInterval
			if between > maxFarHeartbeatInterval {
				t.Errorf("heartbeat interval %v, want %v at most", between, maxFarHeartbeatInterval)
			}
			if between >= unreadyAfter/2 {
				t.Errorf("heartbeat interval %v: the loss of one heartbeat would make a node unready", between)
			}
			perSecond := float64(far) / between.Seconds()
			if perSecond > maxFarHeartbeatsPerSecond && between < maxFarHeartbeatInterval-heartbeatInterval {
				t.Errorf("%.0f heartbeats/s, want %d at most", perSecond, maxFarHeartbeatsPerSecond)
			}
		})
	}
}
