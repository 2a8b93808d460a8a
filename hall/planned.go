package hall

import (
	"reflect"

	"chutereach/config"
	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// ApplyConfig applies a new configuration revision: drained workers, and changed
// templates of running services.
func (u *Unit) ApplyConfig() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range u.workers {
		u.reindex(w)
	}
	for _, j := range u.jobs {
		u.updateTemplate(j)
	}
	notify(u.placementSignal)
}

// updateTemplate updates the job of a service to the current revision of its
// template. Batch jobs keep the template they were created with. The caller holds
// u.mu.
func (u *Unit) updateTemplate(j *jobState) {
	rev := u.deps.Config()
	t, known := rev.Set.Templates[j.job.Template.Name]
	if j.job.Template.Form != config.FormService || !known || j.rowPending || j.stopStored != nil || sameReplicaSpec(t, j.job.Template) {
		return
	}
	next, err := j.job.WithTemplate(t, rev.Set.Policies[t.Policy].Scoring, rev.Set.Accounts[j.job.Account], rev.Number)
	if err != nil {
		return // the account lacks a parameter of the new template
	}
	j.rowPending = true
	u.writeRows(change{
		writes: []rowWrite{{key: next.Key(), version: j.version, value: next.Encode()}},
		onCommit: func(version uint64) {
			j.job = next
			u.jobRowCommitted(j, version)
			u.recordEvent(timeline.Event{Kind: timeline.JobChanged, Job: string(next.ID), Account: next.Account})
			u.updateTemplate(j) // the template may have changed again meanwhile
		},
	})
}

// sameReplicaSpec reports whether two revisions of a template are equal apart from
// the number of tasks, which is fixed when a job is created.
func sameReplicaSpec(a, b config.Template) bool {
	a.Tasks, b.Tasks = 0, 0
	return reflect.DeepEqual(normalizeEmpty(a), normalizeEmpty(b))
}

// normalizeEmpty replaces empty lists and maps by nil, since the stored form does not
// distinguish them.
func normalizeEmpty(t config.Template) config.Template {
	for _, l := range []*[]string{&t.Halls, &t.Params, &t.Inputs, &t.Tolerates} {
		if len(*l) == 0 {
			*l = nil
		}
	}
	for _, m := range []*map[string]string{&t.Affinity, &t.Avoid} {
		if len(*m) == 0 {
			*m = nil
		}
	}
	return t
}

// boxesLoop polls the platform's list of boxes for those that are leaving. The list
// may be stale, so it is used only to drain workers, never as evidence that an
// attempt has ended.
func (u *Unit) boxesLoop() {
	for u.sleep(u.settings.BoxInterval) {
		list, err := u.deps.Boxes.List(u.ctx)
		if err != nil {
			continue // keep the last list
		}
		leaving := map[string]bool{}
		for _, b := range list {
			leaving[b.Name] = b.State == provider.BoxLeaving
		}
		u.setLeaving(leaving)
	}
}

// setLeaving updates which workers are leaving, by name.
func (u *Unit) setLeaving(leaving map[string]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, w := range u.workers {
		if w.leaving == leaving[name] {
			continue
		}
		w.leaving = leaving[name]
		u.reindex(w)
		notify(u.placementSignal)
	}
}

// applyPlannedStops stops service replicas that have an outdated template or run on
// drained workers, and checkpoints resumable tasks on drained workers.
func (u *Unit) applyPlannedStops() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, j := range u.jobs {
		if j.job.Template.Form == config.FormService {
			u.replaceReplicas(j)
		}
	}
	for _, w := range u.workers {
		if !u.drained(w) {
			continue
		}
		for _, t := range w.tasks {
			u.checkpointDrained(t)
		}
	}
}

// replaceReplicas stops replicas that have an outdated template or run on drained
// workers, while no more are down at once than the template allows. Stopped replicas
// are placed again like any replica that ends. The caller holds u.mu.
func (u *Unit) replaceReplicas(j *jobState) {
	allowed := j.job.Template.Down
	for _, t := range j.tasks {
		if t.phase != running && !t.task.State.Final() {
			allowed--
		}
	}
	for _, t := range j.tasks {
		if allowed <= 0 {
			return
		}
		if t.phase == running && u.needsReplacement(t) {
			t.phase = stopping
			u.enqueueCall(t.worker, workerCall{kind: callStop, attempt: t.attempt})
			allowed--
		}
	}
}

// needsReplacement reports whether a replica has an outdated template or runs on a
// drained worker.
func (u *Unit) needsReplacement(t *taskState) bool {
	return t.grant.Revision < t.job.job.Revision || u.drained(t.worker)
}

// checkpointDrained schedules the checkpoint of a running task on a drained worker if
// the task can be resumed. Other batch tasks run to completion on the worker. The
// caller holds u.mu.
func (u *Unit) checkpointDrained(t *taskState) {
	if t.phase != running || t.job.job.Template.Repeat != config.RepeatCheckpoint || t.task.State != job.Waiting {
		return
	}
	t.phase = stopping
	u.enqueueCall(t.worker, workerCall{kind: callCheckpoint, attempt: t.attempt})
}
