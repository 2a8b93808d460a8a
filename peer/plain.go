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
	return &PlainServer{listener, &http.Server{Handler: mux, ReadHeaderTimeout: plainIdle}}, nil
}

// Addr returns the address on which the server listens.
func (s *PlainServer) Addr() string { return s.listener.Addr().String() }

// Serve answers until Close.
func (s *PlainServer) Serve() error { return s.server.Serve(s.listener) }

// Close ends the server and cuts what is under way.
func (s *PlainServer) Close() error { return s.server.Close() }

// NewPlainClient returns a Client for PlainServers.
func NewPlainClient() *Client {
	dialer := &net.Dialer{Timeout: plainDial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: plainKeepAlive, Interval: plainKeepAlive, Count: 2,
	}}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: plainIdleConns, IdleConnTimeout: plainIdle, DisableCompression: true,
	}
	return &Client{transport: transport, scheme: "http", close: func() error {
		transport.CloseIdleConnections()
		return nil
	}}
}
