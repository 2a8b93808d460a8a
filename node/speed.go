package node

import (
	"sync"
	"time"
)

const (
	// speedSamples is the number of recent samples considered.
	speedSamples = 6
	// slowRatio is how many times longer than its best time the benchmark must take for the
	// machine to count as slow.
	slowRatio = 2.0
	// benchmarkRounds is the number of rounds of the benchmark. It takes microseconds, so that
	// it is rarely preempted.
	benchmarkRounds = 8000
)

// speedMeter distinguishes a slow machine from a busy process. Both have a high timer lag, but
// only on a slow machine does a short benchmark consistently take longer. The shortest of the
// recent samples is used, so that preempted runs do not count.
type speedMeter struct {
	mu     sync.Mutex
	best   time.Duration // shortest duration of all samples
	recent [speedSamples]time.Duration
	next   int
}

// sample runs the benchmark once.
func (m *speedMeter) sample() {
	startedAt := time.Now()
	spin(benchmarkRounds)
	m.add(time.Since(startedAt))
}

//go:noinline
func spin(rounds int) uint64 {
	x := uint64(1)
	for range rounds {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	return x
}

func (m *speedMeter) add(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.best == 0 || took < m.best {
		m.best = took
	}
	m.recent[m.next%speedSamples] = took
	m.next++
}

// slow reports whether the machine has become slow. It reports false until there are enough
// samples.
func (m *speedMeter) slow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next < speedSamples {
		return false
	}
	shortest := m.recent[0]
	for _, took := range m.recent[1:] {
		shortest = min(shortest, took)
	}
	return float64(shortest) > slowRatio*float64(m.best)
}
