package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	holdMaxMS      = 6000
	stopTime       = 100 * time.Millisecond // at most stopMs
	checkpointS    = 2
	workerCPU      = 16000
	workerMemMB    = 65536
	heartbeat      = 1500 * time.Millisecond
	checkpointForm = "%08x%08x"
)

type run struct {
	attempt  int
	started  time.Time
	work     time.Duration // left at the start
	total    time.Duration
	stopping bool
}

type end struct {
	n       uint64
	task    string
	attempt int
	how     string
	saved   string
	lapses  int // of the worker, at this end
}

// worker is one worker of the platform. Its tasks work for as long as their spec says: "work=MILLISECONDS".
type worker struct {
	id, address, service, zone, rack string
	record                           *record
	audit                            *audit

	mu       sync.Mutex
	born     time.Time
	running  map[string]*run
	finished []end
	n        uint64
	token    uint64
	deadline int64 // on the worker's clock
	lapsed   bool  // the lease is over
	lapses   int   // how often it has lapsed
	barred   map[string]int
	wake     chan struct{}
	server   *http.Server
	crashed  bool
}

func newWorker(i int, service string, r *record, a *audit) *worker {
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a91c2+uint32(i)*2654435761), service: service, zone: zones[i%len(zones)], rack: fmt.Sprintf("r1-%d", i/6),
		record: r, audit: a, born: time.Now(), running: map[string]*run{}, barred: map[string]int{}, wake: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go w.server.Serve(listener)
	go w.live()
	return w
}

// crash ends the worker: its port resets, and what it runs is gone. Its entry goes after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	w.crashed = true
	for task, r := range w.running {
		w.audit.ended(task, r.attempt, "crashed with "+w.id)
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	w.server.Close()
	w.record.line("worker %s crashes", w.id)
}

func (w *worker) hasCrashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// keepEntry keeps the worker's entry in the store.
func (w *worker) keepEntry(s *store) {
	for seq := 1; ; seq++ {
		if w.hasCrashed() {
			time.Sleep(2 * heartbeat)
			s.remove(workersTable, w.id)
			w.record.line("entry of %s is gone", w.id)
			return
		}
		s.put(workersTable, w.id, map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0,
			"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0}, "labels": []string{"a", w.rack}, "clockMs": w.clock(), "seq": seq,
		})
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// live ends runs whose work is done, and all of them once the lease is over.
func (w *worker) live() {
	for !w.hasCrashed() {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		over := w.clock() >= w.deadline
		if over && !w.lapsed {
			w.lapses++
		}
		w.lapsed = over
		for task, r := range w.running {
			switch {
			case over:
				w.finish(task, r, "lapsed")
			case !r.stopping && time.Since(r.started) >= r.work:
				w.finish(task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// finish ends a run. w.mu must be held.
func (w *worker) finish(task string, r *run, how string) {
	delete(w.running, task)
	w.barred[task] = max(w.barred[task], r.attempt)
	w.n++
	saved := ""
	if how != "done" {
		saved = r.saved()
	}
	w.finished = append(w.finished, end{w.n, task, r.attempt, how, saved, w.lapses})
	w.audit.ended(task, r.attempt, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// saved returns the checkpoint of a run: the work done before, in milliseconds.
func (r *run) saved() string {
	done := r.total - r.work + min(r.work, time.Since(r.started)/(checkpointS*time.Second)*(checkpointS*time.Second))
	if done <= 0 {
		return ""
	}
	return fmt.Sprintf(checkpointForm, done.Milliseconds(), 0x7a21d94b)
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Seen       uint64 `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

// accept decodes an order, checks its token and extends the lease. It returns false if it has answered.
// w.mu is held after it returns true.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return o, false
	}
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		clock := w.clock()
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return o, false
	}
	w.token = o.Token
	if o.Deadline > 0 {
		w.deadline = max(w.deadline, min(o.Deadline, w.clock()+holdMaxMS))
	}
	return o, true
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
	}
	have := w.running[o.Task]
	switch {
	case have != nil && have.attempt == o.Attempt:
	case o.Deadline <= w.clock():
		refuse("late")
		return
	case o.Attempt <= w.barred[o.Task], have != nil && have.attempt > o.Attempt:
		refuse("old")
		return
	default:
		total := workOf(o.Spec, o.Task)
		left := total
		if len(o.Checkpoint) == 16 {
			done, _ := strconv.ParseInt(o.Checkpoint[:8], 16, 64)
			left = max(0, total-time.Duration(done)*time.Millisecond)
		}
		w.running[o.Task] = &run{attempt: o.Attempt, started: time.Now(), work: left, total: total}
		w.audit.started(o.Task, o.Attempt, w.id)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

// workOf returns how long a task works: "work=MS" for all tasks of a job, or "work=MS,MS" for step 0 and step 1. With
// "to=MS" the tasks are uneven, between the two.
func workOf(spec, task string) time.Duration {
	figures := strings.Split(word(spec, "work="), ",")
	figure := figures[0]
	if len(figures) > 1 && stepOf(task) == "1" {
		figure = figures[1]
	}
	ms, _ := strconv.Atoi(figure)
	if to, err := strconv.Atoi(word(spec, "to=")); err == nil {
		hash := fnv.New32a()
		hash.Write([]byte(task))
		ms += int(hash.Sum32()>>8) % (to - ms)
	}
	return time.Duration(ms) * time.Millisecond
}

// word returns the text after a name, up to the next blank.
func word(spec, name string) string {
	_, text, _ := strings.Cut(spec, name)
	text, _, _ = strings.Cut(text, " ")
	return text
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
	if have := w.running[o.Task]; have != nil && have.attempt <= o.Attempt && !have.stopping {
		have.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[o.Task] == have {
				w.finish(o.Task, have, "stopped")
			}
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	kept := w.finished[:0]
	for _, e := range w.finished {
		switch {
		case e.n > o.Seen:
			kept = append(kept, e)
		case e.how == "done" && e.lapses == w.lapses:
			w.audit.noted(e.task)
		}
	}
	w.finished = kept
	if len(w.finished) == 0 && o.Wait > 0 {
		woken := w.wake
		w.mu.Unlock()
		timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		select {
		case <-woken:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, have := range w.running {
		percent := 100
		if have.total > 0 {
			percent = int(100 * (have.total - have.work + time.Since(have.started)) / have.total)
		}
		running = append(running, []any{task, have.attempt, have.saved(), min(100, percent), 1.5})
	}
	for _, e := range w.finished[:min(500, len(w.finished))] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, e.saved})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "running": running, "finished": finished})
}
