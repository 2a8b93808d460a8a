package ledger

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/proptest"
	"chutereach/provider"
	"chutereach/resource"
)

var worker = provider.Worker{Name: "w", Capacity: resource.Amount{CPU: 16_000, Memory: 64 << 30, Accelerators: 2}}

// After any sequence of grants and releases the grants fit into the worker's capacity, Used
// is their sum, and the encoded ledger decodes to the same grants.
func TestGrantsNeverExceedCapacity(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		l := New(worker)
		for i := range rapid.IntRange(1, 40).Draw(r, "steps") {
			attempt := fmt.Sprint("a", rapid.IntRange(0, 8).Draw(r, fmt.Sprint("attempt ", i)))
			before := l.Used()
			if rapid.Bool().Draw(r, fmt.Sprint("release ", i)) {
				next, err := l.WithRelease(attempt)
				var missing *NoGrantError
				if err != nil && (!errors.As(err, &missing) || next.Used() != before) {
					r.Fatalf("release: %v", err)
				}
				l = next
				continue
			}
			need := resource.Amount{
				CPU:          resource.MilliCPU(rapid.Int64Range(-1000, 17_000).Draw(r, fmt.Sprint("cpu ", i))),
				Memory:       resource.Bytes(rapid.Int64Range(0, 65<<30).Draw(r, fmt.Sprint("memory ", i))),
				Accelerators: rapid.Int64Range(0, 3).Draw(r, fmt.Sprint("accelerators ", i)),
			}
			next, err := l.WithGrant(Grant{Attempt: attempt, Need: need, Lease: time.Minute, Boot: "b"})
			if err != nil && next.Used() != before {
				r.Fatalf("a rejected grant changed the ledger: used %v, was %v", next.Used(), before)
			}
			l = next
		}
		sum := resource.Amount{}
		for _, g := range l.Grants() {
			sum = sum.Plus(g.Need)
		}
		if kind, over := l.Used().Shortage(worker.Capacity); over || sum != l.Used() {
			r.Fatalf("used %v of %v (%s), sum of grants is %v", l.Used(), worker.Capacity, kind, sum)
		}
		back, err := Decode(l.Encode())
		if err != nil || back.Used() != l.Used() || len(l.Grants()) > 0 && !reflect.DeepEqual(back.Grants(), l.Grants()) {
			r.Fatalf("decoded %+v, %v; want %+v", back, err, l)
		}
	})
}
