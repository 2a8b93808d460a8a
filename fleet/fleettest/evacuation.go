package fleettest

import (
	"time"

	"chutereach/workload"
)

// Evacuate forbids starts in a data hall once within has passed, until Readmit. Orders that were
// delayed by Fault.Delay are exempt.
func (f *Fleet) Evacuate(hall string, within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closedHalls[hall] = time.Now().Add(within)
}

// Readmit ends the evacuation of a data hall.
func (f *Fleet) Readmit(hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.closedHalls, hall)
}

// checkHall records a violation if an attempt starts after the evacuation deadline of its hall.
func (f *Fleet) checkHall(w *worker, task workload.TaskID) {
	deadline, evacuated := f.closedHalls[w.info.Zone]
	if !evacuated || f.delayed {
		return
	}
	if late := time.Since(deadline); late > 0 {
		f.violation("%s was started on %s, %v after the evacuation deadline of %s", task, w.info.ID, late, w.info.Zone)
	}
}
