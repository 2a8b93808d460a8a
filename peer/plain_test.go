package peer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"chutereach/peer"
)

// Guards against a call that counts as not executed because the transport has sent it again: a peer that ends while it
// handles a call on an open connection may have executed it, although it cannot be reached any more.
func TestPeerThatEndsDuringCallMayHaveExecutedIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	calls := 0
	peer.Handle(mux, "/call", func(context.Context, int) (int, error) {
		if calls++; calls == 2 {
			listener.Close()
			panic(http.ErrAbortHandler)
		}
		return calls, nil
	})
	server := peer.NewPlainServer(listener, mux)
	go server.Serve()
	defer server.Close()
	c := peer.NewPlainClient()
	defer c.Close()
	call := func() error {
		_, err := peer.Call[int](t.Context(), c, server.Addr(), "/call", 1)
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	var lost *peer.NoResponseError
	if err := call(); !errors.As(err, &lost) {
		t.Errorf("peer ends during a call: got %v (%T), want %T", err, err, lost)
	}
	var unreachable *peer.UnreachableError
	if err := call(); !errors.As(err, &unreachable) {
		t.Errorf("peer has ended: got %v (%T), want %T", err, err, unreachable)
	}
}

// Guards against an unknown outcome of a call that was never sent: a call that is cancelled or times out while its
// connection is being opened has not been executed.
func TestCallCancelledDuringDialIsUnreachable(t *testing.T) {
	c := peer.NewPlainClientOver(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := peer.Call[int](ctx, c, "127.0.0.1:1", "/call", 1)
	var unreachable *peer.UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("got %v (%T), want %T", err, err, unreachable)
	}
}
