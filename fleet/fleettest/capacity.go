package fleettest

import (
	"time"

	"chutereach/resource"
)

// resizeGrace is the default grace of SetGrace: two intervals at which tests poll discovery.
const resizeGrace = time.Second

// SetGrace sets how long after a Resize starts may still rely on the former capacity, and
// how long after a SetQuota on the former quota.
func (f *Fleet) SetGrace(grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grace = grace
}

// Resize changes the capacity of a running worker.
func (f *Fleet) Resize(id string, capacity resource.Amount) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.info.Capacity, time.Now()})
	w.info.Capacity = capacity
}

// formerCapacity is a worker's capacity before a Resize.
type formerCapacity struct {
	amount resource.Amount
	until  time.Time
}

// fits reports whether used fits the worker's capacity, or a former one within the grace.
func (w *worker) fits(used resource.Amount, grace time.Duration) bool {
	if used.Fits(w.info.Capacity) {
		return true
	}
	for _, former := range w.formerCapacities {
		if time.Since(former.until) <= grace && used.Fits(former.amount) {
			return true
		}
	}
	return false
}
