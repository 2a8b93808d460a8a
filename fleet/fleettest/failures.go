package fleettest

import (
	"chutereach/fleet"
	"chutereach/workload"
)

// attemptSet contains attempt numbers by task or gang. An attempt that two incarnations of a worker execute is one
// attempt.
type attemptSet map[string]map[int]bool

func (s attemptSet) add(name string, attempt int) {
	if s[name] == nil {
		s[name] = map[int]bool{}
	}
	s[name][attempt] = true
}

// AttemptsExhausted reports whether a task of a job has failed as often as allowed, or a gang of it in as many
// different attempts. No other job may be reported as failed because of failures.
func (f *Fleet) AttemptsExhausted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := f.jobs[job]
	failed := attemptSet{}
	for _, attempt := range f.attempts[job] {
		if attempt.Outcome != fleet.Failed {
			continue
		}
		unit := spec.retryUnit(attempt.Task)
		if failed.add(unit, attempt.Number); len(failed[unit]) >= spec.MaxFailures {
			return true
		}
	}
	return false
}

// retryUnit returns what shares the limit on failures with a task: its gang, or only the task.
func (s JobSpec) retryUnit(task string) string {
	id, err := workload.ParseTaskID(task)
	if err == nil && id.Step < len(s.Request.Steps) && s.Request.Steps[id.Step].Gang {
		return id.StepName()
	}
	return task
}
