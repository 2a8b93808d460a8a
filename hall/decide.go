package hall

import (
	"time"

	"chutereach/config"
	"chutereach/job"
	"chutereach/ledger"
	"chutereach/placement"
	"chutereach/provider"
	"chutereach/queue"
	"chutereach/resource"
	"chutereach/timeline"
)

// maxGranted bounds the grants that wait for their commit, so that a slow table
// does not make the owner promise what it may never keep.
const maxGranted = 4000

// decideLoop places what waits whenever something has changed.
func (u *Unit) decideLoop() {
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-u.decideWake:
			u.decide()
		}
	}
}

// refusedKey names tasks that are alike to every worker: what found no room
// once in a round finds none in the rest of it.
type refusedKey struct {
	template string
	revision uint64
	need     resource.Amount
}

// decide offers every queued job once.
func (u *Unit) decide() {
	u.mu.Lock()
	defer u.mu.Unlock()
	refused := map[refusedKey]bool{}
	var done []*jobState
	u.queue.Round(time.Now(), func(j *jobState) queue.Verdict {
		if u.granted >= maxGranted {
			return queue.Halt
		}
		if len(j.waiting) == 0 {
			done = append(done, j)
			return queue.Parked
		}
		return u.offer(j, refused)
	})
	for _, j := range done {
		u.queue.Remove(j)
		j.queued = false
	}
}

// offer tries to place the next task of a job. The caller holds u.mu.
func (u *Unit) offer(j *jobState, refused map[refusedKey]bool) queue.Verdict {
	u.Stats.Decisions++
	key := refusedKey{j.job.Template.Name, j.job.Revision, j.job.Template.Need}
	if refused[key] || u.overQuota(j) {
		return queue.Parked
	}
	t := j.tasks[j.waiting[0]]
	info, found := u.choose(j)
	if !found {
		refused[key] = true
		return queue.Parked
	}
	if err := u.grant(t, u.workers[info.Name]); err != nil {
		u.log.Error().Err(err).Msg("Index and ledger disagree.")
		return queue.Parked
	}
	j.waiting = j.waiting[1:]
	return queue.Placed
}

// overQuota reports whether one more task would take an account over its quota
// in this unit. A quota that spans units is not shared out between them yet.
func (u *Unit) overQuota(j *jobState) bool {
	quota := u.deps.Config().Set.Accounts[j.job.Account].Quota
	return !quota.Allows(u.queue.Used(j.job.Account).Plus(j.job.Template.Need))
}

// choose returns the worker for the job's next task. The caller holds u.mu.
func (u *Unit) choose(j *jobState) (provider.Worker, bool) {
	tm := &j.job.Template
	ask := placement.Request{Need: tm.Need, Tolerations: tm.Tolerates, Affinity: tm.Affinity, AntiAffinity: tm.Avoid}
	if tm.Form == config.FormService && len(j.tasks) > 1 {
		ask.SiblingCounts = func(w provider.Worker) (int, int) { return j.crowd[w.Name], j.crowd[rackKey(w)] }
	}
	if j.job.Scoring == config.ScorePacking {
		return placement.Choose(u.index, placement.BinPack{}, ask)
	}
	return placement.Choose(u.index, placement.Spread{}, ask)
}

// rackKey is a rack among a job's counts, which are kept by worker too.
func rackKey(w provider.Worker) string { return "rack:" + w.Rack }

// crowd counts a service's task on its worker and rack.
func (u *Unit) crowd(t *taskState, n int) {
	if t.job.job.Template.Form != config.FormService {
		return
	}
	w := t.worker.ledger.Worker()
	t.job.crowd[w.Name] += n
	t.job.crowd[rackKey(w)] += n
}

// grant gives a task room on a worker, in memory; its commit is under way when
// grant returns. The caller holds u.mu.
func (u *Unit) grant(t *taskState, w *workerState) error {
	tm := t.job.job.Template
	id := t.task.Next()
	g := ledger.Grant{Attempt: id.String(), Need: tm.Need, Lease: tm.Lease, Boot: w.boot, Revision: t.job.job.Revision}
	next, err := w.ledger.WithGrant(g)
	if err != nil {
		return err
	}
	w.ledger = next
	u.reindex(w)
	now := time.Now()
	t.phase, t.attempt, t.grant, t.worker, t.endpoint = granting, g.Attempt, g, w, ""
	t.until, t.startBy = time.Time{}, time.Time{}
	t.task = t.task.WithStart(id.N, w.name(), now)
	w.tasks[g.Attempt] = t
	u.queue.Take(t.job.job.Account, tm.Need)
	u.crowd(t, 1)
	u.granted++
	u.mark(w, change{then: func(uint64) { u.committed(t) }})
	return nil
}

// committed orders the start of a task whose grant is in the table. The caller
// holds u.mu.
func (u *Unit) committed(t *taskState) {
	u.granted--
	u.Stats.Placed++
	u.note(timeline.Event{Kind: timeline.TaskPlaced, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Account: t.job.job.Account})
	if t.job.job.Stopped {
		u.release(t, t.task.WithStopped(time.Now()), true)
		return
	}
	t.phase = starting
	u.order(t.worker, order{kind: orderStart, attempt: t.attempt})
}

// leave takes a task off its worker in memory. The caller holds u.mu and marks
// the worker.
func (u *Unit) leave(t *taskState) {
	w := t.worker
	next, err := w.ledger.WithRelease(t.attempt)
	if err != nil {
		u.log.Error().Err(err).Msg("Grant is missing.")
		return
	}
	w.ledger = next
	u.crowd(t, -1)
	u.queue.Give(t.job.job.Account, t.grant.Need)
	u.reindex(w)
}

// release takes a task off its worker and records what became of it, in one
// transaction; remember says if the task's row must be written. The worker is
// told to forget the attempt only after that: a successor that found the grant
// and a worker without memory of it would take the attempt for one that never
// ran. The caller holds u.mu.
func (u *Unit) release(t *taskState, next job.Task, remember bool) {
	w, attempt := t.worker, t.attempt
	t.phase, t.endpoint = releasing, ""
	u.leave(t)
	c := change{then: func(version uint64) {
		if remember {
			t.version = version
		}
		delete(w.tasks, attempt)
		w.forget = append(w.forget, attempt)
		u.released(t, next)
	}}
	if remember {
		c.writes = []rowWrite{{key: next.Key(), version: t.version, value: next.Encode()}}
	}
	u.mark(w, c)
	signal(u.decideWake)
}

// released goes on with a task whose room is free. The caller holds u.mu.
func (u *Unit) released(t *taskState, next job.Task) {
	t.task, t.phase, t.attempt, t.worker = next, idle, "", nil
	if next.State.Final() {
		u.countFinal(t.job)
		return
	}
	if next.State != job.Waiting {
		return
	}
	t.ready = time.Now()
	if wait := retryPause(next.Failures + next.Reboots + t.refusals); wait > 0 {
		time.AfterFunc(wait, func() { u.requeue(t) })
		return
	}
	u.enqueue(t.job, next.Index)
}

const (
	firstRetryPause = 200 * time.Millisecond
	lastRetryPause  = time.Minute
)

// retryPause returns for how long a task waits that failed, or could not be
// started, some times.
func retryPause(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(firstRetryPause<<min(failures-1, 10), lastRetryPause)
}

func (u *Unit) requeue(t *taskState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() == nil && t.phase == idle {
		u.enqueue(t.job, t.task.Index)
	}
}
