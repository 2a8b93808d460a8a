package scheduler

import (
	"testing"
	"time"
)

func TestTransactionsFollowTheStoresRate(t *testing.T) {
	for _, c := range []struct {
		writes float64
		gap    time.Duration
	}{
		{0, leastCommitGap},
		{200, leastCommitGap},
		{100, leastCommitGap},
		{20, 100 * time.Millisecond},
		{1, 2 * time.Second},
	} {
		if got := commitGapFor(c.writes); got != c.gap {
			t.Errorf("at %v transactions a second: a gap of %v, want %v", c.writes, got, c.gap)
		}
	}
}
