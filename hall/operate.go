package hall

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chutereach/job"
	"chutereach/timeline"
)

// JobNotFoundError reports that no job with the given ID was found.
type JobNotFoundError struct{ ID job.ID }

func (e *JobNotFoundError) Error() string { return fmt.Sprintf("there is no job %q", string(e.ID)) }

// UnavailableError reports that a unit cannot change a job now: it is still loading, the
// table cannot be read, or another box may have taken over the unit. The change has not
// been made.
type UnavailableError struct {
	Unit  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("unit %s is unavailable; retry in a few seconds: %v", e.Unit, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// errNotHeld is the cause of an UnavailableError if the table has a job that the unit
// does not: another box may own the unit, or the job is being removed.
var errNotHeld = errors.New("it does not hold the job, but the table does")

// UnconfirmedError reports a change of a job that may or may not be stored, because the
// unit or the call ended before the outcome of its commit was known. It does not unwrap to its cause, which must
// not decide what the caller is told.
type UnconfirmedError struct {
	Job   job.ID
	Cause error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("it is unknown whether the change of job %q has been stored: %v", string(e.Job), e.Cause)
}

// errUnitEnded is the cause of an error if the unit ended before the answer was known.
var errUnitEnded = errors.New("this box no longer runs the unit")

// await waits until c is closed. It returns an error if ctx or the unit ends first.
func (u *Unit) await(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-u.done:
		return errUnitEnded
	}
}

// changeJob calls change with a job, and waits until the commit that it schedules has
// closed the channel that it returns. Until then the change is lost if another box has
// taken over the unit, so no caller may be told that it was made. change is called with
// u.mu held. A JobNotFoundError is returned only if the table does not have the job.
func (u *Unit) changeJob(ctx context.Context, id job.ID, change func(*jobState) (stored <-chan struct{}, err error)) error {
	if err := u.await(ctx, u.loaded); err != nil {
		return &UnavailableError{u.assignment.Unit, err}
	}
	if err := u.acceptFromTable(ctx, id); err != nil {
		return err
	}
	u.mu.Lock()
	j := u.jobs[id]
	if j == nil {
		u.mu.Unlock()
		return &UnavailableError{u.assignment.Unit, errNotHeld}
	}
	stored, err := change(j)
	u.mu.Unlock()
	if err != nil {
		return err
	}
	if err := u.await(ctx, stored); err != nil {
		return &UnconfirmedError{id, err}
	}
	return nil
}

// acceptFromTable accepts a job that is in the inbox, if the unit does not hold it yet. It
// returns a JobNotFoundError if the table does not have the job. That the unit does not hold
// a job is no proof: the box may have lost the unit without having noticed.
func (u *Unit) acceptFromTable(ctx context.Context, id job.ID) error {
	if u.holds(id) {
		return nil
	}
	row, err := ReadJobRow(ctx, u.deps.Sender.Table(), id)
	var notFound *JobNotFoundError
	switch {
	case errors.As(err, &notFound):
		return notFound
	case err != nil:
		return &UnavailableError{u.assignment.Unit, err}
	case row.Key == job.InboxKey(id):
		u.acceptRow(row)
	}
	return nil
}

func (u *Unit) holds(id job.ID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id] != nil
}

// StopJob stops a job: its waiting tasks are not started and its running tasks are
// stopped. It returns nil once the stop is stored, at once if it was stored before.
func (u *Unit) StopJob(ctx context.Context, id job.ID) error {
	return u.changeJob(ctx, id, func(j *jobState) (<-chan struct{}, error) {
		return u.requestStop(j), nil
	})
}

// requestStop schedules the commit of a job's stop, unless that has been done, and
// returns a channel that is closed after the commit. The caller holds u.mu.
func (u *Unit) requestStop(j *jobState) (stored <-chan struct{}) {
	if j.stopStored == nil {
		j.stopStored = make(chan struct{})
		if !j.rowPending {
			u.writeStop(j)
		}
	}
	return j.stopStored
}

// jobRowCommitted stores the version of a job's row after its commit, and schedules the
// commit of a stop that was requested meanwhile: the row has one pending commit at a
// time, because each requires the version that the previous one wrote. The caller holds
// u.mu.
func (u *Unit) jobRowCommitted(j *jobState, version uint64) {
	j.version, j.rowPending = version, false
	if j.stopStored != nil && !j.job.Stopped {
		u.writeStop(j)
	}
}

// writeStop schedules the commit of a job's stop. The job counts as stopped only after
// the commit, so that nothing shows a stop that may still be lost. The caller holds u.mu.
func (u *Unit) writeStop(j *jobState) {
	next := j.job.WithStopped()
	j.rowPending = true
	u.writeRows(change{
		writes: []rowWrite{{key: next.Key(), version: j.version, value: next.Encode()}},
		onCommit: func(version uint64) {
			j.job = next
			u.jobRowCommitted(j, version)
			u.stopJobTasks(j)
			u.recordEvent(timeline.Event{Kind: timeline.JobStopped, Job: string(next.ID), Account: next.Account})
			close(j.stopStored)
		},
	})
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
// It returns nil once the outcome is stored. If another settlement of the task is
// pending, it waits for that one and judges the state that it leaves.
func (u *Unit) Settle(ctx context.Context, id job.ID, task int, s job.State) error {
	for {
		waited := false
		err := u.changeJob(ctx, id, func(j *jobState) (<-chan struct{}, error) {
			if task < 0 || task >= len(j.tasks) {
				return nil, &JobNotFoundError{id}
			}
			if t := j.tasks[task]; t.settled != nil {
				waited = true
				return t.settled, nil
			}
			return u.settleTask(j.tasks[task], s)
		})
		if err != nil || !waited {
			return err
		}
	}
}

// settleTask schedules the commit of a task's outcome and returns a channel that is
// closed after the commit. The caller holds u.mu.
func (u *Unit) settleTask(t *taskState, s job.State) (stored <-chan struct{}, err error) {
	next, err := t.task.WithSettled(s, time.Now())
	if err != nil {
		return nil, err
	}
	committed := make(chan struct{})
	t.settled = committed
	u.writeRows(change{
		writes: []rowWrite{{key: next.Key(), version: t.version, value: next.Encode()}},
		onCommit: func(version uint64) {
			t.version, t.settled = version, nil
			u.recordEvent(timeline.Event{Kind: timeline.TaskSettled, Job: string(next.Job), Detail: string(s)})
			u.releaseCommitted(t, next)
			close(committed)
		},
	})
	return committed, nil
}
