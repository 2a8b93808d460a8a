package cases

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
	"sync"
	"time"
)

const host = "points.example"

// bed is a small deployment of stand-ins and of nodes as separate processes.
type bed struct {
	dir, root string
	begun     time.Time
	mu        sync.Mutex
	record    *os.File
	store     *store
	storeAddr string
	fleet     *fleet
	nodes     []*nodeProc
	judge     *judge
	broken    []string
	version   int
}

type nodeProc struct {
	b                        *bed
	name, zone               string
	front, ready, peer, conf string
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

func newBed(record *os.File, root string) *bed {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		panic(err)
	}
	b := &bed{dir: dir, root: root, begun: time.Now(), record: record, store: newStore(), version: 3}
	b.fleet, b.judge = &fleet{b: b}, newJudge()
	b.storeAddr = b.store.serve()
	return b
}

func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.note("BROKEN: %s", text)
	b.mu.Lock()
	b.broken = append(b.broken, text)
	b.mu.Unlock()
}

// free returns an address with a free port below those that outgoing connections take.
func free() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic("no free port")
}

func (b *bed) addNode(name, zone string) *nodeProc {
	n := &nodeProc{b: b, name: name, zone: zone, front: free(), ready: free(), peer: free()}
	n.conf = filepath.Join(b.dir, name+".ini")
	text := fmt.Sprintf("[node]\nname = %s\nhall = %s\nfront = %s\nready = %s\npeer = %s\npower = 0.4\nmemory = 284\nlink = 1000\ndescriptors = 4200\n[store]\naddress = %s\nrow-bytes = 65536\npartition-writes = 200\n[advice]\naddress =\n[times]\nlongest-lease = 6000ms\nkeep-final = 120s\ngrace = 6s\n[worker]\nstop = 400ms\nrestore = 250ms\nremote-factor = 1.5\n[load]\norder = size\n",
		name, zone, n.front, n.ready, n.peer, b.storeAddr)
	if err := os.WriteFile(n.conf, []byte(text), 0o600); err != nil {
		panic(err)
	}
	b.nodes = append(b.nodes, n)
	return n
}

func (n *nodeProc) start() {
	log, err := os.OpenFile(filepath.Join(n.b.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	n.cmd = exec.Command("target/chutereachd", "node")
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = n.b.root, log, log
	n.cmd.Env = append(os.Environ(), "CHUTEREACH_SETTINGS="+n.conf)
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	n.b.note("node %s started", n.name)
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() { cmd.Wait(); log.Close(); close(exited) }()
}

func (b *bed) close() {
	for _, n := range b.nodes {
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
	os.RemoveAll(b.dir)
}

// configure writes a configuration with the given routes: name, prefix, service.
func (b *bed) configure(routes ...[3]string) {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r[0], "host": host, "pathPrefix": r[1], "service": r[2], "targetLatencyMs": 250, "priority": 0, "attempts": 4, "stretch": 4})
	}
	b.version += 3
	b.store.put("op", "config", map[string]any{"version": b.version, "routes": list, "services": []any{}, "limits": map[string]any{}})
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of a client; status 0: no answer.
func (b *bed) call(n *nodeProc, method, path string, body any, within time.Duration) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(data))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	client := *httpClient
	client.Timeout = within
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, text
}

// submit hands a job in until it is accepted, at other nodes in turn. It returns whether it was.
func (b *bed) submit(path string, body any) bool {
	for try := 0; try < 8; try++ {
		n := b.nodes[try%len(b.nodes)]
		status, _ := b.call(n, "POST", path, body, 3*time.Second)
		b.note("client: POST %s at %s: %d", path, n.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at any node.
func (b *bed) state(path string) (int, string) {
	for _, n := range b.nodes {
		status, text := b.call(n, "GET", path, nil, 3*time.Second)
		var s struct{ State string }
		json.Unmarshal(text, &s)
		if status == 200 || status == 410 {
			b.note("client: GET %s at %s: %d %s", path, n.name, status, s.State)
			return status, s.State
		}
	}
	b.note("client: GET %s: no node answers", path)
	return 0, ""
}

// ready waits until all nodes call themselves ready.
func (b *bed) ready(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		good := 0
		for _, n := range b.nodes {
			if resp, err := httpClient.Get("http://" + n.ready + "/api/readyz"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					good++
				}
			}
		}
		if good == len(b.nodes) {
			return true
		}
	}
	return false
}
