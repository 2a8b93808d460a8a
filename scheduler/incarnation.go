package scheduler

import (
	"context"
	"slices"
	"time"

	"chutereach/fleet"
)

// A worker process can restart under the same id. The state of a worker belongs to one incarnation
// of its process: acknowledged ends, clock, lease, attempts, tickets, health and crash records.
// Only a worker's answer tells which one it is; its discovery entry may be of an earlier or a later
// one.

// identity tracks the incarnations that share one worker id.
type identity struct {
	incarnations []*worker // not known to have ended, oldest first
	// token is the fencing token of calls to the id. staleToken is the highest token of calls that
	// an earlier incarnation may have left unanswered. Once an incarnation has been called with a
	// higher token, it rejects those calls if they arrive late; they could discard unprocessed
	// ends, start tasks twice or set leases by another clock.
	token, staleToken uint64
	endedAt           time.Time // when the last incarnation ended
}

// newest returns the incarnation that was discovered last, or nil.
func (id *identity) newest() *worker {
	if len(id.incarnations) == 0 {
		return nil
	}
	return id.incarnations[len(id.incarnations)-1]
}

// identityRetention is how long an unused id is remembered. Unanswered calls are executed within
// seconds or never.
const identityRetention = time.Minute

// expireIdentities drops ids that have been unused for identityRetention. The caller must hold
// s.mu.
func (s *Scheduler) expireIdentities(now time.Time) {
	for name, id := range s.identities {
		if len(id.incarnations) == 0 && now.Sub(id.endedAt) > identityRetention {
			delete(s.identities, name)
		}
	}
}

// tokenOf returns the fencing token for calls to a worker id. It is a version of the owner's row: a
// version later than the calls to earlier incarnations is above their tokens and below those of a
// successor. The caller must hold s.mu.
func (s *Scheduler) tokenOf(name string) uint64 {
	id := s.identities[name]
	if id == nil {
		return s.term.Token()
	}
	if id.token <= id.staleToken {
		id.token = max(id.token, s.term.ConfirmedVersion())
	}
	return id.token
}

// addIncarnation adds a new incarnation of a worker. The caller must hold s.mu.
func (s *Scheduler) addIncarnation(info fleet.Worker) *worker {
	w := newWorker(info)
	w.leaseExpiry = s.formerLeaseExpiry
	w.formerEndedAt = s.workerEnds.latestAt(info)
	id := s.identities[info.ID]
	if id == nil {
		id = &identity{token: s.term.Token()}
		s.identities[info.ID] = id
	} else {
		w.reusedID = true
		id.staleToken = id.token
	}
	for _, former := range id.incarnations {
		former.superseded = true
	}
	id.incarnations = append(id.incarnations, w)
	s.workers[info.Incarnation] = w
	return w
}

// removeIncarnation removes an incarnation that has ended. The caller must hold s.mu.
func (s *Scheduler) removeIncarnation(w *worker) {
	if s.workers[w.info.Incarnation] == w {
		delete(s.workers, w.info.Incarnation)
	}
	id := s.identities[w.info.ID]
	id.incarnations = slices.DeleteFunc(id.incarnations, func(other *worker) bool { return other == w })
	id.endedAt = time.Now()
	if newest := id.newest(); newest != nil {
		newest.superseded = false
	}
}

// markTokenStale requires a higher token for later calls to an id, because a call has failed and
// the next one may reach another incarnation. The caller must hold s.mu.
func (s *Scheduler) markTokenStale(name string) {
	if id := s.identities[name]; id != nil {
		id.staleToken = id.token
	}
}

// resolveIncarnation returns the known incarnation to which a discovery entry or a stored row
// refers. One without a start time refers to the newest incarnation. One with a start time
// completes a newest incarnation that lacks it. The caller must hold s.mu.
func (s *Scheduler) resolveIncarnation(incarnation fleet.Incarnation) fleet.Incarnation {
	id := s.identities[incarnation.ID]
	if id == nil || id.newest() == nil || s.workers[incarnation] != nil {
		return incarnation
	}
	newest := id.newest()
	switch {
	case !incarnation.HasStartTime():
		return newest.info.Incarnation
	case !newest.info.HasStartTime():
		s.setIncarnation(newest, incarnation)
	}
	return incarnation
}

// setIncarnation sets the start time of an incarnation that was known without one. The caller must
// hold s.mu.
func (s *Scheduler) setIncarnation(w *worker, incarnation fleet.Incarnation) {
	delete(s.workers, w.info.Incarnation)
	w.info.Incarnation = incarnation
	s.workers[incarnation] = w
}

// startPollingAll starts to poll all workers that are listed or have a stored address, those with
// attempts first. The caller must hold s.mu.
func (s *Scheduler) startPollingAll() {
	for _, busy := range []bool{true, false} {
		for _, w := range s.workers {
			if (w.discovered || w.info.Address != "") && busy == (len(w.tasks) > 0) {
				s.startPolling(w)
			}
		}
	}
}

// startPolling polls a worker until its incarnation ends. The caller must hold s.mu.
func (s *Scheduler) startPolling(w *worker) {
	if w.cancel != nil || s.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w.cancel = cancel
	slot := s.firstCalls.enqueue(len(w.tasks) > 0)
	s.running.Go(func() { s.pollWorker(ctx, w, slot) })
}

// fromOtherIncarnation reports whether the answer to a call sent at the given time is from another
// incarnation of the worker. If a start time is missing, only a decreasing clock shows that: a
// lower reading that was requested after the last one arrived.
func (w *worker) fromOtherIncarnation(report fleet.Report, sent time.Time) bool {
	if report.StartTime != 0 && w.info.HasStartTime() {
		return report.StartTime != w.info.StartTime
	}
	return report.Clock > 0 && report.Clock < w.clock && sent.After(w.clockReadAt)
}

// resolveAnsweringIncarnation returns the incarnation that a report is from and ends all others
// with the same id. The caller must hold s.mu.
func (s *Scheduler) resolveAnsweringIncarnation(w *worker, report fleet.Report, sent time.Time) *worker {
	incarnation := fleet.Incarnation{ID: w.info.ID, StartTime: report.StartTime}
	answering := w
	switch {
	case w.fromOtherIncarnation(report, sent):
		answering = s.findOrAddSuccessor(w, incarnation)
	case report.StartTime != 0 && !w.info.HasStartTime():
		if known := s.workers[incarnation]; known != nil {
			answering = known
		} else {
			s.setIncarnation(w, incarnation)
		}
	}
	incarnations := s.identities[incarnation.ID].incarnations
	if len(incarnations) == 1 {
		return answering
	}
	for _, former := range slices.Clone(incarnations) {
		if former != answering {
			s.replaceIncarnation(former, answering, report)
		}
	}
	return answering
}

// findOrAddSuccessor returns the incarnation that answered in place of an earlier one, adding it if
// it is new.
func (s *Scheduler) findOrAddSuccessor(former *worker, incarnation fleet.Incarnation) *worker {
	if known := s.workers[incarnation]; known != nil && known != former {
		return known
	}
	info := former.info
	info.Incarnation, info.Draining = incarnation, false
	next := s.addIncarnation(info)
	if !former.discoveredIncarnation.HasStartTime() { // an entry without a start time describes the current incarnation
		next.discoveredIncarnation, next.discovered, next.recentlyDiscovered = former.discoveredIncarnation, former.discovered, former.recentlyDiscovered
	}
	return next
}

// replaceIncarnation ends an earlier incarnation after the next one has answered. Attempts in the
// report move to the next incarnation, which executed starts sent to the earlier one. All others
// have ended and are placed again at once, as the tokens of their unanswered starts are now too
// low. If the report does not list all, they move too and are stopped, until a report that does
// shows what became of them. The caller must hold s.mu.
func (s *Scheduler) replaceIncarnation(former, next *worker, report fleet.Report) {
	s.metrics.workersRestarted.Add(1)
	s.log.Warn().Str("worker", former.info.ID).Int64("born", next.info.StartTime).Int64("born_before", former.info.StartTime).
		Uint64("seen", former.lastEndSequence).Uint64("noted", former.persistedSequence).Int("attempts", len(former.tasks)).
		Int("running", len(report.Running)).Int("ended", len(report.Ended)).Msg("worker has started again")
	reported := reportedAttempts(report)
	for _, t := range former.taskList() {
		if t.worker != former {
			continue
		}
		switch {
		case reported[attemptKey{t.id().String(), t.attempt}]:
			s.moveAttempt(next, t)
		case !report.ListsAll() && t.state != taskGranted:
			s.moveAttempt(next, t)
			s.stop(t, "its worker has started again, and its report does not list all attempts")
		}
	}
	next.extensionBlocked = next.extensionBlocked || former.extensionBlocked
	s.endIncarnation(former, "worker restarted")
}

// sharesDiscoveryEntry reports whether the discovery entry of an ended incarnation, having no start
// time, also describes a later incarnation. The caller must hold s.mu.
func (s *Scheduler) sharesDiscoveryEntry(w *worker) bool {
	newest := s.identities[w.info.ID].newest()
	return newest != nil && newest.discoveredIncarnation == w.discoveredIncarnation
}

// attemptKey identifies an attempt in a report.
type attemptKey struct {
	task   string
	number int
}

// reportedAttempts returns the running and the ended attempts of a report.
func reportedAttempts(report fleet.Report) map[attemptKey]bool {
	attempts := make(map[attemptKey]bool, len(report.Running)+len(report.Ended))
	for _, run := range report.Running {
		attempts[attemptKey{run.Task, run.Number}] = true
	}
	for _, end := range report.Ended {
		attempts[attemptKey{end.Task, end.Number}] = true
	}
	return attempts
}

// moveAttempt moves a task's attempt to another incarnation of its worker. The caller must hold
// s.mu.
func (s *Scheduler) moveAttempt(next *worker, t *task) {
	state := t.state
	if state == taskRunning {
		state = taskStarting // the report being processed sets it to running
	}
	t.worker.release(t)
	next.assign(t, state)
	t.startSent = true
	if t.unwanted() {
		s.startStopCalls(t)
	}
}
