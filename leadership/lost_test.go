package leadership_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// Transactions must stay fast while the store applies 42 % of the writes late without answering
// them. Lost writes must be detected by the usual latency of answers.
func TestLatencyWhileWritesAreLost(t *testing.T) {
	const (
		lostShare = 0.42
		writes    = 150
	)
	cases := []struct {
		name  string
		bytes int // size of a transaction
		// mean and most bound the latency of transactions.
		mean, most time.Duration
	}{
		{"small ones", 2 << 10, 100 * time.Millisecond, time.Second},
		{"large ones", 200 << 10, 150 * time.Millisecond, 1500 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := memory.New().NewClient()
				term := take(t, caller, "a")
				write := func(i int) time.Duration {
					begun := time.Now()
					puts := progress(fmt.Sprint(i))
					puts = append(puts, rowstore.Put{Key: rowstore.Key{Table: "bundles", Partition: shard, Name: "b"}, Value: []byte(strings.Repeat("x", test.bytes))})
					if err := term.Commit(t.Context(), puts, nil); err != nil {
						t.Fatal(err)
					}
					return time.Since(begun)
				}
				for i := range 20 { // let the term learn the store's usual latency
					write(-1 - i)
				}
				random := rand.New(rand.NewPCG(1, 1))
				caller.SetFault(func(isWrite bool) memory.Fault {
					if isWrite && random.Float64() < lostShare {
						return memory.Fault{ApplyDelay: time.Second + time.Duration(random.Int64N(int64(5*time.Second)))}
					}
					return memory.Fault{}
				})
				total, longest := time.Duration(0), time.Duration(0)
				for i := range writes {
					took := write(i)
					total, longest = total+took, max(longest, took)
				}
				if mean := total / writes; mean > test.mean || longest > test.most {
					t.Errorf("transactions took %v on average and %v at most, want at most %v and %v", mean, longest, test.mean, test.most)
				}
				time.Sleep(10 * time.Second) // let late copies arrive, which must change nothing
				caller.SetFault(nil)
				if got := fmt.Sprint(writes - 1); valueOf(t, caller) != got {
					t.Errorf("the row holds %q, want %q", valueOf(t, caller), got)
				}
			})
		})
	}
}

func valueOf(t *testing.T, store rowstore.Store) string {
	t.Helper()
	row, err := rowstore.ReadOne(t.Context(), store, progress("")[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	return string(row.Value)
}
