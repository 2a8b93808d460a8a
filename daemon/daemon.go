// Package daemon runs a node of a system on the users' platform as a process:
// its listeners, its metrics, its logs and its signals.
package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"chutereach/clock"
	"chutereach/guard"
	"chutereach/logs"
	"chutereach/node"
	"chutereach/peer"
	"chutereach/platform"
	"chutereach/scheduler"
	"chutereach/settings"
	"chutereach/wait"
)

const (
	// shard is the name of the only shard.
	shard = "main"
	// balancerNotices is how long new connections still come after the node has
	// called itself not ready.
	balancerNotices = 2200 * time.Millisecond
	// stopReserve is kept of the grace for the end of the background work, and exitReserve of that for
	// the last log lines and the exit.
	stopReserve = 700 * time.Millisecond
	exitReserve = 500 * time.Millisecond
	// endNotice is how long the background work may go on after its cancellation before the log tells
	// what runs. It ended within 10 ms in 293 exits beside faults of the links to the store.
	endNotice   = 100 * time.Millisecond
	metricsPath = "/metrics"
)

// ListenError says that a setting names an address that cannot be used.
type ListenError struct {
	Setting string
	Cause   error
}

func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v", e.Setting, e.Cause) }

func (e *ListenError) Unwrap() error { return e.Cause }

// Daemon is one process.
type Daemon struct {
	settings *settings.Node
	cancel   context.CancelFunc // ends the node
	log      zerolog.Logger
	store    *platform.Store
	advisor  *platform.Advisor
	node     *node.Node
	front    *http.Server
	peers    *peer.PlainServer
	servers  []*http.Server
	serving  sync.WaitGroup
	inHand   atomic.Int64 // requests of callers in progress
}

// New makes a daemon listen on all its addresses.
func New(ctx context.Context, set *settings.Node, log zerolog.Logger, missed expvar.Var) (*Daemon, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{settings: set, log: log, cancel: cancel}
	d.store = platform.NewStore(set.Store.Address)
	d.advisor = platform.NewAdvisor(set.Advice.Address)
	directory := platform.NewDirectory(d.store, logs.For(log, logs.Store))
	metrics := node.NewMetrics()
	d.node = node.New(ctx, node.Config{
		Self: node.Member{Node: set.Self.Name, Address: set.Self.Peer, Hall: set.Self.Hall, Cores: set.Self.Power, LinkMbps: set.Self.Link, MemoryMiB: set.Self.Memory},
		Scheduler: scheduler.Config{
			Shard: shard, Lease: set.EffectiveLease(), LongestLease: set.Times.LongestLease, KeepFinal: set.Times.KeepFinal,
			RowBytes: set.Store.RowBytes, PartitionWrites: set.Store.PartitionWrites, EvacuateWithin: set.Times.Evacuate,
			WorkerTimes: scheduler.WorkerTimes{Stop: set.Worker.Stop, Restore: set.Worker.Restore}, RemoteFactor: set.Worker.RemoteFactor,
			Load: loadPolicy(set.Load),
		},
		OnOwnershipChange: collectFor,
	}, node.Platform{
		Store: d.store, Workers: platform.NewWorkers().WithMaxConns(workerConnections(set.Self.Descriptors)), Advisor: d.advisor,
		FollowWorkers: directory.FollowWorkers, FollowOrders: directory.FollowOperator,
	}, peer.NewPlainClient(), metrics, logs.For(log, logs.Node))
	return d, d.listen(metrics, directory.Var(), missed)
}

// loadPolicy returns the scheduler's policies for hard load that the settings select.
func loadPolicy(set settings.NodeLoad) scheduler.LoadPolicy {
	return scheduler.LoadPolicy{
		BoundedGangRoom: set.GangRoom == "needed", MeasuredAdvice: set.AdviceLanes == "measured", SizeOrder: set.Order == "size",
	}
}

func (d *Daemon) listen(metrics *node.Metrics, entries, missed expvar.Var) (err error) {
	peers := guard.New(peerLimits(d.settings), logs.For(d.log, logs.Node))
	if d.peers, err = peer.ListenPlain(d.settings.Self.Peer, d.node.Mux(), peers); err != nil {
		return &ListenError{"node.peer", err}
	}
	d.serving.Go(func() { d.peers.Serve() })
	entry := logs.For(d.log, logs.Entry)
	callers := guard.New(callerLimits(d.settings, d.node), entry)
	ingress := platform.NewIngress(d.node, entry)
	if d.front, err = d.serve("node.front", d.settings.Self.Front, callers, countInHand(&d.inHand, ingress)); err != nil {
		return err
	}
	if _, err = d.serve("node.ready", d.settings.Self.Ready, guard.New(checkLimits(), entry), platform.ReadyHandler(d.node.Ready)); err != nil {
		return err
	}
	if d.settings.Self.Metrics == "" {
		return nil
	}
	expvar.Publish("node", metrics.Var())
	expvar.Publish("turned_away", ingress.Var())
	expvar.Publish("callers", callers.Var())
	expvar.Publish("peers", peers.Var())
	expvar.Publish("accounts", expvar.Func(func() any { return d.node.AccountUsage() }))
	expvar.Publish("scheduler", metrics.Scheduler.Var())
	expvar.Publish("worker_entries_unusable", entries)
	expvar.Publish("log_lines_left_out", missed)
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, expvar.Handler())
	_, err = d.serve("node.metrics", d.settings.Self.Metrics, guard.New(checkLimits(), entry), mux)
	return err
}

func (d *Daemon) serve(setting, address string, guarded *guard.Guard, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{setting, err}
	}
	server := guarded.Server(handler)
	d.servers = append(d.servers, server)
	d.serving.Go(func() { server.Serve(guarded.Listen(listener)) })
	return server, nil
}

// countInHand counts in count the requests that handler is serving.
func countInHand(count *atomic.Int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		defer count.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// Run serves until the process is told to stop.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	var living sync.WaitGroup
	living.Go(d.node.Run)
	if err := clock.Check(); err != nil {
		d.log.Warn().Err(err).Msg("suspensions of the machine are not counted")
	}
	d.log.Info().Str("node", d.settings.Self.Name).Str("front", d.settings.Self.Front).Msg("started")
	warnDefaulted(d.log, d.settings)
	for {
		select {
		case <-ctx.Done():
			d.endInTime(func(time.Time) { d.end(&living) })
		case received := <-signals:
			if received == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.endInTime(func(begun time.Time) {
				d.stop(begun)
				d.end(&living)
			})
		}
		return nil
	}
}

// endInTime calls end with the current time and returns when that has returned, or when the grace is nearly
// used up: the platform then kills the process, and the log would lack its last lines. Nothing that the node
// still does by then is needed, as the store holds whatever it has acknowledged.
func (d *Daemon) endInTime(end func(begun time.Time)) {
	begun := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		end(begun)
	}()
	grace := d.settings.Times.Grace
	timer := time.NewTimer(max(grace-exitReserve, grace/2))
	defer timer.Stop()
	select {
	case <-ended:
		d.log.Info().Dur("took", time.Since(begun)).Msg("stopped")
	case <-timer.C:
		d.log.Error().Dur("took", time.Since(begun)).Msg("stopped while background work was running: the grace is used up")
		logGoroutines(d.log)
	}
}

// end ends the background work, closes all listeners and connections, and waits for their goroutines.
func (d *Daemon) end(living *sync.WaitGroup) {
	notice := time.AfterFunc(endNotice, func() {
		d.log.Warn().Dur("after", endNotice).Msg("background work has not ended yet")
		logGoroutines(d.log)
	})
	defer notice.Stop()
	d.cancel()
	for _, server := range d.servers {
		server.Close()
	}
	d.peers.Close()
	living.Wait()
	d.serving.Wait()
}

// stop hands over, goes on serving until the balancer has noticed, and lets the
// requests in hand end.
func (d *Daemon) stop(begun time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Times.Grace-stopReserve)
	defer cancel()
	d.node.Stop(ctx)
	handedOver := time.Since(begun)
	d.front.SetKeepAlivesEnabled(false)
	wait.For(ctx, balancerNotices-time.Since(begun))
	if err := d.front.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Int64("requests", d.inHand.Load()).Dur("handover", handedOver).Msg("requests were still in hand at the stop")
	}
}

// reload reads the settings again. Listeners stay where they are; a bad file
// leaves everything as it was.
func (d *Daemon) reload() {
	next, err := settings.LoadNode([]string{"--config", d.settings.Config})
	if err != nil {
		d.log.Error().Err(err).Msg("settings are bad and stay as they were")
		return
	}
	warnDefaulted(d.log, next)
	d.store.SetAddress(next.Store.Address)
	d.advisor.SetAddress(next.Advice.Address)
	d.log.Info().Msg("settings read again")
}

// warnDefaulted writes one line for each figure of the platform that the settings lack.
func warnDefaulted(log zerolog.Logger, set *settings.Node) {
	for _, option := range set.Defaulted {
		log.Warn().Str("section", option.Section).Str("key", option.Key).Msg("platform's figure is missing, default in force")
	}
}

// Exit codes of a process.
const (
	exitFailed   = 1
	exitSettings = 2
)

// logLines is how many log lines may wait to be written before some are left out.
const logLines = 4096

// Percents of the garbage collector: the many nodes that only forward spare memory,
// the one that owns the shard spares processor time.
const (
	entryGCPercent = 50
	ownerGCPercent = 150
)

// collectFor sets the garbage collector for what the node is.
func collectFor(owner bool) {
	percent := entryGCPercent
	if owner {
		percent = ownerGCPercent
	}
	debug.SetGCPercent(percent)
}

// Main runs a node with the arguments of a command line and returns the
// process's exit code.
func Main(args []string) int {
	set, err := settings.LoadNode(args)
	var help *settings.HelpError
	switch {
	case errors.As(err, &help):
		fmt.Println(help.Text)
		return 0
	case err != nil:
		fmt.Fprintf(os.Stderr, "chutereachd node: %v\n", err)
		return exitSettings
	case set.Check:
		fmt.Print(set.Print())
		return 0
	}
	collectFor(false)
	guard.LimitHeap(set.Self.Memory)
	writer, missed := logs.Bounded(os.Stdout, logLines)
	defer writer.Close()
	d, err := New(context.Background(), set, logs.New(writer, true, set.Level()), missed)
	if err != nil {
		fmt.Fprintf(os.Stderr, "chutereachd node: %v\n", err)
		return exitSettings
	}
	if err := d.Run(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "chutereachd node: %v\n", err)
		return exitFailed
	}
	return 0
}
