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

// maxUncommittedGrants limits the grants whose commit is pending. Placement pauses
// at the limit, so that a slow table does not build up an unbounded backlog.
const maxUncommittedGrants = 4000

// placementLoop runs a placement round on each signal on placementSignal.
func (u *Unit) placementLoop() {
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-u.placementSignal:
			u.runPlacementRound()
		}
	}
}

// placementKey identifies tasks with the same placement requirements. If one of
// them does not fit on any worker, the others are skipped for the rest of the round.
type placementKey struct {
	template string
	revision uint64
	need     resource.Amount
}

// runPlacementRound runs one placement round over the queued jobs.
func (u *Unit) runPlacementRound() {
	u.mu.Lock()
	defer u.mu.Unlock()
	unplaceable := map[placementKey]bool{}
	var done []*jobState
	u.queue.Round(time.Now(), func(j *jobState) queue.Outcome {
		if u.uncommittedGrants >= maxUncommittedGrants {
			return queue.Halt
		}
		if len(j.waiting) == 0 {
			done = append(done, j)
			return queue.Skipped
		}
		return u.placeNext(j, unplaceable)
	})
	for _, j := range done {
		u.queue.Remove(j)
		j.queued = false
	}
}

// placeNext tries to place the next waiting task of a job. The caller holds u.mu.
func (u *Unit) placeNext(j *jobState, unplaceable map[placementKey]bool) queue.Outcome {
	if j.stopStored != nil {
		return queue.Skipped // the commit of its stop is pending
	}
	u.Stats.Decisions++
	key := placementKey{j.job.Template.Name, j.job.Revision, j.job.Template.Need}
	if unplaceable[key] || u.overQuota(j) {
		return queue.Skipped
	}
	t := j.tasks[j.waiting[0]]
	info, found := u.chooseWorker(j)
	if !found {
		unplaceable[key] = true
		return queue.Skipped
	}
	if err := u.grant(t, u.workers[info.Name]); err != nil {
		u.log.Error().Err(err).Msg("placement index and ledger disagree: ledger rejected the grant")
		return queue.Skipped
	}
	j.waiting = j.waiting[1:]
	return queue.Placed
}

// overQuota reports whether one more task of the job would exceed the account's
// quota. Only usage in this unit counts, so an account can use up to its whole
// quota in each unit.
func (u *Unit) overQuota(j *jobState) bool {
	quota := u.deps.Config().Set.Accounts[j.job.Account].Quota
	return !quota.Allows(u.queue.Usage(j.job.Account).Plus(j.job.Template.Need))
}

// chooseWorker selects a worker for the next task of a job by the scoring of the
// job's policy. The caller holds u.mu.
func (u *Unit) chooseWorker(j *jobState) (provider.Worker, bool) {
	tm := &j.job.Template
	request := placement.Request{Need: tm.Need, Tolerations: tm.Tolerates, Affinity: tm.Affinity, AntiAffinity: tm.Avoid}
	if tm.Form == config.FormService && len(j.tasks) > 1 {
		request.SiblingCounts = func(w provider.Worker) (int, int) { return j.replicaCounts[w.Name], j.replicaCounts[rackCountKey(w)] }
	}
	if j.job.Scoring == config.ScorePacking {
		return placement.Choose(u.index, placement.BinPack{}, request)
	}
	return placement.Choose(u.index, placement.Spread{}, request)
}

// rackCountKey returns the key of a worker's rack in jobState.replicaCounts, which
// also holds counts keyed by worker name.
func rackCountKey(w provider.Worker) string { return "rack:" + w.Rack }

// countReplica adds n to the replica counts of the task's worker and rack. It does
// nothing for tasks that are not part of a service. The caller holds u.mu.
func (u *Unit) countReplica(t *taskState, n int) {
	if t.job.job.Template.Form != config.FormService {
		return
	}
	w := t.worker.ledger.Worker()
	t.job.replicaCounts[w.Name] += n
	t.job.replicaCounts[rackCountKey(w)] += n
}

// grant reserves capacity for a task on a worker in memory and schedules the
// commit of the worker's ledger. The caller holds u.mu.
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
	t.leaseUntil, t.startExpires = time.Time{}, time.Time{}
	t.task = t.task.WithStart(id.Number, w.name(), now)
	w.tasks[g.Attempt] = t
	u.queue.AddUsage(t.job.job.Account, tm.Need)
	u.countReplica(t, 1)
	u.uncommittedGrants++
	u.markDirty(w, change{onCommit: func(uint64) { u.grantCommitted(t) }})
	return nil
}

// grantCommitted starts a task after its grant has been committed, or releases the
// grant if the job was stopped meanwhile. The caller holds u.mu.
func (u *Unit) grantCommitted(t *taskState) {
	u.uncommittedGrants--
	u.Stats.Placed++
	u.recordEvent(timeline.Event{Kind: timeline.TaskPlaced, Job: string(t.job.job.ID), Attempt: t.attempt, Worker: t.worker.name(), Account: t.job.job.Account})
	if t.job.job.Stopped {
		u.release(t, t.task.WithStopped(time.Now()), true)
		return
	}
	t.phase = starting
	u.enqueueCall(t.worker, workerCall{kind: callStart, attempt: t.attempt})
}

// removeGrant removes the grant of a task from the worker's ledger in memory and
// returns its capacity. The caller holds u.mu and must mark the ledger dirty.
func (u *Unit) removeGrant(t *taskState) {
	w := t.worker
	next, err := w.ledger.WithRelease(t.attempt)
	if err != nil {
		u.log.Error().Err(err).Msg("ledger has no grant for the attempt to release")
		return
	}
	w.ledger = next
	u.countReplica(t, -1)
	u.queue.SubtractUsage(t.job.job.Account, t.grant.Need)
	u.reindex(w)
}

// release removes the grant of a task and, if writeTask is set, writes the task's
// row in the same transaction. The worker is told to forget the attempt only after
// the commit: otherwise a new owner could find the grant on a worker that does not
// list the attempt and conclude that it never ran. The caller holds u.mu.
func (u *Unit) release(t *taskState, next job.Task, writeTask bool) {
	w, attempt := t.worker, t.attempt
	t.phase, t.endpoint = releasing, ""
	u.removeGrant(t)
	c := change{onCommit: func(version uint64) {
		if writeTask {
			t.version = version
		}
		delete(w.tasks, attempt)
		w.toForget = append(w.toForget, attempt)
		u.releaseCommitted(t, next)
	}}
	if writeTask {
		c.writes = []rowWrite{{key: next.Key(), version: t.version, value: next.Encode()}}
	}
	u.markDirty(w, c)
	notify(u.placementSignal)
}

// releaseCommitted applies the next state of a task after its release has been
// committed, and queues the task again if it is waiting. Retries are delayed by
// retryDelay. The caller holds u.mu.
func (u *Unit) releaseCommitted(t *taskState, next job.Task) {
	t.task, t.phase, t.attempt, t.worker = next, idle, "", nil
	if next.State.Final() {
		u.countFinal(t.job)
		return
	}
	if next.State != job.Waiting {
		return
	}
	t.waitingSince = time.Now()
	if wait := retryDelay(next.Failures + next.Reboots + t.failedStarts); wait > 0 {
		time.AfterFunc(wait, func() { u.requeue(t) })
		return
	}
	u.enqueue(t.job, next.Index)
}

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Minute
)

// retryDelay returns the exponential backoff before a task is queued again after
// the given number of failures, reboots and unsuccessful starts.
func retryDelay(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(minRetryDelay<<min(failures-1, 10), maxRetryDelay)
}

// requeue queues a task again when its retry delay is over.
func (u *Unit) requeue(t *taskState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ctx.Err() == nil && t.phase == idle {
		u.enqueue(t.job, t.task.Index)
	}
}
