package fleettest

import (
	"time"

	"chutereach/resource"
)

// resizeGrace is how long after a worker has shrunk starts may still rest on what it had
// before: two of the looks at discovery that tests make each 500 ms.
const resizeGrace = time.Second

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

// holds reports whether the worker has room for what runs there, or had until a moment ago.
func (w *worker) holds(used resource.Amount) bool {
	if used.Fits(w.info.Capacity) {
		return true
	}
	for _, former := range w.former {
		if time.Since(former.until) <= resizeGrace && used.Fits(former.amount) {
			return true
		}
	}
	return false
}
