package tool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/dustin/go-humanize"
	"github.com/rs/xid"

	"chutereach/api"
	"chutereach/box"
	"chutereach/cell"
	"chutereach/client"
	"chutereach/config"
	"chutereach/declare"
	"chutereach/hall"
	"chutereach/ini"
	"chutereach/job"
	"chutereach/publish"
	"chutereach/route"
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
		more, err := declare.Open(b.Examples + "/" + dir)
		if err != nil {
			return err
		}
		files = append(files, more...)
	}
	set, err := declare.Files(files...)
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
		c.Spread()
		got, err := submit(ctx, c, req, key)
		code := exitCode(err)
		if err == nil || n == submitTries || code != ExitUnavailable && code != ExitUnknown {
			return got, err
		}
		time.Sleep(pollEvery)
	}
}

// burstResult is what became of one burst.
type burstResult struct {
	burst
	mu     sync.Mutex
	took   map[string]*hdrhistogram.Histogram // microseconds, by stream
	refuse map[string]int                     // by stream: not run
	lost   map[string]int                     // by stream: unknown
	jobs   map[job.ID]string                  // token, of accepted jobs
	tasks  int
	done   atomic.Int64  // tasks
	drain  time.Duration // until the last job had ended
	shown  int           // jobs ended, as last shown
	broken []string
}

const (
	longest = int64(time.Minute / time.Microsecond)
	digits  = 3
)

// run sends everything at one moment.
func (e burst) run(ctx context.Context, c *client.Client) *burstResult {
	r := &burstResult{
		burst: e, took: map[string]*hdrhistogram.Histogram{}, refuse: map[string]int{},
		lost: map[string]int{}, jobs: map[job.ID]string{},
	}
	var wg sync.WaitGroup
	moment := time.Now()
	for _, q := range e.requests {
		r.took[q.name] = hdrhistogram.New(1, longest, digits)
		for i := range q.count {
			at := moment.Add(q.within * time.Duration(i) / time.Duration(q.count))
			wg.Go(func() { r.send(ctx, c.WithToken(q.token), q, at) })
		}
	}
	for _, w := range e.work {
		for range w.jobs {
			wg.Go(func() { r.handIn(ctx, c.WithToken(w.token), w) })
		}
	}
	wg.Wait()
	return r
}

// send sends one request at its moment and checks that the answer is its own.
func (r *burstResult) send(ctx context.Context, c *client.Client, q interactive, at time.Time) {
	time.Sleep(time.Until(at))
	id := xid.New().String()
	call := client.Call{Method: http.MethodGet, Path: "/v1/call/" + q.route + q.path, Header: http.Header{api.HeaderRequest: {id}}}
	if q.keyed {
		call.Method, call.Body = http.MethodPost, []byte("redeem 10 for "+id)
		call.Header.Set(api.HeaderKey, id)
	}
	resp, err := c.Send(ctx, call)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed(q, err)
		return
	}
	r.took[q.name].RecordValue(min(time.Since(at).Microseconds(), longest))
	if !strings.Contains(string(resp.Body), "answered "+id+"\n") || q.keyed && !strings.HasSuffix(string(resp.Body), string(call.Body)) {
		r.broken = append(r.broken, "request "+id+" got another's answer")
	}
}

func (r *burstResult) failed(q interactive, err error) {
	var e *client.Error
	if errors.As(err, &e) && e.Outcome == route.NotRun {
		r.refuse[q.name]++
		return
	}
	r.lost[q.name]++
}

func (r *burstResult) handIn(ctx context.Context, c *client.Client, w batchWork) {
	req := api.JobRequest{Template: w.template, Params: w.params, Tasks: w.tasks}
	got, err := submitSurely(ctx, c, req, "burst-"+xid.New().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		fmt.Fprintf(os.Stderr, "chutereach: %s was not accepted: %v\n", w.template, err)
		r.refuse[w.template]++
		return
	}
	r.jobs[got.ID] = w.token
	r.tasks += w.tasks
}

// await waits until every accepted job has ended.
func (r *burstResult) await(ctx context.Context, c *client.Client, limit time.Duration) {
	begun := time.Now()
	open := map[job.ID]string{}
	for id, token := range r.jobs {
		open[id] = token
	}
	err := poll(limit, func() (bool, error) {
		for id, token := range open {
			s, err := client.Get[hall.JobStatus](ctx, c.WithToken(token), "/v1/jobs/"+string(id), nil)
			if err != nil || !s.Final() {
				continue
			}
			r.done.Add(int64(s.Counts[job.Done]))
			delete(open, id)
		}
		r.progress(len(r.jobs) - len(open))
		return len(open) == 0, nil
	})
	r.drain = time.Since(begun)
	if err != nil || len(open) > 0 {
		for id := range open {
			r.broken = append(r.broken, fmt.Sprintf("job %s has not ended", id))
		}
	}
}

// progress tells how many jobs have ended, when that has changed.
func (r *burstResult) progress(ended int) {
	if ended == r.shown {
		return
	}
	r.shown = ended
	fmt.Fprintf(os.Stderr, "  %d of %d jobs have ended\n", ended, len(r.jobs))
}

// costs is what the cell has used so far.
type costs struct {
	CPU      time.Duration            `json:"cpu_ns"`
	Heap     uint64                   `json:"largest_heap_bytes"`
	Sent     int64                    `json:"table_transactions"`
	Placed   int64                    `json:"placed"`
	Resident uint64                   `json:"largest_resident_bytes"`
	Peers    int64                    `json:"peer_bytes"`
	boxes    map[string]time.Duration // by incarnation, so that a restart counts
}

func (a costs) since(b costs) costs {
	a.CPU = 0
	for box, used := range a.boxes {
		a.CPU += used - b.boxes[box]
	}
	a.Sent -= b.Sent
	a.Peers -= b.Peers
	a.Placed -= b.Placed
	return a
}

func (b *burstCommand) costs(ctx context.Context, c *client.Client) costs {
	sum := costs{boxes: map[string]time.Duration{}}
	for _, server := range c.Servers() {
		v, err := client.Get[struct {
			Chutereach box.Metrics `json:"chutereach"`
		}](ctx, c.WithServer(server), "/debug/vars", nil)
		if err != nil {
			continue // it may have been killed on purpose
		}
		m := v.Chutereach
		sum.boxes[m.Incarnation] = m.CPU
		sum.Heap = max(sum.Heap, m.Heap)
		sum.Resident = max(sum.Resident, m.Resident)
		sum.Peers += m.PeerBytes
		sum.Sent += m.Table.Sent
		for _, u := range m.Units {
			sum.Placed += u.Placed
		}
	}
	return sum
}

// IdleSummary is what a cell costs that has nothing to do but keep its services.
type IdleSummary struct {
	Took     time.Duration `json:"took_ns"`
	Boxes    int           `json:"boxes"`
	CPU      float64       `json:"cpu_percent_of_a_core_each"`
	Heap     uint64        `json:"largest_heap_bytes"`
	Resident uint64        `json:"largest_resident_bytes"`
	Peers    float64       `json:"peer_bytes_a_second_each"`
	Commits  float64       `json:"table_transactions_a_second"`
	Reads    float64       `json:"table_reads_a_second"`
}

// idle measures a cell at rest.
func (b *burstCommand) idle(ctx context.Context, c *client.Client) error {
	time.Sleep(settle)
	before, begun := b.costs(ctx, c), time.Now()
	seen, err := b.witnessed()
	if err != nil {
		return err
	}
	time.Sleep(b.Idle)
	after := b.costs(ctx, c).since(before)
	now, err := b.witnessed()
	if err != nil {
		return err
	}
	took := time.Since(begun)
	s := IdleSummary{Took: took, Boxes: len(c.Servers()), Heap: after.Heap, Resident: after.Resident}
	const percent = 100
	s.CPU = percent * after.CPU.Seconds() / took.Seconds() / float64(s.Boxes)
	s.Peers = float64(after.Peers) / took.Seconds() / float64(s.Boxes)
	s.Commits = float64(now.Commits-seen.Commits) / took.Seconds()
	s.Reads = float64(now.Reads-seen.Reads) / took.Seconds()
	if options.JSON {
		return printJSON(s)
	}
	fmt.Fprintf(out, "%d idle boxes over %s: %.2f%% of a core each, largest heap %s, largest resident set %s, %s a second of calls to peers each, %.1f transactions/s and %.1f reads/s at the table\n",
		s.Boxes, rough(took), s.CPU, humanize.IBytes(s.Heap), humanize.IBytes(s.Resident), humanize.IBytes(uint64(s.Peers)), s.Commits, s.Reads)
	return nil
}

// settle is how long a cell is left alone before it counts as idle.
const settle = 5 * time.Second

// judge compares what the callers were told with what the workers saw.
func (b *burstCommand) judge(results []*burstResult) []string {
	if b.Witness == "" {
		return nil
	}
	w, err := b.witnessed()
	if err != nil {
		return []string{"the witness does not answer: " + err.Error()}
	}
	broken := w.Broken
	for _, r := range results {
		broken = append(broken, r.judge(w)...)
	}
	return broken
}

// witnessed asks the stand-in what its workers saw.
func (b *burstCommand) witnessed() (w Witnessed, err error) {
	resp, err := http.Get(b.Witness + witnessPath)
	if err != nil {
		return w, err
	}
	defer resp.Body.Close()
	return w, json.NewDecoder(resp.Body).Decode(&w)
}

func (r *burstResult) judge(w Witnessed) []string {
	var broken []string
	for id := range r.jobs {
		for task := 0; ; task++ {
			name := string(id) + "/" + strconv.Itoa(task)
			if w.Starts[name] == 0 {
				break
			}
			if w.Ends[name] != 1 {
				broken = append(broken, fmt.Sprintf("task %s ran to its end %d times", name, w.Ends[name]))
			}
		}
	}
	return broken
}
