package leadership_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/clock"
	"chutereach/leadership"
	"chutereach/peer/peertest"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

const shard = "main"

func progress(value string) []rowstore.Put {
	return []rowstore.Put{{Key: rowstore.Key{Table: "progress", Partition: shard, Name: "job"}, Value: []byte(value)}}
}

func take(t *testing.T, store rowstore.Store, node string) *leadership.Term {
	t.Helper()
	seen, err := leadership.ReadOwner(t.Context(), store, shard)
	if err != nil {
		t.Fatal(err)
	}
	term, err := leadership.Acquire(t.Context(), store, shard, node, node+":1", seen)
	if err != nil {
		t.Fatal(err)
	}
	return term
}

func value(store *memory.Store) string {
	row, _ := store.Row(progress("")[0].Key)
	return string(row.Value)
}

func TestTokensIncrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		last := uint64(0)
		for _, node := range []string{"a", "b", "a", "a"} {
			term := take(t, store.NewClient(), node)
			if term.Token() <= last {
				t.Errorf("token %d after %d", term.Token(), last)
			}
			last = term.Token()
			if err := term.Commit(t.Context(), progress("x"), nil); err != nil {
				t.Fatal(err)
			}
			if term.Token() != last {
				t.Error("a transaction changed the token")
			}
		}
	})
}

func TestTakesOfSameRowHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		seen, err := leadership.ReadOwner(t.Context(), store, shard)
		if err != nil {
			t.Fatal(err)
		}
		won := 0
		for _, node := range []string{"a", "b"} {
			_, err := leadership.Acquire(t.Context(), store.NewClient(), shard, node, node, seen)
			var deposed *leadership.DeposedError
			switch {
			case err == nil:
				won++
			case !errors.As(err, &deposed) || deposed.Owner.Node != "a":
				t.Errorf("%s: %v", node, err)
			}
		}
		if won != 1 {
			t.Errorf("%d took the shard, want 1", won)
		}
	})
}

func TestDeposedOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		former := take(t, store.NewClient(), "a")
		take(t, store.NewClient(), "b")
		var deposed *leadership.DeposedError
		if err := former.Commit(t.Context(), progress("former"), nil); !errors.As(err, &deposed) || deposed.Owner.Node != "b" {
			t.Errorf("got error %v, want DeposedError naming node b", err)
		}
		if got := value(store); got != "" {
			t.Errorf("the former owner wrote %q", got)
		}
	})
}

// Commit must learn the outcome of an unanswered transaction from the store, and a late copy must
// not be applied.
func TestUnansweredTransactions(t *testing.T) {
	cases := []struct {
		name  string
		fault memory.Fault
	}{
		{"done, answer lost", memory.Fault{DropResponse: true}},
		{"not done, no answer", memory.Fault{DropRequest: true}},
		{"refused", memory.Fault{Reject: true}},
		{"done seconds later", memory.Fault{ApplyDelay: 3 * time.Second}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				caller := store.NewClient()
				term := take(t, caller, "a")
				writes := 0
				caller.SetFault(func(write bool) memory.Fault {
					if !write {
						return memory.Fault{}
					}
					writes++
					if writes == 1 {
						return test.fault
					}
					return memory.Fault{}
				})
				for _, text := range []string{"first", "second"} {
					if err := term.Commit(t.Context(), progress(text), nil); err != nil {
						t.Fatal(err)
					}
					if got := value(store); got != text {
						t.Errorf("the row holds %q after %q was written", got, text)
					}
				}
				time.Sleep(10 * time.Second)
				if got := value(store); got != "second" {
					t.Errorf("row holds %q after a late copy, want \"second\"", got)
				}
				if err := term.Commit(t.Context(), progress("third"), nil); err != nil {
					t.Errorf("commit after the late copy: %v", err)
				}
			})
		})
	}
}

func TestFailingSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := memory.New().NewClient()
		term := take(t, caller, "a")
		if !term.FailingSince().IsZero() {
			t.Error("store counts as failing after a successful take")
		}
		caller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := term.Commit(ctx, nil, nil); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want context.DeadlineExceeded", err)
		}
		if got := term.FailingSince(); !got.Equal(begun) {
			t.Errorf("failing since %v, want %v", got, begun)
		}
		caller.SetFault(nil)
		if err := term.Commit(t.Context(), nil, nil); err != nil || !term.FailingSince().IsZero() {
			t.Errorf("after the store is back: %v, failing since %v", err, term.FailingSince())
		}
	})
}

// A pending transaction must be applied within 500 ms of the end of an outage.
// Guards against an outage of the store that is dated from before a freeze of the process: the owner would reject
// submissions as if the store had been down for as long, before it has called it again.
func TestFreezeIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := take(t, memory.New().NewClient(), "a")
		startedAt := clock.Now()
		for _, frozen := range []time.Duration{0, 10 * time.Millisecond, 3 * time.Second, time.Minute} {
			time.Sleep(frozen)
			const longest = 60 * time.Millisecond // in which answers of this store count as missing
			if got, want := term.UnansweredSince(startedAt).Since(), min(startedAt.Since(), longest); (got - want).Abs() > time.Millisecond {
				t.Errorf("store counts as failing for %v after a freeze of %v, want %v", got, frozen, want)
			}
		}
	})
}

func TestStoreRecoveryIsNoticed(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 4200 * time.Millisecond, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := memory.New().NewClient()
				term := take(t, caller, "a")
				caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
				time.AfterFunc(outage, func() { caller.SetFault(nil) })
				begun := time.Now()
				if err := term.Commit(t.Context(), progress("x"), nil); err != nil {
					t.Fatal(err)
				}
				if late := time.Since(begun) - outage; late > 500*time.Millisecond {
					t.Errorf("written %v after the store was back", late)
				}
			})
		})
	}
}

// A slow store must not count as failing, nor receive a second copy of a transaction.
func TestSlowStoreReceivesOneCopy(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := memory.New().NewClient()
				term := take(t, caller, "a")
				writes := 0
				caller.SetFault(func(write bool) memory.Fault {
					if write {
						writes++
						return memory.Fault{Delay: slow}
					}
					return memory.Fault{Delay: slow / 2}
				})
				for range 3 {
					if err := term.Commit(t.Context(), progress("x"), nil); err != nil {
						t.Fatal(err)
					}
				}
				if writes != 3 {
					t.Errorf("3 transactions were sent %d times, want 3", writes)
				}
				if !term.FailingSince().IsZero() {
					t.Error("a slow store counts as failing")
				}
			})
		})
	}
}

// A large transaction must not be sent again while it still makes progress on a slow link.
func TestLargeTransactionIsSentOnce(t *testing.T) {
	for _, rate := range []int{1_250_000, 250_000, 50_000} {
		t.Run(fmt.Sprintf("%d bytes a second", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				caller := store.NewClient()
				term := take(t, caller, "a")
				link := peertest.NewLink(rate)
				caller.SetUplink(link.Transfer)
				text := strings.Repeat("x", 700_000)
				needs := time.Duration(len(text)) * time.Second / time.Duration(rate)
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*needs)
				defer cancel()
				if err := term.Commit(ctx, progress(text), nil); err != nil {
					t.Errorf("after %v, with %d bytes sent: %v", time.Since(begun), link.Transferred(), err)
				}
				if took := time.Since(begun); took > needs+100*time.Millisecond {
					t.Errorf("took %v, the link needs %v", took, needs)
				}
				if link.Transferred() > len(text)+1000 {
					t.Errorf("%d bytes were sent for %d", link.Transferred(), len(text))
				}
			})
		})
	}
}

// A transaction whose answer is lost must be found applied by reading the owner's row.
func TestLostAnswerIsReadFromRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := memory.New().NewClient()
		term := take(t, caller, "a")
		caller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropResponse: write} })
		begun := time.Now()
		if err := term.Commit(t.Context(), progress("x"), nil); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Errorf("took %v, want at most 100ms", took)
		}
	})
}

// The time of the last success must not be later than the time at which others can have seen the
// row, or leases would outlive a takeover.
func TestLastSuccessIsNotLaterThanItsRow(t *testing.T) {
	cases := []struct {
		name  string
		fault memory.Fault // of writes; reads are answered
		done  bool
	}{
		{"the answer is lost", memory.Fault{DropResponse: true}, true},
		{"nothing is written", memory.Fault{DropRequest: true}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := memory.New().NewClient()
				term := take(t, caller, "a")
				before := term.LastSuccess()
				caller.SetFault(func(write bool) memory.Fault {
					if write {
						return test.fault
					}
					return memory.Fault{}
				})
				time.Sleep(time.Second)
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := term.Commit(ctx, progress("x"), nil)
				if (err == nil) != test.done {
					t.Fatal(err)
				}
				want := before
				if test.done {
					want = begun
				}
				if got := term.LastSuccess(); got.After(want) {
					t.Errorf("last success is %v later than others can have seen the row", got.Sub(want))
				}
			})
		})
	}
}
