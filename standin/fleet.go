package standin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"chutereach/provider"
)

// Fleet is a number of workers. Attempts on them understand these commands:
//
//	sleep 2s   runs 2 s and ends well
//	fail 2s    runs 2 s and ends badly
//	serve 5ms  serves HTTP; each request takes 5 ms
type Fleet struct {
	Faults  Faults
	Witness *Witness
	// Serve says if attempts with the command serve really listen.
	Serve bool

	mu          sync.Mutex
	order       []string
	workers     map[string]*worker
	checkpoints map[string]time.Duration // work left
}

// NewFleet returns a fleet of workers.
func NewFleet(workers ...provider.Worker) *Fleet {
	f := &Fleet{Witness: newWitness(), workers: map[string]*worker{}, checkpoints: map[string]time.Duration{}}
	for _, w := range workers {
		f.Add(w)
	}
	return f
}

// Add adds a worker.
func (f *Fleet) Add(w provider.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = append(f.order, w.Name)
	f.workers[w.Name] = newWorker(f, w)
}

// Reboot restarts a worker: its attempts are gone and its boot id is new.
func (f *Fleet) Reboot(name string) { f.workers[name].reboot() }

// Close ends what the workers run.
func (f *Fleet) Close() {
	for _, w := range f.workers {
		w.reboot()
	}
}

func (f *Fleet) save(attempt string, left time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := "checkpoint/" + attempt
	f.checkpoints[name] = max(left, 0)
	return name
}

func (f *Fleet) checkpoint(name string) (left time.Duration, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left, found = f.checkpoints[name]
	return left, found
}

// on carries out do on the worker called name, as the faults decide.
func on[T any](ctx context.Context, f *Fleet, name string, op Op, do func(*worker) (T, error)) (T, error) {
	return Through(ctx, &f.Faults, provider.WorkerService, op, name, func() (T, error) {
		f.mu.Lock()
		w := f.workers[name]
		f.mu.Unlock()
		if w == nil {
			var none T
			return none, &provider.NotFoundError{Service: provider.WorkerService, Name: name}
		}
		return do(w)
	})
}

// Fleet implements provider.Workers.
func (f *Fleet) Fleet(ctx context.Context) ([]provider.Worker, error) {
	return Through(ctx, &f.Faults, provider.WorkerService, OpFleet, "", func() ([]provider.Worker, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		var all []provider.Worker
		for _, name := range f.order {
			all = append(all, f.workers[name].info)
		}
		return all, nil
	})
}

// List implements provider.Workers.
func (f *Fleet) List(ctx context.Context, name string) (provider.Report, error) {
	return on(ctx, f, name, OpList, func(w *worker) (provider.Report, error) { return w.list(), nil })
}

// Start implements provider.Workers.
func (f *Fleet) Start(ctx context.Context, name string, c provider.StartCall) (provider.AttemptState, error) {
	return on(ctx, f, name, OpStart, func(w *worker) (provider.AttemptState, error) { return w.start(c) })
}

// Renew implements provider.Workers.
func (f *Fleet) Renew(ctx context.Context, name string, c provider.RenewCall) (provider.Report, error) {
	return on(ctx, f, name, OpRenew, func(w *worker) (provider.Report, error) { return w.renew(ctx, c) })
}

// Stop implements provider.Workers.
func (f *Fleet) Stop(ctx context.Context, name string, c provider.AttemptCall) (provider.AttemptState, error) {
	return on(ctx, f, name, OpStop, func(w *worker) (provider.AttemptState, error) { return w.stop(c) })
}

// Checkpoint implements provider.Workers.
func (f *Fleet) Checkpoint(ctx context.Context, name string, c provider.AttemptCall) (provider.AttemptState, error) {
	return on(ctx, f, name, OpCheckpoint, func(w *worker) (provider.AttemptState, error) { return w.checkpoint(c) })
}

// Throttle implements provider.Workers.
func (f *Fleet) Throttle(ctx context.Context, name string, c provider.AttemptCall) (provider.AttemptState, error) {
	return on(ctx, f, name, OpThrottle, func(w *worker) (provider.AttemptState, error) { return w.throttle(c) })
}

// command is what an attempt does.
type command struct {
	work          time.Duration
	fails, serves bool
}

// CommandError says that a worker does not understand a command.
type CommandError struct{ Text string }

func (e *CommandError) Error() string {
	return fmt.Sprintf("%q is not sleep, fail or serve with a duration", e.Text)
}

func parseCommand(text string) (command, error) {
	verb, rest, _ := strings.Cut(text, " ")
	d, err := time.ParseDuration(strings.TrimSpace(rest))
	known := verb == "sleep" || verb == "fail" || verb == "serve"
	if err != nil || !known {
		return command{}, &provider.UnavailableError{Service: provider.WorkerService, Reason: (&CommandError{text}).Error()}
	}
	return command{work: d, fails: verb == "fail", serves: verb == "serve"}, nil
}
