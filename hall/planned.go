package hall

import (
	"reflect"

	"chutereach/config"
	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// Configured takes in a new revision: drains, and templates of services that
// run.
func (u *Unit) Configured() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range u.workers {
		u.reindex(w)
	}
	for _, j := range u.jobs {
		u.updateTemplate(j)
	}
	notify(u.decideSignal)
}

// updateTemplate brings a service's job under the template in force. Batch work keeps
// the template under which it was created. The caller holds u.mu.
func (u *Unit) updateTemplate(j *jobState) {
	rev := u.deps.Config()
	t, known := rev.Set.Templates[j.job.Template.Name]
	if j.job.Template.Form != config.FormService || !known || j.version == 0 || j.job.Stopped || sameReplicaSpec(t, j.job.Template) {
		return
	}
	next, err := j.job.WithTemplate(t, rev.Set.Policies[t.Policy].Scoring, rev.Set.Accounts[j.job.Account], rev.Number)
	if err != nil || j.templateUpdating {
		return // the account lacks a parameter of the new form: the old one goes on
	}
	j.templateUpdating = true
	u.writeRows(change{
		writes: []rowWrite{{key: next.Key(), version: j.version, value: next.Encode()}},
		onCommit: func(version uint64) {
			j.job, j.version, j.templateUpdating = next, version, false
			u.recordEvent(timeline.Event{Kind: timeline.JobChanged, Job: string(next.ID), Account: next.Account})
			u.updateTemplate(j) // it may have changed once more
		},
	})
}

// sameReplicaSpec reports whether two forms of a template are alike in what a replica is.
// How many tasks a job has was settled when it was created.
func sameReplicaSpec(a, b config.Template) bool {
	a.Tasks, b.Tasks = 0, 0
	return reflect.DeepEqual(normalizeEmpty(a), normalizeEmpty(b))
}

// normalizeEmpty makes absent and empty lists alike: the table does not tell them apart.
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

// boxesLoop follows the platform's list of boxes. The list lags; it only ever
// closes a worker, and never proves that one has stopped.
func (u *Unit) boxesLoop() {
	for u.sleep(u.settings.BoxInterval) {
		list, err := u.deps.Boxes.List(u.ctx)
		if err != nil {
			continue // the list as it was
		}
		leaving := map[string]bool{}
		for _, b := range list {
			leaving[b.Name] = b.State == provider.BoxLeaving
		}
		u.setLeaving(leaving)
	}
}

func (u *Unit) setLeaving(leaving map[string]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, w := range u.workers {
		if w.leaving == leaving[name] {
			continue
		}
		w.leaving = leaving[name]
		u.reindex(w)
		notify(u.decideSignal)
	}
}

// applyPlannedStops makes the stops that are nobody's emergency: replicas of an older form
// of their template, and what runs on drained workers.
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

// replaceReplicas stops replicas that are out of date or on drained workers, as
// many at once as the template allows to be down. They are started again
// elsewhere, or under the new form, like any that end.
func (u *Unit) replaceReplicas(j *jobState) {
	spare := j.job.Template.Down
	for _, t := range j.tasks {
		if t.phase != running && !t.task.State.Final() {
			spare--
		}
	}
	for _, t := range j.tasks {
		if spare <= 0 {
			return
		}
		if t.phase == running && u.needsReplacement(t) {
			t.phase = stopping
			u.enqueueOrder(t.worker, order{kind: orderStop, attempt: t.attempt})
			spare--
		}
	}
}

func (u *Unit) needsReplacement(t *taskState) bool {
	return t.grant.Revision < t.job.job.Revision || u.drained(t.worker)
}

// checkpointDrained takes a task that can be resumed off its drained worker. What
// can be neither resumed nor replaced runs to its end there.
func (u *Unit) checkpointDrained(t *taskState) {
	if t.phase != running || t.job.job.Template.Repeat != config.RepeatCheckpoint || t.task.State != job.Waiting {
		return
	}
	t.phase = stopping
	u.enqueueOrder(t.worker, order{kind: orderCheckpoint, attempt: t.attempt})
}
