// Package wait waits for a time or the end of a context, whichever comes first.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns the context's error if that ends first.
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
