package scheduler

import (
	"chutereach/fleet"
	"chutereach/workload"
)

// progress returns the job's progress as it is stored.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, Started: j.started, FinalAt: j.finalAt.byOwner, FinalAtStoreMS: j.finalAt.byStoreMS(), Generation: j.generation}
	if j.state.Final() {
		p.Account = j.record.Account.Name
	}
	if j.state.Final() && j.hosted == 0 {
		return p
	}
	for _, r := range j.rounds {
		for _, st := range r.steps {
			if sp, started := st.progress(); started {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

func (st *step) progress() (workload.StepProgress, bool) {
	sp := workload.StepProgress{Round: st.round, Step: st.index}
	if st.done() {
		sp.AllDone = true
		return sp, true
	}
	addressed := map[*worker]bool{}
	for _, t := range st.tasks {
		switch {
		case t.state == taskDone:
			sp.Done = workload.SetBit(sp.Done, t.index)
		case t.attempt > 0 || t.checkpoint != "":
			tp := workload.TaskProgress{Index: t.index, Attempt: t.attempt, Failures: len(t.failures), Checkpoint: t.checkpoint, CrashHistory: t.crashes}
			if !st.spec.Gang || len(sp.Tasks) == 0 {
				tp.FailedAttempts = t.failures
			}
			if t.worker != nil {
				tp.Worker, tp.StartTime = t.worker.info.ID, t.worker.info.StartTime
				if !addressed[t.worker] { // once per worker, to keep the row small: it is rewritten on each change
					tp.Address, addressed[t.worker] = t.worker.info.Address, true
				}
			}
			sp.Tasks = append(sp.Tasks, tp)
		}
	}
	return sp, sp.Done != nil || sp.Tasks != nil
}

// restore applies stored progress to a new job. hosts returns the worker for an incarnation,
// creating it if necessary.
func (j *job) restore(p workload.Progress, hosts func(incarnation fleet.Incarnation, address string) *worker) {
	j.state, j.savedState, j.started, j.finalAt = p.State, p.State, p.Started, restoredFinalTime(p.FinalAtStoreMS, p.FinalAt)
	j.generation, j.saved = max(1, p.Generation), max(1, p.Generation)
	for _, sp := range p.Steps {
		if sp.Round >= len(j.rounds) || sp.Step >= len(j.rounds[sp.Round].steps) {
			continue
		}
		j.rounds[sp.Round].steps[sp.Step].restore(sp, hosts)
	}
}

func (st *step) restore(sp workload.StepProgress, hosts func(incarnation fleet.Incarnation, address string) *worker) {
	for _, t := range st.tasks {
		if sp.AllDone || workload.HasBit(sp.Done, t.index) {
			t.markDone()
		}
	}
	for _, tp := range sp.Tasks {
		if tp.Index >= len(st.tasks) || st.tasks[tp.Index].state == taskDone {
			continue
		}
		t := st.tasks[tp.Index]
		t.attempt, t.checkpoint, t.crashes = tp.Attempt, tp.Checkpoint, tp.CrashHistory
		st.suspected = st.suspected || t.crashes.Suspected
		if tp.Worker != "" {
			hosts(fleet.Incarnation{ID: tp.Worker, StartTime: tp.StartTime}, tp.Address).assign(t, taskStarting)
			t.recovered, t.startSent = true, true
		}
		for _, lost := range t.crashes.Unresolved {
			w := hosts(lost.Incarnation(), "")
			w.lostAttempts = append(w.lostAttempts, lostAttempt{t, t.attempt})
		}
	}
	st.restoreFailures(sp.Tasks)
}
