// Package rendezvous gives each key its own order of nodes, by hashing: when a
// node comes or goes, the others keep their places towards each other, so that
// only the keys of that node move.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns nodes in key's order, the first choice first. A node is hashed by
// its name.
func Order[N cmp.Ordered](key string, nodes []N, name func(N) string) []N {
	type weighted struct {
		node   N
		weight uint64
	}
	all := make([]weighted, len(nodes))
	for i, n := range nodes {
		all[i] = weighted{n, weight(key, name(n))}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	sorted := make([]N, len(nodes))
	for i, w := range all {
		sorted[i] = w.node
	}
	return sorted
}

// First returns key's first choice among nodes, of which there must be one.
func First[N cmp.Ordered](key string, nodes []N, name func(N) string) N {
	best, most := nodes[0], weight(key, name(nodes[0]))
	for _, n := range nodes[1:] {
		w := weight(key, name(n))
		if w > most || w == most && n < best {
			best, most = n, w
		}
	}
	return best
}

// weight hashes a key and a name together. FNV alone leaves names that differ in
// their last letter close together, so its sum is mixed once more.
func weight(key, name string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(key))
	sum.Write([]byte{0})
	sum.Write([]byte(name))
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
