package fleettest

import (
	"time"

	"chutereach/resource"
)

// resizeGrace is how long after a worker has shrunk starts may still rest on what it had
// before, unless a test says otherwise: two of the looks at discovery that tests make each
// 500 ms.
const resizeGrace = time.Second

// SetResizeGrace sets how long after a worker has shrunk starts may still rest on what it had
// before.
func (f *Fleet) SetResizeGrace(grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grace = grace
}

// Resize gives a worker another capacity while it runs.
func (f *Fleet) Resize(id string, capacity resource.Amount) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.former = append(w.former, formerCapacity{w.info.Capacity, time.Now()})
	w.info.Capacity = capacity
}

// formerCapacity is what a worker had until it was resized.
type formerCapacity struct {
	amount resource.Amount
	until  time.Time
}

// holds reports whether the worker has room for what runs there, or had a moment ago.
func (w *worker) holds(used resource.Amount, grace time.Duration) bool {
	if used.Fits(w.info.Capacity) {
		return true
	}
	for _, former := range w.former {
		if time.Since(former.until) <= grace && used.Fits(former.amount) {
			return true
		}
	}
	return false
}
