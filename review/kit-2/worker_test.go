package kit2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment, as its page gives them.
const (
	holdMax         = 6 * time.Second
	checkpointEvery = 2 * time.Second
	stopTime        = 50 * time.Millisecond // at most stopMs, 400
	heartbeatEvery  = 1500 * time.Millisecond
)

type run struct {
	task     string
	attempt  int
	begun    time.Time
	needs    time.Duration
	done     time.Duration // work saved by the checkpoint that it began from
	cpu      int
	how      string // its end once it has worked for as long as it needs
	brought  string // the checkpoint that its start brought
	gang     *gang  // nil for a task that works alone
	worker   *Worker
	stopping bool
}

// gang is one run of a gang: its members work from the moment when all of them are present.
type gang struct {
	size     int
	members  []*run
	begun    time.Time // zero until all are present and can begin
	brokenAt time.Time // when a member has ended; zero: none has
	unlike   bool      // the members have brought unlike checkpoints
}

type ended struct {
	N       uint64
	Task    string
	Attempt int
	How     string
	Saved   string
}

// Worker is one worker of the service.
type Worker struct {
	id, addr, rack, service string
	cpu, mem                int
	rec                     *Record
	fleet                   *Fleet
	started                 time.Time

	mu       sync.Mutex
	runs     map[string]*run
	above    map[string]int // highest attempt stopped or ended, by task
	finished []ended
	n        uint64
	token    uint64
	deadline int64
	wake     chan struct{}
	server   *http.Server
	dead     bool
	grey     bool   // it fails all that it starts
	label    string // its kind
}

// Fleet holds all workers, and what they have seen.
type Fleet struct {
	rec     *Record
	store   *Store
	workers []*Worker

	mu sync.Mutex
	// Work tells how long a task takes, its cores and how it ends; set by the case.
	Work func(spec, task string) (time.Duration, int, string)
	// GangOf tells the size of a task's gang; 0: it has none.
	GangOf  func(spec, task string) int
	running map[string]int // runs at the same time, by task
	doneAt  map[string]time.Time
	starts  map[string]int
	events  []taskEvent
	gangs   map[string]*gang
	noted   map[string]int // starts and ends since they were last written, by step
	used    int
}

type taskEvent struct {
	at    time.Time
	job   string
	task  string
	kind  string // start or the kind of its end
	used  int    // thousandths of a core in use afterwards
	alive int    // runs of the job afterwards
}

func newFleet(rec *Record, store *Store, count, others int) *Fleet {
	f := &Fleet{rec: rec, store: store, running: map[string]int{}, doneAt: map[string]time.Time{}, starts: map[string]int{}, noted: map[string]int{}, gangs: map[string]*gang{}}
	go f.write()
	go f.lead()
	for i := range count + others {
		name := service
		if i >= count {
			name = other
		}
		w := &Worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i*7919), rack: fmt.Sprintf("r1-%d", i/6), service: name, label: "a", cpu: 16000, mem: 65536, rec: rec, fleet: f,
			started: time.Now(), runs: map[string]*run{}, above: map[string]int{}, wake: make(chan struct{}),
		}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /api/run-start", w.start)
		mux.HandleFunc("POST /api/run-stop", w.stop)
		mux.HandleFunc("POST /api/hold", w.hold)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		w.addr = listener.Addr().String()
		w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			mux.ServeHTTP(rw, r)
		})}
		go w.server.Serve(listener)
		f.workers = append(f.workers, w)
	}
	for i, w := range f.workers {
		go w.live(i)
	}
	return f
}

func (w *Worker) entry(seq int) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.addr, "zone": "sala-chipre", "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": seq,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{w.label, w.rack},
	}
}

// live writes the worker's entry, ends what has run its time, and kills everything when the lease is over.
func (w *Worker) live(offset int) {
	next, seq := time.Now(), 0
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			return
		}
		if !time.Now().Before(next) {
			seq++
			w.fleet.store.Put("servers", w.id, w.entry(seq))
			next = time.Now().Add(heartbeatEvery)
		}
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case w.clock() > w.deadline:
				w.end(r, "lapsed")
			case !r.stopping && r.gang == nil && now.Sub(r.begun)+r.done >= r.needs:
				w.end(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

// greyFails is the time after which a grey worker fails a task.
const greyFails = 100 * time.Millisecond

// setGrey makes the worker fail all that it starts from now on, or no longer. What runs goes on.
func (w *Worker) setGrey(grey bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = grey
}

// crash ends the worker for good: what it runs is gone, and its entry goes after three heartbeats.
func (w *Worker) crash() {
	w.mu.Lock()
	w.dead = true
	w.rec.Log("worker", "%s crashes with %d runs and is gone for good", w.id, len(w.runs))
	for _, r := range w.runs {
		w.fleet.leave(r, "lost")
		w.fleet.note(r, "lost", w)
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	w.server.Close()
	time.AfterFunc(3*heartbeatEvery, func() { w.fleet.store.Remove("servers", w.id) })
}

func (w *Worker) clock() int64 { return time.Since(w.started).Milliseconds() + 1000 }

// end lists the end of a run. w.mu is held.
func (w *Worker) end(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.fleet.leave(r, how)
	w.above[r.task] = max(w.above[r.task], r.attempt)
	w.n++
	w.finished = append(w.finished, ended{w.n, r.task, r.attempt, how, w.saved(r)})
	close(w.wake)
	w.wake = make(chan struct{})
	w.fleet.note(r, how, w)
}

// saved returns the checkpoint of a run: its work so far in milliseconds, to whole periods.
func (w *Worker) saved(r *run) string {
	begun := r.begun
	if r.gang != nil {
		w.fleet.mu.Lock()
		begun = r.gang.begun
		w.fleet.mu.Unlock()
		if begun.IsZero() {
			return r.brought
		}
	}
	worked := (time.Since(begun) + r.done) / checkpointEvery * checkpointEvery
	if worked == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", worked.Milliseconds())
}

func (f *Fleet) note(r *run, kind string, w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job, _, _ := strings.Cut(r.task, ".")
	now := time.Now()
	if kind == "start" {
		f.running[r.task]++
		f.starts[r.task]++
		f.used += r.cpu
		if f.running[r.task] > 1 {
			f.rec.Log("worker", "two runs of %s at the same time", r.task)
			f.rec.Count("two runs of a task at the same time", 1)
		}
		if at, done := f.doneAt[r.task]; done && now.Sub(at) > time.Second {
			f.rec.Count("starts more than a second after the end done", 1)
		}
	} else {
		f.running[r.task]--
		f.used -= r.cpu
		if kind == "done" {
			f.doneAt[r.task] = now
		}
	}
	alive := 0
	if len(f.events) > 0 {
		alive = f.aliveOf(job)
	}
	if kind == "start" {
		alive++
	} else {
		alive--
	}
	f.noted[kind+" of tasks of "+r.task[:strings.LastIndexByte(r.task, '.')]]++
	f.events = append(f.events, taskEvent{now, job, r.task, kind, f.used, alive})
	f.rec.Count("runs: "+kind, 1)
}

// write writes the starts and ends of each second to the record.
func (f *Fleet) write() {
	for range time.Tick(time.Second) {
		f.mu.Lock()
		noted := f.noted
		f.noted = map[string]int{}
		f.mu.Unlock()
		for what, count := range noted {
			f.rec.Note("worker", "in the last second: %4d x %s", count, what)
		}
	}
}

// aliveOf returns the runs of a job after its last event. f.mu is held.
func (f *Fleet) aliveOf(job string) int {
	for i := len(f.events) - 1; i >= 0; i-- {
		if f.events[i].job == job {
			return f.events[i].alive
		}
	}
	return 0
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Seen       uint64 `json:"lastSeen"`
	Wait       int    `json:"waitMs"`
}

func (w *Worker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// admit checks the token and takes the time of an order. w.mu is held.
func (w *Worker) admit(rw http.ResponseWriter, o order) bool {
	if o.Token < w.token {
		w.rejectOrder(rw, "fence")
		return false
	}
	w.token = o.Token
	w.deadline = max(w.deadline, min(o.Deadline, w.clock()+holdMax.Milliseconds()))
	return true
}

func (w *Worker) rejectOrder(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Deadline > 0 && o.Deadline <= w.clock() {
		w.rejectOrder(rw, "late")
		return
	}
	if !w.admit(rw, o) {
		return
	}
	if now := w.runs[o.Task]; now != nil && now.attempt == o.Attempt {
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	} else if now != nil || o.Attempt <= w.above[o.Task] {
		w.rejectOrder(rw, "old")
		return
	}
	needs, cpu, how := w.fleet.Work(o.Spec, o.Task)
	if w.grey {
		needs, how = greyFails, "failed"
	}
	started := &run{task: o.Task, attempt: o.Attempt, begun: time.Now(), needs: needs, cpu: cpu, how: how}
	if o.Checkpoint != "" {
		var ms int64
		fmt.Sscanf(o.Checkpoint, "%x", &ms)
		started.done = time.Duration(ms) * time.Millisecond
	}
	started.brought, started.worker = o.Checkpoint, w
	w.runs[o.Task] = started
	w.fleet.join(started, o)
	w.fleet.note(started, "start", w)
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(rw, o) {
		return
	}
	w.above[o.Task] = max(w.above[o.Task], o.Attempt)
	if now := w.runs[o.Task]; now != nil && now.attempt <= o.Attempt && !now.stopping {
		now.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(now, "stopped")
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	until := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	defer until.Stop()
	w.mu.Lock()
	if !w.admit(rw, o) {
		w.mu.Unlock()
		return
	}
	for len(w.finished) > 0 && w.finished[0].N <= o.Seen {
		w.finished = w.finished[1:]
	}
	for len(w.finished) == 0 {
		wake := w.wake
		w.mu.Unlock()
		over := false
		select {
		case <-wake:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if over {
			break
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, now := range w.runs {
		percent := int(100 * float64(time.Since(now.begun)+now.done) / float64(now.needs))
		running = append(running, []any{now.task, now.attempt, w.saved(now), min(99, percent)})
	}
	for _, e := range w.finished[:min(500, len(w.finished))] {
		finished = append(finished, []any{e.N, e.Task, e.Attempt, e.How, e.Saved})
	}
	clock := w.clock()
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"clockMs": clock, "running": running, "finished": finished})
}

const (
	gangTimeout = 3 * time.Second
	gangBreaks  = 100 * time.Millisecond // until the other members learn that one has ended
)

// join adds a run to its gang, if it has one.
func (f *Fleet) join(r *run, o order) {
	if f.GangOf == nil {
		return
	}
	size := f.GangOf(o.Spec, o.Task)
	if size == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := fmt.Sprintf("%s#%d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Attempt)
	if f.gangs[key] == nil {
		f.gangs[key] = &gang{size: size}
	}
	r.gang = f.gangs[key]
	r.gang.members = append(r.gang.members, r)
	f.rec.Note("worker", "start of %s, run %d, checkpoint %q", o.Task, o.Attempt, o.Checkpoint)
}

// leave tells the gang of a run that the run has ended.
func (f *Fleet) leave(r *run, how string) {
	if r.gang == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.Note("worker", "end of %s, run %d: %s", r.task, r.attempt, how)
	if how != "done" && r.gang.brokenAt.IsZero() {
		r.gang.brokenAt = time.Now()
	}
}

// lead begins, ends and breaks gangs. The members can begin only from one and the same checkpoint.
func (f *Fleet) lead() {
	for range time.Tick(10 * time.Millisecond) {
		type end struct {
			r   *run
			how string
		}
		var ends []end
		now := time.Now()
		f.mu.Lock()
		for key, g := range f.gangs {
			if !g.brokenAt.IsZero() {
				if now.Sub(g.brokenAt) >= gangBreaks {
					for _, r := range g.members {
						ends = append(ends, end{r, "broken"})
					}
					delete(f.gangs, key)
				}
				continue
			}
			if !g.begun.IsZero() {
				if first := g.members[0]; now.Sub(g.begun)+first.done >= first.needs {
					for _, r := range g.members {
						ends = append(ends, end{r, "done"})
					}
					delete(f.gangs, key)
				}
				continue
			}
			same := true
			for _, r := range g.members {
				same = same && r.brought == g.members[0].brought
				if now.Sub(r.begun) >= gangTimeout {
					ends = append(ends, end{r, "alone"})
				}
			}
			switch {
			case len(g.members) < g.size:
			case same:
				g.begun = now
			case !g.unlike:
				g.unlike = true
				f.rec.Count("gangs whose members brought unlike checkpoints", 1)
				f.rec.Log("worker", "all members of %s are present, with unlike checkpoints", key)
			}
		}
		f.mu.Unlock()
		for _, e := range ends {
			e.r.worker.mu.Lock()
			e.r.worker.end(e.r, e.how)
			e.r.worker.mu.Unlock()
		}
	}
}

// alive returns the number of workers that are up.
func (f *Fleet) alive() int {
	count := 0
	for _, w := range f.workers {
		w.mu.Lock()
		if !w.dead {
			count++
		}
		w.mu.Unlock()
	}
	return count
}
