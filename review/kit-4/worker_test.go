package cases

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// fleet is a set of stand-in workers.
type fleet struct {
	b       *bed
	mu      sync.Mutex
	workers []*worker
	next    int
	// plan tells for how long an attempt works, and how it ends.
	plan func(w *worker, task string, attempt int) (time.Duration, string)
	// saveEvery is after how much work a checkpoint is renewed, and saveSize its length; 0: no checkpoints.
	saveEvery time.Duration
	saveSize  int
}

type worker struct {
	f         *fleet
	id, zone  string
	labels    []string
	cpu, mem  float64
	server    *http.Server
	addr      string
	begun     time.Time
	mu        sync.Mutex
	token     uint64
	lease     int64 // clock at which the lease ends
	running   map[string]*run
	highest   map[string]int
	ended     []end
	n, seen   int
	changed   chan struct{}
	dead      bool
	silent    bool // machine without power: open and new connections hang
	draining  bool
	fault     func(path string) doorFault
	stopBeat  context.CancelFunc
	bornOrder int
	lapsed    time.Time // when the lease was last found to have run out
}

type run struct {
	task    string
	attempt int
	from    time.Time
	work    time.Duration
	how     string
	stopped bool
	saved   string
	gang    *gang
	saves   time.Duration // how many checkpoints were written
}

// gang is one run of a gang.
type gang struct {
	mu      sync.Mutex
	size    int
	members map[string]bool // that are present
	joined  int
	since   time.Time // when all were present
	broken  time.Time
}

// look returns how a member that waits or works ends now, or "".
func (g *gang) look(r *run, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.broken.IsZero() && now.Sub(g.broken) > 30*time.Millisecond:
		return "broken"
	case g.since.IsZero() && now.Sub(r.from) > 3*time.Second:
		return "alone"
	case !g.since.IsZero() && now.Sub(g.since) > r.work:
		return r.how
	}
	return ""
}

func (g *gang) leave(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how != "done" && how != "failed" && g.broken.IsZero() || how == "failed" && g.broken.IsZero() {
		g.broken = time.Now()
	}
}

type end struct {
	N       int
	Task    string
	Attempt int
	How     string
	Saved   string
	at      time.Time
}

func (f *fleet) add(service, zone string, cpu, mem float64, labels ...string) *worker {
	f.mu.Lock()
	f.next++
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{f: f, id: fmt.Sprintf("i-%08x", 0xa0000000+f.next*7919), zone: zone, labels: labels, cpu: cpu, mem: mem, addr: l.Addr().String(),
		begun: time.Now().Add(-time.Minute), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), bornOrder: f.next}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		silent, dead, fl := w.silent, w.dead, w.fault
		w.mu.Unlock()
		var fault doorFault
		if fl != nil {
			fault = fl(r.URL.Path)
		}
		if fault.Late > 0 && !silent && !dead {
			body, _ := io.ReadAll(r.Body)
			late := r.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(fault.Late, func() {
				w.mu.Lock()
				gone := w.dead
				w.mu.Unlock()
				if !gone {
					w.f.b.note("worker %s carries out %s late: %s", w.id, r.URL.Path, body)
					mux.ServeHTTP(&nowhere{h: http.Header{}}, late)
				}
			})
			<-r.Context().Done()
			return
		}
		if fault.Lost && !silent && !dead {
			mux.ServeHTTP(&nowhere{h: http.Header{}}, r)
			<-r.Context().Done()
			return
		}
		switch {
		case silent || fault.Silent:
			<-r.Context().Done()
			return
		case dead:
			panic(http.ErrAbortHandler)
		case fault.Status != 0:
			rw.WriteHeader(fault.Status)
			return
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
			rw.WriteHeader(421)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go w.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	w.stopBeat = cancel
	w.enter(service)
	go w.ticks(ctx)
	return w
}

func (w *worker) enter(service string) {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.f.b.store.put("servers", w.id, map[string]any{"service": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"warmupLeftMs": 0, "seq": 1, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem}, "labels": w.labels})
}

func (w *worker) clock() int64 { return time.Since(w.begun).Milliseconds() }

// ticks ends work and leases.
func (w *worker) ticks(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.running {
			if every := w.f.saveEvery; every > 0 && now.Sub(r.from)/every > r.saves {
				r.saves = now.Sub(r.from) / every
				r.saved = text(w.f.saveSize, r.task)
			}
			switch {
			case w.dead:
			case w.clock() > w.lease:
				w.endLocked(r, "lapsed")
			case r.gang != nil && !r.stopped:
				if how := r.gang.look(r, now); how != "" {
					w.endLocked(r, how)
				}
			case r.work > 0 && now.Sub(r.from) >= r.work && !r.stopped:
				w.endLocked(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endLocked(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	if r.gang != nil {
		r.gang.leave(how)
	}
	w.n++
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ended = append(w.ended, end{w.n, r.task, r.attempt, how, r.saved, time.Now()})
	w.f.b.note("worker %s: run %d of %s ends %s", w.id, r.attempt, r.task, how)
	w.f.b.judge.ended(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// lose takes the worker away for good without a word: nothing runs there any more and nothing is answered.
func (w *worker) lose() {
	w.mu.Lock()
	w.dead, w.silent = true, true
	for _, r := range w.running {
		w.f.b.note("worker %s: run %d of %s is gone", w.id, r.attempt, r.task)
		if r.gang != nil {
			r.gang.leave("gone")
		}
		w.f.b.judge.ended(w, r, "gone")
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	w.stopBeat()
	time.AfterFunc(4500*time.Millisecond, func() { w.f.b.store.remove("servers", w.id) })
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Seen       int    `json:"lastSeen"`
	Wait       int    `json:"waitMs"`
}

// take decodes an order and checks its token. It returns with the lock held if ok.
func (w *worker) take(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(400)
		return o, false
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		<-r.Context().Done()
		return o, false
	}
	if o.Token < w.token {
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, 409, map[string]any{"clockMs": clock, "reason": "fence"})
		return o, false
	}
	w.token = o.Token
	return o, true
}

// lapsedAfter reports whether the lease has run out at some time after an end.
func (w *worker) lapsedAfter(e end) bool { return w.lapsed.After(e.at) || w.clock() > w.lease }

func (w *worker) extend(deadline int64) {
	if w.clock() > w.lease {
		w.lapsed = time.Now()
	}
	w.lease = max(w.lease, min(deadline, w.clock()+6000))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if o.Deadline < w.clock() {
		answer(rw, 409, map[string]any{"clockMs": w.clock(), "reason": "late"})
		return
	}
	w.extend(o.Deadline)
	have := w.running[o.Task]
	switch {
	case have != nil && have.attempt == o.Attempt:
	case have != nil || o.Attempt <= w.highest[o.Task]:
		answer(rw, 409, map[string]any{"clockMs": w.clock(), "reason": "old"})
		return
	default:
		work, how := time.Second, "done"
		if w.f.plan != nil {
			work, how = w.f.plan(w, o.Task, o.Attempt)
		}
		x := &run{task: o.Task, attempt: o.Attempt, from: time.Now(), work: work, how: how, saved: o.Checkpoint}
		w.running[o.Task] = x
		w.f.b.judge.join(x)
		w.f.b.note("worker %s: run %d of %s begins (token %d)", w.id, o.Attempt, o.Task, o.Token)
		w.f.b.judge.started(w, x, o)
	}
	answer(rw, 200, map[string]any{"clockMs": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if x := w.running[o.Task]; x != nil && x.attempt <= o.Attempt && !x.stopped {
		x.stopped = true
		w.f.b.note("worker %s: run %d of %s is told to stop", w.id, x.attempt, x.task)
		time.AfterFunc(100*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead {
				w.endLocked(x, "stopped")
			}
		})
	}
	answer(rw, 200, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0].N <= o.Seen {
		w.f.b.judge.noted(w.ended[0], w.lapsedAfter(w.ended[0]))
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.running {
		percent := 100
		if x.work > 0 {
			percent = min(99, int(100*time.Since(x.from)/x.work))
		}
		running = append(running, []any{x.task, x.attempt, x.saved, percent, 100})
	}
	for i, e := range w.ended {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.N, e.Task, e.Attempt, e.How, e.Saved})
	}
	clock := w.clock()
	w.mu.Unlock()
	answer(rw, 200, map[string]any{"clockMs": clock, "running": running, "finished": finished})
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }
