package peer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Bounds of plain connections between nodes.
const (
	plainIdle      = 30 * time.Second
	plainDial      = 400 * time.Millisecond
	plainKeepAlive = time.Second
	plainIdleConns = 32
)

// PlainServer answers the calls of peers over HTTP/1.1 on TCP, for networks that
// are closed to strangers.
type PlainServer struct {
	listener net.Listener
	server   *http.Server
}

// ListenPlain returns a PlainServer on a TCP address.
func ListenPlain(address string, mux http.Handler) (*PlainServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address, err}
	}
	return NewPlainServer(listener, mux), nil
}

// NewPlainServer returns a PlainServer on a listener.
func NewPlainServer(listener net.Listener, mux http.Handler) *PlainServer {
	return &PlainServer{listener, &http.Server{Handler: mux, ReadHeaderTimeout: plainIdle}}
}

// Addr returns the address on which the server listens.
func (s *PlainServer) Addr() string { return s.listener.Addr().String() }

// Serve answers until Close.
func (s *PlainServer) Serve() error { return s.server.Serve(s.listener) }

// Close ends the server and cuts what is under way.
func (s *PlainServer) Close() error { return s.server.Close() }

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPlainClient returns a Client for PlainServers.
func NewPlainClient() *Client {
	dialer := &net.Dialer{Timeout: plainDial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: plainKeepAlive, Interval: plainKeepAlive, Count: 2,
	}}
	return NewPlainClientOver(dialer.DialContext)
}

// NewPlainClientOver returns a Client for PlainServers whose connections dial
// opens.
func NewPlainClientOver(dial Dial) *Client {
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: plainIdleConns, IdleConnTimeout: plainIdle, DisableCompression: true,
	}
	return &Client{transport: transport, scheme: "http", close: func() error {
		transport.CloseIdleConnections()
		return nil
	}}
}
