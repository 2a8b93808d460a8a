package guard_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chutereach/guard"
)

const (
	testBodyLimit = 256 << 10
	largeAnswer   = 1 << 20
)

// testServer serves a handler that echoes the length of a body, behind a guard.
type testServer struct {
	t       *testing.T
	address string
	held    chan struct{} // requests to /hold are answered once it is closed
	guard   *guard.Guard
}

func newTestServer(t *testing.T, limits guard.Limits) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, address: listener.Addr().String(), held: make(chan struct{})}
	s.guard = guard.New(func() guard.Limits { return limits }, zerolog.Nop())
	server := s.guard.Server(http.HandlerFunc(s.handle))
	go server.Serve(s.guard.Listen(listener))
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/hold":
		<-s.held
	case "/ignore":
	case "/large":
		w.Write(make([]byte, largeAnswer))
	default:
		data, err := guard.ReadBody(r, testBodyLimit)
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		fmt.Fprint(w, len(data))
	}
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(time.Minute))
	return conn
}

// assertAnswer reads an answer and checks its status and body.
func assertAnswer(t *testing.T, conn net.Conn, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("got error %v, want status %d", err, status)
		return nil
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body {
		t.Errorf("got status %d, body %q, error %v; want %d and %q", response.StatusCode, got, err, status, body)
	}
	return response
}

// assertClosed checks that the server closes a connection without an answer.
func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if n, err := conn.Read(make([]byte, 1)); n > 0 || isTimeout(err) {
		t.Errorf("got %d bytes and error %v, want a closed connection", n, err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func post(path string, announced int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, announced, body)
}

func testLimits() guard.Limits {
	limits := guard.DefaultLimits()
	limits.Connections, limits.Memory = 100, 0
	limits.HeaderTimeout, limits.BodyTimeout, limits.IdleTimeout = time.Minute, time.Minute, time.Minute
	return limits
}

func TestPlaces(t *testing.T) {
	limits := testLimits()
	limits.Connections = 2
	waiting := map[string]string{
		"nothing sent":       "",
		"header without end": "POST /x HTTP/1.1\r\nHost: h\r\nX: ",
		"body without end":   post("/x", 10, "123"),
		"ignored body":       post("/ignore", 10, "123"),
	}
	for name, text := range waiting {
		t.Run(name+" makes room", func(t *testing.T) {
			s := newTestServer(t, limits)
			first, second := s.dial(), s.dial()
			io.WriteString(first, text)
			io.WriteString(second, text)
			for range 4 {
				conn := s.dial()
				io.WriteString(conn, post("/x", 3, "abc"))
				assertAnswer(t, conn, http.StatusOK, "3")
			}
		})
	}
	t.Run("idle connections make room", func(t *testing.T) {
		s := newTestServer(t, limits)
		for range 5 {
			conn := s.dial()
			io.WriteString(conn, post("/x", 3, "abc"))
			assertAnswer(t, conn, http.StatusOK, "3")
		}
	})
	t.Run("requests that are served do not", func(t *testing.T) {
		s := newTestServer(t, limits)
		first, second := s.dial(), s.dial()
		for _, conn := range []net.Conn{first, second} {
			io.WriteString(conn, post("/hold", 0, ""))
		}
		s.awaitRefusal()
		close(s.held)
		for _, conn := range []net.Conn{first, second} {
			assertAnswer(t, conn, http.StatusOK, "")
		}
	})
}

// awaitRefusal opens connections until one is refused at once, which needs all places to be taken by requests that
// are served.
func (s *testServer) awaitRefusal() {
	s.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		if s.guard.Usage().Refused > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
		conn, err := net.Dial("tcp", s.address)
		if err == nil {
			conn.Close()
		}
	}
	s.t.Fatal("no connection was refused")
}

func TestTimeouts(t *testing.T) {
	const short = 50 * time.Millisecond
	cases := []struct {
		name, text string
		shorten    func(*guard.Limits)
	}{
		{"header", "POST /x HTTP/1.1\r\n", func(l *guard.Limits) { l.HeaderTimeout = short }},
		{"no request", "", func(l *guard.Limits) { l.HeaderTimeout = short }},
		{"body", post("/x", 10, "123"), func(l *guard.Limits) { l.BodyTimeout = short }},
		{"header too large", "GET /x HTTP/1.1\r\nX: " + strings.Repeat("x", 80<<10), func(*guard.Limits) {}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limits := testLimits()
			test.shorten(&limits)
			conn := newTestServer(t, limits).dial()
			io.WriteString(conn, test.text)
			if test.name == "header too large" {
				return // it may be reset before its answer has arrived
			}
			assertClosed(t, conn)
		})
	}
	t.Run("idle", func(t *testing.T) {
		limits := testLimits()
		limits.IdleTimeout = short
		conn := newTestServer(t, limits).dial()
		io.WriteString(conn, post("/x", 0, ""))
		assertAnswer(t, conn, http.StatusOK, "0")
		assertClosed(t, conn)
	})
}

func TestMemory(t *testing.T) {
	whole := strings.Repeat(" ", testBodyLimit)
	t.Run("whole bodies wait for their turn", func(t *testing.T) {
		s := newTestServer(t, testLimits())
		var clients sync.WaitGroup
		for range 30 {
			conn := s.dial()
			clients.Go(func() {
				io.WriteString(conn, post("/x", len(whole), whole))
				assertAnswer(t, conn, http.StatusOK, fmt.Sprint(len(whole)))
			})
		}
		clients.Wait()
	})
	t.Run("bodies without end make room", func(t *testing.T) {
		s := newTestServer(t, testLimits())
		for range 30 {
			io.WriteString(s.dial(), post("/x", len(whole), whole[1:]))
		}
		conn := s.dial()
		io.WriteString(conn, post("/x", len(whole), whole))
		assertAnswer(t, conn, http.StatusOK, fmt.Sprint(len(whole)))
	})
	t.Run("chunked bodies give each other memory", func(t *testing.T) {
		s := newTestServer(t, testLimits())
		answered := make(chan bool, 30)
		for range cap(answered) {
			conn := s.dial()
			go func() {
				fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				answered <- err == nil && response.StatusCode == http.StatusOK
			}()
		}
		served := 0
		for range cap(answered) {
			if <-answered {
				served++
			}
		}
		if served == 0 {
			t.Error("none of the chunked bodies was served")
		}
	})
}

func TestAnswers(t *testing.T) {
	t.Run("many requests on a connection", func(t *testing.T) {
		conn := newTestServer(t, testLimits()).dial()
		for range 5 {
			io.WriteString(conn, post("/x", 3, "abc"))
			assertAnswer(t, conn, http.StatusOK, "3")
		}
	})
	for name, text := range map[string]string{
		"announced too large": post("/x", testBodyLimit+1, "abc"),
		"sent too large":      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50000\r\n" + strings.Repeat(" ", 0x50000),
	} {
		t.Run(name, func(t *testing.T) {
			conn := newTestServer(t, testLimits()).dial()
			io.WriteString(conn, text)
			if response := assertAnswer(t, conn, http.StatusRequestEntityTooLarge, ""); response != nil && !response.Close {
				t.Error("the connection stays open for the rest of the body")
			}
		})
	}
	t.Run("read slowly", func(t *testing.T) {
		limits := testLimits()
		limits.WriteTimeout = time.Second
		conn := newTestServer(t, limits).dial()
		conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		pieces, piece := 0, make([]byte, largeAnswer/30)
		for n := 0; n < largeAnswer; pieces++ {
			read, err := conn.Read(piece)
			if err != nil {
				t.Fatalf("after %d bytes: %v", n, err)
			}
			n += read
			time.Sleep(time.Duration(read) * 2 * time.Second / largeAnswer) // longer than the timeout in all
		}
	})
	t.Run("without the body", func(t *testing.T) {
		conn := newTestServer(t, testLimits()).dial()
		io.WriteString(conn, post("/ignore", 10, "123"))
		assertAnswer(t, conn, http.StatusOK, "")
	})
}

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, testBodyLimit} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, chunked %v", size, chunked), func(t *testing.T) {
				r := httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", size)))
				if chunked {
					r.ContentLength = -1
				}
				data, err := guard.ReadBody(r, testBodyLimit)
				if err != nil || len(data) != size || cap(data) > 2*max(size, 4096)+1 {
					t.Errorf("got %d bytes, capacity %d, error %v; want %d bytes", len(data), cap(data), err, size)
				}
			})
		}
	}
}
