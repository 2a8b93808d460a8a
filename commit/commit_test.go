package commit

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"chutereach/proptest"
	"chutereach/provider"
	"chutereach/standin"
)

func newSender(t *standin.Table) *Sender { return NewSender(t, rate.NewLimiter(rate.Inf, 1)) }

func txn(id, key string, version uint64) provider.Txn {
	return provider.Txn{ID: id}.Put(key, version, []byte(id))
}

// once injects a fault into the first request of an operation only.
func once(op standin.Op, f standin.Fault) func(standin.Op, string) standin.Fault {
	var injected atomic.Bool
	return func(o standin.Op, _ string) standin.Fault {
		if o != op || !injected.CompareAndSwap(false, true) {
			return standin.Fault{}
		}
		return f
	}
}

func TestDoResolvesOutcome(t *testing.T) {
	down := standin.Fault{Refuse: standin.Down(provider.TableService)}
	for _, c := range []struct {
		name  string
		fault standin.Fault
		// rival writes the row before the transaction's first retry.
		rival bool
		want  func(error) bool
	}{
		{"no fault", standin.Fault{}, false, isNil},
		{"response lost", standin.Fault{Lose: true}, false, isNil},
		{"request lost", standin.Fault{Vanish: true}, false, isNil},
		{"service unavailable once", down, false, isNil},
		{"rival wins before the request", standin.Fault{Refuse: down.Refuse}, true, is[*provider.ConflictError]},
		{"rival wins after a lost request", standin.Fault{Vanish: true}, true, is[*provider.ConflictError]},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				table.Faults.Set(once(standin.OpCommit, c.fault))
				if c.rival {
					time.AfterFunc(time.Millisecond, func() { table.Commit(context.Background(), txn("rival", "a", 0)) })
				}
				_, err := newSender(table).Do(t.Context(), txn("mine", "a", 0))
				if !c.want(err) {
					t.Errorf("err = %v", err)
				}
				row, _ := table.Get(t.Context(), "a")
				if (row.Txn == "mine") != (err == nil) {
					t.Errorf("row was written by %q, but Do returned %v", row.Txn, err)
				}
			})
		})
	}
}

func isNil(err error) bool { return err == nil }

func is[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

// When its context ends, Do must report whether the transaction may have been applied.
func TestDoReportsWhetherTransactionMayApply(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Fault
		want  func(error) bool
	}{
		{"service always unavailable", standin.Fault{Refuse: standin.Down(provider.TableService)}, is[*NotAppliedError]},
		{"always lost", standin.Fault{Vanish: true}, is[*UnknownOutcomeError]},
		{"hangs", standin.Fault{Delay: time.Hour}, is[*UnknownOutcomeError]},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				table.Faults.Always(c.fault)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if _, err := newSender(table).Do(ctx, txn("mine", "a", 0)); !c.want(err) {
					t.Errorf("err = %T %v", err, err)
				}
			})
		})
	}
}

// A deleted row carries no transaction ID, so a lost response to a delete must be resolved
// by the absence of the row.
func TestDeleteWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		s := newSender(table)
		v, err := s.Do(t.Context(), txn("1", "a", 0))
		if err != nil {
			t.Fatal(err)
		}
		table.Faults.Set(once(standin.OpCommit, standin.Fault{Lose: true}))
		if _, err := s.Do(t.Context(), provider.Txn{ID: "2"}.Remove("a", v)); err != nil {
			t.Errorf("err = %v", err)
		}
	})
}

// With lost and delayed requests, exactly one caller per key must be told that its write
// was applied, and the row must hold that caller's value.
func TestGroupReportsOutcomeOfEachPart(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]standin.Fault{
			{}, {Lose: true}, {Vanish: true}, {Delay: time.Second},
		}), 1, 12).Draw(r, "faults")
		keys := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 20).Draw(r, "keys")
		synctest.Test(t, func(t *testing.T) {
			table := standin.NewTable()
			lock, n := make(chan struct{}, 1), 0
			table.Faults.Set(func(op standin.Op, _ string) standin.Fault {
				lock <- struct{}{}
				defer func() { <-lock }()
				n++
				if op != standin.OpCommit || n > len(faults) {
					return standin.Fault{}
				}
				return faults[n-1]
			})
			g := NewGroup(newSender(table))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go g.Run(ctx, 2)
			results := make(chan string, len(keys))
			for i, k := range keys {
				go func() {
					value := fmt.Sprintf("%d by %d", k, i)
					_, err := g.Do(ctx, Part{}.Insert(fmt.Sprint("k", k), []byte(value)))
					switch {
					case err == nil:
						results <- value
					case is[*provider.ConflictError](err):
						results <- ""
					default:
						t.Errorf("part %d: %v", i, err)
						results <- ""
					}
				}()
			}
			committed := map[string]bool{}
			for range keys {
				if v := <-results; v != "" {
					committed[v] = true
				}
			}
			for _, k := range keys {
				row, _ := table.Get(ctx, fmt.Sprint("k", k))
				if !committed[string(row.Value)] {
					t.Errorf("%q was written, but its caller was told otherwise", row.Value)
				}
				delete(committed, string(row.Value))
				committed[string(row.Value)] = true
			}
			distinct := map[int]bool{}
			for _, k := range keys {
				distinct[k] = true
			}
			if len(committed) != len(distinct) {
				t.Errorf("%d callers were told that their write was applied, want one for each of %d keys", len(committed), len(distinct))
			}
		})
	})
}
