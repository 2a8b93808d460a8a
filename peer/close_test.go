package peer_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"chutereach/keys"
	"chutereach/peer"
)

// Guards against boxes that do not exit because a handler ignores that its call was aborted.
func TestCloseDoesNotWaitForStuckHandler(t *testing.T) {
	config, err := keys.EphemeralConfig("box-1")
	if err != nil {
		t.Fatal(err)
	}
	release, called := make(chan struct{}), make(chan struct{})
	defer close(release)
	server, err := peer.Listen("127.0.0.1:0", config, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(called)
		<-release
	}))
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	client := peer.NewClient(config)
	defer client.Close()
	go peer.Call[bool](t.Context(), client, server.Addr(), "/stuck", true)
	<-called
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	select {
	case err := <-closed:
		var running *peer.HandlersRunningError
		if !errors.As(err, &running) {
			t.Errorf("got %v, want HandlersRunningError", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("Close waits for the handler")
	}
}
