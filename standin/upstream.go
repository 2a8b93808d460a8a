package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream is a service replica that answers requests over HTTP. It counts the
// runs of each request by the header Request-Id and echoes it, so that a caller
// can tell its own answer from another's.
type Upstream struct {
	Service time.Duration // that a request takes
	Most    atomic.Int64  // requests in hand at once, at the most

	listener net.Listener
	server   *http.Server
	inHand   atomic.Int64
	mu       sync.Mutex
	runs     map[string]int
}

// NewUpstream returns an upstream that listens on a loopback port.
func NewUpstream(service time.Duration) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{Service: service, listener: l, runs: map[string]int{}}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	return u, nil
}

// Addr returns where u listens.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// Close cuts u off, with what it has in hand.
func (u *Upstream) Close() { u.server.Close() }

// Runs returns how often the request called id ran.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// ServeHTTP takes the service time, or that of the header Service-Time.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := u.inHand.Add(1)
	defer u.inHand.Add(-1)
	for most := u.Most.Load(); n > most && !u.Most.CompareAndSwap(most, n); most = u.Most.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off; it did not run
	}
	id := r.Header.Get("Request-Id")
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	service := u.Service
	if d, err := time.ParseDuration(r.Header.Get("Service-Time")); err == nil {
		service = d
	}
	time.Sleep(service)
	w.Header().Set("Request-Id", id)
	fmt.Fprintf(w, "%s %s answered %s\n", r.Method, r.URL.Path, id)
	w.Write(body)
}
