package scheduler

import (
	"context"
	"maps"
	"time"

	"chutereach/fleet"
	"chutereach/reliability"
	"chutereach/resource"
)

// worker is one life of a worker, as the owner knows it.
type worker struct {
	info fleet.Worker
	// known is whether discovery names this life now, and listed how it does. entered is whether
	// it does so or did until an outage of the store: what a life has and offers is known from its
	// own entry alone, and an entry that another writer has replaced names no worker.
	known              bool
	discoveredLife     fleet.Life
	recentlyDiscovered bool
	// superseded is whether a later life under the id has been heard of.
	superseded bool
	reusedID   bool // another life has had the id before
	over       bool // this life has ended
	used       resource.Amount
	tasks      map[string]*task // by the name of the attempt's task
	cancel     context.CancelFunc

	contact           time.Time // when the last report came
	clock             fleet.Clock
	clockReadAt       time.Time
	leaseExpiry       time.Time     // when everything there has ended, if nothing else is sent
	failing           bool          // the last call had no answer
	failedCalls       int           // calls in a row without answer
	unresponsiveSince time.Time     // when the first of these was given up
	connectionClosed  bool          // that one's connection was closed or refused by the worker's side
	leaving           bool          // it drains, or went off the list while it answered
	lost              []lostAttempt // with it, while it is not known whether it has ended
	trial             trial

	lastEndSequence uint64          // the last end that was taken in
	unreadSequences map[uint64]bool // ends before that which could not be read
	// unreadFrom, if not 0, is from which end on the last report could not be read in full, and
	// unreadAt since when rows of reports could not be read.
	unreadFrom        uint64
	unreadSince       time.Time
	persistedSequence uint64 // ends up to here are in the store
	pendingEnds       []pendingEnd
	persistedWake     chan struct{}

	foreignAttempts int // attempts in the last report that are not this owner's
	// grew is the serial at which the worker last could take more than before.
	grew         uint64
	wasUsable    bool
	usableIn     uint64 // serial of the last look for which it was usable
	freed        bool   // since the last look
	blockedUntil time.Time
	reserved     reservation
	yields       []*task // that may give way, as of the look yieldsIn
	yieldsIn     uint64
	health       health
	standing     reliability.Standing // as of the last look
}

// pendingEnd is an end that waits for the store.
type pendingEnd struct {
	sequence   uint64
	job        *job
	generation uint64
}

func newWorker(info fleet.Worker) *worker {
	return &worker{info: info, tasks: map[string]*task{}, persistedWake: make(chan struct{}, 1)}
}

// free returns what the worker has left.
func (w *worker) free() resource.Amount { return w.info.Capacity.Minus(w.used) }

// overfull reports whether more was granted than the worker has. It can shrink while it
// runs; what runs there stays, and nothing more begins until it fits.
func (w *worker) overfull() bool { return !w.used.Fits(w.info.Capacity) }

// host gives a task room on the worker.
func (w *worker) host(t *task, state taskState) {
	t.worker, t.state = w, state
	t.begunAt, t.stoppedAt, t.movedAt, t.percent = time.Time{}, time.Time{}, time.Time{}, 0
	t.told, t.cutShort = false, false
	t.sampledAt, t.sampled = time.Time{}, 0
	w.used = w.used.Plus(t.step.need())
	w.tasks[t.id().String()] = t
	t.step.onWorker[w]++
	t.step.job.hosted++
	t.step.job.account.host(t)
}

// release takes the task's room back; the attempt is over or never began.
func (w *worker) release(t *task) {
	w.used = w.used.Minus(t.step.need())
	delete(w.tasks, t.id().String())
	if t.step.onWorker[w]--; t.step.onWorker[w] == 0 {
		delete(t.step.onWorker, w)
	}
	if t.step.job.hosted--; t.step.job.hosted == 0 {
		t.step.job.idleSince = time.Now()
	}
	t.step.job.account.release(t)
	t.worker = nil
	w.freed = true
}

// need is what a task of the step takes of a worker's room. Steps that fill
// take no processors from the others.
func (st *step) need() resource.Amount {
	need := st.spec.Need
	if st.spec.Fills {
		need.CPU = 0
	}
	return need
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now time.Time) fleet.Clock {
	return w.clock + fleet.Clock(now.Sub(w.clockReadAt).Milliseconds())
}

// sawClockOf is sawClock for a call that was meant for a life. An attempt may be on a later one
// by the time of the answer, and that has a clock of its own.
func (w *worker) sawClockOf(life fleet.Life, clock fleet.Clock, now time.Time) {
	if w.info.Life == life {
		w.observeClock(clock, now)
	}
}

func (w *worker) observeClock(clock fleet.Clock, now time.Time) {
	if clock > 0 {
		w.clock, w.clockReadAt = clock, now
	}
}

// leaseEnd returns when a lease has run out on any worker's clock.
func leaseEnd(given time.Time, lease time.Duration) time.Time {
	return given.Add(lease + time.Duration(float64(lease)*clockDrift) + clockSlack)
}

// extends notes that an order may keep what runs there alive for a lease.
func (w *worker) extends(sent time.Time, lease time.Duration) {
	if ends := leaseEnd(sent, lease); ends.After(w.leaseExpiry) {
		w.leaseExpiry = ends
	}
}

// shortenLeaseBound notes that nobody else has given the worker a lease after a time.
func (w *worker) shortenLeaseBound(last time.Time, lease time.Duration) {
	if ends := leaseEnd(last, lease); ends.Before(w.leaseExpiry) {
		w.leaseExpiry = ends
	}
}

// usable reports whether the worker may get new tasks. One that is not listed may if
// trusted says that the list is not complete.
func (w *worker) usable(now time.Time, listIncomplete bool) bool {
	return !w.over && !w.superseded && (w.known || listIncomplete && w.recentlyDiscovered) && !w.info.Draining && !w.failing && w.foreignAttempts == 0 &&
		now.Sub(w.contact) < reportMaxAge && now.After(w.blockedUntil)
}

// listIncomplete reports whether workers that live may be missing from the list: their
// entries can lapse while the store is down.
func (s *Scheduler) listIncomplete(now time.Time) bool {
	return now.Sub(s.term.RestoredAt()) < relistTimeout
}

// relistTimeout is how soon after an outage of the store the entries that have lapsed
// are back; the users' platform says about two seconds.
const relistTimeout = 2 * time.Second

// acknowledged returns up to which end the worker may forget what it lists: no end that could not
// be read yet.
func (w *worker) acknowledged() uint64 {
	if w.unreadFrom > 0 {
		return min(w.persistedSequence, w.unreadFrom-1)
	}
	return w.persistedSequence
}

// advanceNoted moves noted over the ends that are in the store. The lock is held.
func (w *worker) advanceNoted() {
	moved := false
	for len(w.pendingEnds) > 0 {
		first := w.pendingEnds[0]
		if first.job != nil && first.job.saved < first.generation {
			break
		}
		w.persistedSequence, w.pendingEnds, moved = first.sequence, w.pendingEnds[1:], true
	}
	if moved {
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

// SetWorkers tells which workers discovery names. A worker that is named no
// more keeps what it runs until it does not answer and its lease has run out.
func (s *Scheduler) SetWorkers(list []fleet.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[fleet.Life]bool, len(list))
	for _, info := range list {
		named[info.Life] = true
		if !s.past[info.Life] {
			s.updateWorker(info)
		}
	}
	s.watchAll()
	maps.DeleteFunc(s.past, func(life fleet.Life, _ bool) bool { return !named[life] })
	for _, w := range s.workers {
		if w.known && !named[w.discoveredLife] {
			w.known = false
			w.recentlyDiscovered = s.listIncomplete(time.Now()) || !s.term.FailingSince().IsZero()
			w.leaving = w.leaving || !w.failing && !w.superseded
			s.log.Info().Str("worker", w.info.ID).Int64("born", w.info.Born).Int("attempts", len(w.tasks)).Msg("worker is no longer listed")
		}
	}
	wake(s.dispatchWake)
}

func (s *Scheduler) updateWorker(info fleet.Worker) {
	listed := info.Life
	info.Life = s.resolveLife(info.Life)
	w := s.workers[info.Life]
	if w == nil {
		w = s.enter(info)
	}
	if info.Capacity != w.info.Capacity && w.known {
		s.log.Info().Str("worker", info.ID).Stringer("was", w.info.Capacity).Stringer("is", info.Capacity).
			Stringer("used", w.used).Msg("worker is resized")
		w.freed = true // steps that found no room look again
	}
	if info.Draining && !w.info.Draining {
		s.log.Info().Str("worker", info.ID).Dur("remaining", info.Remaining).Msg("worker drains")
	}
	w.info, w.known, w.discoveredLife, w.recentlyDiscovered, w.leaving = info, true, listed, true, info.Draining
}
