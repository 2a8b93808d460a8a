package scheduler

import (
	"testing"
	"time"
)

// The gap between transactions widens as the store's write rate drops.
func TestCommitGap(t *testing.T) {
	for _, c := range []struct {
		writes float64
		gap    time.Duration
	}{
		{0, minCommitInterval},
		{200, minCommitInterval},
		{100, minCommitInterval},
		{20, 100 * time.Millisecond},
		{1, 2 * time.Second},
	} {
		if got := commitIntervalFor(c.writes); got != c.gap {
			t.Errorf("commit gap at %v transactions per second is %v, want %v", c.writes, got, c.gap)
		}
	}
}
