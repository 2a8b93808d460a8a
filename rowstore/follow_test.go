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

// tableView records the rows that Follow last reported: the first byte of each value.
type tableView struct {
	mu   sync.Mutex
	rows map[string]string
}

func (v *tableView) update(rows map[string]rowstore.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rows = map[string]string{}
	for name, row := range rows {
		v.rows[name] = string(row.Value[:1])
	}
}

// assertWithin checks that a row gets a value within a time.
func (v *tableView) assertWithin(t *testing.T, name, value string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		v.mu.Lock()
		got := v.rows[name]
		v.mu.Unlock()
		if got == value {
			return
		}
	}
	t.Errorf("row %s: want %q within %v", name, value, within)
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

// runFollow calls setup, then test while Follow keeps a tableView of the table up to date.
func runFollow(t *testing.T, setup func(*memory.Store, *memory.Client), test func(*testing.T, *memory.Store, *memory.Client, *tableView)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		caller := store.NewClient()
		setup(store, caller)
		ctx, cancel := context.WithCancel(t.Context())
		var v tableView
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, caller, table, "", v.update, rowstore.FollowOptions{})
			close(done)
		}()
		test(t, store, caller, &v)
		cancel()
		<-done
	})
}

// Responses that make progress must not time out, however long the transfer takes. This
// holds for snapshots and for changes.
func TestFollowReadsLongResponses(t *testing.T) {
	const rate, bytes = 100_000, 1_000_000 // 10 s per transfer
	runFollow(t, func(store *memory.Store, caller *memory.Client) {
		write(t, store, "a", "1", bytes)
		caller.SetDownlink(peertest.NewLink(rate).Transfer)
	}, func(t *testing.T, store *memory.Store, _ *memory.Client, v *tableView) {
		v.assertWithin(t, "a", "1", 11*time.Second)
		write(t, store, "a", "2", bytes)
		v.assertWithin(t, "a", "2", 11*time.Second)
	})
}

// The stall timeout of reads must grow until a slow store can answer within it.
func TestFollowRetriesSlowStore(t *testing.T) {
	runFollow(t, func(store *memory.Store, caller *memory.Client) {
		write(t, store, "a", "1", 1)
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 1800 * time.Millisecond} })
	}, func(t *testing.T, _ *memory.Store, _ *memory.Client, v *tableView) {
		v.assertWithin(t, "a", "1", 6*time.Second)
	})
}

// A store with a latency above pollStallTimeout-maxPollWait must not make Watch calls fail
// repeatedly: their wait is reduced.
func TestFollowAdaptsToSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		caller := store.NewClient()
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 800 * time.Millisecond} })
		ctx, cancel := context.WithCancel(t.Context())
		var v tableView
		failed := 0
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, caller, table, "", v.update, rowstore.FollowOptions{OnError: func(*rowstore.FollowError) { failed++ }})
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
			t.Errorf("got %d failed calls, want at most 1", failed)
		}
	})
}

// A response that stalls must be canceled and requested again.
func TestFollowRetriesStalledResponse(t *testing.T) {
	link := peertest.NewLink(1_000_000)
	stopped := false
	runFollow(t, func(_ *memory.Store, caller *memory.Client) {
		caller.SetDownlink(func(ctx context.Context, bytes int) error {
			if err := link.Transfer(ctx, bytes); err != nil || stopped || link.Transferred() < 100_000 {
				return err
			}
			stopped = true
			<-ctx.Done()
			return ctx.Err()
		})
	}, func(t *testing.T, store *memory.Store, _ *memory.Client, v *tableView) {
		write(t, store, "a", "1", 500_000)
		v.assertWithin(t, "a", "1", 4*time.Second)
		if !stopped {
			t.Error("no response stalled")
		}
	})
}

// oversizedFeed is a store whose Watch fails with TooLargeError if there are changes.
type oversizedFeed struct{ rowstore.Store }

// Watch implements rowstore.Store.
func (s oversizedFeed) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := s.Store.Watch(ctx, table, after, wait)
	if err == nil && len(page.Rows) > 0 {
		return rowstore.Page{}, &rowstore.UnknownOutcomeError{Cause: &transfer.TooLargeError{Limit: 1}}
	}
	return page, err
}

// If the changes exceed the size limit of a response, Follow must read a snapshot instead
// of requesting them again.
func TestFollowReadsSnapshotAfterTooLargeFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		ctx, cancel := context.WithCancel(t.Context())
		var v tableView
		var failures []error
		options := rowstore.FollowOptions{OnError: func(err *rowstore.FollowError) { failures = append(failures, err) }}
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, oversizedFeed{store.NewClient()}, table, "", v.update, options)
			close(done)
		}()
		time.Sleep(time.Second)
		write(t, store, "a", "1", 10)
		v.assertWithin(t, "a", "1", time.Second)
		cancel()
		<-done
		var lost *rowstore.UnknownOutcomeError
		var tooLarge *transfer.TooLargeError
		if len(failures) != 1 || !errors.As(failures[0], &lost) || !errors.As(lost.Cause, &tooLarge) {
			t.Errorf("got failures %v, want a single TooLargeError", failures)
		}
	})
}

// Frequent changes must be batched to bound the call rate, without losing the last one.
func TestFollowBatchesFrequentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		write(t, store, "a", "0", 1)
		ctx, cancel := context.WithCancel(t.Context())
		var v tableView
		updates := 0
		done := make(chan struct{})
		go func() {
			rowstore.Follow(ctx, store, table, "", func(rows map[string]rowstore.Row) {
				updates++
				v.update(rows)
			}, rowstore.FollowOptions{})
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
		if updates > 25 {
			t.Errorf("got %d updates in a second, want at most 25", updates)
		}
	})
}

// Follow must back off from a store that rejects all calls, and recover soon after it
// answers again.
func TestFollowBacksOffFromRejectingStore(t *testing.T) {
	const (
		outage = 9 * time.Second
		// maxCalls allows for retry intervals of 0.1, 0.2 and 0.4 s, then 0.8 s each.
		maxCalls = 16
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := memory.New()
		caller := store.NewClient()
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		read := make(chan struct{}, 1)
		go rowstore.Follow(ctx, caller, table, "", func(map[string]rowstore.Row) { read <- struct{}{} }, rowstore.FollowOptions{})
		time.Sleep(outage)
		if calls := caller.CallCount(); calls > maxCalls {
			t.Errorf("got %d calls in %v, want at most %d", calls, outage, maxCalls)
		}
		caller.SetFault(nil)
		select {
		case <-read:
		case <-time.After(time.Second):
			t.Error("no read within a second after the store recovered")
		}
	})
}
