package node

import (
	"testing"
	"time"
)

// assertMayFetch checks whether a table would be fetched, and ends the fetch if so.
func assertMayFetch(t *testing.T, e *tableExchange, now time.Time, storeBad, want bool) {
	t.Helper()
	got := e.mayFetch(now, storeBad)
	if got != want {
		t.Errorf("may fetch: %v, want %v", got, want)
	}
	if got {
		e.fetched()
	}
}

func TestMayFetch(t *testing.T) {
	now := time.Now()
	fetchTime := now.Add(fetchAfter)
	t.Run("the store has time to begin", func(t *testing.T) {
		var e tableExchange
		assertMayFetch(t, &e, now, false, false)
		assertMayFetch(t, &e, fetchTime.Add(-1), false, false)
		assertMayFetch(t, &e, fetchTime, false, true)
	})
	t.Run("a store that does not answer is not waited for", func(t *testing.T) {
		assertMayFetch(t, &tableExchange{}, now, true, true)
	})
	t.Run("what the store brings is not fetched", func(t *testing.T) {
		var e tableExchange
		assertMayFetch(t, &e, now, false, false)
		e.setArriving(true)
		assertMayFetch(t, &e, now.Add(time.Minute), true, false)
		e.setArriving(false)
		assertMayFetch(t, &e, now.Add(time.Minute), false, true)
	})
	t.Run("one at a time", func(t *testing.T) {
		e := tableExchange{fetching: true}
		assertMayFetch(t, &e, now, true, false)
	})
}
