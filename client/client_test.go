package client_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chutereach/api"
	"chutereach/client"
)

// Guards against a call that counts as unsent although a box may have carried it out: net/http sends a request with an
// Idempotency-Key again if its connection ends without a response, and the box may be gone by then.
func TestCallIsLostIfBoxEndsDuringIt(t *testing.T) {
	for name, header := range map[string]http.Header{"with a key": {api.HeaderKey: {"k"}}, "without a key": {}} {
		t.Run(name, func(t *testing.T) {
			server := endingServer(t, 2)
			c := client.New([]string{server.URL}, "", 5*time.Second)
			call := client.Call{Method: http.MethodPost, Path: "/", Body: []byte("{}"), Header: header}
			if _, err := c.Send(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			_, err := c.Send(t.Context(), call)
			wantError[*client.LostError](t, err)
		})
	}
}

// A call to a box that accepts no connection has no effect, so that the next box can be called.
func TestCallSkipsUnreachableBox(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := "http://" + listener.Addr().String()
	listener.Close()
	server := endingServer(t, 2)
	call := client.Call{Method: http.MethodPost, Path: "/", Header: http.Header{api.HeaderKey: {"k"}}}
	if _, err := client.New([]string{gone, server.URL}, "", 5*time.Second).Send(t.Context(), call); err != nil {
		t.Error(err)
	}
	_, err = client.New([]string{gone}, "", 5*time.Second).Send(t.Context(), call)
	wantError[*client.UnreachableError](t, err)
}

// endingServer returns a server that stops listening and closes its connection when it has received the last request.
func endingServer(t *testing.T, last int) *httptest.Server {
	requests := 0
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests++; requests == last {
			server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server
}

func wantError[E error](t *testing.T, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("got %v (%T), want %T", err, err, want)
	}
}
