package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The routes of the play.
const (
	host    = "novo13.example"
	service = "puntos-ciudadanos"
	lookups = "/volo102/"     // consulta-saldo
	batches = "/pufi791/"     // extracto-puntos
	other   = "kuvatarkastus" // a second service, of the case that has one
)

// batchAttempts is how often a task of a batch job may fail.
const batchAttempts = 4

func configuration(version int, batchService string) map[string]any {
	route := func(name, prefix string, service string, latency, priority, attempts int, stretch float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": latency,
			"priority": priority, "service": service, "attempts": attempts, "stretch": stretch,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-lookups", lookups, service, 250, 0, 3, 1.5), route("r-batches", batches, batchService, 3000, 2, batchAttempts, 4)},
		"services": []any{serviceEntry(service), serviceEntry(other)},
		"limits":   map[string]any{"maxHeaderBytes": 65536, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	}
}

func serviceEntry(name string) map[string]any {
	return map[string]any{"name": name, "healthCheck": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false}
}

type phase struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	Mem           int    `json:"memMb"`
	Estimate      int    `json:"estimateMs"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"sameRack,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
}

type submission struct {
	Spec     string  `json:"spec"`
	Phases   []phase `json:"phases"`
	Repeat   int     `json:"repeatCount,omitempty"`
	StartAt  int64   `json:"startAtMs,omitempty"`
	Interval int64   `json:"intervalMs,omitempty"`
}

// Job is a job of a client, as the client knows it.
type Job struct {
	id, prefix string
	name       string
	body       submission
	sentAt     time.Time

	mu       sync.Mutex
	accepted time.Time // of the first 2xx
	answers  []string
	state    string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// tasks returns the number of the job's tasks, of one time.
func (j *Job) tasks() int {
	count := 0
	for _, p := range j.body.Phases {
		count += p.Count
	}
	return count
}

func (j *Job) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.accepted.IsZero()
}

const retries = 4

// submit hands a job in, and again at another node while no node says whether it is taken.
func (c *Case) submit(prefix, name string, body submission) *Job {
	j := &Job{id: newID(), prefix: prefix, name: name, body: body, sentAt: time.Now()}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	data, err := json.Marshal(body)
	check(err)
	first := rand.IntN(1000)
	for try := range retries + 1 {
		status, answer, after := c.call("POST", j.prefix+j.id, data, first+try, 3*time.Second)
		j.mu.Lock()
		j.answers = append(j.answers, answer)
		if status/100 == 2 {
			j.accepted = time.Now()
		}
		j.mu.Unlock()
		c.rec.Count("answers to submissions of "+name+": "+answer, 1)
		c.rec.Note("client", "POST %s (%s), try %d: %s", j.id, name, try+1, answer)
		if status/100 == 2 || status == http.StatusNotFound || status == http.StatusBadRequest {
			return j
		}
		time.Sleep(max(after, 200*time.Millisecond))
	}
	return j
}

// call makes one call over a new connection, as each client of the platform may.
func (c *Case) call(method, path string, body []byte, try int, deadline time.Duration) (status int, answer string, after time.Duration) {
	request, err := http.NewRequest(method, "http://"+c.entry(try)+path, bytes.NewReader(body))
	check(err)
	request.Host = host
	request.Close = true
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return 0, "none", 0
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "broken off", 0
	}
	var seconds int
	fmt.Sscan(resp.Header.Get("Retry-After"), &seconds)
	answer = fmt.Sprint(resp.StatusCode)
	var state struct{ State string }
	if method == "GET" && json.Unmarshal(content, &state) == nil && state.State != "" {
		answer = state.State
	}
	return resp.StatusCode, answer, time.Duration(seconds) * time.Second
}

// query asks for a job's state, at up to five nodes.
func (c *Case) query(j *Job) string {
	answer := ""
	for try := range retries + 1 {
		var status int
		status, answer, _ = c.call("GET", j.prefix+j.id, nil, try, 3*time.Second)
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
	}
	c.rec.Note("client", "GET %s (%s): %s", j.id, j.name, answer)
	j.mu.Lock()
	j.state = answer
	j.mu.Unlock()
	return answer
}

// platform starts the stand-ins, with a number of workers, and writes the first configuration.
func (c *Case) platform(workers int) { c.platformOf(workers, 0) }

// platformOf starts the stand-ins with workers of both services.
func (c *Case) platformOf(workers, others int) {
	c.store = newStore(c.rec)
	c.storeAddr = c.store.serve()
	c.rec.Log("store", "takes rows of %d bytes at most, and %d entries and %d bytes a transaction", rowBytes, maxEntries, maxTxBytes)
	c.store.Put("op", "config", configuration(7, service))
	c.fleet = newFleet(c.rec, c.store, workers, others)
}

// traffic hands in lookups at a rate until a time, and returns once all have been answered.
func (c *Case) traffic(perSecond int, until time.Time, body func() (string, string, submission)) {
	var group sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for time.Now().Before(until) {
		<-tick.C
		group.Go(func() {
			prefix, name, b := body()
			c.submit(prefix, name, b)
		})
	}
	group.Wait()
}
