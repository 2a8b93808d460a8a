package fleettest

import (
	"slices"
	"strings"
	"time"

	"chutereach/workload"
)

const (
	// cancelGrace is how long after the acknowledgement of a cancellation tasks of the job may start.
	cancelGrace = 4 * time.Second
	// stopGrace is how long after that they may run, in the absence of faults.
	stopGrace = 900 * time.Millisecond
)

// RecordCancelled records that the cancellation of a job is acknowledged now. A start of one of its
// tasks more than cancelGrace later is a violation.
func (f *Fleet) RecordCancelled(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, recorded := f.cancelledAt[job]; !recorded {
		f.cancelledAt[job] = time.Now()
	}
}

// checkCancelledStart records a violation if the job of a task that is being started was cancelled
// more than cancelGrace ago.
func (f *Fleet) checkCancelledStart(w *worker, task workload.TaskID, attempt int) {
	if at, cancelled := f.cancelledAt[task.Job]; cancelled && time.Since(at) > cancelGrace {
		f.cancellationViolation("%s was started on %s as attempt %d, %v after the cancellation of its job was acknowledged", task, w.info.ID, attempt, time.Since(at))
	}
}

// CheckCancelled records a violation for each attempt that is running although more than cancelGrace
// and stopGrace have passed since the acknowledged cancellation of its job and since calm, the time from which
// no fault has had an effect.
func (f *Fleet) CheckCancelled(calm time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for name, r := range w.runs {
			at, cancelled := f.cancelledAt[r.task.Job]
			if cancelled && time.Since(at) > cancelGrace+stopGrace && time.Since(calm) > cancelGrace+stopGrace {
				f.cancellationViolation("%s is running on %s as attempt %d, %v after the cancellation of its job was acknowledged", name, w.info.ID, r.number, time.Since(at))
			}
		}
	}
}

// CancellationViolations returns those violations that are about cancelled jobs.
func (f *Fleet) CancellationViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.cancellationViolations)
}

func (f *Fleet) cancellationViolation(format string, args ...any) {
	f.violation(format, args...)
	f.cancellationViolations = append(f.cancellationViolations, f.violations[len(f.violations)-1])
}

// JobRunning reports whether any task of a job is running.
func (f *Fleet) JobRunning(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for name := range w.runs {
			if strings.HasPrefix(name, job+".") {
				return true
			}
		}
	}
	return false
}
