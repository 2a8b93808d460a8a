// Package rendezvous implements rendezvous hashing (highest random weight).
// Adding or removing a node doesn't change the relative order of the others, so
// only the keys assigned to that node move.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns the nodes by descending weight for key. The function name returns
// the string by which a node is hashed.
func Order[N cmp.Ordered](key string, nodes []N, name func(N) string) []N {
	type weighted struct {
		node   N
		weight uint64
	}
	ranked := make([]weighted, len(nodes))
	for i, n := range nodes {
		ranked[i] = weighted{n, weight(key, name(n))}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	sorted := make([]N, len(nodes))
	for i, w := range ranked {
		sorted[i] = w.node
	}
	return sorted
}

// First returns the node with the highest weight for key. It panics if nodes is
// empty.
func First[N cmp.Ordered](key string, nodes []N, name func(N) string) N {
	best, bestWeight := nodes[0], weight(key, name(nodes[0]))
	for _, n := range nodes[1:] {
		w := weight(key, name(n))
		if w > bestWeight || w == bestWeight && n < best {
			best, bestWeight = n, w
		}
	}
	return best
}

// weight returns the FNV-1a hash of key and name after an additional mixing step.
// FNV-1a alone yields similar hashes for names that differ only in the last byte,
// which distributes keys unevenly.
func weight(key, name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(name))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}
