// Package box assembles and runs one daemon: it listens, joins the cell as an
// incarnation, and shuts down gracefully.
package box

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chutereach/api"
	"chutereach/control"
	"chutereach/guard"
	"chutereach/keys"
	"chutereach/logs"
	"chutereach/peer"
	"chutereach/platformhttp"
	"chutereach/provider"
	"chutereach/settings"
	"chutereach/standin"
	"chutereach/timeline"
)

const (
	eventCapacity   = 20_000
	shutdownTimeout = 2 * time.Minute
	// callerShare is the share of the box's sockets that callers may take. The rest is for upstreams, whose
	// requests are those of callers, other boxes and the platform.
	callerShare = 0.4
	// sendBuffer is large enough for answers of upstreams over wide links.
	sendBuffer = 64 << 10
	// releaseTimeout bounds the release of units. If the table is unreachable, units
	// cannot be released and their successors wait for the heartbeat to expire.
	releaseTimeout = 5 * time.Second
)

// Box is one daemon.
type Box struct {
	set      *settings.Settings
	log      zerolog.Logger
	platform provider.Platform
	tls      *tls.Config
	events   *timeline.Ring
	clock    *timeline.Clock

	http      net.Listener
	server    *http.Server
	callers   *guard.Guard
	peers     *peer.Server
	client    *peer.Client
	current   atomic.Pointer[incarnation]
	leaving   atomic.Bool
	drained   atomic.Bool  // by an operator
	peerCalls atomic.Int64 // calls by peers in progress
}

// ListenError reports an address on which the box cannot listen. Setting names the
// setting that contains the address, and its location.
type ListenError struct {
	Setting error
	Cause   error
}

func (e *ListenError) Error() string { return e.Setting.Error() }

func (e *ListenError) Unwrap() error { return e.Cause }

func newListenError(set *settings.Settings, key, address string, cause error) error {
	text := fmt.Sprintf("cannot listen on %s: %v", address, rootCause(cause))
	return &ListenError{set.OptionError("box", key, text), cause}
}

// rootCause returns the innermost cause of a network error, because the outer errors
// repeat the address.
func rootCause(err error) error {
	var sys *os.SyscallError
	if errors.As(err, &sys) {
		return sys.Err
	}
	return err
}

// New returns a Box that is already listening, so that a port in use is reported
// immediately.
func New(set *settings.Settings, log zerolog.Logger) (*Box, error) {
	b := &Box{set: set, log: logs.For(log, logs.Box), clock: &timeline.Clock{}}
	b.events = timeline.NewRing(set.Box.Name, b.clock, eventCapacity)
	b.platform = b.openPlatform()
	var err error
	if b.tls, err = b.tlsConfig(); err != nil {
		return nil, err
	}
	if b.http, err = net.Listen("tcp", set.Box.HTTP); err != nil {
		return nil, newListenError(set, "http", set.Box.HTTP, err)
	}
	b.peers, err = peer.Listen(set.Box.Peer, b.tls, http.HandlerFunc(b.servePeer))
	if err != nil {
		b.http.Close()
		return nil, newListenError(set, "peer", set.Box.Peer, err)
	}
	b.client = peer.NewClient(b.tls)
	limits := set.Callers.Limits(set.Box.Memory, set.Box.Descriptors, callerShare, api.MaxBodyBytes)
	limits.SendBuffer = sendBuffer
	b.callers = guard.New(func() guard.Limits { return limits }, b.log)
	b.server = b.callers.Server(b.mux())
	return b, nil
}

func (b *Box) openPlatform() provider.Platform {
	if b.set.Platform.URL != "" {
		return platformhttp.Dial(b.set.Platform.URL, b.set.Platform.Token)
	}
	b.log.Warn().Msg("no platform configured, using an in-memory stand-in; all state is lost when the process exits")
	return standin.New(standin.Example(b.set.Platform.Fleet)).Interfaces()
}

func (b *Box) tlsConfig() (*tls.Config, error) {
	if b.set.Keys.Cert == "" {
		return keys.EphemeralConfig(b.set.Box.Name)
	}
	return keys.Config(keys.Files{Authority: b.set.Keys.Authority, Cert: b.set.Keys.Cert, Key: b.set.Keys.Key})
}

// HTTP returns the address of the HTTP API.
func (b *Box) HTTP() string { return b.http.Addr().String() }

// mux returns the handler of the health and metrics endpoints and of the API, which
// it forwards to the current incarnation.
func (b *Box) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", b.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		inc := b.current.Load()
		if inc == nil {
			w.Header().Set("Retry-After", "1")
			http.Error(w, `{"code":"unavailable","message":"the box is starting"}`, http.StatusServiceUnavailable)
			return
		}
		inc.api.ServeHTTP(w, r)
	})
	return mux
}

func (b *Box) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := b.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// NotReadyError reports why a box cannot take requests.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// ready returns nil if the load balancer may send requests to this box.
func (b *Box) ready() error {
	inc := b.current.Load()
	switch {
	case b.leaving.Load():
		return &NotReadyError{"the box is leaving"}
	case b.drained.Load():
		return &NotReadyError{"the box is drained"}
	case inc == nil:
		return &NotReadyError{"the box is starting"}
	}
	return inc.ready(b.set.Times.Cutoff)
}

// isLeavingOrDrained reports whether the box takes no new work.
func (b *Box) isLeavingOrDrained() bool { return b.leaving.Load() || b.drained.Load() }

func (b *Box) servePeer(w http.ResponseWriter, r *http.Request) {
	inc := b.current.Load()
	if inc == nil {
		http.Error(w, "the box is starting", http.StatusServiceUnavailable)
		return
	}
	b.peerCalls.Add(1)
	defer b.peerCalls.Add(-1)
	inc.peers.ServeHTTP(w, r)
}

// Run runs the box until ctx ends and then shuts it down. It first reports not ready
// but accepts requests until the load balancer has had time to notice. It then
// finishes the requests in progress, releases its units and leaves the cell.
func (b *Box) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- b.server.Serve(b.callers.Listen(b.http)) }()
	go func() { failed <- b.peers.Serve() }()
	b.events.Add(timeline.Event{Kind: timeline.BoxStarted})
	b.log.Info().Str("http", b.HTTP()).Str("peer", b.peers.Addr()).Msg("listening")
	incarnationsCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	incarnationsDone := make(chan struct{})
	go func() {
		defer close(incarnationsDone)
		b.runIncarnations(incarnationsCtx)
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	b.stop(cancel, incarnationsDone)
	return nil
}

// runIncarnations runs one incarnation at a time until ctx ends. A box that was declared
// dead during a pause continues as a new incarnation.
func (b *Box) runIncarnations(ctx context.Context) {
	for ctx.Err() == nil {
		inc := b.newIncarnation(control.NewIncarnation(b.set.Box.Name))
		b.current.Store(inc)
		err := inc.run(ctx)
		b.current.Store(nil)
		if err != nil {
			b.events.Add(timeline.Event{Kind: timeline.BoxFenced, Detail: err.Error()})
			b.log.Warn().Err(err).Msg("incarnation fenced, starting a new one")
		}
	}
}

const (
	peerCallsPollInterval = 20 * time.Millisecond
	// peerCallsIdlePeriod is how long no call by a peer must have been in progress
	// before the box assumes that no more will arrive.
	peerCallsIdlePeriod = 200 * time.Millisecond
)

// awaitPeerCalls waits for the calls by peers: requests that they forwarded before
// they learned that this box is leaving.
func (b *Box) awaitPeerCalls(ctx context.Context) {
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < peerCallsIdlePeriod {
		time.Sleep(peerCallsPollInterval)
		if b.peerCalls.Load() > 0 {
			idleSince = time.Now()
		}
	}
}

func (b *Box) stop(cancelIncarnations context.CancelFunc, incarnationsDone <-chan struct{}) {
	b.log.Info().Msg("shutting down")
	b.events.Add(timeline.Event{Kind: timeline.BoxLeaving})
	b.leaving.Store(true)
	if inc := b.current.Load(); inc != nil {
		inc.router.Refresh()
		inc.members.AnnounceLeaving(context.Background())
	}
	time.Sleep(b.set.Times.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := b.server.Shutdown(ctx); err != nil {
		b.log.Warn().Err(err).Msg("shutdown interrupted requests in progress")
	}
	if inc := b.current.Load(); inc != nil {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		inc.manager.Leave(ctx)
		cancel()
	}
	b.awaitPeerCalls(ctx)
	cancelIncarnations()
	<-incarnationsDone
	err := errors.Join(b.peers.Close(), b.client.Close())
	b.log.Info().Err(err).Msg("shutdown complete")
}
