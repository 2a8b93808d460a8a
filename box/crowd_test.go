//go:build linux

package box_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chutereach/guard/guardtest"
)

// Resources of the machine of a box under a crowd.
var crowdMachine = guardtest.Limits{MemoryBytes: 160 << 20, Descriptors: 600, FileDescriptors: 200}

const (
	crowdBodyLimit = 4 << 20
	crowdClients   = 60
	idleClients    = 1000
)

// TestCrowd checks that a box stays within its machine and answers ordinary callers while a crowd of clients does
// not behave.
func TestCrowd(t *testing.T) {
	programs := t.TempDir()
	if text, err := exec.Command("go", "build", "-o", programs, "../cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	short := strings.Repeat(" ", crowdBodyLimit-1)
	params := manyParams(crowdBodyLimit - 100)
	cases := []struct {
		name    string
		clients int
		client  guardtest.Client
	}{
		{"jobs short of their end", crowdClients, guardtest.Client{Send: request("POST", "/v1/jobs", "billing", crowdBodyLimit, short)}},
		{"jobs of many parameters", crowdClients, guardtest.Client{Send: request("POST", "/v1/jobs", "billing", len(params), params)}},
		{"long text in a job", crowdClients, guardtest.Client{Send: request("POST", "/v1/jobs", "billing", crowdBodyLimit, `{"template":"`+short)}},
		{"calls short of their end", crowdClients, guardtest.Client{Send: request("GET", "/v1/call/balance/x", "kiosks", crowdBodyLimit, short)}},
		{"whole calls", crowdClients, guardtest.Client{Send: request("GET", "/v1/call/balance/x", "kiosks", crowdBodyLimit, short+" "), Reads: true}},
		{"configuration short of its end", crowdClients, guardtest.Client{Send: request("POST", "/v1/config", "operator", crowdBodyLimit, short)}},
		{"announced over the limit", crowdClients, guardtest.Client{Send: request("POST", "/v1/jobs", "billing", 1<<30, short)}},
		{"sent over the limit", crowdClients, guardtest.Client{Send: request("POST", "/v1/call/balance/x", "kiosks", 4*crowdBodyLimit, strings.Repeat(" ", 4*crowdBodyLimit))}},
		{"no key", crowdClients, guardtest.Client{Send: request("POST", "/v1/jobs", "nobody", crowdBodyLimit, short)}},
		{"no route", crowdClients, guardtest.Client{Send: request("POST", "/nowhere", "billing", crowdBodyLimit, short)}},
		{"body for the health check", crowdClients, guardtest.Client{Send: request("GET", "/healthz", "", crowdBodyLimit, short)}},
		{"long headers", idleClients, guardtest.Client{Send: func(w io.Writer) {
			io.WriteString(w, "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 60<<10))
		}}},
		{"nothing sent", idleClients, guardtest.Client{Send: func(io.Writer) {}}},
		{"idle after an answer", idleClients, guardtest.Client{Send: request("GET", "/healthz", "", 0, ""), Reads: true}},
		{"pipelined requests", 5 * crowdClients, guardtest.Client{Send: func(w io.Writer) {
			for range 5000 {
				request("GET", "/debug/vars", "", 0, "")(w)
			}
		}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := startCrowdBox(t, programs)
			crowd := guardtest.Join(t, b.address, test.clients, test.client)
			b.assertServes("first")
			crowd.Leave()
			b.assertServes("second")
			b.AssertRunning()
			b.AssertWithin(crowdMachine)
			b.Stop()
		})
	}
}

// crowdBox is a box that runs as a process on a small machine.
type crowdBox struct {
	*guardtest.Process
	t       *testing.T
	address string
}

// startCrowdBox starts a box with the example of a deployment and waits until it serves callers.
func startCrowdBox(t *testing.T, programs string) *crowdBox {
	t.Helper()
	address := freeAddress(t)
	command := exec.Command(filepath.Join(programs, "chutereachd"), "--operator.token", "operator", "--box.http", address,
		"--box.peer", freeAddress(t), "--times.drain", "100ms")
	command.Env = append(os.Environ(), fmt.Sprintf("CHUTEREACH_BOX_MEMORY=%d", crowdMachine.MemoryBytes>>20),
		fmt.Sprintf("CHUTEREACH_BOX_DESCRIPTORS=%d", crowdMachine.Descriptors))
	b := &crowdBox{guardtest.Start(t, command, address), t, address}
	apply := func() error {
		return exec.Command(filepath.Join(programs, "chutereach"), "--server", "http://"+address, "--token", "operator",
			"apply", "../examples/manizales").Run()
	}
	b.waitUntil(func() bool { return apply() == nil }, "the example is applied")
	b.assertServes("before")
	return b
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// assertServes submits a job over a connection of its own until that is answered.
func (b *crowdBox) assertServes(key string) {
	b.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	b.waitUntil(func() bool {
		r, err := http.NewRequest(http.MethodPost, "http://"+b.address+"/v1/jobs", strings.NewReader(`{"template":"points","hall":"chipre"}`))
		if err != nil {
			b.t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer billing")
		r.Header.Set("Idempotency-Key", key)
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusCreated || response.StatusCode == http.StatusOK
	}, "job "+key+" is accepted")
}

func (b *crowdBox) waitUntil(done func() bool, what string) {
	b.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	b.t.Fatalf("condition not met within a minute: %s", what)
}

// request returns a function that writes a request that announces a body of a length, and body.
func request(method, path, token string, length int, body string) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: crowd\r\nContent-Length: %d\r\n\r\n%s",
			method, path, token, length, body)
	}
}

// manyParams returns a job with parameters up to a length.
func manyParams(length int) string {
	var b strings.Builder
	b.WriteString(`{"template":"points","hall":"chipre","params":{"0":""`)
	for i := 1; b.Len() < length; i++ {
		fmt.Fprintf(&b, `,"%x":""`, i)
	}
	b.WriteString("}}")
	return b.String()
}
