package scheduler

import (
	"context"
	"errors"
	"time"

	"chutereach/fleet"
	"chutereach/resource"
	"chutereach/wait"
	"chutereach/workload"
)

const (
	// holdWait is how long a worker may keep a call open until an end comes.
	holdWait = time.Second
	// holdSlack is how much longer the answer is waited for.
	holdSlack = 400 * time.Millisecond
	// holdPause follows a call that failed, noteWait one whose ends are not yet
	// in the store.
	holdPause = 200 * time.Millisecond
	noteWait  = 300 * time.Millisecond
	// freshFor is how old a report may be for a worker to get new tasks.
	freshFor = holdWait + holdSlack + holdPause
	// clockDrift and clockSlack widen a lease that is counted on another clock.
	clockDrift = 0.03
	clockSlack = 200 * time.Millisecond
)

// worker is one life of a worker, as the owner knows it.
type worker struct {
	info fleet.Worker
	// known is whether discovery names the worker now.
	known  bool
	over   bool // this life has ended
	used   resource.Amount
	tasks  map[string]*task // by the name of the attempt's task
	cancel context.CancelFunc

	contact   time.Time // when the last report came
	clock     fleet.Clock
	clockAt   time.Time
	leaseEnds time.Time // when everything there has ended, if nothing else is sent
	failing   bool      // the last call had no answer

	seen     uint64 // the last end that was taken in
	noted    uint64 // ends up to here are in the store
	pending  []pendingNote
	noteWake chan struct{}

	foreign int // attempts in the last report that are not this owner's
	// grew is the serial at which the worker last could take more than before.
	grew         uint64
	wasUsable    bool
	freed        bool // since the last look
	blockedUntil time.Time
	drainingFrom time.Time
	health       health
}

// pendingNote is an end that waits for the store.
type pendingNote struct {
	sequence   uint64
	job        *job
	generation uint64
}

func newWorker(info fleet.Worker) *worker {
	return &worker{info: info, tasks: map[string]*task{}, noteWake: make(chan struct{}, 1)}
}

// free returns what the worker has left.
func (w *worker) free() resource.Amount { return w.info.Capacity.Minus(w.used) }

// host gives a task room on the worker.
func (w *worker) host(t *task, state taskState) {
	t.worker, t.state = w, state
	t.begunAt, t.stoppedAt, t.movedAt, t.percent = time.Time{}, time.Time{}, time.Time{}, 0
	t.sampledAt, t.sampled = time.Time{}, 0
	w.used = w.used.Plus(t.step.need())
	w.tasks[t.id().String()] = t
	t.step.onWorker[w]++
}

// release takes the task's room back; the attempt is over or never began.
func (w *worker) release(t *task) {
	w.used = w.used.Minus(t.step.need())
	delete(w.tasks, t.id().String())
	if t.step.onWorker[w]--; t.step.onWorker[w] == 0 {
		delete(t.step.onWorker, w)
	}
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
	return w.clock + fleet.Clock(now.Sub(w.clockAt).Milliseconds())
}

func (w *worker) sawClock(clock fleet.Clock, now time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// extends notes that an order may keep what runs there alive for a lease.
func (w *worker) extends(sent time.Time, lease time.Duration) {
	ends := sent.Add(lease + time.Duration(float64(lease)*clockDrift) + clockSlack)
	if ends.After(w.leaseEnds) {
		w.leaseEnds = ends
	}
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Time) bool {
	return !w.over && w.known && !w.info.Draining && !w.failing && w.foreign == 0 &&
		now.Sub(w.contact) < freshFor && now.After(w.blockedUntil)
}

// advanceNoted moves noted over the ends that are in the store. The lock is held.
func (w *worker) advanceNoted() {
	moved := false
	for len(w.pending) > 0 {
		first := w.pending[0]
		if first.job != nil && first.job.saved < first.generation {
			break
		}
		w.noted, w.pending, moved = first.sequence, w.pending[1:], true
	}
	if moved {
		wake(w.noteWake)
	}
}

// follow holds a worker until its life is over or ctx ends.
func (s *Scheduler) follow(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		order, sent := s.holdOrder(w)
		callCtx, cancel := context.WithTimeout(ctx, order.Wait+holdSlack)
		report, err := s.client.Hold(callCtx, s.infoOf(w), order)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if s.holdFailed(w, err) {
				return
			}
			wait.For(ctx, holdPause)
			continue
		}
		if s.takeReport(w, report, sent) {
			s.awaitNoted(ctx, w)
		}
	}
}

func (s *Scheduler) infoOf(w *worker) fleet.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.info
}

// holdOrder says what to ask of a worker next. Nothing is extended while the
// store has not confirmed the reign for a while, nor after a call without answer:
// then the time by which everything there has ended stays certain.
func (s *Scheduler) holdOrder(w *worker) (fleet.HoldOrder, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	order := fleet.HoldOrder{Token: s.reign.Token(), Noted: w.noted, Wait: holdWait}
	first := w.contact.IsZero()
	if first || w.failing || len(w.pending) > 0 {
		order.Wait = 0
	}
	if w.failing || first || now.Sub(s.reign.LastSuccess()) > confirmedFor {
		return order, now
	}
	order.Deadline = w.clockNow(now) + fleet.Clock(s.lease.Milliseconds())
	w.extends(now, s.lease)
	return order, now
}

// holdFailed notes a failed call and reports whether the life is over.
func (s *Scheduler) holdFailed(w *worker, err error) bool {
	var refused *fleet.RefusedError
	if errors.As(err, &refused) && refused.Reason == fleet.Fenced {
		s.depose("a worker has seen a higher token")
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var replaced *fleet.ReplacedError
	if errors.As(err, &replaced) {
		s.endLife(w, "another life answers at its address")
		return true
	}
	if !w.failing {
		w.failing = true
		s.log.Warn().Str("worker", w.info.ID).Err(err).Msg("worker does not answer")
	}
	if time.Now().After(w.leaseEnds) {
		s.lapse(w)
		if !w.known {
			s.endLife(w, "gone and its lease has run out")
			return true
		}
	}
	return false
}

// lapse ends every attempt on a worker whose lease has run out.
func (s *Scheduler) lapse(w *worker) {
	for _, t := range w.list() {
		s.endAttempt(t, fleet.Lapsed, "", "lease ran out")
	}
}

// endLife forgets a worker and everything on it. The lock is held.
func (s *Scheduler) endLife(w *worker, why string) {
	if w.over {
		return
	}
	w.over = true
	s.log.Info().Str("worker", w.info.ID).Str("why", why).Int("attempts", len(w.tasks)).Msg("worker is over")
	s.lapse(w)
	if w.cancel != nil {
		w.cancel()
	}
	delete(s.workers, w.info.ID)
	wake(s.dispatchWake)
}

func (w *worker) list() []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	return list
}

// takeReport takes a worker's report in, and tells whether it held ends.
func (s *Scheduler) takeReport(w *worker, report fleet.Report, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if w.over {
		return false
	}
	if w.failing || w.contact.IsZero() {
		s.log.Info().Str("worker", w.info.ID).Int("running", len(report.Running)).Msg("worker answers")
	}
	w.contact, w.failing = now, false
	w.sawClock(report.Clock, now)
	for _, end := range report.Ended {
		s.takeEnd(w, end)
	}
	w.foreign = 0
	listed := make(map[string]bool, len(report.Running))
	for _, run := range report.Running {
		if s.takeRunning(w, run, now) {
			listed[run.Task] = true
		}
	}
	for name, t := range w.tasks {
		if !listed[name] {
			s.missing(t, sent)
		}
	}
	w.advanceNoted()
	wake(s.dispatchWake)
	return len(w.pending) > 0
}

// takeRunning takes in that a worker runs an attempt, and tells whether it is
// one that the worker should run.
func (s *Scheduler) takeRunning(w *worker, run fleet.Attempt, now time.Time) bool {
	t := w.tasks[run.Task]
	if t == nil || t.attempt != run.Number {
		w.foreign++
		s.stopForeign(w, run)
		return false
	}
	if run.Checkpoint != "" && t.step.spec.Checkpoints {
		t.checkpoint = run.Checkpoint
	}
	if t.state == taskStarting || t.state == taskGranted {
		s.began(t, now)
	}
	s.percentSeen = s.percentSeen || run.Percent > 0
	s.sample(t, run.Percent, now)
	switch {
	case run.Percent > t.percent || t.movedAt.IsZero():
		t.percent, t.movedAt = run.Percent, now
	case s.stalled(t, now):
		s.stop(t, "its progress stands still")
	}
	if s.dragging(t, now) {
		t.movedOnce = true
		s.stop(t, "its worker has turned slow")
	}
	return true
}

// missing judges an attempt that a report did not show, neither as running nor
// as ended.
func (s *Scheduler) missing(t *task, sent time.Time) {
	switch {
	case t.state == taskRunning && t.begunAt.Before(sent):
		s.endAttempt(t, fleet.Lapsed, "", "not in the worker's report")
	case t.state == taskStopping && !t.stoppedAt.IsZero() && t.stoppedAt.Before(sent):
		s.endAttempt(t, fleet.Stopped, "", "stopped before it began")
	case t.state == taskStarting && t.recovered:
		s.endAttempt(t, fleet.Stopped, "", "its former owner did not start it")
	}
}

// takeEnd takes in one end that a worker lists.
func (s *Scheduler) takeEnd(w *worker, end fleet.End) {
	if end.Sequence <= w.seen {
		return
	}
	w.seen = end.Sequence
	note := pendingNote{sequence: end.Sequence}
	if t := w.tasks[end.Task]; t != nil && t.attempt == end.Number {
		j := t.step.job
		s.endAttempt(t, end.Outcome, end.Checkpoint, "listed by the worker")
		note.job, note.generation = j, j.generation
	} else if id, err := workload.ParseTaskID(end.Task); err == nil {
		s.takeLateEnd(id, end)
	}
	w.pending = append(w.pending, note)
}

// takeLateEnd takes in the end of an attempt that the owner had given up. A task
// that is done is done, whoever counted on it.
func (s *Scheduler) takeLateEnd(id workload.TaskID, end fleet.End) {
	j := s.jobs[id.Job]
	if j == nil || j.state.Final() {
		return
	}
	t := j.find(id)
	if t == nil || t.state == taskDone {
		return
	}
	s.log.Warn().Str("job", j.id).Str("task", end.Task).Int("attempt", end.Number).Str("outcome", string(end.Outcome)).
		Msg("end of an attempt that was given up")
	if end.Outcome == fleet.Done && !t.step.spec.Lasting {
		s.stop(t, "an earlier attempt is done")
		s.taskDone(t)
	} else if end.Checkpoint != "" && t.step.spec.Checkpoints && !t.hosted() {
		t.checkpoint = end.Checkpoint
	}
	s.change(j)
}

// awaitNoted waits until the ends that were just taken in are in the store, so
// that the next call does not return at once with the same ends.
func (s *Scheduler) awaitNoted(ctx context.Context, w *worker) {
	timer := time.NewTimer(noteWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-w.noteWake:
		}
		s.mu.Lock()
		rest := len(w.pending)
		s.mu.Unlock()
		if rest == 0 {
			return
		}
	}
}

// SetWorkers tells which workers discovery names. A worker that is named no
// more keeps what it runs until it does not answer and its lease has run out.
func (s *Scheduler) SetWorkers(list []fleet.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(list))
	for _, info := range list {
		named[info.ID] = true
		s.setWorker(info)
	}
	for id, w := range s.workers {
		if !named[id] && w.known {
			w.known = false
			s.fleetSerial++
			s.log.Info().Str("worker", id).Int("attempts", len(w.tasks)).Msg("worker is no longer listed")
		}
	}
	wake(s.dispatchWake)
}

func (s *Scheduler) setWorker(info fleet.Worker) {
	w := s.workers[info.ID]
	if w == nil {
		w = newWorker(info)
		w.leaseEnds = s.formerLeasesEnd
		s.workers[info.ID] = w
	}
	if info.Draining && !w.info.Draining {
		s.log.Info().Str("worker", info.ID).Dur("remaining", info.Remaining).Msg("worker drains")
	}
	w.info, w.known = info, true
	s.fleetSerial++
	if w.cancel == nil && s.ctx != nil {
		ctx, cancel := context.WithCancel(s.ctx)
		w.cancel = cancel
		s.running.Go(func() { s.follow(ctx, w) })
	}
}
