// Package wait provides a context-aware sleep and a group of goroutines that can be
// closed.
package wait

import (
	"context"
	"time"
)

// For blocks until d has elapsed or ctx is done. In the latter case it returns
// ctx.Err().
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
