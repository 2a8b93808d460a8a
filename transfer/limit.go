package transfer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// StalledError says that an exchange was given up because nothing came for too long.
type StalledError struct{ Limit time.Duration }

func (e *StalledError) Error() string { return fmt.Sprintf("nothing came for %v", e.Limit) }

// Timeout marks the error as one of time, as net.Error does.
func (e *StalledError) Timeout() bool { return true }

// WithStallLimit returns a context for one exchange that ends when nothing has moved for
// the limit, and goes on for as long as something does: a limit for the whole would make
// every exchange above some size impossible. Whoever sends the request or reads the answer
// says so by Progressed, as Sending and Read do; progressed, if given, is called then.
func WithStallLimit(ctx context.Context, limit time.Duration, progressed func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{limit: limit, progressed: progressed}
	w.timer = time.AfterFunc(limit, func() { cancel(&StalledError{limit}) })
	return context.WithValue(ctx, watchdogKey{}, w), func() {
		w.stop()
		cancel(nil)
	}
}

// Progressed notes that something of an exchange has come, or has been sent.
func Progressed(ctx context.Context) {
	if w, ok := ctx.Value(watchdogKey{}).(*watchdog); ok {
		w.note()
	}
}

// Cause returns why an exchange that failed with err was given up: a StalledError if it
// made no progress, else err.
func Cause(ctx context.Context, err error) error {
	var stalled *StalledError
	if errors.Is(err, context.Canceled) && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

type watchdogKey struct{}

// watchdog ends an exchange that makes no progress.
type watchdog struct {
	limit      time.Duration
	progressed func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *watchdog) note() {
	w.mu.Lock()
	if !w.stopped {
		w.timer.Reset(w.limit)
	}
	w.mu.Unlock()
	if w.progressed != nil {
		w.progressed()
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
