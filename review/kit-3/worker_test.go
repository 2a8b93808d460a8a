package kit3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is all workers of a case, with what they have run.
type fleet struct {
	store *store
	mu    sync.Mutex
	runs  []*run
	// plan says how long a run works and how it ends.
	plan func(task string, attempt int, spec string) (time.Duration, string)
	// started, if not nil, is called with each start.
	started func(w *worker, r *run)
	advice  *advice // nil if starts need no ticket
	number  int
}

// run is a start that a worker has carried out.
type run struct {
	task     string
	attempt  int
	spec     string
	given    string // checkpoint of the start
	worker   *worker
	token    uint64
	began    time.Time
	ended    time.Time
	how      string
	work     time.Duration
	timer    *time.Timer
	noted    time.Time // when lastSeen reached its end
	sequence uint64
}

// worker is one life of a worker.
type worker struct {
	fleet   *fleet
	id      string
	address string
	zone    string
	labels  []string
	server  *http.Server
	mu      sync.Mutex
	begun   time.Time
	token   uint64
	until   int64 // deadline by its clock
	lease   *time.Timer
	running map[string]*run
	highest map[string]int
	ends    []*run
	next    uint64
	changed chan struct{}
	dead    bool
	silent  bool // leaves calls unanswered
	beat    chan struct{}
}

const holdMax = 6000 // ms

func newFleet(s *store) *fleet { return &fleet{store: s} }

// add starts a worker at an address; an empty one means a free one.
func (f *fleet) add(address, zone string, labels ...string) *worker {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		cannotRun("worker: %v", err)
	}
	f.mu.Lock()
	f.number++
	id := fmt.Sprintf("i-%04d", f.number)
	f.mu.Unlock()
	w := &worker{fleet: f, id: id, address: l.Addr().String(), zone: zone, labels: labels, begun: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), beat: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go w.server.Serve(l)
	w.publish("ready")
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-w.beat:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	return w
}

func (w *worker) publish(state string) {
	w.fleet.store.put("servers", w.id, map[string]any{
		"service": "desk", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "warmupLeftMs": 0, "seq": 1,
		"capacity": map[string]any{"cpu": 16000, "memMb": 65536, "gpu": 0}, "labels": w.labels,
	})
}

// crash ends the worker's process. Its entry goes after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	for _, r := range w.running {
		r.timer.Stop()
		w.fleet.mu.Lock()
		r.ended, r.how = time.Now(), "crash"
		w.fleet.mu.Unlock()
	}
	w.running = map[string]*run{}
	close(w.beat)
	w.mu.Unlock()
	w.server.Close()
	time.AfterFunc(4500*time.Millisecond, func() { w.fleet.store.remove("servers", w.id) })
}

// percent is how far a run is; 100 for one that lasts, as it is at work.
func (r *run) percent() int {
	if r.work >= time.Hour {
		return 100
	}
	return int(min(99, 100*time.Since(r.began)/max(1, r.work)))
}

func (w *worker) clock() int64 { return time.Since(w.begun).Milliseconds() + 1 }

type orderBody struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Seen       uint64 `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

func (w *worker) read(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// extend takes a deadline. w.mu is held.
func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+holdMax)
	if deadline <= w.until {
		return
	}
	w.until = deadline
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Duration(deadline-w.clock())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.dead || w.clock() < w.until {
			return
		}
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

// end ends a run. w.mu is held.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.next++
	r.sequence = w.next
	w.fleet.mu.Lock()
	r.ended, r.how = time.Now(), how
	w.fleet.mu.Unlock()
	w.ends = append(w.ends, r)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) start(rw http.ResponseWriter, req *http.Request) {
	o, ok := w.read(rw, req)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	if o.Deadline < w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Deadline)
	if r := w.running[o.Task]; r != nil && r.attempt == o.Attempt {
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	}
	if o.Attempt <= w.highest[o.Task] || w.running[o.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	if w.fleet.advice != nil && !w.fleet.advice.accepts(o.Ticket, o.Task, w.id) {
		w.refuse(rw, "ticket")
		return
	}
	work, how := time.Second, "done"
	if w.fleet.plan != nil {
		work, how = w.fleet.plan(o.Task, o.Attempt, o.Spec)
	}
	r := &run{task: o.Task, attempt: o.Attempt, spec: o.Spec, given: o.Checkpoint, worker: w, token: o.Token, began: time.Now(), work: work}
	w.running[o.Task] = r
	r.timer = time.AfterFunc(work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.dead {
			w.end(r, how)
		}
	})
	w.fleet.mu.Lock()
	w.fleet.runs = append(w.fleet.runs, r)
	w.fleet.mu.Unlock()
	record("worker %s starts %s attempt %d token %d", w.id, o.Task, o.Attempt, o.Token)
	if w.fleet.started != nil {
		go w.fleet.started(w, r)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, req *http.Request) {
	o, ok := w.read(rw, req)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r := w.running[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(100*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead {
				w.end(r, "stopped")
			}
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, req *http.Request) {
	o, ok := w.read(rw, req)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.token = o.Token
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	var kept []*run
	for _, r := range w.ends {
		if r.sequence > o.Seen {
			kept = append(kept, r)
			continue
		}
		w.fleet.mu.Lock()
		r.noted = time.Now()
		w.fleet.mu.Unlock()
	}
	w.ends = kept
	if len(w.ends) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, "", r.percent(), 100})
	}
	for _, r := range w.ends[:min(500, len(w.ends))] {
		finished = append(finished, []any{r.sequence, r.task, r.attempt, r.how, ""})
	}
	clock := w.clock()
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"clockMs": clock, "running": running, "finished": finished})
}

// list returns a copy of all runs.
func (f *fleet) list() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]run, 0, len(f.runs))
	for _, r := range f.runs {
		list = append(list, *r)
	}
	return list
}

// jobOf returns the job of a task, and its K, step and index.
func jobOf(task string) (job string, k, step, index int) {
	p := strings.Split(task, ".")
	k, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], k, step, index
}
