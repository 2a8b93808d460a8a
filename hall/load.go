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

// storedRows is what the table holds of a unit.
type storedRows struct {
	jobs, tasks, ledgers []provider.Row
	fleet                []provider.Worker
}

// load rebuilds the unit from the table. It tries until it succeeds or the unit
// ends: without the table there is nothing that could be decided.
func (u *Unit) load() error {
	for pause := minLoadBackoff; ; pause = min(2*pause, maxLoadBackoff) {
		r, err := u.readRows()
		if err == nil {
			return eris.Wrap(u.rebuild(r), "rebuild from the table")
		}
		u.log.Warn().Err(err).Msg("Unit cannot be loaded yet.")
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
	g.Go(get(&r.jobs, job.Prefix(u.hold.Unit)))
	g.Go(get(&r.tasks, job.TaskPrefix(u.hold.Unit)))
	g.Go(get(&r.ledgers, ledger.Prefix(u.hold.Unit)))
	g.Go(func() (err error) {
		r.fleet, err = u.listWorkers(ctx)
		return err
	})
	return r, g.Wait()
}

// listWorkers returns the unit's workers. The list may be down for long; then the
// ledgers alone tell of the workers.
func (u *Unit) listWorkers(ctx context.Context) ([]provider.Worker, error) {
	all, err := u.deps.Workers.Fleet(ctx)
	if err != nil {
		u.log.Warn().Err(err).Msg("List of workers cannot be read.")
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
		u.enqueueIdle(j)
	}
	u.ready = true
	notify(u.decideSignal)
	notify(u.inboxSignal)
	return nil
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
			continue // of a job that is being purged
		}
		s := j.tasks[t.Index]
		s.task, s.version = t, row.Version
		if t.State.Final() {
			u.countFinal(j)
		}
	}
	return nil
}

// addJob takes a job in without queueing it. The caller holds u.mu.
func (u *Unit) addJob(j job.Job, version uint64) *jobState {
	s := &jobState{job: j, version: version, tasks: make([]*taskState, j.Tasks), replicaCounts: map[string]int{}}
	all := make([]taskState, j.Tasks)
	for i := range s.tasks {
		all[i] = taskState{job: s, task: job.NewTask(j, i), waitingSince: j.Created}
		s.tasks[i] = &all[i]
	}
	u.jobs[j.ID] = s
	return s
}

// addWorker takes a worker in and begins to talk to it. The caller holds u.mu.
func (u *Unit) addWorker(l ledger.Ledger, version uint64) *workerState {
	w := &workerState{
		id: l.Worker().Name, ledger: l, version: version, tasks: map[string]*taskState{},
		silentSince: time.Now(), orderSignal: make(chan struct{}, 1),
	}
	u.workers[w.name()] = w
	u.reindex(w)
	u.capacity = u.capacity.Plus(l.Worker().Capacity)
	u.queue.SetWhole(u.capacity)
	u.group.Go(func() { u.watchLoop(w) })
	u.group.Go(func() { u.orderLoop(w) })
	return w
}

// restoreGrants takes over what an earlier owner granted on a worker. How far it got
// is for the worker to say; until then it counts as started, under the longest
// lease that the earlier owner can have given. The caller holds u.mu.
func (u *Unit) restoreGrants(w *workerState) {
	for _, g := range w.ledger.Grants() {
		a, err := job.ParseAttempt(g.Attempt)
		j := u.jobs[a.Job]
		if err != nil || j == nil || a.Task >= len(j.tasks) {
			u.log.Error().Str("attempt", g.Attempt).Str("worker", w.name()).Msg("Grant belongs to no job.")
			continue
		}
		t := j.tasks[a.Task]
		t.phase, t.attempt, t.grant, t.worker = starting, g.Attempt, g, w
		t.startExpires, t.leaseUntil = u.hold.Before, u.hold.Before.Add(g.Lease)
		t.task = t.task.WithStart(a.N, w.name(), time.Now())
		w.tasks[g.Attempt] = t
		u.queue.Take(j.job.Account, g.Need)
		u.countReplica(t, 1)
	}
}

// updateWorkers takes in what the platform says of the workers. The caller holds
// u.mu.
func (u *Unit) updateWorkers(fleet []provider.Worker) {
	if len(fleet) == 0 {
		return // an empty list is more likely a fault than the truth
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
	u.queue.SetWhole(u.capacity)
	notify(u.decideSignal)
}

// reindex puts what a worker has free into the index. The caller holds u.mu.
func (u *Unit) reindex(w *workerState) {
	closed := !w.silentSince.IsZero() || w.unlisted || u.drained(w)
	u.index.Set(w.ledger.Worker(), w.ledger.Free(), closed)
}

// drained reports whether a worker's tasks should leave it: an operator says so,
// or the platform. The caller holds u.mu.
func (u *Unit) drained(w *workerState) bool {
	info := w.ledger.Worker()
	return w.leaving || u.deps.Config().Set.Drained(info.Name, info.Rack, info.Hall)
}

// enqueueIdle queues every task of a job that waits. The caller holds u.mu.
func (u *Unit) enqueueIdle(j *jobState) {
	for i, t := range j.tasks {
		if t.phase == idle && t.task.State == job.Waiting {
			u.enqueue(j, i)
		}
	}
	u.recordEvent(timeline.Event{Kind: timeline.JobQueued, Job: string(j.job.ID), Account: j.job.Account})
}

// enqueue puts a task behind its job's others. A job that is stopped or whose
// moment has not come is not queued. The caller holds u.mu.
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
	if early := time.Until(j.job.Start); early > 0 {
		time.AfterFunc(early, func() { u.addToQueue(j) })
		return
	}
	u.queue.Add(j)
	notify(u.decideSignal)
}

func (u *Unit) addToQueue(j *jobState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() == nil {
		u.queue.Add(j)
		notify(u.decideSignal)
	}
}

// setFinal gives a task a final state in memory only. The caller holds u.mu.
func (u *Unit) setFinal(t *taskState, final job.Task) {
	t.task = final
	u.countFinal(t.job)
}

func (u *Unit) countFinal(j *jobState) {
	j.finalTasks++
	if j.finalTasks == len(j.tasks) {
		j.endedAt = time.Now()
	}
}
