package kit3

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(){"crashes": crashes, "owners": owners, "waiting": waiting}

const (
	nodeCount   = 6
	workerCount = 48
	prefix      = "/claims/"
	// finishTime is finishS: how long after the traffic jobs are asked for.
	finishTime = 14 * time.Second
)

// deploy starts the store, the workers and the nodes, and waits until the nodes are ready.
func deploy() (*store, *fleet) {
	s := newStore()
	address, _ := s.listen()
	s.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "claims", "host": host, "pathPrefix": prefix, "service": "desk", "priority": 1, "attempts": 4, "stretch": 4.0, "targetLatencyMs": 3000,
		}},
		"services": []map[string]any{{"name": "desk", "admissionCheck": false}},
		"limits":   map[string]any{},
	})
	f := newFleet(s)
	f.plan = func(_ string, _ int, spec string) (time.Duration, string) {
		var ms int
		fmt.Sscanf(spec, "work %d", &ms)
		return time.Duration(ms) * time.Millisecond, "done"
	}
	for i := range workerCount {
		f.add("", "sala-a", "a", fmt.Sprintf("r1-%d", i/6))
	}
	for i := range nodeCount {
		newNode(i, address, "").start()
	}
	waitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	return s, f
}

// submit hands a job in, at one node after another, until it is accepted.
func submit(id, body string) { submitTo(prefix, id, body) }

func submitTo(prefix, id, body string) {
	for try := range 10 {
		n := nodes[try%len(nodes)]
		status, text := n.call("POST", prefix+id, body, 3*time.Second)
		record("POST %s at %s: %d %s", id, n.name, status, text)
		if status/100 == 2 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("job %s is not accepted", id)
}

// state asks for a job's state, at one node after another.
func state(id string) string {
	for try := range 20 {
		n := nodes[try%len(nodes)]
		status, text := n.call("GET", prefix+id, "", 3*time.Second)
		record("GET %s at %s: %d %s", id, n.name, status, text)
		var answer struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
		if status == 410 {
			return "unknown"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

const (
	crashCount = 5
	crashAfter = 300 * time.Millisecond // the start of the job's task
	crashDown  = 4 * time.Second        // until a new worker comes for one that has crashed
)

// crashes has five of 48 workers crash, seconds apart: each time the one that runs the only task of a sound job.
func crashes() {
	_, f := deploy()
	const victim = "0000000000000001"
	var mu sync.Mutex
	left := crashCount
	f.started = func(w *worker, r *run) {
		mu.Lock()
		hit := trouble && strings.HasPrefix(r.task, victim) && left > 0
		if hit {
			left--
		}
		mu.Unlock()
		if hit {
			time.Sleep(crashAfter)
			record("worker %s crashes", w.id)
			w.crash()
			time.Sleep(crashDown)
			f.add("", w.zone, w.labels...)
		}
	}
	submit(victim, `{"spec":"work 6000","phases":[{"count":1,"cpu":500,"memMb":64,"estimateMs":6000}]}`)
	for i := range 80 {
		submit(fmt.Sprintf("00000000000001%02x", i), `{"spec":"work 900","phases":[{"count":2,"cpu":900,"memMb":64,"estimateMs":900}]}`)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime)
	got := state(victim)
	failed, runs := 0, 0
	f.mu.Lock()
	for _, r := range f.runs {
		if strings.HasPrefix(r.task, victim) {
			runs++
			record("run %s attempt %d on %s: %s", r.task, r.attempt, r.worker.id, r.how)
			if r.how == "failed" {
				failed++
			}
		}
	}
	f.mu.Unlock()
	verdict(got == "failed" && failed == 0, "the job is reported as %q after %d runs, of which %d ended failed; attempts is 4", got, runs, failed)
}

const (
	restartGap = 4 * time.Second
	restarts   = 12
	// lastingBound is how long after its last run a task that lasts may be without one: 6 s, and the 3 s in which nothing runs.
	lastingBound = 9 * time.Second
)

// owners has two of 48 workers lost for good, and the process that owns the shard stopped with SIGTERM and started again each 4 s.
func owners() {
	s, f := deploy()
	const job = "0000000000000002"
	f.plan = func(string, int, string) (time.Duration, string) { return time.Hour, "done" }
	submit(job, `{"spec":"serve","phases":[{"count":6,"cpu":9000,"memMb":64,"estimateMs":500,"longRunning":true}]}`)
	time.Sleep(4 * time.Second)
	lost := map[string]bool{}
	lostAt := time.Now()
	f.mu.Lock()
	for _, r := range f.runs {
		if len(lost) < 2 && r.how == "" && !lost[r.worker.id] {
			lost[r.worker.id] = true
			if trouble {
				record("worker %s is lost for good", r.worker.id)
				go r.worker.crash()
			}
		}
	}
	f.mu.Unlock()
	if len(lost) < 2 {
		cannotRun("the job's tasks run on %d workers", len(lost))
	}
	time.Sleep(time.Second)
	for range restarts {
		if trouble {
			if n := owner(s); n != nil {
				n.restart()
			}
		}
		time.Sleep(restartGap)
	}
	time.Sleep(time.Second)
	longest := time.Duration(0)
	f.mu.Lock()
	for index := range 6 {
		name := fmt.Sprintf("%s.0.0.%d", job, index)
		var last *run
		for _, r := range f.runs {
			if r.task != name {
				continue
			}
			if last != nil && !last.ended.IsZero() {
				longest = max(longest, r.began.Sub(last.ended))
			}
			record("run %s attempt %d on %s: began %.3f, ended %q", r.task, r.attempt, r.worker.id, r.began.Sub(begunAt).Seconds(), r.how)
			last = r
		}
		if last != nil && !last.ended.IsZero() {
			longest = max(longest, time.Since(last.ended))
		}
	}
	f.mu.Unlock()
	record("workers were lost at %.3f", lostAt.Sub(begunAt).Seconds())
	verdict(longest > lastingBound, "a task that lasts is without a run for %.1f s after its last one; 9 s are allowed", longest.Seconds())
}

// owner returns the node that owns the shard, by the row that all transactions of the system rewrite.
func owner(s *store) *node {
	for key, value := range s.table("shards") {
		for _, n := range nodes {
			if key == "owner" && strings.Contains(string(value), n.name) {
				return n
			}
		}
	}
	return nil
}

// restart stops the process as the platform does, in the background, and starts it again.
func (n *node) restart() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(6 * time.Second): // graceS
			n.kill()
		}
		time.Sleep(300 * time.Millisecond)
		n.start()
	}()
}

const (
	watchers     = 160
	watchPrefix  = "/watch/"
	lostRack     = "r1-7"
	batchSeconds = 30
)

// waiting has one rack of workers lost for good, on which 160 small jobs that last need to run. Beside them come batch jobs that
// the other workers can run.
func waiting() {
	s := newStore()
	address, _ := s.listen()
	queue := func(name, path string, priority int, decision, period float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": path, "service": "desk", "priority": priority, "attempts": 4, "stretch": 4.0, "targetLatencyMs": 3000,
			"advice": map[string]any{"decisionMs": decision, "periodMs": period, "validMs": ticketLife.Milliseconds()},
		}
	}
	const decision, period = 140, 2
	s.put("op", "config", map[string]any{
		"version": 7, "routes": []any{queue("watch", watchPrefix, 1, decision, period), queue("claims", prefix, 2, decision, period)},
		"services": []any{map[string]any{"name": "desk", "admissionCheck": false}}, "limits": map[string]any{},
	})
	f := newFleet(s)
	f.advice = &advice{cost: func(string) (time.Duration, time.Duration) {
		return decision * time.Millisecond, period * time.Millisecond
	}}
	f.plan = func(task string, _ int, _ string) (time.Duration, string) {
		if strings.HasPrefix(task, "a") {
			return time.Hour, "done"
		}
		return 900 * time.Millisecond, "done"
	}
	var rack []*worker
	for i := range workerCount {
		label := fmt.Sprintf("r1-%d", i/6)
		w := f.add("", "sala-a", "a", label)
		if label == lostRack {
			rack = append(rack, w)
		}
	}
	for i := range nodeCount {
		newNode(i, address, f.advice.listen()).start()
	}
	waitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	for i := range watchers {
		submitTo(watchPrefix, fmt.Sprintf("a%015x", i), fmt.Sprintf(`{"spec":"watch","phases":[{"count":1,"cpu":400,"memMb":64,"estimateMs":500,"longRunning":true,"constraints":%q}]}`, lostRack))
	}
	time.Sleep(12 * time.Second)
	f.mu.Lock()
	running := len(f.runs)
	f.mu.Unlock()
	record("%d tasks that last have been started", running)
	if running < watchers {
		cannotRun("%d of %d tasks that last run", running, watchers)
	}
	if trouble {
		for _, w := range rack {
			record("worker %s is lost for good", w.id)
			w.crash()
		}
	}
	time.Sleep(8 * time.Second)
	jobs := 2 * batchSeconds
	for i := range jobs {
		submitTo(prefix, fmt.Sprintf("b%015x", i), `{"spec":"claim","phases":[{"count":2,"cpu":900,"memMb":64,"estimateMs":900}]}`)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime)
	started, states := map[string]bool{}, map[string]int{}
	f.mu.Lock()
	for _, r := range f.runs {
		started[r.task[:16]] = true
	}
	f.mu.Unlock()
	never := 0
	for i := range jobs {
		id := fmt.Sprintf("b%015x", i)
		got := state(id)
		states[got]++
		if !started[id] && got != "completed" {
			never++
		}
	}
	record("batch jobs by state: %v; calls for advice: %d", states, f.advice.calls.Load())
	verdict(never > 0, "%d of %d accepted batch jobs have started no task %v after the last was handed in, beside %d idle workers (%v)", never, jobs, finishTime, workerCount-len(rack), states)
}
