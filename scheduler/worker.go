package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"chutereach/fleet"
	"chutereach/reliability"
	"chutereach/resource"
)

// worker is the owner's state for one incarnation of a worker process.
type worker struct {
	info fleet.Worker
	// What discovery says of this incarnation: whether it lists it, how its entry names it, and
	// whether it lists it or may have lost the entry in an outage of the store. The capacity of an
	// incarnation is discovered only from its own entry.
	discovered            bool
	discoveredIncarnation fleet.Incarnation
	recentlyDiscovered    bool
	// superseded is whether a later incarnation with the same id is known.
	superseded bool
	reusedID   bool // an earlier incarnation had the same id
	// formerEndedAt is when a former worker with the same id or address ended; zero if none is known.
	formerEndedAt    time.Time
	ended            bool // this incarnation has ended
	used             resource.Amount
	usedUrgent       resource.Amount  // part of used, by tasks of priority 0
	usedIndefinitely resource.Amount  // part of used, by tasks that run indefinitely
	tasks            map[string]*task // by task id
	cancel           context.CancelFunc

	lastReportAt      time.Time // time of the last report
	clock             fleet.Clock
	clockReadAt       time.Time
	leaseExpiry       time.Time     // latest time at which an attempt here can run, unless a lease is extended
	unresponsive      bool          // the last call was not answered
	failedCalls       int           // consecutive unanswered calls
	unresponsiveSince time.Time     // when the first of them failed
	connectionClosed  bool          // the first of them failed because the worker closed or refused the connection; false once it answers again
	brokeOpenCall     bool          // and had been open before, so that the worker lived until then
	leaving           bool          // draining, or removed from discovery while it still answered
	lostAttempts      []lostAttempt // until it is known whether the worker has ended
	// silent is whether the worker has been unresponsive for long enough that a bound of its lease should be stored.
	silent bool
	// storedExpiry is the bound of its lease that the store may have, by the store's clock; 0 if it has none. boundListed is
	// whether the last transaction of lease bounds has it, which may not have been applied.
	storedExpiry time.Duration
	boundListed  bool
	// extensionBlocked is whether the store may have a bound for its lease, or for that of the former incarnation from which an
	// attempt has moved here. The lease must not be extended until that is withdrawn.
	extensionBlocked bool
	trial            trial
	checkingSurvival bool // checkSurvival is running

	lastEndSequence uint64          // highest end sequence processed
	unreadSequences map[uint64]bool // lower sequences whose ends could not be decoded
	// unreadFrom, if not 0, is the sequence from which ends may be missing in the last report
	// because a row could not be decoded. unreadSince is when such rows were first reported.
	unreadFrom        uint64
	unreadSince       time.Time
	partialSince      time.Time // since when its reports are partial; zero if the last one is not
	persistedSequence uint64    // ends up to this sequence are stored
	pendingEnds       []pendingEnd
	persistedWake     chan struct{}

	foreignAttempts int // attempts in the last report that this owner did not grant
	// Serial of the last dispatch pass in which the worker could take more than before.
	grownSerial       uint64
	wasUsable         bool
	usableSerial      uint64 // serial of the last dispatch pass in which it was usable
	capacityFreed     bool   // since the last dispatch pass
	blockedUntil      time.Time
	reserved          reservation
	preemptible       []*task // attempts that may be preempted
	preemptibleSerial uint64  // serial of the pass in which these were collected
	health            health
	standing          reliability.Standing // as of the last dispatch pass
}

// pendingEnd is a processed end that is not yet stored.
type pendingEnd struct {
	sequence   uint64
	job        *job
	generation uint64
}

func newWorker(info fleet.Worker) *worker {
	return &worker{info: info, tasks: map[string]*task{}, persistedWake: make(chan struct{}, 1)}
}

// free returns the capacity that is not granted.
func (w *worker) free() resource.Amount { return w.info.Capacity.Minus(w.used) }

// overcommitted reports whether more is granted than the worker's capacity, which can shrink at run
// time. Running attempts continue, and no others start until they fit.
func (w *worker) overcommitted() bool { return !w.used.Fits(w.info.Capacity) }

// assign reserves capacity on the worker for a new attempt of the task.
func (w *worker) assign(t *task, state taskState) {
	t.worker, t.state = w, state
	t.placedAt, t.startedAt, t.stoppedAt, t.progressedAt, t.percent = time.Time{}, time.Time{}, time.Time{}, time.Time{}, 0
	t.startSent, t.startConnectionClosed = false, false
	t.exposure = exposure{}
	t.sampledAt, t.sampledPercent = time.Time{}, 0
	w.used = w.used.Plus(t.step.need())
	if t.step.spec.LongRunning {
		w.usedIndefinitely = w.usedIndefinitely.Plus(t.step.need())
	}
	if t.urgent = t.step.job.topPriority(); t.urgent {
		w.usedUrgent = w.usedUrgent.Plus(t.step.need())
	}
	w.tasks[t.id().String()] = t
	t.step.onWorker[w]++
	t.step.job.hosted++
	t.step.round.hosted++
	t.touch()
	t.step.job.account.addTask(t)
}

// release frees the capacity of an attempt that has ended or was never started.
func (w *worker) release(t *task) {
	w.used = w.used.Minus(t.step.need())
	if t.step.spec.LongRunning {
		w.usedIndefinitely = w.usedIndefinitely.Minus(t.step.need())
	}
	if t.urgent {
		w.usedUrgent = w.usedUrgent.Minus(t.step.need())
	}
	delete(w.tasks, t.id().String())
	if t.step.onWorker[w]--; t.step.onWorker[w] == 0 {
		delete(t.step.onWorker, w)
	}
	if t.step.job.hosted--; t.step.job.hosted == 0 {
		t.step.job.idleSince = time.Now()
	}
	if t.step.round.hosted--; t.step.round.hosted == 0 {
		t.step.round.noteOver(t.step.job)
	}
	t.touch()
	t.step.job.account.removeTask(t)
	t.worker = nil
	w.capacityFreed = true
}

// need returns the resources that a task of the step reserves on a worker. Filler steps reserve no
// CPU.
func (st *step) need() resource.Amount {
	need := st.spec.Need
	if st.spec.BestEffortCPU {
		need.CPU = 0
	}
	return need
}

// estimateClock extrapolates the worker's clock from its last reading.
func (w *worker) estimateClock(now time.Time) fleet.Clock {
	return w.clock + fleet.Clock(now.Sub(w.clockReadAt).Milliseconds())
}

// observeIncarnationClock records a clock reading from the answer to a start if it is from the worker's own
// incarnation. An attempt may have moved to a later one, with another clock, before its call is answered. A lower
// reading may be from a later one that is not known yet, which the next report shows by its clock.
func (w *worker) observeIncarnationClock(incarnation fleet.Incarnation, clock fleet.Clock, now time.Time) {
	if w.info.Incarnation == incarnation && clock >= w.clock {
		w.observeClock(clock, now)
	}
}

func (w *worker) observeClock(clock fleet.Clock, now time.Time) {
	if clock > 0 {
		w.clock, w.clockReadAt = clock, now
	}
}

// latestLeaseExpiry returns the local time by which a lease has expired on the clock of any worker.
func latestLeaseExpiry(given time.Time, lease time.Duration) time.Time {
	return given.Add(lease + time.Duration(float64(lease)*clockDrift) + clockSlack)
}

// extendLeaseBound raises the bound on the lease expiry for an order that may extend the lease.
func (w *worker) extendLeaseBound(sent time.Time, lease time.Duration) {
	if ends := latestLeaseExpiry(sent, lease); ends.After(w.leaseExpiry) {
		w.leaseExpiry = ends
	}
}

// shortenLeaseBound lowers the bound on the lease expiry, given that no other owner has granted a
// lease after the time last.
func (w *worker) shortenLeaseBound(last time.Time, lease time.Duration) {
	if ends := latestLeaseExpiry(last, lease); ends.Before(w.leaseExpiry) {
		w.leaseExpiry = ends
	}
}

// usable reports whether the worker may get new tasks. A worker that discovery does not list may if
// listIncomplete is set.
func (w *worker) usable(now time.Time, listIncomplete bool) bool {
	return !w.ended && !w.superseded && !w.extensionBlocked && (w.discovered || listIncomplete && w.recentlyDiscovered) && !w.info.Draining && !w.unresponsive && w.foreignAttempts == 0 &&
		now.Sub(w.lastReportAt) < reportMaxAge && now.After(w.blockedUntil)
}

// listIncomplete reports whether live workers may be missing from the discovery list because their
// entries expired during an outage of the store.
func (s *Scheduler) listIncomplete(now time.Time) bool {
	return now.Sub(s.term.RestoredAt()) < relistTimeout
}

// relistTimeout is the time in which workers register again after an outage of the store. The
// platform specifies about two seconds.
const relistTimeout = 2 * time.Second

// ackableSequence returns the sequence up to which the worker may discard ends. Ends that could not
// be decoded are excluded.
func (w *worker) ackableSequence() uint64 {
	if w.unreadFrom > 0 {
		return min(w.persistedSequence, w.unreadFrom-1)
	}
	return w.persistedSequence
}

// advancePersisted advances persistedSequence over the pending ends whose jobs are stored. The
// caller must hold Scheduler.mu.
func (w *worker) advancePersisted() {
	advanced := false
	for len(w.pendingEnds) > 0 {
		first := w.pendingEnds[0]
		if first.job != nil && first.job.saved < first.generation {
			break
		}
		w.persistedSequence, w.pendingEnds, advanced = first.sequence, w.pendingEnds[1:], true
	}
	if advanced {
		wake(w.persistedWake)
	}
}

func (w *worker) taskList() []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	return list
}

// SetWorkers replaces the list of discovered workers. A worker that is no longer listed keeps its
// attempts until it stops answering and its lease has expired.
func (s *Scheduler) SetWorkers(list []fleet.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[fleet.Incarnation]bool, len(list))
	for _, info := range list {
		listed[info.Incarnation] = true
		if !s.endedIncarnations[info.Incarnation] {
			s.updateWorker(info)
		}
	}
	s.startPollingAll()
	maps.DeleteFunc(s.endedIncarnations, func(incarnation fleet.Incarnation, _ bool) bool { return !listed[incarnation] })
	for _, w := range s.workers {
		if w.discovered && !listed[w.discoveredIncarnation] {
			w.discovered = false
			w.recentlyDiscovered = s.listIncomplete(time.Now()) || !s.term.FailingSince().IsZero()
			w.leaving = w.leaving || !w.unresponsive && !w.superseded
			s.log.Info().Str("worker", w.info.ID).Int64("born", w.info.StartTime).Int("attempts", len(w.tasks)).Msg("worker is no longer listed")
		}
	}
	wake(s.dispatchWake)
}

func (s *Scheduler) updateWorker(info fleet.Worker) {
	entryIncarnation := info.Incarnation
	info.Incarnation = s.resolveIncarnation(info.Incarnation)
	w := s.workers[info.Incarnation]
	if w == nil {
		w = s.addIncarnation(info)
	}
	if info.Capacity != w.info.Capacity && w.discovered {
		s.log.Info().Str("worker", info.ID).Stringer("was", w.info.Capacity).Stringer("is", info.Capacity).
			Stringer("used", w.used).Msg("worker is resized")
		w.capacityFreed = true // retry steps that found no capacity
	}
	if info.Service != w.info.Service || !slices.Equal(info.Labels, w.info.Labels) {
		w.capacityFreed = true // it may suit other steps than before
	}
	if info.Draining && !w.info.Draining {
		s.log.Info().Str("worker", info.ID).Dur("remaining", info.Remaining).Msg("worker drains")
	}
	w.info, w.discovered, w.discoveredIncarnation, w.recentlyDiscovered, w.leaving = info, true, entryIncarnation, true, info.Draining
}
