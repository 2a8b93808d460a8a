// Package proptest runs rapid property tests with a fixed seed, so that their results
// are reproducible.
package proptest

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// seed must not be 0, for which rapid uses a random seed.
const seed = "20261202"

// setSeed sets the seed once, as tests may run in parallel.
var setSeed = sync.OnceValue(func() error { return flag.Set("rapid.seed", seed) })

// Check is rapid.Check with the fixed seed.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	if err := setSeed(); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, prop)
}
