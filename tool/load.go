package tool

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/xid"

	"chutereach/api"
	"chutereach/client"
	"chutereach/hall"
	"chutereach/job"
	"chutereach/route"
)

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
			wg.Go(func() { r.send(ctx, c.WithToken(q.token).StartingAt(i), q, at) })
		}
	}
	for _, w := range e.work {
		for i := range w.jobs {
			wg.Go(func() { r.handIn(ctx, c.WithToken(w.token).StartingAt(i), w) })
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
