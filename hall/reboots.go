package hall

import (
	"slices"
	"time"
)

const (
	// rebootWindow is the time over which reboots are counted, and the longest time after a start
	// within which a reboot is attributed to the task.
	rebootWindow = 2 * time.Minute
	// maxRebootCoincidence is the probability up to which the reboot of a worker after a start is not
	// taken for a coincidence.
	maxRebootCoincidence = 0.05
)

// rebootLog holds the recent reboots of a unit's workers.
type rebootLog []reboot

type reboot struct {
	at     time.Time
	worker *workerState
}

// add adds a reboot and drops old ones.
func (l *rebootLog) add(w *workerState, at time.Time) {
	*l = append(slices.DeleteFunc(*l, func(r reboot) bool { return at.Sub(r.at) > rebootWindow }), reboot{at, w})
}

// blameTime returns how soon after a start a reboot of w is attributed to the task, given the number of
// workers: within that time, a worker reboots for other causes with a probability of
// maxRebootCoincidence, as estimated from the other workers.
func (l rebootLog) blameTime(w *workerState, workers int, now time.Time) time.Duration {
	count := 1 // so that workers that do not reboot have a rate
	for _, r := range l {
		if r.worker != w && now.Sub(r.at) < rebootWindow {
			count++
		}
	}
	perReboot := rebootWindow * time.Duration(max(1, workers)) / time.Duration(count)
	return min(rebootWindow, time.Duration(maxRebootCoincidence*float64(perReboot)))
}
