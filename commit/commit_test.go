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

func sender(t *standin.Table) *Sender { return NewSender(t, rate.NewLimiter(rate.Inf, 1)) }

func txn(id, key string, version uint64) provider.Txn {
	return provider.Txn{ID: id}.Put(key, version, []byte(id))
}

// once lets a fault befall the first request of an operation only.
func once(op standin.Op, f standin.Fault) func(standin.Op, string) standin.Fault {
	var befallen atomic.Bool
	return func(o standin.Op, _ string) standin.Fault {
		if o != op || !befallen.CompareAndSwap(false, true) {
			return standin.Fault{}
		}
		return f
	}
}

func TestFateIsFoundOut(t *testing.T) {
	down := standin.Fault{Refuse: standin.Down(provider.TableService)}
	for _, c := range []struct {
		name  string
		fault standin.Fault
		// rival writes the row before the transaction's first repeat.
		rival bool
		want  func(error) bool
	}{
		{"nothing happens", standin.Fault{}, false, isNil},
		{"answer lost", standin.Fault{Lose: true}, false, isNil},
		{"request lost", standin.Fault{Vanish: true}, false, isNil},
		{"refused once", down, false, isNil},
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
				_, err := sender(table).Do(t.Context(), txn("mine", "a", 0))
				if !c.want(err) {
					t.Errorf("err = %v", err)
				}
				row, _ := table.Get(t.Context(), "a")
				if (row.Txn == "mine") != (err == nil) {
					t.Errorf("the row was written by %q, and err = %v", row.Txn, err)
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

// A caller that gives up is told whether the transaction may still apply.
func TestGivingUpTellsWhatIsKnown(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Fault
		want  func(error) bool
	}{
		{"always refused", standin.Fault{Refuse: standin.Down(provider.TableService)}, is[*AbandonedError]},
		{"always lost", standin.Fault{Vanish: true}, is[*UndecidedError]},
		{"hangs", standin.Fault{Delay: time.Hour}, is[*UndecidedError]},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				table.Faults.Always(c.fault)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if _, err := sender(table).Do(ctx, txn("mine", "a", 0)); !c.want(err) {
					t.Errorf("err = %T %v", err, err)
				}
			})
		})
	}
}

// A removal leaves no trace by which a lost answer could be told.
func TestRemovalWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		s := sender(table)
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

// Whatever is lost or late, each part of a group has one fate, and the caller
// that is told "done" or "conflict" is told the truth.
func TestGroupTellsEachPartItsFate(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]standin.Fault{
			{}, {Lose: true}, {Vanish: true}, {Delay: time.Second},
		}), 1, 12).Draw(r, "faults")
		keys := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 20).Draw(r, "keys")
		synctest.Test(t, func(t *testing.T) {
			table := standin.NewTable()
			gate, n := make(chan struct{}, 1), 0
			table.Faults.Set(func(op standin.Op, _ string) standin.Fault {
				gate <- struct{}{}
				defer func() { <-gate }()
				n++
				if op != standin.OpCommit || n > len(faults) {
					return standin.Fault{}
				}
				return faults[n-1]
			})
			g := NewGroup(sender(table))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go g.Run(ctx, 2)
			won := make(chan string, len(keys))
			for i, k := range keys {
				go func() {
					value := fmt.Sprintf("%d by %d", k, i)
					_, err := g.Do(ctx, Part{}.Insert(fmt.Sprint("k", k), []byte(value)))
					switch {
					case err == nil:
						won <- value
					case is[*provider.ConflictError](err):
						won <- ""
					default:
						t.Errorf("part %d: %v", i, err)
						won <- ""
					}
				}()
			}
			told := map[string]bool{}
			for range keys {
				if v := <-won; v != "" {
					told[v] = true
				}
			}
			for _, k := range keys {
				row, _ := table.Get(ctx, fmt.Sprint("k", k))
				if !told[string(row.Value)] {
					t.Errorf("%q was written and its caller was not told so", row.Value)
				}
				delete(told, string(row.Value))
				told[string(row.Value)] = true
			}
			distinct := map[int]bool{}
			for _, k := range keys {
				distinct[k] = true
			}
			if len(told) != len(distinct) {
				t.Errorf("%d callers were told that they won %d keys", len(told), len(distinct))
			}
		})
	})
}
