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

// Job returns the status of a job: from its unit's owner, or from the table
// where there is none.
func (c *Cell) Job(ctx context.Context, id job.ID) (hall.JobStatus, error) {
	if !id.Valid() {
		return hall.JobStatus{}, &hall.JobNotFoundError{ID: id}
	}
	s, err := atOwner(ctx, c, id.Unit(), pathJob, id, c.ownJob)
	var (
		noOwner     *NoOwnerError
		unreachable *peer.UnreachableError
		lost        *peer.LostError
	)
	missing := errors.As(err, new(*hall.JobNotFoundError)) || hasCode(err, CodeNoJob)
	if missing || hasCode(err, CodeNoOwner) || errors.As(err, &noOwner) || errors.As(err, &unreachable) || errors.As(err, &lost) {
		return c.fromTable(ctx, id)
	}
	return s, err
}

func hasCode(err error, code peer.Code) bool {
	var f *peer.Failure
	return errors.As(err, &f) && f.Code == code
}

func (c *Cell) ownJob(_ context.Context, id job.ID) (hall.JobStatus, error) {
	u := c.Units.Unit(id.Unit())
	if u == nil {
		return hall.JobStatus{}, &NoOwnerError{id.Unit()}
	}
	s, found := u.Job(id)
	if !found {
		return s, noJob{&hall.JobNotFoundError{ID: id}}
	}
	return s, nil
}

// fromTable reads a job as the table has it. It cannot tell which of its tasks
// run: they count as waiting.
func (c *Cell) fromTable(ctx context.Context, id job.ID) (hall.JobStatus, error) {
	table := c.Sender.Table()
	row, err := table.Get(ctx, job.Key(id))
	if err == nil && !row.Exists() {
		row, err = table.Get(ctx, job.InboxKey(id))
	}
	if err != nil {
		return hall.JobStatus{}, err
	}
	if !row.Exists() {
		return hall.JobStatus{}, &hall.JobNotFoundError{ID: id}
	}
	j, err := job.Decode(row.Value)
	if err != nil {
		return hall.JobStatus{}, err
	}
	tasks, err := provider.ReadAll(ctx, table, job.TasksOf(id))
	if err != nil {
		return hall.JobStatus{}, err
	}
	return statusOf(j, tasks)
}

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

// Jobs returns the jobs of an account, or of all for "", and the boxes that did
// not answer.
func (c *Cell) Jobs(ctx context.Context, account string) ([]hall.JobStatus, []string) {
	lists, silent := everywhere(ctx, c, pathJobs, account, c.ownJobs)
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b hall.JobStatus) int {
		return cmp.Or(a.Job.Created.Compare(b.Job.Created), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return all, silent
}

func (c *Cell) ownJobs(_ context.Context, account string) ([]hall.JobStatus, error) {
	var all []hall.JobStatus
	for _, u := range c.Units.All() {
		all = append(all, u.Jobs(account)...)
	}
	return all, nil
}

// Stop makes a job run no more.
func (c *Cell) Stop(ctx context.Context, id job.ID) error {
	_, err := atOwner(ctx, c, id.Unit(), pathStop, id, c.ownStop)
	return err
}

func (c *Cell) ownStop(_ context.Context, id job.ID) (none, error) {
	u := c.Units.Unit(id.Unit())
	if u == nil {
		return none{}, &NoOwnerError{id.Unit()}
	}
	return none{}, coded(u.StopJob(id))
}

// Settlement is an operator's word on an unknown task.
type Settlement struct {
	Job   job.ID    `json:"job" cbor:"1,keyasint"`
	Task  int       `json:"task" cbor:"2,keyasint"`
	State job.State `json:"state" cbor:"3,keyasint"`
}

// Settle carries out an operator's word on an unknown task.
func (c *Cell) Settle(ctx context.Context, s Settlement) error {
	_, err := atOwner(ctx, c, s.Job.Unit(), pathSettle, s, c.ownSettle)
	return err
}

func (c *Cell) ownSettle(_ context.Context, s Settlement) (none, error) {
	u := c.Units.Unit(s.Job.Unit())
	if u == nil {
		return none{}, &NoOwnerError{s.Job.Unit()}
	}
	return none{}, coded(u.Settle(s.Job, s.Task, s.State))
}

// Workers returns every worker, and the boxes that did not answer.
func (c *Cell) Workers(ctx context.Context) ([]hall.WorkerStatus, []string) {
	lists, silent := everywhere(ctx, c, pathWorkers, none{}, c.ownWorkers)
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b hall.WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all, silent
}

func (c *Cell) ownWorkers(context.Context, none) ([]hall.WorkerStatus, error) {
	var all []hall.WorkerStatus
	for _, u := range c.Units.All() {
		all = append(all, u.Workers()...)
	}
	return all, nil
}
