package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chutereach/proptest"
)

func self(s string) string { return s }

// A node that leaves moves its own keys and no others, and First is the head of
// Order.
func TestOnlyTheKeysOfALostNodeMove(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 9, rapid.ID[string]).Draw(r, "nodes")
		lost := rapid.IntRange(0, len(nodes)-1).Draw(r, "lost")
		rest := append(append([]string{}, nodes[:lost]...), nodes[lost+1:]...)
		for i := range 50 {
			key := fmt.Sprint("key", i)
			before, after := First(key, nodes, self), First(key, rest, self)
			if before != nodes[lost] && before != after {
				r.Fatalf("%s moved from %s to %s", key, before, after)
			}
			if head := Order(key, nodes, self)[0]; head != before {
				r.Fatalf("Order begins with %s, First is %s", head, before)
			}
		}
	})
}

// Keys are spread over nodes whose names differ by a letter.
func TestSpread(t *testing.T) {
	nodes := []string{"box-1", "box-2", "box-3", "box-4"}
	count := map[string]int{}
	const keys = 4000
	for i := range keys {
		count[First(fmt.Sprint("upstream-", i), nodes, self)]++
	}
	for _, n := range nodes {
		if share := float64(count[n]) / keys; share < 0.22 || share > 0.28 {
			t.Errorf("%s has %.2f of the keys", n, share)
		}
	}
}
