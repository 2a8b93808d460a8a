package route

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// upstreamFake serves requests badly, and counts the runs.
type upstreamFake struct {
	net.Listener
	mu   sync.Mutex
	runs map[string]int
}

// behave is what a fake does with one request on a connection.
type behave func(u *upstreamFake, c net.Conn, id, body string)

// fake starts an upstream that behaves one way for the first requests, each in
// turn, and well after that.
func fake(t *testing.T, first ...behave) *upstreamFake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstreamFake{Listener: l, runs: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	next := func() behave {
		mu.Lock()
		defer mu.Unlock()
		if len(first) == 0 {
			return well
		}
		b := first[0]
		first = first[1:]
		return b
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, next)
		}
	}()
	return u
}

func (u *upstreamFake) serve(c net.Conn, next func() behave) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		next()(u, c, r.Header.Get("Request-Id"), string(body))
	}
}

func (u *upstreamFake) ran(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
}

func (u *upstreamFake) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func well(u *upstreamFake, c net.Conn, id, body string) {
	u.ran(id)
	answer := "for " + id + ": " + body
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
}

func resetBefore(_ *upstreamFake, c net.Conn, _, _ string) { c.Close() }

func resetAfter(u *upstreamFake, c net.Conn, id, _ string) {
	u.ran(id)
	c.Close()
}

func half(u *upstreamFake, c net.Conn, id, _ string) {
	u.ran(id)
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	c.Close()
}

func halfChunk(u *upstreamFake, c net.Conn, id, _ string) {
	u.ran(id)
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
	c.Close()
}

func tooLate(u *upstreamFake, c net.Conn, id, body string) {
	time.Sleep(2 * testDeadline)
	well(u, c, id, body)
}

func twice(u *upstreamFake, c net.Conn, id, body string) {
	well(u, c, id, body)
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\na stranger")
}
