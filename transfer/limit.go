package transfer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// StalledError is returned when an exchange was canceled because no data moved within Limit.
type StalledError struct{ Limit time.Duration }

func (e *StalledError) Error() string {
	return fmt.Sprintf("transfer stalled: no progress for %v", e.Limit)
}

// Timeout reports true, as net.Error's method does for timeouts.
func (e *StalledError) Timeout() bool { return true }

// WithStallLimit returns a context for one exchange that is canceled once no progress has
// been reported for the limit. A deadline for the whole exchange would fail every exchange
// above some size. Progress is reported by ReportProgress, which RequestBody's body and Read
// call; onProgress, if not nil, is called on each report.
func WithStallLimit(ctx context.Context, limit time.Duration, onProgress func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{limit: limit, onProgress: onProgress}
	w.timer = time.AfterFunc(limit, func() { cancel(&StalledError{limit}) })
	return context.WithValue(ctx, watchdogKey{}, w), func() {
		w.stop()
		cancel(nil)
	}
}

// ReportProgress reports that data of the exchange was sent or received. It restarts the stall
// timer of ctx, if it has one.
func ReportProgress(ctx context.Context) {
	if w, ok := ctx.Value(watchdogKey{}).(*watchdog); ok {
		w.recordProgress()
	}
}

// Cause returns the StalledError that canceled the exchange, if one did, and err otherwise.
func Cause(ctx context.Context, err error) error {
	var stalled *StalledError
	if errors.Is(err, context.Canceled) && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

type watchdogKey struct{}

// watchdog cancels an exchange that makes no progress within limit.
type watchdog struct {
	limit      time.Duration
	onProgress func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *watchdog) recordProgress() {
	w.mu.Lock()
	if !w.stopped {
		w.timer.Reset(w.limit)
	}
	w.mu.Unlock()
	if w.onProgress != nil {
		w.onProgress()
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
