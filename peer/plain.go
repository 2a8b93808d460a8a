package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"chutereach/guard"
)

// Limits of plain connections between nodes.
const (
	plainIdleTimeout = 30 * time.Second
	plainDialTimeout = 400 * time.Millisecond
	plainKeepAlive   = time.Second
	plainIdleConns   = 32
)

// PlainServer serves calls from peers over HTTP/1.1 on TCP without TLS, for trusted
// networks.
type PlainServer struct {
	listener net.Listener
	server   *http.Server
}

// ListenPlain returns a PlainServer that listens on a TCP address and takes what limits allows.
func ListenPlain(address string, mux http.Handler, limits *guard.Guard) (*PlainServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address, err}
	}
	return &PlainServer{limits.Listen(listener), limits.Server(mux)}, nil
}

// NewPlainServer returns a PlainServer that accepts connections from listener.
func NewPlainServer(listener net.Listener, mux http.Handler) *PlainServer {
	return &PlainServer{listener, &http.Server{Handler: mux, ReadHeaderTimeout: plainIdleTimeout}}
}

// Addr returns the address on which the server listens.
func (s *PlainServer) Addr() string { return s.listener.Addr().String() }

// Serve serves calls until Close.
func (s *PlainServer) Serve() error { return s.server.Serve(s.listener) }

// Close stops the server and aborts calls in progress.
func (s *PlainServer) Close() error { return s.server.Close() }

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPlainClient returns a Client for PlainServers.
func NewPlainClient() *Client {
	dialer := &net.Dialer{Timeout: plainDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: plainKeepAlive, Interval: plainKeepAlive, Count: 2,
	}}
	return NewPlainClientOver(dialer.DialContext)
}

// NewPlainClientOver returns a Client for PlainServers that opens its connections
// with dial.
func NewPlainClientOver(dial Dial) *Client {
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: plainIdleConns, IdleConnTimeout: plainIdleTimeout, DisableCompression: true,
	}
	return &Client{transport: transport, scheme: "http", close: func() error {
		transport.CloseIdleConnections()
		return nil
	}}
}
