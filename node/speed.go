package node

import (
	"sync"
	"time"
)

const (
	// speedSamples is how many of the last samples count.
	speedSamples = 6
	// slowRatio is by how much longer the fixed work must take than at its best for
	// the machine to count as slow.
	slowRatio = 2.0
	// speedWork is the number of rounds of the fixed work: some microseconds, so
	// that it is seldom interrupted.
	speedWork = 8000
)

// speedMeter tells a machine that has turned slow from a process that has much to
// do: both serve timers late, but only on a slow machine does a short piece of fixed
// work take longer each time. The shortest of the last samples counts, so that one
// that was interrupted says nothing.
type speedMeter struct {
	mu     sync.Mutex
	best   time.Duration // the shortest ever
	recent [speedSamples]time.Duration
	next   int
}

// sample does the fixed work once.
func (m *speedMeter) sample() {
	begun := time.Now()
	spin(speedWork)
	m.add(time.Since(begun))
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

// slow reports whether the machine has turned slow. It is not known before there
// are enough samples.
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
