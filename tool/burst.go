package tool

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"chutereach/api"
	"chutereach/cell"
	"chutereach/client"
	"chutereach/config"
	"chutereach/declare"
	"chutereach/hall"
	"chutereach/ini"
	"chutereach/job"
	"chutereach/publish"
)

// burstCommand is the main job of the README: both users' bursts at once.
type burstCommand struct {
	Examples string        `long:"examples" default:"examples" description:"directory with manizales and guild in it"`
	Witness  string        `long:"witness" description:"the stand-in's address, to judge by what its workers saw"`
	Idle     time.Duration `long:"idle" description:"look at the idle cell for this long instead of sending bursts"`
	Scale    float64       `long:"scale" default:"1" description:"how large the bursts are"`
	Wait     time.Duration `long:"wait" default:"3m" description:"for how long jobs may take to end"`
}

// interactive is one stream of requests within a burst.
type interactive struct {
	name, token, route, path string
	count                    int
	keyed                    bool
	within                   time.Duration // over which they arrive
}

// batchWork is the jobs of one template within a burst.
type batchWork struct {
	token, template string
	params          map[string]string
	jobs, tasks     int
}

// burst is one event of an example deployment.
type burst struct {
	name     string
	requests []interactive
	work     []batchWork
}

// bursts are the events of the brief: a month end and an opening hour.
func bursts(scale float64) []burst {
	n := func(base int) int { return max(1, int(float64(base)*scale)) }
	return []burst{
		{"month end, Manizales", []interactive{
			{"balance checks", "kiosks", "balance", "/account", n(6000), false, time.Second},
			{"redemptions", "kiosks", "redeem", "/account", n(300), true, time.Second},
		}, []batchWork{
			{"billing", "recalculation", map[string]string{"month": "2026-11"}, n(40), 10},
			{"billing", "statements", nil, n(20), 10},
		}},
		{"opening hour, Guild", []interactive{
			{"part lookups", "shops", "lookup", "/board", n(6000), false, time.Second},
		}, []batchWork{
			{"shops", "diagnostic", nil, n(60), 1},
			{"shops", "claims", nil, n(20), 10},
		}},
	}
}

// services are the jobs that serve requests: one in each hall.
var services = []struct {
	token, template string
	halls           []string
}{
	{"billing", "points", []string{"chipre", "palermo", "villamaria", "la-cabana"}},
	{"shops", "desk", []string{"burnaby", "surrey", "richmond"}},
}

// PromiseError says that a run broke what must always hold.
type PromiseError struct{ Broken []string }

func (e *PromiseError) Error() string { return "promises were broken: " + strings.Join(e.Broken, "; ") }

// Execute implements flags.Commander.
func (b *burstCommand) Execute([]string) error {
	ctx, c := context.Background(), newClient()
	if err := b.prepare(ctx, c); err != nil {
		return err
	}
	if b.Idle > 0 {
		return b.idle(ctx, c)
	}
	before, begun := b.costs(ctx, c), time.Now()
	var results []*burstResult
	for _, e := range bursts(b.Scale) {
		fmt.Fprintf(os.Stderr, "%s ...\n", e.name)
		r := e.run(ctx, c)
		results = append(results, r)
		r.await(ctx, c, b.Wait)
	}
	after := b.costs(ctx, c)
	s := Summary{Took: time.Since(begun), Cost: after.since(before)}
	for _, r := range results {
		s.Bursts = append(s.Bursts, r.summary())
		s.Broken = append(s.Broken, r.broken...)
	}
	if status, err := getStatus(c); err == nil {
		s.Units = status.Units
	}
	s.Broken = append(s.Broken, b.judge(results)...)
	return s.report()
}

// prepare applies the examples, starts the services and waits until they serve.
func (b *burstCommand) prepare(ctx context.Context, c *client.Client) error {
	if err := waitReady(ctx, c); err != nil {
		return err
	}
	if err := b.apply(ctx, c); err != nil {
		return err
	}
	if err := waitInForce(ctx, c); err != nil {
		return err
	}
	want := map[string]job.ID{}
	for _, s := range services {
		for _, h := range s.halls {
			req := api.JobRequest{Template: s.template, Hall: h}
			got, err := submitSurely(ctx, c.WithToken(s.token), req, "burst-service-"+s.template+"-"+h)
			if err != nil {
				return err
			}
			want[s.token+" "+string(got.ID)] = got.ID
		}
	}
	fmt.Fprintf(os.Stderr, "waiting for %d services ...\n", len(want))
	return waitServices(ctx, c, want)
}

const (
	prepareLimit = time.Minute
	pollEvery    = 200 * time.Millisecond
)

// poll calls done until it says so or the limit is over; then it returns the
// last error.
func poll(limit time.Duration, done func() (bool, error)) error {
	for end := time.Now().Add(limit); ; time.Sleep(pollEvery) {
		ok, err := done()
		if ok || time.Now().After(end) {
			return err
		}
	}
}

// NotReadyError says that the cell did not get ready.
type NotReadyError struct{ What string }

func (e *NotReadyError) Error() string { return "not ready in time: " + e.What }

func waitReady(ctx context.Context, c *client.Client) error {
	return poll(prepareLimit, func() (bool, error) {
		s, err := client.Get[cell.Status](ctx, c, "/v1/status", nil)
		if err != nil {
			return false, err
		}
		if len(s.Boxes) < len(c.Servers()) {
			return false, &NotReadyError{"boxes"}
		}
		return true, nil
	})
}

// waitInForce waits until every box has the newest revision.
func waitInForce(ctx context.Context, c *client.Client) error {
	return poll(prepareLimit, func() (bool, error) {
		s, err := client.Get[cell.Status](ctx, c, "/v1/status", nil)
		if err != nil {
			return false, err
		}
		for _, b := range s.Boxes {
			if b.Revision < s.Revision || b.Revision == 0 {
				return false, &NotReadyError{"revision on " + b.Name}
			}
		}
		return true, nil
	})
}

func (b *burstCommand) apply(ctx context.Context, c *client.Client) error {
	set := config.NewSet()
	var files []*ini.File
	for _, dir := range []string{"manizales", "guild"} {
		more, err := declare.ParseDir(b.Examples + "/" + dir)
		if err != nil {
			return err
		}
		files = append(files, more...)
	}
	set, err := declare.FromFiles(files...)
	if err != nil {
		return err
	}
	current, err := client.Get[config.Revision](ctx, c, "/v1/config", nil)
	if err != nil || len(config.Diff(current.Set, set)) == 0 {
		return err
	}
	p := publish.Proposal{Base: current.Number, Set: set, Author: author(), Message: "both examples"}
	_, err = client.Do[config.Revision](ctx, c, client.Call{Method: http.MethodPost, Path: "/v1/config"}, p)
	return err
}

func waitServices(ctx context.Context, c *client.Client, want map[string]job.ID) error {
	return poll(prepareLimit, func() (bool, error) {
		for who, id := range want {
			token, _, _ := strings.Cut(who, " ")
			s, err := client.Get[hall.JobStatus](ctx, c.WithToken(token), "/v1/jobs/"+string(id), nil)
			if err != nil {
				return false, err
			}
			if s.Counts[job.Running] < s.Job.Tasks {
				return false, &NotReadyError{string(id) + " has " + counts(s.Counts)}
			}
		}
		time.Sleep(2 * time.Second) // until every box has heard of the upstreams
		return true, nil
	})
}

const submitTries = 30

// submitSurely hands a job in until its fate is known; the key makes that safe.
func submitSurely(ctx context.Context, c *client.Client, req api.JobRequest, key string) (api.JobCreated, error) {
	for n := 1; ; n++ {
		c.AdvanceServer()
		got, err := submit(ctx, c, req, key)
		code := exitCode(err)
		if err == nil || n == submitTries || code != ExitUnavailable && code != ExitUnknown {
			return got, err
		}
		time.Sleep(pollEvery)
	}
}
