package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	nodeCount   = 6
	workerCount = 48
	service     = "puntos-ciudadanos"
	host        = "nony24.example"
	prefix      = "/lohu930/"
	otherPrefix = "/pule252/"
	memoryMB    = 284
	restartWait = 500 * time.Millisecond
	contactS    = 3 * time.Second
)

// bed is one small deployment: the platform and its workers in this process, and real nodes.
type bed struct {
	program string
	dir     string
	record  *record
	audit   *audit
	store   *store
	storeAt string
	workers []*worker
	nodes   []*node
	trouble bool
	client  *http.Client

	mu     sync.Mutex
	handed []*handed
}

// node is one process of the project.
type node struct {
	name, front, ready string
	settings           string
	bed                *bed

	mu       sync.Mutex
	cmd      *exec.Cmd
	ending   bool
	held     bool // not started again for now
	killed   bool // by the case: the next end is not its own
	down     bool // no process
	exits    int  // that nobody asked for
	tooLarge int  // kills for memory over the limit
	peakMB   int
}

func newBed(program string, r *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		program: program, dir: dir, record: r, audit: &audit{record: r, jobs: map[string]*ran{}, tasks: map[string]*taskRuns{}}, store: newStore(r), trouble: os.Getenv("TROUBLE") != "0",
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	r.line("trouble: %v", b.trouble)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAt = listener.Addr().String()
	go http.Serve(listener, b.store.handler())
	b.store.put(operatorTable, "config", configuration())
	for range workerCount {
		b.addWorker()
	}
	for i := range nodeCount {
		n, err := b.addNode(i)
		if err != nil {
			return nil, err
		}
		b.nodes = append(b.nodes, n)
	}
	for _, n := range b.nodes {
		go n.keepRunning()
	}
	return b, b.awaitReady()
}

// addWorker adds a worker with an id and an address that no other had.
func (b *bed) addWorker() {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := newWorker(len(b.workers), service, b.record, b.audit)
	b.workers = append(b.workers, w)
	go w.keepEntry(b.store)
}

// worker returns the worker with an id.
func (b *bed) worker(id string) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

func configuration() map[string]any {
	route := func(name, prefix string, priority int, latency float64, stretch float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": latency,
			"priority": priority, "service": service, "attempts": 4, "stretch": stretch,
		}
	}
	return map[string]any{
		"version": 7, "routes": []any{route("r-wrr6x73", prefix, 1, 1000, 2.2), route("r-73hh2b9", otherPrefix, 0, 250, 1.5)},
		"services": []any{map[string]any{"name": service, "healthCheck": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "headroom": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Ports of the nodes lie below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
)

// freePort returns a free loopback address.
func freePort() (string, error) {
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", err
}

// The forms of deploy/node.ini that the platform fills: a value, and a part that stands if the value is given.
var (
	partForm  = regexp.MustCompile(`\{\{#([A-Za-z_.0-9]+)\}\}(.*?)\{\{/[A-Za-z_.0-9]+\}\}`)
	valueForm = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)\}\}`)
)

const templateFile = "deploy/node.ini"

// fill fills a template with values by dotted name.
func fill(template string, values map[string]string) string {
	template = partForm.ReplaceAllStringFunc(template, func(form string) string {
		part := partForm.FindStringSubmatch(form)
		value, given := values[part[1]]
		if !given {
			return ""
		}
		return strings.ReplaceAll(part[2], "{{.}}", value)
	})
	return valueForm.ReplaceAllStringFunc(template, func(form string) string { return values[strings.Trim(form, "{}")] })
}

// addNode writes the settings of a node from the template of the deploy file. All nodes have the same address here, so the
// fixed port of the figures becomes a free one.
func (b *bed) addNode(i int) (*node, error) {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return nil, err
	}
	var at [4]string
	for k := range at {
		if at[k], err = freePort(); err != nil {
			return nil, err
		}
	}
	_, peerPort, _ := net.SplitHostPort(at[2])
	zone := zones[i%len(zones)]
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), front: at[0], ready: at[1], bed: b}
	n.settings = filepath.Join(b.dir, n.name+".ini")
	text := fill(string(template), map[string]string{
		"nodeId": n.name, "zone": zone, "ip": "127.0.0.1", "portRange.0": peerPort, "bindAddrs.front": n.front, "bindAddrs.ready": n.ready,
		"limits.cpuShare": "0.4", "limits.memoryMb": strconv.Itoa(memoryMB), "limits.linkMbps": "1000.0", "limits.maxFds": "4200",
		"platform.address": b.storeAt, "platform.part_writes_per_s": "200", "bounds.holdMaxMs": strconv.Itoa(holdMaxMS), "bounds.status_s": "120",
		"bounds.graceS": "6", "bounds.stopMs": "400", "bounds.restoreMs": "250", "bounds.remoteFactor": "1.5",
	})
	text = strings.ReplaceAll(text, "127.0.0.1:9464", at[3])
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// keepRunning starts the node's process, and starts it again after each end, as the platform does. It kills a process
// that goes over its memory.
func (n *node) keepRunning() {
	for {
		n.mu.Lock()
		if n.ending {
			n.mu.Unlock()
			return
		}
		if n.held {
			n.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		n.down = false
		log, _ := os.OpenFile(filepath.Join(n.bed.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		n.cmd = exec.Command(n.bed.program, "node")
		n.cmd.Env = []string{"CHUTEREACH_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.bed.dir, "LANG=C"}
		n.cmd.Stdout, n.cmd.Stderr = log, log
		err := n.cmd.Start()
		n.mu.Unlock()
		if err != nil {
			n.bed.record.line("%s cannot be started: %v", n.name, err)
			return
		}
		ended := make(chan struct{})
		go n.watchMemory(n.cmd.Process, ended)
		err = n.cmd.Wait()
		close(ended)
		log.Close()
		n.mu.Lock()
		n.down = true
		switch {
		case n.ending, n.held:
		case n.killed:
			n.killed = false
		default:
			n.exits++
			n.bed.record.line("%s ended by itself: %v (resident at most %d MB)", n.name, err, n.peakMB)
		}
		n.mu.Unlock()
		time.Sleep(restartWait)
	}
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

func (n *node) watchMemory(process *os.Process, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(process.Pid)
		n.mu.Lock()
		n.peakMB = max(n.peakMB, mb)
		over := mb > memoryMB
		if over {
			n.tooLarge++
		}
		n.mu.Unlock()
		if over {
			n.bed.record.line("%s has %d MB resident, over its %d MB, and is killed", n.name, mb, memoryMB)
			process.Kill()
			return
		}
	}
}

func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// owner returns the node that took the shard last, by its own log, and its token.
func (b *bed) owner() (*node, uint64) {
	var owner *node
	var highest uint64
	for _, n := range b.nodes {
		data, _ := os.ReadFile(filepath.Join(b.dir, n.name+".log"))
		for line := range bytes.Lines(data) {
			var entry struct {
				Token   uint64 `json:"token"`
				Message string `json:"message"`
			}
			if json.Unmarshal(line, &entry) == nil && entry.Message == "shard taken" && entry.Token > highest {
				owner, highest = n, entry.Token
			}
		}
	}
	return owner, highest
}

// freezeOwner stops the node that owns the shard for a while.
func (b *bed) freezeOwner(during time.Duration) {
	owner, _ := b.owner()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	b.record.line("%s, which owns the shard, freezes for %v", owner.name, during)
	process := owner.cmd.Process
	process.Signal(syscall.SIGSTOP)
	time.AfterFunc(during, func() {
		b.record.line("%s goes on", owner.name)
		process.Signal(syscall.SIGCONT)
	})
}

// pauseSystem stops all nodes with SIGTERM and starts them again, as if the pause had lasted for a while: the store's clock
// has gone on by then. No process lives through it that could tell.
func (b *bed) pauseSystem(during time.Duration) error {
	for _, n := range b.nodes {
		n.mu.Lock()
		n.held = true
		n.cmd.Process.Signal(syscall.SIGTERM)
		n.mu.Unlock()
	}
	for _, n := range b.nodes {
		for !n.isDown() {
			time.Sleep(20 * time.Millisecond)
		}
	}
	b.record.line("all nodes are stopped, for %v by the store's clock", during)
	b.store.mu.Lock()
	b.store.offset += during.Milliseconds()
	b.store.mu.Unlock()
	for _, n := range b.nodes {
		n.mu.Lock()
		n.held = false
		n.mu.Unlock()
	}
	return b.awaitReady()
}

// killOwner kills the node that owns the shard. It is started again as after any end.
func (b *bed) killOwner() {
	owner, _ := b.owner()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	b.record.line("%s, which owns the shard, is killed", owner.name)
	owner.killed = true
	owner.cmd.Process.Kill()
}

// counts returns how often the nodes have ended by themselves, how often for memory, and on how many machines.
func (b *bed) counts() (exits, tooLarge, machines int) {
	for _, n := range b.nodes {
		n.mu.Lock()
		exits, tooLarge = exits+n.exits, tooLarge+n.tooLarge
		if n.exits >= 3 {
			machines++
		}
		n.mu.Unlock()
	}
	return exits, tooLarge, machines
}

// awaitReady waits until all nodes call themselves ready.
func (b *bed) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, n := range b.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				b.end()
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	b.record.line("%d nodes are ready", len(b.nodes))
	return nil
}

func (n *node) isReady() bool {
	answer, err := n.bed.client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// end ends all processes that the bed has started, by their ids.
func (b *bed) end() {
	for _, n := range b.nodes {
		n.mu.Lock()
		n.ending = true
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Signal(syscall.SIGKILL)
		}
		n.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.dir)
	} else {
		fmt.Println(b.dir)
	}
}

type phase struct {
	Count         int     `json:"count"`
	CPU           float64 `json:"cpu,omitempty"`
	MemMB         float64 `json:"memMb,omitempty"`
	EstimateMS    float64 `json:"estimateMs,omitempty"`
	DependsOn     []int   `json:"dependsOn,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	LongRunning   bool    `json:"longRunning,omitempty"`
	Speculative   bool    `json:"speculative,omitempty"`
	AntiAffinity  int     `json:"antiAffinity,omitempty"`
	Affinity      string  `json:"affinity,omitempty"`
	Constraints   string  `json:"constraints,omitempty"`
	SameRack      bool    `json:"sameRack,omitempty"`
}

type job struct {
	Spec       string  `json:"spec"`
	Phases     []phase `json:"phases"`
	Repeat     int     `json:"repeatCount,omitempty"`
	StartAtMS  int64   `json:"startAtMs,omitempty"`
	IntervalMS int64   `json:"intervalMs,omitempty"`
}

// call makes one call of a client and records it. The status is 0 without an answer.
func (b *bed) call(n *node, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(data))
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	begun := time.Now()
	answer, err := b.client.Do(request)
	took := time.Since(begun).Round(time.Millisecond)
	if err != nil {
		b.record.line("%s %s at %s: no answer after %v: %v", method, path, n.name, took, err)
		return 0, ""
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	b.record.line("%s %s (%d bytes) at %s: %d %s after %v", method, path, len(data), n.name, answer.StatusCode, bytes.TrimSpace(text), took)
	return answer.StatusCode, string(text)
}

// submit hands a job in, with up to four retries at other nodes. It reports whether the job was accepted.
func (b *bed) submit(queue, id string, j job, first int) bool {
	for try := range 5 {
		status, _ := b.call(b.nodes[(first+try)%len(b.nodes)], http.MethodPost, queue+id, j)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, with up to four retries at other nodes; "" if no node answers with one.
func (b *bed) state(queue, id string, first int) string {
	for try := range 5 {
		status, text := b.call(b.nodes[(first+try)%len(b.nodes)], http.MethodGet, queue+id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
		if status == http.StatusGone {
			return "unknown (410)"
		}
	}
	return ""
}
