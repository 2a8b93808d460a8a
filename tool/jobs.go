package tool

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"chutereach/api"
	"chutereach/cell"
	"chutereach/client"
	"chutereach/hall"
	"chutereach/job"
)

type submitCommand struct {
	Params map[string]string `short:"p" long:"param" description:"a parameter as name:value"`
	Tasks  int               `long:"tasks" description:"number of tasks (the template's by default)"`
	Hall   string            `long:"hall" description:"data hall to run in"`
	Start  string            `long:"start" description:"start no earlier, as 2026-12-31T00:00:00Z"`
	Key    string            `long:"key" description:"handing a job in again with the same key does not create it again"`
	Wait   bool              `long:"wait" description:"wait until the job has ended"`
	Args   struct {
		Template string `positional-arg-name:"TEMPLATE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *submitCommand) Execute([]string) error {
	ctx, c := context.Background(), newClient()
	req := api.JobRequest{Template: s.Args.Template, Params: s.Params, Tasks: s.Tasks, Hall: s.Hall}
	if s.Start != "" {
		at, err := time.Parse(time.RFC3339, s.Start)
		if err != nil {
			return &UsageError{fmt.Sprintf("--start: %q is not a time such as 2026-12-31T00:00:00Z", s.Start)}
		}
		req.Start = at
	}
	created, err := submit(ctx, c, req, s.Key)
	if err != nil {
		return err
	}
	if s.Wait {
		return waitFor(ctx, c, created.ID)
	}
	if options.JSON {
		return printJSON(created)
	}
	fmt.Fprintln(out, created.ID)
	return nil
}

func submit(ctx context.Context, c *client.Client, req api.JobRequest, key string) (api.JobCreated, error) {
	call := client.Call{Method: http.MethodPost, Path: "/v1/jobs", Header: http.Header{}}
	if key != "" {
		call.Header.Set(api.HeaderKey, key)
	}
	return client.Do[api.JobCreated](ctx, c, call, req)
}

const waitEvery = 500 * time.Millisecond

// waitFor waits until a job has ended, and shows how it gets on.
func waitFor(ctx context.Context, c *client.Client, id job.ID) error {
	last := ""
	for {
		s, err := client.Get[hall.JobStatus](ctx, c, "/v1/jobs/"+string(id), nil)
		if err != nil {
			return err
		}
		if now := counts(s.Counts); now != last && !options.JSON {
			fmt.Fprintf(out, "%s %s\n", id, now)
			last = now
		}
		if s.Final() {
			return ended(s)
		}
		time.Sleep(waitEvery)
	}
}

// JobError says that a job ended without being done.
type JobError struct {
	ID     job.ID
	Counts string
}

func (e *JobError) Error() string { return fmt.Sprintf("job %s ended: %s", e.ID, e.Counts) }

func ended(s hall.JobStatus) error {
	if options.JSON {
		if err := printJSON(s); err != nil {
			return err
		}
	}
	if s.Counts[job.Done] < s.Job.Tasks {
		return &JobError{s.Job.ID, counts(s.Counts)}
	}
	return nil
}

// counts writes how many tasks are in which state.
func counts(m map[job.State]int) string {
	var parts []string
	for _, s := range []job.State{job.Waiting, job.Running, job.Done, job.Failed, job.Unknown, job.Stopped} {
		if m[s] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", m[s], s))
		}
	}
	return strings.Join(parts, ", ")
}

type jobsCommand struct {
	All     bool   `long:"all" description:"all accounts' jobs, as an operator"`
	Account string `long:"account" description:"one account's jobs, as an operator"`
	Args    struct {
		ID string `positional-arg-name:"JOB"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (j *jobsCommand) Execute([]string) error {
	ctx, c := context.Background(), newClient()
	path, query := "/v1/jobs", url.Values{}
	if j.All || j.Account != "" {
		path = "/v1/all/jobs"
		query.Set("account", j.Account)
	}
	if j.Args.ID != "" {
		return showJob(ctx, c, path+"/"+j.Args.ID)
	}
	l, err := client.Get[api.Listing[hall.JobStatus]](ctx, c, path, query)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(l)
	}
	t := newTable("JOB", "ACCOUNT", "TEMPLATE", "AGE", "TASKS")
	for _, s := range l.Items {
		t.row(string(s.Job.ID), s.Job.Account, s.Job.Template.Name, rough(time.Since(s.Job.Created)), counts(s.Counts))
	}
	warnSilent(l.Unresponsive)
	return t.flush()
}

func showJob(ctx context.Context, c *client.Client, path string) error {
	s, err := client.Get[hall.JobStatus](ctx, c, path, nil)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(s)
	}
	fmt.Fprintf(out, "%s  template %s, account %s, revision %d, created %s: %s\n", s.Job.ID, s.Job.Template.Name,
		s.Job.Account, s.Job.Revision, s.Job.Created.Format(time.DateTime), counts(s.Counts))
	t := newTable("TASK", "STATE", "ATTEMPTS", "WORKER", "CHANGED", "RESULT")
	for _, k := range s.Tasks {
		t.row(strconv.Itoa(k.Index), string(k.State), strconv.Itoa(k.Attempts), k.Worker, k.Changed.Format(time.TimeOnly), string(k.Result))
	}
	return t.flush()
}

type stopCommand struct {
	Args struct {
		ID string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *stopCommand) Execute([]string) error {
	call := client.Call{Method: http.MethodDelete, Path: "/v1/jobs/" + s.Args.ID}
	_, err := client.Do[api.JobCreated](context.Background(), newClient(), call, nil)
	if err == nil && !options.JSON {
		fmt.Fprintln(out, s.Args.ID, "is being stopped")
	}
	return err
}

type settleCommand struct {
	Args struct {
		ID    string `positional-arg-name:"JOB" required:"yes"`
		Task  int    `positional-arg-name:"TASK" required:"yes"`
		State string `positional-arg-name:"done|failed|waiting" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *settleCommand) Execute([]string) error {
	call := client.Call{Method: http.MethodPost, Path: "/v1/jobs/" + s.Args.ID + "/settle"}
	body := cell.Settlement{Task: s.Args.Task, State: job.State(s.Args.State)}
	_, err := client.Do[cell.Settlement](context.Background(), newClient(), call, body)
	if err == nil && !options.JSON {
		fmt.Fprintf(out, "task %d of %s is %s\n", s.Args.Task, s.Args.ID, s.Args.State)
	}
	return err
}
