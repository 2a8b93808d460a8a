package hall

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"chutereach/control"
	"chutereach/job"
	"chutereach/ledger"
	"chutereach/provider"
	"chutereach/timeline"
)

const (
	minLoadBackoff = 50 * time.Millisecond
	maxLoadBackoff = 2 * time.Second
)

// storedRows holds the rows of a unit in the table, and its workers from the
// platform's list.
type storedRows struct {
	jobs, tasks, ledgers []provider.Row
	fleet                []provider.Worker
}

// load restores the unit from the table. Failed reads are retried with exponential
// backoff until the unit ends; a row that cannot be decoded is an error.
func (u *Unit) load() error {
	for pause := minLoadBackoff; ; pause = min(2*pause, maxLoadBackoff) {
		r, err := u.readRows()
		if err == nil {
			return eris.Wrap(u.rebuild(r), "restore unit from the table")
		}
		u.log.Warn().Err(err).Msg("failed to load the unit from the table, retrying")
		if !u.sleep(pause) {
			return u.ctx.Err()
		}
	}
}

func (u *Unit) readRows() (storedRows, error) {
	var r storedRows
	g, ctx := errgroup.WithContext(u.ctx)
	get := func(into *[]provider.Row, prefix string) func() error {
		return func() (err error) {
			*into, err = provider.ReadAll(ctx, u.deps.Sender.Table(), prefix)
			return err
		}
	}
	g.Go(get(&r.jobs, job.Prefix(u.assignment.Unit)))
	g.Go(get(&r.tasks, job.TaskPrefix(u.assignment.Unit)))
	g.Go(get(&r.ledgers, ledger.Prefix(u.assignment.Unit)))
	g.Go(func() (err error) {
		r.fleet, err = u.listWorkers(ctx)
		return err
	})
	return r, g.Wait()
}

// listWorkers returns the unit's workers from the platform's list. If the list is
// unavailable it returns no workers and no error: the unit then continues with the
// workers known from its ledgers.
func (u *Unit) listWorkers(ctx context.Context) ([]provider.Worker, error) {
	all, err := u.deps.Workers.Fleet(ctx)
	if err != nil {
		u.log.Warn().Err(err).Msg("failed to list workers, continuing with the known ones")
		return nil, nil
	}
	var own []provider.Worker
	for _, w := range all {
		if u.owns(w) {
			own = append(own, w)
		}
	}
	return own, nil
}

// rebuild restores the state of the unit from its rows.
func (u *Unit) rebuild(r storedRows) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.rebuildJobs(r.jobs, r.tasks); err != nil {
		return err
	}
	for _, row := range r.ledgers {
		l, err := ledger.Decode(row.Value)
		if err != nil {
			return &control.RowError{Key: row.Key, Cause: err}
		}
		u.restoreGrants(u.addWorker(l, row.Version))
	}
	u.updateWorkers(r.fleet)
	for _, j := range u.jobs {
		u.enqueueWaitingTasks(j)
	}
	close(u.loaded)
	notify(u.placementSignal)
	notify(u.inboxSignal)
	return nil
}

func (u *Unit) isLoaded() bool {
	select {
	case <-u.loaded:
		return true
	default:
		return false
	}
}

func (u *Unit) rebuildJobs(jobs, tasks []provider.Row) error {
	for _, row := range jobs {
		j, err := job.Decode(row.Value)
		if err != nil {
			return &control.RowError{Key: row.Key, Cause: err}
		}
		u.addJob(j, row.Version)
	}
	for _, row := range tasks {
		t, err := job.DecodeTask(row.Value)
		if err != nil {
			return &control.RowError{Key: row.Key, Cause: err}
		}
		j := u.jobs[t.Job]
		if j == nil || t.Index >= len(j.tasks) {
			continue // the job is being purged
		}
		s := j.tasks[t.Index]
		s.task, s.version = t, row.Version
		if t.State.Final() {
			u.countFinal(j)
		}
	}
	return nil
}

// addJob adds a job to the unit without queueing it. The caller holds u.mu.
func (u *Unit) addJob(j job.Job, version uint64) *jobState {
	s := &jobState{job: j, version: version, tasks: make([]*taskState, j.Tasks), replicaCounts: map[string]int{}}
	all := make([]taskState, j.Tasks)
	for i := range s.tasks {
		all[i] = taskState{job: s, task: job.NewTask(j, i), waitingSince: j.Created}
		s.tasks[i] = &all[i]
	}
	if j.Stopped {
		s.stopStored = make(chan struct{})
		close(s.stopStored)
	}
	u.jobs[j.ID] = s
	return s
}

// addWorker adds a worker to the unit and starts its goroutines. The worker gets no
// tasks until its first report. The caller holds u.mu.
func (u *Unit) addWorker(l ledger.Ledger, version uint64) *workerState {
	w := &workerState{
		id: l.Worker().Name, ledger: l, version: version, tasks: map[string]*taskState{},
		unresponsiveSince: time.Now(), callSignal: make(chan struct{}, 1),
	}
	u.workers[w.name()] = w
	u.reindex(w)
	u.capacity = u.capacity.Plus(l.Worker().Capacity)
	u.queue.SetCapacity(u.capacity)
	u.group.Go(func() { u.pollLoop(w) })
	u.group.Go(func() { u.callLoop(w) })
	return w
}

// restoreGrants restores the attempts that an earlier owner granted on a worker.
// Until the worker reports on them, they are treated as started with the longest
// lease that the earlier owner may have granted. The caller holds u.mu.
func (u *Unit) restoreGrants(w *workerState) {
	for _, g := range w.ledger.Grants() {
		a, err := job.ParseAttempt(g.Attempt)
		j := u.jobs[a.Job]
		if err != nil || j == nil || a.Task >= len(j.tasks) {
			u.log.Error().Str("attempt", g.Attempt).Str("worker", w.name()).Msg("ignoring grant in ledger: its attempt matches no task of the unit")
			continue
		}
		t := j.tasks[a.Task]
		t.phase, t.attempt, t.grant, t.worker = starting, g.Attempt, g, w
		t.startExpires, t.leaseUntil = u.assignment.PriorLeasesUntil, u.assignment.PriorLeasesUntil.Add(g.Lease)
		t.task = t.task.WithStart(a.Number, w.name(), time.Now())
		w.tasks[g.Attempt] = t
		u.queue.AddUsage(j.job.Account, g.Need)
		u.countReplica(t, 1)
	}
}

// updateWorkers applies the platform's list of workers: it adds new workers, updates
// known ones and marks those that are no longer listed. The caller holds u.mu.
func (u *Unit) updateWorkers(fleet []provider.Worker) {
	if len(fleet) == 0 {
		return // more likely a fault of the platform than an empty fleet
	}
	listed := map[string]bool{}
	for _, info := range fleet {
		listed[info.Name] = true
		w := u.workers[info.Name]
		if w == nil {
			u.addWorker(ledger.New(info), 0)
			continue
		}
		u.capacity = u.capacity.Minus(w.ledger.Worker().Capacity).Plus(info.Capacity)
		w.ledger, w.unlisted = w.ledger.WithWorker(info), false
		u.reindex(w)
	}
	for name, w := range u.workers {
		w.unlisted = !listed[name]
		u.reindex(w)
	}
	u.queue.SetCapacity(u.capacity)
	notify(u.placementSignal)
}

// reindex updates a worker's free capacity and availability in the placement index.
// The caller holds u.mu.
func (u *Unit) reindex(w *workerState) {
	closed := !w.unresponsiveSince.IsZero() || w.unlisted || u.drained(w)
	u.index.Set(w.ledger.Worker(), w.ledger.Free(), closed)
}

// drained reports whether a worker is being drained, by the configuration or because
// the platform lists its box as leaving. The caller holds u.mu.
func (u *Unit) drained(w *workerState) bool {
	info := w.ledger.Worker()
	return w.leaving || u.deps.Config().Set.Drained(info.Name, info.Rack, info.Hall)
}

// enqueueWaitingTasks queues the waiting tasks of a job. The caller holds u.mu.
func (u *Unit) enqueueWaitingTasks(j *jobState) {
	for i, t := range j.tasks {
		if t.phase == idle && t.task.State == job.Waiting {
			u.enqueue(j, i)
		}
	}
	u.recordEvent(timeline.Event{Kind: timeline.JobQueued, Job: string(j.job.ID), Account: j.job.Account})
}

// enqueue appends a task to its job's waiting tasks and queues the job, at the job's
// start time if that is in the future. A task of a stopped job becomes final
// instead. The caller holds u.mu.
func (u *Unit) enqueue(j *jobState, task int) {
	if j.job.Stopped {
		u.setFinal(j.tasks[task], j.tasks[task].task.WithStopped(time.Now()))
		return
	}
	j.waiting = append(j.waiting, task)
	if j.queued {
		return
	}
	j.queued = true
	if delay := time.Until(j.job.Start); delay > 0 {
		time.AfterFunc(delay, func() { u.addToQueue(j) })
		return
	}
	u.queue.Add(j)
	notify(u.placementSignal)
}

func (u *Unit) addToQueue(j *jobState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() == nil {
		u.queue.Add(j)
		notify(u.placementSignal)
	}
}

// setFinal sets the final state of a task in memory without writing its row. The
// caller holds u.mu.
func (u *Unit) setFinal(t *taskState, final job.Task) {
	t.task = final
	u.countFinal(t.job)
}

// countFinal counts one more final task of a job, and records when the job ended if
// it was the last one. The caller holds u.mu.
func (u *Unit) countFinal(j *jobState) {
	j.finalTasks++
	if j.finalTasks == len(j.tasks) {
		j.endedAt = time.Now()
	}
}
