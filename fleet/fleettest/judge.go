package fleettest

import (
	"fmt"
	"slices"
	"strings"

	"chutereach/fleet"
	"chutereach/workload"
)

// Broken returns the promises that were broken.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Began reports whether a task of a job was ever started.
func (f *Fleet) Began(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[job]
}

func (f *Fleet) breaks(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// judgeDone looks at an end done that is noted: no later attempt may run.
func (f *Fleet) judgeDone(end fleet.End) {
	for _, other := range f.workers {
		if r := other.runs[end.Task]; r != nil && !other.dead && !r.stray && r.number > end.Number && !r.stopped {
			f.breaks("attempt %d of %s runs on %s, and the end done of attempt %d was noted", r.number, end.Task, other.info.ID, end.Number)
		}
	}
}

// judge looks at an attempt that begins.
func (f *Fleet) judge(w *worker, task workload.TaskID, order fleet.StartOrder, kind Kind) {
	name := task.String()
	f.begun[task.Job] = true
	if kind.Request.Steps == nil {
		f.breaks("%s was started, and nobody handed it in", name)
		return
	}
	if f.dones[name] {
		f.breaks("%s was started again after an end done was noted", name)
	}
	for _, other := range f.workers {
		if r := other.runs[name]; r != nil && !other.dead && !r.stray {
			f.breaks("%s runs twice, on %s as %d and on %s as %d", name, other.info.ID, r.number, w.info.ID, order.Number)
		}
	}
	if f.failed[name] >= kind.Attempts {
		f.breaks("%s was started after %d failures", name, f.failed[name])
	}
	f.judgeStep(w, task, order, kind)
}

func (f *Fleet) judgeStep(w *worker, task workload.TaskID, order fleet.StartOrder, kind Kind) {
	step := kind.Request.Steps[task.Step]
	used, same := step.Need, 1
	for _, r := range w.runs {
		used = used.Plus(r.need)
		if r.task.StepName() == task.StepName() {
			same++
		}
	}
	if !w.holds(used, f.grace) {
		f.breaks("%s brings %s over its capacity", task, w.info.ID)
	}
	if step.MaxPerWorker > 0 && same > step.MaxPerWorker {
		f.breaks("%s is one of %d of its step on %s", task, same, w.info.ID)
	}
	if !w.info.HasLabel(step.RequiredLabel) {
		f.breaks("%s was started on %s, which has not the label %s", task, w.info.ID, step.RequiredLabel)
	}
	if owner, _, saved := strings.Cut(order.Checkpoint, "@"); saved && owner != task.StepName() {
		f.breaks("%s was given the checkpoint %s", task, order.Checkpoint)
	}
	for _, earlier := range step.DependsOn {
		for index := range kind.Request.Steps[earlier].Count {
			before := workload.TaskID{Job: task.Job, Round: task.Round, Step: earlier, Index: index}
			if !f.endedDone(before.String()) {
				f.breaks("%s was started before %s was done", task, before)
			}
		}
	}
}

// endedDone reports whether some attempt of a task has ended well.
func (f *Fleet) endedDone(name string) bool {
	if f.well[name] {
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
