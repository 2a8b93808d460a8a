package hall

import (
	"fmt"
	"time"

	"chutereach/job"
	"chutereach/timeline"
)

// JobNotFoundError reports that no job with the given ID was found.
type JobNotFoundError struct{ ID job.ID }

func (e *JobNotFoundError) Error() string { return fmt.Sprintf("there is no job %q", string(e.ID)) }

// StopJob stops a job: its waiting tasks are not started and its running tasks are
// stopped. It returns as soon as the commit of the request is scheduled, and does
// nothing if the job has been stopped before.
func (u *Unit) StopJob(id job.ID) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.jobs[id]
	if j == nil || j.version == 0 {
		return &JobNotFoundError{id}
	}
	if j.job.Stopped {
		return nil
	}
	j.job = j.job.WithStopped()
	u.writeRows(change{
		writes: []rowWrite{{key: j.job.Key(), version: j.version, value: j.job.Encode()}},
		onCommit: func(version uint64) {
			j.version = version
			u.stopJobTasks(j)
			u.recordEvent(timeline.Event{Kind: timeline.JobStopped, Job: string(id), Account: j.job.Account})
		},
	})
	return nil
}

// stopJobTasks makes the waiting tasks of a stopped job final and schedules the
// stop of its running ones. The caller holds u.mu.
func (u *Unit) stopJobTasks(j *jobState) {
	for _, i := range j.waiting {
		u.setFinal(j.tasks[i], j.tasks[i].task.WithStopped(time.Now()))
	}
	j.waiting = nil
	for _, t := range j.tasks {
		if t.phase == running {
			t.phase = stopping
			u.enqueueCall(t.worker, workerCall{kind: callStop, attempt: t.attempt})
		}
	}
}

// Settle sets the outcome of a task in state unknown, as determined by an operator.
// It returns as soon as the commit is scheduled.
func (u *Unit) Settle(id job.ID, task int, s job.State) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.jobs[id]
	if j == nil || task < 0 || task >= len(j.tasks) {
		return &JobNotFoundError{id}
	}
	t := j.tasks[task]
	next, err := t.task.WithSettled(s, time.Now())
	if err != nil {
		return err
	}
	u.writeRows(change{
		writes: []rowWrite{{key: next.Key(), version: t.version, value: next.Encode()}},
		onCommit: func(version uint64) {
			t.version = version
			u.recordEvent(timeline.Event{Kind: timeline.TaskSettled, Job: string(id), Detail: string(s)})
			u.releaseCommitted(t, next)
		},
	})
	return nil
}
