package node

import (
	"testing"
	"time"
)

// assertMayFetch checks the result of mayFetch, and ends the fetch that it has started.
func assertMayFetch(t *testing.T, e *tableTracker, now time.Time, storeBad, want bool) {
	t.Helper()
	got := e.beginFetch(now, storeBad)
	if got != want {
		t.Errorf("mayFetch() = %v, want %v", got, want)
	}
	if got {
		e.endFetch()
	}
}

func TestMayFetch(t *testing.T) {
	now := time.Now()
	fetchTime := now.Add(fetchDelay)
	t.Run("the store has fetchAfter to begin its answer", func(t *testing.T) {
		var e tableTracker
		assertMayFetch(t, &e, now, false, false)
		assertMayFetch(t, &e, fetchTime.Add(-1), false, false)
		assertMayFetch(t, &e, fetchTime, false, true)
	})
	t.Run("no wait if the store is failing", func(t *testing.T) {
		assertMayFetch(t, &tableTracker{}, now, true, true)
	})
	t.Run("no fetch while the store sends the table", func(t *testing.T) {
		var e tableTracker
		assertMayFetch(t, &e, now, false, false)
		e.setReceiving(true)
		assertMayFetch(t, &e, now.Add(time.Minute), true, false)
		e.setReceiving(false)
		assertMayFetch(t, &e, now.Add(time.Minute), false, true)
	})
	t.Run("one fetch at a time", func(t *testing.T) {
		e := tableTracker{fetching: true}
		assertMayFetch(t, &e, now, true, false)
	})
}
