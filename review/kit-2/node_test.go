package kit2

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case is one play.
type Case struct {
	rec           *Record
	temp, program string
	trouble       bool
	store         *Store
	fleet         *Fleet
	storeAddr     string
	nodes         []*Node
	jobs          []*Job
	given         map[string]bool // addresses of nodes
	mu            sync.Mutex
}

// Node is one process of the system.
type Node struct {
	c                        *Case
	name, front, ready, peer string
	memory                   int // MiB over which the platform kills the process; 0: not looked at
	settings                 string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	in      bool // the platform passes new connections to it
}

// freeAddress returns a loopback address that is free now. Its port is below those that the system gives to
// outgoing connections, which could take it before the node listens there.
func (c *Case) freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if c.given[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			c.given[address] = true
			return address
		}
	}
	panic(failure{errors.New("no port is free")})
}

// startNodes starts the nodes with the settings of deploy/node.ini, filled as for a small deployment.
func (c *Case) startNodes(count, memory int) {
	for i := range count {
		n := &Node{c: c, name: fmt.Sprintf("edge-sala-chipre-%d", i+1), front: c.freeAddress(), ready: c.freeAddress(), peer: c.freeAddress(), memory: memory}
		n.settings = filepath.Join(c.temp, n.name+".ini")
		text := fmt.Sprintf(`[node]
name = %s
hall = sala-chipre
front = %s
ready = %s
peer = %s
power = 0.4
memory = 284
link = 1000
descriptors = 4200

[store]
address = %s
partition-writes = 200

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
`, n.name, n.front, n.ready, n.peer, c.storeAddr)
		check(os.WriteFile(n.settings, []byte(text), 0o644))
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		n.start()
		go n.look()
	}
}

func (n *Node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(n.c.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cmd := exec.Command(n.c.program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.c.temp, "CHUTEREACH_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	n.cmd = cmd
	if n.memory > 0 {
		go n.watchMemory(cmd.Process.Pid)
	}
	go func() {
		cmd.Wait()
		log.Close()
		n.mu.Lock()
		stopped := n.stopped
		n.in = false
		n.mu.Unlock()
		if stopped {
			return
		}
		n.c.rec.Count("ends of processes of "+n.name, 1)
		n.c.rec.Log("platform", "process of %s has ended: %v; it is started again", n.name, cmd.ProcessState)
		time.Sleep(500 * time.Millisecond)
		n.start()
	}()
}

// watchMemory kills the process once it takes more than the machine's memory, as the platform does.
func (n *Node) watchMemory(pid int) {
	for range time.Tick(10 * time.Millisecond) {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return
		}
		_, rest, found := strings.Cut(string(data), "VmRSS:")
		if !found {
			return
		}
		kb, _ := strconv.Atoi(strings.Fields(rest)[0])
		n.c.rec.Max("largest memory of a process, MiB", int64(kb>>10))
		if kb>>10 > n.memory {
			n.c.rec.Log("platform", "process of %s takes %d MiB of %d: killed", n.name, kb>>10, n.memory)
			n.c.rec.Count("processes killed over their memory", 1)
			syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// look asks the node each second whether it is ready, as the platform does.
func (n *Node) look() {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	missed := 0
	for range time.Tick(time.Second) {
		resp, err := client.Get("http://" + n.ready + "/api/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		missed++
		if ok {
			missed = 0
		}
		n.mu.Lock()
		n.in = missed == 0 || n.in && missed < 2
		n.mu.Unlock()
	}
}

// takenIn reports whether the platform passes new connections to the node.
func (n *Node) takenIn() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.in
}

// stopAll ends all processes that the case has started.
func (c *Case) stopAll() {
	for _, n := range c.nodes {
		n.mu.Lock()
		n.stopped = true
		cmd := n.cmd
		n.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			cmd.Process.Signal(syscall.SIGCONT)
			cmd.Process.Kill()
		}
	}
	time.Sleep(200 * time.Millisecond)
}

// awaitReady waits until the platform has taken in all nodes.
func (c *Case) awaitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		in := 0
		for _, n := range c.nodes {
			if n.takenIn() {
				in++
			}
		}
		if in == len(c.nodes) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(failure{fmt.Errorf("the nodes are not ready after %v", limit)})
}

// entry returns the address to which the platform passes a new connection.
func (c *Case) entry(try int) string {
	var in []*Node
	for _, n := range c.nodes {
		if n.takenIn() {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(c.nodes) {
		in = c.nodes
	}
	return in[try%len(in)].front
}
