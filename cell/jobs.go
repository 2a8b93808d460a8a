package cell

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"chutereach/hall"
	"chutereach/job"
	"chutereach/peer"
	"chutereach/provider"
)

// Job returns the status of a job. It asks the owner of the job's unit, and reads the
// table if there is no owner, the owner does not respond or it does not know the job.
func (c *Cell) Job(ctx context.Context, id job.ID) (hall.JobStatus, error) {
	if !id.Valid() {
		return hall.JobStatus{}, &hall.JobNotFoundError{ID: id}
	}
	s, err := callOwner(ctx, c, id.Unit(), pathJob, id, c.localJob)
	var (
		noOwner     *NoOwnerError
		unreachable *peer.UnreachableError
		lost        *peer.NoResponseError
	)
	notFound := errors.As(err, new(*hall.JobNotFoundError)) || hasCode(err, CodeNoJob)
	if notFound || hasCode(err, CodeNoOwner) || errors.As(err, &noOwner) || errors.As(err, &unreachable) || errors.As(err, &lost) {
		return c.jobFromTable(ctx, id)
	}
	return s, err
}

func hasCode(err error, code peer.Code) bool {
	var f *peer.Failure
	return errors.As(err, &f) && f.Code == code
}

func (c *Cell) localJob(_ context.Context, id job.ID) (hall.JobStatus, error) {
	u := c.Units.Unit(id.Unit())
	if u == nil {
		return hall.JobStatus{}, &NoOwnerError{id.Unit()}
	}
	s, found := u.Job(id)
	if !found {
		return s, codedNotFoundError{&hall.JobNotFoundError{ID: id}}
	}
	return s, nil
}

// jobFromTable reads the status of a job from the table. The table does not record which
// tasks are running, so they are reported as waiting.
func (c *Cell) jobFromTable(ctx context.Context, id job.ID) (hall.JobStatus, error) {
	table := c.Sender.Table()
	row, err := hall.ReadJobRow(ctx, table, id)
	if err != nil {
		return hall.JobStatus{}, err
	}
	j, err := job.Decode(row.Value)
	if err != nil {
		return hall.JobStatus{}, err
	}
	tasks, err := provider.ReadAll(ctx, table, job.JobTaskPrefix(id))
	if err != nil {
		return hall.JobStatus{}, err
	}
	return statusOf(j, tasks)
}

// statusOf returns the status of j given the rows of its tasks. Tasks without a row have
// not been started.
func statusOf(j job.Job, rows []provider.Row) (hall.JobStatus, error) {
	s := hall.JobStatus{Job: j, Counts: map[job.State]int{}}
	for i := range j.Tasks {
		s.Tasks = append(s.Tasks, job.NewTask(j, i))
	}
	final := 0
	for _, row := range rows {
		t, err := job.DecodeTask(row.Value)
		if err != nil {
			return s, err
		}
		if t.Index < len(s.Tasks) {
			s.Tasks[t.Index] = t
		}
	}
	for _, t := range s.Tasks {
		s.Counts[t.State]++
		if t.State.Final() {
			final++
		}
		if t.Changed.After(s.Ended) {
			s.Ended = t.Changed
		}
	}
	if final < len(s.Tasks) {
		s.Ended = time.Time{}
	}
	return s, nil
}

// Jobs returns the jobs of an account, or of all accounts if account is empty, in order
// of creation, and the names of the boxes that did not respond.
func (c *Cell) Jobs(ctx context.Context, account string) ([]hall.JobStatus, []string) {
	lists, unresponsive := callAll(ctx, c, pathJobs, account, c.localJobs)
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b hall.JobStatus) int {
		return cmp.Or(a.Job.Created.Compare(b.Job.Created), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return all, unresponsive
}

func (c *Cell) localJobs(_ context.Context, account string) ([]hall.JobStatus, error) {
	var all []hall.JobStatus
	for _, u := range c.Units.All() {
		all = append(all, u.Jobs(account)...)
	}
	return all, nil
}

// Stop stops all tasks of a job. It returns nil once the stop is stored.
func (c *Cell) Stop(ctx context.Context, id job.ID) error {
	_, err := callOwner(ctx, c, id.Unit(), pathStop, id, c.localStop)
	return err
}

func (c *Cell) localStop(ctx context.Context, id job.ID) (empty, error) {
	u := c.Units.Unit(id.Unit())
	if u == nil {
		return empty{}, &NoOwnerError{id.Unit()}
	}
	return empty{}, withCode(u.StopJob(ctx, id))
}

// Settlement is an operator's decision on the state of a task whose state is unknown.
type Settlement struct {
	Job   job.ID    `json:"job" cbor:"1,keyasint"`
	Task  int       `json:"task" cbor:"2,keyasint"`
	State job.State `json:"state" cbor:"3,keyasint"`
}

// Settle sets the state of a task whose state is unknown, as decided by an operator. It
// returns nil once the state is stored.
func (c *Cell) Settle(ctx context.Context, s Settlement) error {
	_, err := callOwner(ctx, c, s.Job.Unit(), pathSettle, s, c.localSettle)
	return err
}

func (c *Cell) localSettle(ctx context.Context, s Settlement) (empty, error) {
	u := c.Units.Unit(s.Job.Unit())
	if u == nil {
		return empty{}, &NoOwnerError{s.Job.Unit()}
	}
	return empty{}, withCode(u.Settle(ctx, s.Job, s.Task, s.State))
}

// Workers returns all workers, sorted by name, and the names of the boxes that did not
// respond.
func (c *Cell) Workers(ctx context.Context) ([]hall.WorkerStatus, []string) {
	lists, unresponsive := callAll(ctx, c, pathWorkers, empty{}, c.localWorkers)
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b hall.WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all, unresponsive
}

func (c *Cell) localWorkers(context.Context, empty) ([]hall.WorkerStatus, error) {
	var all []hall.WorkerStatus
	for _, u := range c.Units.All() {
		all = append(all, u.Workers()...)
	}
	return all, nil
}
