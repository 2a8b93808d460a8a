package cases

import (
	"encoding/json"
	"fmt"
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
	f        *fleet
	id, zone string
	labels   []string
	cpu, mem float64
	server   *http.Server
	addr     string
	begun    time.Time
	mu       sync.Mutex
	token    uint64
	lease    int64 // clock at which the lease ends
	running  map[string]*run
	highest  map[string]int
	ended    []end
	n        int
	changed  chan struct{}
}

type run struct {
	task    string
	attempt int
	from    time.Time
	work    time.Duration
	how     string
	stopped bool
	saved   string
	saves   time.Duration // how many checkpoints were written
}

type end struct {
	N       int
	Task    string
	Attempt int
	How     string
	Saved   string
}

func (f *fleet) add(service, zone string, cpu, mem float64, labels ...string) *worker {
	f.mu.Lock()
	f.next++
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{f: f, id: fmt.Sprintf("i-%08x", 0xa0000000+f.next*7919), zone: zone, labels: labels, cpu: cpu, mem: mem, addr: l.Addr().String(),
		begun: time.Now().Add(-time.Minute), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(421)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go w.server.Serve(l)
	w.enter(service)
	go w.ticks()
	return w
}

func (w *worker) enter(service string) {
	w.f.b.store.put("servers", w.id, map[string]any{"service": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"warmupLeftMs": 0, "seq": 1, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem}, "labels": w.labels})
}

func (w *worker) clock() int64 { return time.Since(w.begun).Milliseconds() }

// ticks ends work and leases.
func (w *worker) ticks() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.running {
			if every := w.f.saveEvery; every > 0 && now.Sub(r.from)/every > r.saves {
				r.saves = now.Sub(r.from) / every
				r.saved = text(w.f.saveSize, r.task)
			}
			switch {
			case w.clock() > w.lease:
				w.endLocked(r, "lapsed")
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
	w.n++
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.ended = append(w.ended, end{w.n, r.task, r.attempt, how, r.saved})
	w.f.b.note("worker %s: run %d of %s ends %s", w.id, r.attempt, r.task, how)
	w.f.b.judge.ended(r)
	close(w.changed)
	w.changed = make(chan struct{})
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
	if o.Token < w.token {
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, 409, map[string]any{"clockMs": clock, "reason": "fence"})
		return o, false
	}
	w.token = o.Token
	return o, true
}

func (w *worker) extend(deadline int64) {
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
		w.f.b.note("worker %s: run %d of %s begins (token %d)", w.id, o.Attempt, o.Task, o.Token)
		w.f.b.judge.started(x)
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
			w.endLocked(x, "stopped")
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
