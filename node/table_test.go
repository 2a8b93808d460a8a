package node

import (
	"testing"
	"time"
)

// assertBeginFetch checks the result of beginFetch, and ends the fetch that it has started.
func assertBeginFetch(t *testing.T, e *tableTracker, now time.Time, storeBad, want bool) {
	t.Helper()
	got := e.beginFetch(now, storeBad)
	if got != want {
		t.Errorf("beginFetch() = %v, want %v", got, want)
	}
	if got {
		e.endFetch()
	}
}

func TestBeginFetch(t *testing.T) {
	now := time.Now()
	fetchTime := now.Add(fetchDelay)
	t.Run("the store has fetchAfter to begin its answer", func(t *testing.T) {
		var e tableTracker
		assertBeginFetch(t, &e, now, false, false)
		assertBeginFetch(t, &e, fetchTime.Add(-1), false, false)
		assertBeginFetch(t, &e, fetchTime, false, true)
	})
	t.Run("no wait if the store is failing", func(t *testing.T) {
		assertBeginFetch(t, &tableTracker{}, now, true, true)
	})
	t.Run("no fetch while the store sends the table", func(t *testing.T) {
		var e tableTracker
		assertBeginFetch(t, &e, now, false, false)
		e.setReceiving(true)
		assertBeginFetch(t, &e, now.Add(time.Minute), true, false)
		e.setReceiving(false)
		assertBeginFetch(t, &e, now.Add(time.Minute), false, true)
	})
	t.Run("one fetch at a time", func(t *testing.T) {
		e := tableTracker{fetching: true}
		assertBeginFetch(t, &e, now, true, false)
	})
}
