package kit3

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	begunAt    = time.Now()
	nodes      []*node
	folder     string // of the case, temporary
	trouble    = os.Getenv("TROUBLE") != "0"
)

// record writes a line of what was sent, answered and run.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(begunAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// finish ends all processes and exits.
func finish(code int) {
	for _, n := range nodes {
		n.kill()
	}
	recordMu.Lock()
	recordFile.Close()
	recordMu.Unlock()
	os.RemoveAll(folder)
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	record("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	finish(2)
}

// verdict exits with 1 if the rule was broken, else with 0.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	code := 0
	if broken {
		code = 1
		text = "BROKEN: " + text
	} else {
		text = "held: " + text
	}
	record("%s", text)
	fmt.Println(text)
	finish(code)
}

// node is a process of the system.
type node struct {
	name, front, ready, peer, settings string
	advice                             string // address of the advice service; empty: none
	memory                             int

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

var taken = map[int]bool{}

// freeAddress returns a free address below the ports that the kernel gives to outgoing connections, which
// could take it while a node is down.
func freeAddress() string {
	for range 1000 {
		port := 10000 + rand.IntN(20000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil || taken[port] {
			continue
		}
		l.Close()
		taken[port] = true
		return l.Addr().String()
	}
	cannotRun("no free port")
	return ""
}

func newNode(index int, store, advice string) *node {
	n := &node{name: fmt.Sprintf("edge-%d", index), advice: advice, front: freeAddress(), ready: freeAddress(), peer: freeAddress(), memory: 284}
	n.settings = filepath.Join(folder, n.name+".ini")
	n.writeSettings(store)
	nodes = append(nodes, n)
	return n
}

// writeSettings writes what deploy/node.ini yields for the settings of a small deployment.
func (n *node) writeSettings(store string) {
	text := fmt.Sprintf(`[node]
name = %s
hall = sala-a
front = %s
ready = %s
peer = %s
power = 0.4
memory = %d
link = 1000.0
descriptors = 4200
metrics =

[store]
address = %s
row-bytes = 65536
partition-writes = 200

[advice]
address = %s

[times]
longest-lease = 6000ms
keep-final = 120s
grace = 6s

[worker]
stop = 400ms
restore = 250ms
remote-factor = 1.5

[load]
order = size
`, n.name, n.front, n.ready, n.peer, n.memory, store, n.advice)
	temp := n.settings + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
	os.Rename(temp, n.settings)
}

// root is the folder of the repository.
func root() string { return os.Getenv("KIT_ROOT") }

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return
	}
	log := io.Writer(io.Discard)
	if dir := os.Getenv("KIT_LOGS"); dir != "" {
		if f, err := os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			log = f
		}
	}
	command := exec.Command("target/chutereachd", "node")
	command.Dir = root()
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHUTEREACH_SETTINGS=" + n.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("%v", err)
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	record("process %s starts", n.name)
	go func() {
		err := command.Wait()
		record("process %s ends: %v", n.name, err)
		n.mu.Lock()
		n.command = nil
		n.mu.Unlock()
		close(ended)
	}()
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		record("%v to %s", sig, n.name)
		n.command.Process.Signal(sig)
	}
}

func (n *node) kill() {
	n.mu.Lock()
	ended, command := n.ended, n.command
	if command != nil {
		command.Process.Signal(syscall.SIGKILL)
	}
	n.mu.Unlock()
	if command != nil {
		<-ended
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

const host = "desk.example"

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 16}

// call sends a client's request to a node; status 0 means that there was no answer.
func (n *node) call(method, path, body string, timeout time.Duration) (int, string) {
	request, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: timeout, Transport: clientTransport}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(text)
}

// waitReady waits until all nodes call themselves ready.
func waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && n.isReady()
		}
		if all {
			return
		}
	}
	cannotRun("the nodes don't become ready")
}
