// Package peer implements calls between boxes: HTTP/3 over QUIC with mutual TLS and
// CBOR bodies. All calls to a peer share one connection, without head-of-line
// blocking. PlainServer and NewPlainClient use HTTP/1.1 over TCP instead.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"chutereach/codec"
	"chutereach/transfer"
)

const (
	// maxBodyBytes limits the size of a request or response body, in bytes.
	maxBodyBytes = 32 << 20
	// idleTimeout closes the connection to an unreachable peer. keepAlive is shorter,
	// so that an idle connection to a reachable peer stays open.
	idleTimeout = 6 * time.Second
	keepAlive   = 2 * time.Second
	dialTimeout = 2 * time.Second
	// maxStreams limits the concurrent calls from one peer.
	maxStreams = 10_000
	// closeTimeout bounds the wait for aborted calls when a Server is closed.
	closeTimeout = 2 * time.Second
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive,
		HandshakeIdleTimeout: dialTimeout, MaxIncomingStreams: maxStreams,
	}
}

// ListenError reports an address on which the box cannot listen for peers.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen for peers on %s: %v", e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Server serves calls from peers over HTTP/3.
type Server struct {
	conn   net.PacketConn
	server *http3.Server
}

// Listen returns a Server that listens on a UDP address.
func Listen(address string, keys *tls.Config, mux http.Handler) (*Server, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, &ListenError{address, err}
	}
	return &Server{conn, &http3.Server{
		TLSConfig: http3.ConfigureTLSConfig(keys.Clone()), QUICConfig: quicConfig(), Handler: mux,
	}}, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.conn.LocalAddr().String() }

// Serve serves calls until Close.
func (s *Server) Serve() error { return s.server.Serve(s.conn) }

// Close stops the server and aborts calls in progress. It waits for their handlers and returns a
// HandlersRunningError if some ignore that their calls were aborted.
func (s *Server) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- s.server.Close() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		return errors.Join(err, s.conn.Close())
	case <-timer.C:
		return errors.Join(&HandlersRunningError{closeTimeout}, s.conn.Close())
	}
}

// HandlersRunningError reports that handlers of aborted calls were still running after Limit.
type HandlersRunningError struct{ Limit time.Duration }

func (e *HandlersRunningError) Error() string {
	return fmt.Sprintf("handlers of aborted calls have not ended within %v", e.Limit)
}

// Client makes calls to peers.
type Client struct {
	transport http.RoundTripper
	scheme    string
	close     func() error
	// Sent and Received count the bytes of request and response bodies, without
	// headers and transport overhead.
	Sent, Received atomic.Int64
}

// NewClient returns a Client that calls Servers.
func NewClient(keys *tls.Config) *Client {
	transport := &http3.Transport{
		TLSClientConfig: keys.Clone(), QUICConfig: quicConfig(), DisableCompression: true,
	}
	return &Client{transport: transport, scheme: "https", close: transport.Close}
}

// Close closes the client's connections. For a plain client these are the idle ones.
func (c *Client) Close() error { return c.close() }

// UnreachableError reports a call that was not executed because the peer could not
// be reached.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("box at %s cannot be reached: %v", e.Address, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoResponseError reports a call without a usable response. It may have been executed. It does not unwrap to its
// cause, which must not decide what the caller is told.
type NoResponseError struct {
	Address string
	Cause   error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("box at %s did not answer: %v", e.Address, e.Cause)
}

// ReceivedPart implements transfer.Partial.
func (e *NoResponseError) ReceivedPart() transfer.Received { return transfer.ReceivedBefore(e.Cause) }

// Code is the kind of a Failure.
type Code string

// Failure is an error returned by a peer.
type Failure struct {
	Code    Code   `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

func (e *Failure) Error() string { return e.Message }

// Call sends request to the peer at address and returns its response. It returns an
// UnreachableError, a NoResponseError or a Failure.
func Call[A, R any](ctx context.Context, c *Client, address, path string, request R) (A, error) {
	var answer A
	body, err := codec.Marshal(request)
	if err != nil {
		return answer, &UnreachableError{address, err}
	}
	connected := false // the transport calls GotConn before RoundTrip returns
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, c.scheme+"://"+address+path, transfer.RequestBody(ctx, body))
	if err != nil {
		return answer, &UnreachableError{address, err}
	}
	req.ContentLength = int64(len(body))
	req.GetBody = func() (io.ReadCloser, error) { return transfer.RequestBody(ctx, body), nil }
	req.Header.Set("Content-Type", codec.ContentType)
	c.Sent.Add(int64(len(body)))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return answer, classify(address, connected, transfer.Cause(ctx, err))
	}
	defer resp.Body.Close()
	data, _, err := transfer.Read(ctx, resp.Body, maxBodyBytes)
	if err != nil {
		return answer, &NoResponseError{address, err}
	}
	c.Received.Add(int64(len(data)))
	if resp.StatusCode != http.StatusOK {
		f := &Failure{}
		if codec.Unmarshal(data, f) != nil {
			f.Message = resp.Status
		}
		return answer, f
	}
	if err := codec.Unmarshal(data, &answer); err != nil {
		return answer, &NoResponseError{address, err}
	}
	return answer, nil
}

// classify returns an UnreachableError if no connection was established, else a
// NoResponseError. No call is sent before the handshake is complete. A call that had a connection
// is sent again only if the first one carried no part of it or the peer has refused it unread, so that
// a failed second dial proves as much as a failed first one.
func classify(address string, connected bool, err error) error {
	if !connected {
		return &UnreachableError{address, err}
	}
	var (
		handshake *quic.HandshakeTimeoutError
		transport *quic.TransportError
	)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &UnreachableError{address, err}
	}
	if errors.As(err, &handshake) || errors.As(err, &transport) && transport.ErrorCode.IsCryptoError() {
		return &UnreachableError{address, err}
	}
	return &NoResponseError{address, err}
}

// Handle registers handle for the calls of peers to path.
func Handle[R, A any](mux *http.ServeMux, path string, handle func(context.Context, R) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request R
		if err := codec.ReadRequest(w, r, maxBodyBytes, &request); err != nil {
			codec.Reply(w, http.StatusBadRequest, Failure{Message: err.Error()})
			return
		}
		answer, err := handle(r.Context(), request)
		if err != nil {
			codec.Reply(w, http.StatusUnprocessableEntity, failureOf(err))
			return
		}
		codec.Reply(w, http.StatusOK, answer)
	})
}

// Coder is an error with a code. Peers receive the code along with the message, so that the caller can tell
// the kind of error.
type Coder interface {
	error
	Code() Code
}

func failureOf(err error) Failure {
	var f *Failure
	if errors.As(err, &f) {
		return *f
	}
	var c Coder
	if errors.As(err, &c) {
		return Failure{c.Code(), err.Error()}
	}
	return Failure{Message: err.Error()}
}
