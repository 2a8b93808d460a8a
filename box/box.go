// Package box puts one daemon together and runs it: it listens, joins the cell
// as an incarnation, and stops in order.
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

	"chutereach/control"
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
	ringSize       = 20_000 // events kept
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	shutdownLimit  = 2 * time.Minute
	// leaveLimit bounds the release of units. Without the table they cannot be
	// released; the successors then wait for the heartbeat to lapse.
	leaveLimit = 5 * time.Second
)

// Box is one daemon.
type Box struct {
	set      *settings.Settings
	log      zerolog.Logger
	platform provider.Platform
	keys     *tls.Config
	events   *timeline.Ring
	clock    *timeline.Clock

	http    net.Listener
	server  *http.Server
	peers   *peer.Server
	client  *peer.Client
	life    atomic.Pointer[life]
	leaving atomic.Bool  // it was told to stop
	drained atomic.Bool  // an operator has drained it
	inHand  atomic.Int64 // calls of peers
}

// ListenError says that an address cannot be listened on. Setting names the
// setting that gave the address, and where it stands.
type ListenError struct {
	Setting error
	Cause   error
}

func (e *ListenError) Error() string { return e.Setting.Error() }

func (e *ListenError) Unwrap() error { return e.Cause }

func cannotListen(set *settings.Settings, key, address string, cause error) error {
	text := fmt.Sprintf("cannot listen on %s: %v", address, reason(cause))
	return &ListenError{set.OptionError("box", key, text), cause}
}

// reason returns the innermost cause of a network error: the outer ones repeat
// the address.
func reason(err error) error {
	var sys *os.SyscallError
	if errors.As(err, &sys) {
		return sys.Err
	}
	return err
}

// New returns a Box that listens already, so that a port in use is told at
// once.
func New(set *settings.Settings, log zerolog.Logger) (*Box, error) {
	b := &Box{set: set, log: logs.For(log, logs.Box), clock: &timeline.Clock{}}
	b.events = timeline.NewRing(set.Box.Name, b.clock, ringSize)
	b.platform = b.openPlatform()
	var err error
	if b.keys, err = b.openKeys(); err != nil {
		return nil, err
	}
	if b.http, err = net.Listen("tcp", set.Box.HTTP); err != nil {
		return nil, cannotListen(set, "http", set.Box.HTTP, err)
	}
	b.peers, err = peer.Listen(set.Box.Peer, b.keys, http.HandlerFunc(b.servePeer))
	if err != nil {
		b.http.Close()
		return nil, cannotListen(set, "peer", set.Box.Peer, err)
	}
	b.client = peer.NewClient(b.keys)
	b.server = &http.Server{
		Handler: b.mux(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return b, nil
}

func (b *Box) openPlatform() provider.Platform {
	if b.set.Platform.URL != "" {
		return platformhttp.Dial(b.set.Platform.URL, b.set.Platform.Token)
	}
	b.log.Warn().Msg("No platform is set. A stand-in inside this process takes its place; nothing outlives it.")
	return standin.New(standin.Example(b.set.Platform.Fleet)).Interfaces()
}

func (b *Box) openKeys() (*tls.Config, error) {
	if b.set.Keys.Cert == "" {
		return keys.EphemeralConfig(b.set.Box.Name)
	}
	return keys.Config(keys.Files{Authority: b.set.Keys.Authority, Cert: b.set.Keys.Cert, Key: b.set.Keys.Key})
}

// HTTP returns the address on which callers and operators are answered.
func (b *Box) HTTP() string { return b.http.Addr().String() }

// mux serves what every box serves, and the API of the present incarnation.
func (b *Box) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", b.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		l := b.life.Load()
		if l == nil {
			w.Header().Set("Retry-After", "1")
			http.Error(w, `{"code":"unavailable","message":"the box is starting"}`, http.StatusServiceUnavailable)
			return
		}
		l.api.ServeHTTP(w, r)
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

// NotReadyError says why a box should get no requests.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// ready returns nil if the balancer may send requests here.
func (b *Box) ready() error {
	l := b.life.Load()
	switch {
	case b.leaving.Load():
		return &NotReadyError{"the box is leaving"}
	case b.drained.Load():
		return &NotReadyError{"the box is drained"}
	case l == nil:
		return &NotReadyError{"the box is starting"}
	}
	return l.ready(b.set.Times.Cutoff)
}

// isLeaving reports whether the box should be given nothing more.
func (b *Box) isLeaving() bool { return b.leaving.Load() || b.drained.Load() }

func (b *Box) servePeer(w http.ResponseWriter, r *http.Request) {
	l := b.life.Load()
	if l == nil {
		http.Error(w, "the box is starting", http.StatusServiceUnavailable)
		return
	}
	b.inHand.Add(1)
	defer b.inHand.Add(-1)
	l.peers.ServeHTTP(w, r)
}

// Run runs the box until ctx ends, and then stops it in order: it is not ready,
// goes on accepting until the balancer has noticed, finishes what it holds,
// releases its units, and leaves.
func (b *Box) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- b.server.Serve(b.http) }()
	go func() { failed <- b.peers.Serve() }()
	b.events.Add(timeline.Event{Kind: timeline.BoxStarted})
	b.log.Info().Str("http", b.HTTP()).Str("peer", b.peers.Addr()).Msg("Box is listening.")
	living, die := context.WithCancel(context.Background())
	defer die()
	lived := make(chan struct{})
	go func() {
		defer close(lived)
		b.live(living)
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	b.stop(die, lived)
	return nil
}

// live runs one incarnation after the other: a box that was declared dead while
// it paused begins again under a new name.
func (b *Box) live(ctx context.Context) {
	for ctx.Err() == nil {
		l := b.newLife(control.NewIncarnation(b.set.Box.Name))
		b.life.Store(l)
		err := l.run(ctx)
		b.life.Store(nil)
		if err != nil {
			b.events.Add(timeline.Event{Kind: timeline.BoxFenced, Detail: err.Error()})
			b.log.Warn().Err(err).Msg("Box begins again.")
		}
	}
}

const (
	peersEvery = 20 * time.Millisecond
	// peersQuiet is for how long no call of a peer must have been in hand before
	// the box takes it that none is on its way.
	peersQuiet = 200 * time.Millisecond
)

// awaitPeers waits for the calls of peers that are in hand: requests that they
// handed on before they heard that this box leaves.
func (b *Box) awaitPeers(ctx context.Context) {
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < peersQuiet {
		time.Sleep(peersEvery)
		if b.inHand.Load() > 0 {
			quiet = time.Now()
		}
	}
}

func (b *Box) stop(die context.CancelFunc, lived <-chan struct{}) {
	b.log.Info().Msg("Box is leaving.")
	b.events.Add(timeline.Event{Kind: timeline.BoxLeaving})
	b.leaving.Store(true)
	if l := b.life.Load(); l != nil {
		l.router.Refresh()
		l.members.AnnounceLeaving(context.Background())
	}
	time.Sleep(b.set.Times.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := b.server.Shutdown(ctx); err != nil {
		b.log.Warn().Err(err).Msg("Some requests were cut off.")
	}
	if l := b.life.Load(); l != nil {
		ctx, cancel := context.WithTimeout(ctx, leaveLimit)
		l.keeper.Leave(ctx)
		cancel()
	}
	b.awaitPeers(ctx)
	die()
	<-lived
	err := errors.Join(b.peers.Close(), b.client.Close())
	b.log.Info().Err(err).Msg("Box has left.")
}
