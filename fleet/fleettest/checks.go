package fleettest

import (
	"fmt"
	"slices"
	"strings"

	"chutereach/fleet"
	"chutereach/workload"
)

// Violations returns the violations of the scheduler's guarantees so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// JobStarted reports whether any task of a job was started.
func (f *Fleet) JobStarted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[job]
}

func (f *Fleet) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// checkDone records a violation if a later attempt of a task acknowledged as done is running.
func (f *Fleet) checkDone(end fleet.EndedAttempt) {
	for _, other := range f.workers {
		if r := other.runs[end.Task]; r != nil && !other.dead && !r.misdelivered && r.number > end.Number && !r.stopped {
			f.violation("attempt %d of %s is running on %s although attempt %d was acknowledged as done", r.number, end.Task, other.info.ID, end.Number)
		}
	}
}

// checkStart records the violations of the scheduler's guarantees by the start of an attempt.
func (f *Fleet) checkStart(w *worker, task workload.TaskID, order fleet.StartOrder, spec JobSpec) {
	name := task.String()
	f.startedJobs[task.Job] = true
	if spec.Request.Steps == nil {
		f.violation("%s was started, but its job was not registered", name)
		return
	}
	if f.acknowledgedDone[name] {
		f.violation("%s was started again after it was acknowledged as done", name)
	}
	for _, other := range f.workers {
		if r := other.runs[name]; r != nil && !other.dead && !r.misdelivered {
			f.violation("%s runs twice: on %s as attempt %d and on %s as attempt %d", name, other.info.ID, r.number, w.info.ID, order.Number)
		}
	}
	if failed := len(f.failures[name]); failed >= spec.MaxFailures {
		f.violation("%s was started after %d failed attempts, limit %d", name, failed, spec.MaxFailures)
	}
	f.checkStep(w, task, order, spec)
}

// checkStep checks a start against the constraints of its step and the worker's capacity.
func (f *Fleet) checkStep(w *worker, task workload.TaskID, order fleet.StartOrder, spec JobSpec) {
	step := spec.Request.Steps[task.Step]
	used, perWorker := step.Need, 1
	for _, r := range w.runs {
		used = used.Plus(r.need)
		if r.task.StepName() == task.StepName() {
			perWorker++
		}
	}
	if !w.fits(used, f.grace) {
		f.violation("%s brings %s to %v, over its capacity %v", task, w.info.ID, used, w.info.Capacity)
	}
	if step.MaxPerWorker > 0 && perWorker > step.MaxPerWorker {
		f.violation("%s is one of %d tasks of its step on %s, limit %d", task, perWorker, w.info.ID, step.MaxPerWorker)
	}
	if !w.info.HasLabel(step.RequiredLabel) {
		f.violation("%s was started on %s, which lacks the label %s", task, w.info.ID, step.RequiredLabel)
	}
	if owner, _, saved := strings.Cut(order.Checkpoint, "@"); saved && owner != task.StepName() {
		f.violation("%s was given the checkpoint %s of another step", task, order.Checkpoint)
	}
	for _, dependency := range step.DependsOn {
		for index := range spec.Request.Steps[dependency].Count {
			predecessor := workload.TaskID{Job: task.Job, Round: task.Round, Step: dependency, Index: index}
			if !f.hasSucceeded(predecessor.String()) {
				f.violation("%s was started before %s was done", task, predecessor)
			}
		}
	}
}

// hasSucceeded reports whether any attempt of a task has ended as done.
func (f *Fleet) hasSucceeded(name string) bool {
	if f.succeeded[name] {
		return true
	}
	for _, w := range f.workers {
		for _, end := range w.ended {
			if end.Task == name && end.Outcome == fleet.Done {
				return true
			}
		}
	}
	return false
}
