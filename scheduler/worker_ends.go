package scheduler

import (
	"slices"
	"time"

	"chutereach/fleet"
)

const (
	// Several workers that end within correlationWindow probably have a common cause, such as a
	// rack that lost power. With up to maxCorrelatedEnds others a task is still blamed, because two
	// crashing tasks may start at the same time.
	correlationWindow = 150 * time.Millisecond
	maxCorrelatedEnds = 1
	// The rate of ends is the highest of those over several windows: the longest is the most precise,
	// the shortest soonest shows that workers have begun to end.
	longRateWindow  = 30 * time.Second
	shortRateWindow = 3 * time.Second
	// workerEndRetention covers longRateWindow before a loss that is judged a lease later.
	workerEndRetention = longRateWindow + 20*time.Second
	// minObservation is the shortest time from which a rate is estimated.
	minObservation = 100 * time.Millisecond
)

// workerEnds are the recent ends of workers that were not announced, as far as this owner has seen
// them: broken connections, and incarnations found to be over.
type workerEnds struct {
	list          []workerEnd
	observedSince time.Time
}

// workerEnd is the end of a worker.
type workerEnd struct {
	at      time.Time
	worker  *worker
	jobs    []*job // with attempts there that had not settled
	onTrial bool   // a trial was running there, which explains the end
}

// recordWorkerEnd records that a worker closed its connection or that its incarnation is over,
// whichever comes first. The caller must hold s.mu.
func (s *Scheduler) recordWorkerEnd(w *worker, now time.Time) {
	ends := &s.workerEnds
	ends.list = slices.DeleteFunc(ends.list, func(e workerEnd) bool { return now.Sub(e.at) > workerEndRetention })
	known := slices.ContainsFunc(ends.list, func(e workerEnd) bool { return e.worker == w && !e.at.Before(w.lastReportAt) })
	if w.leaving || known {
		return
	}
	var jobs []*job
	for _, t := range w.tasks {
		if !t.settledBy(now) {
			jobs = append(jobs, t.step.job)
		}
	}
	ends.list = append(ends.list, workerEnd{now, w, jobs, w.trial.started && w.trialUnsettled()})
}

// settledBy reports whether the current attempt had run for settleTime at the given time, by the
// clock of this process.
func (t *task) settledBy(at time.Time) bool {
	return !t.startedAt.IsZero() && at.Sub(t.startedAt) >= settleTime
}

// aloneAt reports whether at most maxCorrelatedEnds other workers ended at the same time as w.
// Workers on trial and those with unsettled attempts of the same job are not counted.
func (e workerEnds) aloneAt(w *worker, j *job) bool {
	others := 0
	for _, end := range e.list {
		correlated := end.worker != w && end.at.Sub(w.unresponsiveSince).Abs() < correlationWindow
		if correlated && !end.onTrial && !slices.Contains(end.jobs, j) {
			others++
		}
	}
	return others <= maxCorrelatedEnds
}

// isOf reports whether the worker that ended had the id or the address of another.
func (e workerEnd) isOf(info fleet.Worker) bool {
	return e.worker.info.ID == info.ID || info.Address != "" && e.worker.info.Address == info.Address
}

// latestAt returns when a worker with the id or address of another last ended, or zero.
func (e workerEnds) latestAt(info fleet.Worker) time.Time {
	for _, end := range slices.Backward(e.list) {
		if end.isOf(info) {
			return end.at
		}
	}
	return time.Time{}
}

// endedRecently reports whether a former worker with the id or address of w ended within
// longRateWindow.
func (w *worker) endedRecently(now time.Time) bool {
	return !w.formerEndedAt.IsZero() && now.Sub(w.formerEndedAt) < longRateWindow
}

// rate returns an upper estimate of how often w would have ended by itself, per second, given the
// number of workers and the ends around and since its own. It is that of all workers, or that of the
// workers with its id or address if it is higher. Ends that trials explain are not counted.
func (e workerEnds) rate(w *worker, workers int, now time.Time) float64 {
	highest := 0.0
	for _, window := range []time.Duration{longRateWindow, shortRateWindow} {
		from := w.unresponsiveSince.Add(-window)
		if from.Before(e.observedSince) {
			from = e.observedSince
		}
		all, own := 1, 0 // counting this end, so that a fleet without any other has a rate
		for _, end := range e.list {
			switch {
			case end.onTrial || !end.at.After(from):
			case !end.isOf(w.info):
				all++
			case !end.at.Equal(w.unresponsiveSince):
				own++
			}
		}
		perSecond := float64(all) / float64(workers)
		if own > 0 {
			perSecond = max(perSecond, float64(own+1))
		}
		highest = max(highest, perSecond/max(now.Sub(from), minObservation).Seconds())
	}
	return highest
}
