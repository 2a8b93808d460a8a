package rowstore_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/peer/peertest"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/transfer"
)

const table = "t"

// view is what Follow has told of a table.
type view struct {
	mu   sync.Mutex
	rows map[string]string
}

func (v *view) take(rows map[string]rowstore.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rows = map[string]string{}
	for name, row := range rows {
		v.rows[name] = string(row.Value[:1])
	}
}

// assertWithin waits until a row is shown with a value.
func (v *view) assertWithin(t *testing.T, name, value string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		v.mu.Lock()
		got := v.rows[name]
		v.mu.Unlock()
		if got == value {
			return
		}
	}
	t.Errorf("row %s is not %q after %v", name, value, within)
}

func write(t *testing.T, store *memory.Store, name, value string, bytes int) {
	t.Helper()
	data := make([]byte, bytes)
	copy(data, value)
	put := rowstore.Put{Key: rowstore.Key{Table: table, Name: name}, Value: data}
	if _, err := store.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
		t.Fatal(err)
	}
}

// following runs test while a caller's view follows the table.
func following(t *testing.T, before func(*memory.Store, *memory.Caller), test func(*testing.T, *memory.Store, *memory.Caller, *view)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		caller := store.Caller()
		before(store, caller)
		ctx, cancel := context.WithCancel(t.Context())
		var v view
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, caller, table, "", v.take, rowstore.Reach{})
			close(done)
		}()
		test(t, store, caller, &v)
		cancel()
		<-done
	})
}

// Answers that take longer than any limit for an exchange without news are read to
// their end, whole tables and changes alike.
func TestLongAnswersAreReadToTheirEnd(t *testing.T) {
	const rate, bytes = 100_000, 1_000_000 // ten seconds
	following(t, func(store *memory.Store, caller *memory.Caller) {
		write(t, store, "a", "1", bytes)
		caller.SetLink(peertest.NewLink(rate).Carry)
	}, func(t *testing.T, store *memory.Store, _ *memory.Caller, v *view) {
		v.assertWithin(t, "a", "1", 11*time.Second)
		write(t, store, "a", "2", bytes)
		v.assertWithin(t, "a", "2", 11*time.Second)
	})
}

// A store that takes longer for an answer than the first try allows is read all the same.
func TestASlowStoreIsFollowed(t *testing.T) {
	following(t, func(store *memory.Store, caller *memory.Caller) {
		write(t, store, "a", "1", 1)
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Slow: 1800 * time.Millisecond} })
	}, func(t *testing.T, _ *memory.Store, _ *memory.Caller, v *view) {
		v.assertWithin(t, "a", "1", 6*time.Second)
	})
}

// A store that is slower than the slack of a call with the longest wait is no store that
// fails: it is asked to wait for less.
func TestASlowStoreDoesNotCountAsFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		caller := store.Caller()
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Slow: 800 * time.Millisecond} })
		ctx, cancel := context.WithCancel(t.Context())
		var v view
		failed := 0
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, caller, table, "", v.take, rowstore.Reach{Failed: func(*rowstore.FollowError) { failed++ }})
			close(done)
		}()
		time.Sleep(20 * time.Second)
		write(t, store, "a", "1", 1)
		v.assertWithin(t, "a", "1", 2*time.Second)
		caller.SetFault(nil)
		time.Sleep(20 * time.Second)
		write(t, store, "a", "2", 1)
		v.assertWithin(t, "a", "2", time.Second)
		cancel()
		<-done
		if failed > 1 {
			t.Errorf("%d calls failed, want 1 at most", failed)
		}
	})
}

// A store that falls silent in the middle of an answer is asked again soon.
func TestAnAnswerThatStopsIsAskedForAgain(t *testing.T) {
	link := peertest.NewLink(1_000_000)
	stopped := false
	following(t, func(_ *memory.Store, caller *memory.Caller) {
		caller.SetLink(func(ctx context.Context, bytes int) error {
			if err := link.Carry(ctx, bytes); err != nil || stopped || link.Carried() < 100_000 {
				return err
			}
			stopped = true
			<-ctx.Done()
			return ctx.Err()
		})
	}, func(t *testing.T, store *memory.Store, _ *memory.Caller, v *view) {
		write(t, store, "a", "1", 500_000)
		v.assertWithin(t, "a", "1", 4*time.Second)
		if !stopped {
			t.Error("the answer did not stop")
		}
	})
}

// tooLarge is a store whose feed answers more than a reader takes once there are changes.
type tooLarge struct{ rowstore.Store }

// Watch implements rowstore.Store.
func (s tooLarge) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := s.Store.Watch(ctx, table, after, wait)
	if err == nil && len(page.Rows) > 0 {
		return rowstore.Page{}, &rowstore.UnknownError{Cause: &transfer.TooLargeError{Limit: 1}}
	}
	return page, err
}

// Changes that together are too large for one answer are replaced by the rows as they are.
func TestTooManyChangesAreReadAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		ctx, cancel := context.WithCancel(t.Context())
		var v view
		var failures []error
		reach := rowstore.Reach{Failed: func(err *rowstore.FollowError) { failures = append(failures, err) }}
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, tooLarge{store.Caller()}, table, "", v.take, reach)
			close(done)
		}()
		time.Sleep(time.Second)
		write(t, store, "a", "1", 10)
		v.assertWithin(t, "a", "1", time.Second)
		cancel()
		<-done
		var large *transfer.TooLargeError
		if len(failures) != 1 || !errors.As(failures[0], &large) {
			t.Errorf("told of %v", failures)
		}
	})
}

// A table of which something changes all the time is asked for at bounded intervals, and
// the last change is told all the same.
func TestSteadyChangesAreToldTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		write(t, store, "a", "0", 1)
		ctx, cancel := context.WithCancel(t.Context())
		var v view
		told := 0
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, store, table, "", func(rows map[string]rowstore.Row) {
				told++
				v.take(rows)
			}, rowstore.Reach{})
			close(done)
		}()
		for range 1000 {
			write(t, store, "a", "1", 1)
			time.Sleep(time.Millisecond)
		}
		write(t, store, "a", "2", 1)
		v.assertWithin(t, "a", "2", 100*time.Millisecond)
		cancel()
		<-done
		if told > 25 {
			t.Errorf("told %d times in a second, want 25 at most", told)
		}
	})
}

// A store that refuses every call is asked seldom, and soon again once it serves.
func TestFollowAsksARefusingStoreSeldom(t *testing.T) {
	const (
		refused = 9 * time.Second
		// mostCalls is for calls 0.1, 0.2, 0.4 and 0.8 s after one another, and each 0.8 s.
		mostCalls = 16
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := memory.New()
		caller := store.Caller()
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Refuse: true} })
		read := make(chan struct{}, 1)
		go rowstore.Follow(ctx, caller, table, "", func(map[string]rowstore.Row) { read <- struct{}{} }, rowstore.Reach{})
		time.Sleep(refused)
		if calls := caller.Calls(); calls > mostCalls {
			t.Errorf("%d calls in %v, want %d at most", calls, refused, mostCalls)
		}
		caller.SetFault(nil)
		select {
		case <-read:
		case <-time.After(time.Second):
			t.Error("nothing was read for a second")
		}
	})
}
