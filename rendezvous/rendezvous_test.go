package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chutereach/proptest"
)

func identity(s string) string { return s }

// Removing a node must not move keys assigned to other nodes, and First must agree
// with Order.
func TestRemovingNodeMovesOnlyItsKeys(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 9, rapid.ID[string]).Draw(r, "nodes")
		removed := rapid.IntRange(0, len(nodes)-1).Draw(r, "removed")
		remaining := append(append([]string{}, nodes[:removed]...), nodes[removed+1:]...)
		for i := range 50 {
			key := fmt.Sprint("key", i)
			before, after := First(key, nodes, identity), First(key, remaining, identity)
			if before != nodes[removed] && before != after {
				r.Fatalf("key %s moved from %s to %s, although its node was not removed", key, before, after)
			}
			if first := Order(key, nodes, identity)[0]; first != before {
				r.Fatalf("Order()[0] = %s, First() = %s", first, before)
			}
		}
	})
}

// Keys must be distributed evenly over nodes whose names differ only in the last
// character.
func TestFirstBalancesKeys(t *testing.T) {
	nodes := []string{"box-1", "box-2", "box-3", "box-4"}
	counts := map[string]int{}
	const keys = 4000
	for i := range keys {
		counts[First(fmt.Sprint("upstream-", i), nodes, identity)]++
	}
	for _, n := range nodes {
		if share := float64(counts[n]) / keys; share < 0.22 || share > 0.28 {
			t.Errorf("node %s has a share of %.2f of the keys, want 0.22 to 0.28", n, share)
		}
	}
}
