package fleettest

import (
	"time"

	"chutereach/workload"
)

// Evacuate has no attempt begin in a data hall from a time after now on, until Readmit. Orders that
// are carried out late are nobody's promise.
func (f *Fleet) Evacuate(hall string, within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[hall] = time.Now().Add(within)
}

// Readmit ends an evacuation.
func (f *Fleet) Readmit(hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.closed, hall)
}

// judgeHall looks at an attempt that begins in a data hall.
func (f *Fleet) judgeHall(w *worker, task workload.TaskID) {
	closed, evacuated := f.closed[w.info.Zone]
	if !evacuated || f.late {
		return
	}
	if late := time.Since(closed); late > 0 {
		f.breaks("%s was started on %s, %v after the bound of the evacuation of %s", task, w.info.ID, late, w.info.Zone)
	}
}
