package peer_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"chutereach/keys"
	"chutereach/peer"
)

// Guards against a call over QUIC that counts as not executed although its handler has begun: whether a call was sent
// is concluded from the transport's trace, and each transport has its own.
func TestCallAbortedByItsHandlerMayHaveBeenExecuted(t *testing.T) {
	cases := []struct {
		name string
		end  func(cancel context.CancelFunc) // called by the handler
	}{
		{"handler aborts the response", func(context.CancelFunc) { panic(http.ErrAbortHandler) }},
		{"caller gives up", func(cancel context.CancelFunc) { cancel() }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			config, err := keys.EphemeralConfig("box-1")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			server, err := peer.Listen("127.0.0.1:0", config, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				test.end(cancel)
				<-r.Context().Done()
			}))
			if err != nil {
				t.Fatal(err)
			}
			go server.Serve()
			defer server.Close()
			client := peer.NewClient(config)
			defer client.Close()
			_, err = peer.Call[bool](ctx, client, server.Addr(), "/call", true)
			var lost *peer.NoResponseError
			if !errors.As(err, &lost) {
				t.Errorf("got %v (%T), want %T", err, err, lost)
			}
		})
	}
}
