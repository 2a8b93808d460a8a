package scheduler

import "chutereach/workload"

// restoreFailures restores the failed attempts of the step's tasks, once their current attempts are restored.
func (st *step) restoreFailures(stored []workload.TaskProgress) {
	if st.spec.Gang {
		st.restoreGangFailures(stored)
		return
	}
	for _, tp := range stored {
		if tp.Index < len(st.tasks) {
			t := st.tasks[tp.Index]
			t.failures = tp.FailedAttempts.WithCount(tp.Failures, t.lastEnded())
			if len(tp.FailedAttempts) < tp.Failures {
				t.guessedThrough = t.lastEnded()
			}
		}
	}
}

func (st *step) restoreGangFailures(stored []workload.TaskProgress) {
	var failures workload.FailedAttempts
	count, lastEnded := 0, 0
	for _, tp := range stored {
		count = max(count, tp.Failures)
		for _, attempt := range tp.FailedAttempts {
			failures = failures.With(attempt)
		}
	}
	for _, t := range st.tasks {
		lastEnded = max(lastEnded, t.lastEnded())
	}
	guessedThrough := 0
	if len(failures) < count {
		guessedThrough = lastEnded
	}
	failures = failures.WithCount(count, lastEnded)
	for _, t := range st.tasks {
		t.failures, t.guessedThrough = failures, guessedThrough
	}
}

// lastEnded returns the number of the task's last attempt that has ended.
func (t *task) lastEnded() int {
	if t.hosted() {
		return t.attempt - 1
	}
	return t.attempt
}
