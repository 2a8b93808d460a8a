package scheduler

import (
	"chutereach/fleet"
	"chutereach/workload"
)

// progress returns the job's progress as it is stored, without the tasks that are in parts.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, Started: j.started, FinalAt: j.finalAt.byOwner, FinalAtStoreMS: j.finalAt.byStoreMS(), Generation: j.generation}
	if j.state.Final() {
		p.Account = j.record.Account.Name
	}
	switch {
	case j.state.Final() && (j.hosted == 0 || j.unstorable):
	case j.parted:
		p.Rounds = j.openRounds()
	default:
		p.Steps = j.stepProgress()
	}
	return p
}

// stepProgress returns the progress of all steps that have begun.
func (j *job) stepProgress() []workload.StepProgress {
	var list []workload.StepProgress
	open := j.rounds
	for number := range j.opened {
		if len(open) == 0 || open[0].number != number {
			for step := range j.record.Request.Steps {
				list = append(list, workload.StepProgress{Round: number, Step: step, AllDone: true})
			}
			continue
		}
		for _, st := range open[0].steps {
			if sp, begun := st.progress(); begun {
				list = append(list, sp)
			}
		}
		open = open[1:]
	}
	return list
}

func (st *step) progress() (workload.StepProgress, bool) {
	if st.done() {
		return workload.StepProgress{Round: st.round.number, Step: st.index, AllDone: true}, true
	}
	return st.progressOf(st.tasks)
}

// progressOf returns the progress of some tasks of the step, and whether any of them has begun.
func (st *step) progressOf(tasks []*task) (workload.StepProgress, bool) {
	sp := workload.StepProgress{Round: st.round.number, Step: st.index}
	addressed := map[*worker]bool{}
	for _, t := range tasks {
		switch {
		case t.state == taskDone:
			sp.Done = workload.SetBit(sp.Done, t.index)
		case t.begun():
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
			sp.Tasks = append(sp.Tasks, tp.Bounded())
		}
	}
	return sp, sp.Done != nil || sp.Tasks != nil
}

// begun reports whether the task has anything to be stored.
func (t *task) begun() bool { return t.attempt > 0 || t.checkpoint != "" }

// restore applies stored progress to a new job. hosts returns the worker for an incarnation,
// creating it if necessary.
func (j *job) restore(p workload.Progress, hosts func(incarnation fleet.Incarnation, address string) *worker) {
	j.state, j.savedState, j.started, j.finalAt = p.State, p.State, p.Started, restoredFinalTime(p.FinalAtStoreMS, p.FinalAt)
	j.generation, j.saved = max(1, p.Generation), max(1, p.Generation)
	if p.Rounds != nil {
		j.restoreOpenRounds(*p.Rounds)
		return
	}
	for _, sp := range j.restoreDoneRounds(p.Steps) {
		if r := j.roundWith(sp.Round); r != nil && sp.Step < len(r.steps) {
			r.steps[sp.Step].restore(sp, hosts)
		}
	}
}

// restoreDoneRounds opens the rounds of a schedule up to the last one that has begun, apart from those whose steps are all done.
// It returns the progress of the steps of open rounds.
func (j *job) restoreDoneRounds(list []workload.StepProgress) []workload.StepProgress {
	request := &j.record.Request
	if !request.Scheduled() {
		return list
	}
	last, stepsDone := -1, map[int]int{}
	for _, sp := range list {
		if sp.Round >= 0 && sp.Round < request.RoundCount() {
			last = max(last, sp.Round)
			if sp.AllDone {
				stepsDone[sp.Round]++
			}
		}
	}
	for number := range last + 1 {
		if stepsDone[number] == len(request.Steps) {
			j.opened++
			j.roundsLeft--
		} else {
			j.openRound()
		}
	}
	open := list[:0]
	for _, sp := range list {
		if stepsDone[sp.Round] < len(request.Steps) {
			open = append(open, sp)
		}
	}
	return open
}

// restoreOpenRounds opens the rounds that the row of a parted job lists. Their tasks are restored from parts.
func (j *job) restoreOpenRounds(stored workload.OpenRounds) {
	request := &j.record.Request
	j.parted, j.partedStored = true, true
	j.rounds, j.opened = nil, min(max(0, stored.Opened), request.RoundCount())
	j.roundsLeft = request.RoundCount() - j.opened
	for _, row := range stored.Open {
		if row.Number < 0 || row.Number >= j.opened || len(j.rounds) > 0 && row.Number <= j.rounds[len(j.rounds)-1].number {
			continue
		}
		r := newRound(j, row.Number)
		j.rounds = append(j.rounds, r)
		j.roundsLeft++
		r.makeParts()
		for i, st := range r.steps {
			if row.DoneSteps&(1<<i) != 0 {
				st.restore(workload.StepProgress{AllDone: true}, nil)
			}
		}
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
