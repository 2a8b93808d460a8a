package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"
)

// callLimiter limits concurrent calls and admits priority calls first. After a takeover all workers
// are called at once: callers wait for the results from the few with attempts, while idle workers
// have nothing to report.
type callLimiter struct {
	mu       sync.Mutex
	free     int
	priority []callSlot // waiting calls, admitted first
	normal   []callSlot // waiting calls, admitted when priority is empty
}

// callSlot is closed when a call is admitted.
type callSlot chan struct{}

func newCallLimiter(calls int) *callLimiter { return &callLimiter{free: calls} }

// enqueue requests a slot, on which the caller must call acquire.
func (g *callLimiter) enqueue(priority bool) callSlot {
	g.mu.Lock()
	defer g.mu.Unlock()
	slot := make(callSlot)
	switch {
	case g.free > 0:
		g.free--
		close(slot)
	case priority:
		g.priority = append(g.priority, slot)
	default:
		g.normal = append(g.normal, slot)
	}
	return slot
}

// acquire waits until the call is admitted; the caller must then release its slot. If ctx ends
// first, the request is cancelled.
func (g *callLimiter) acquire(ctx context.Context, slot callSlot) error {
	select {
	case <-slot:
		return nil
	case <-ctx.Done():
		g.cancel(slot)
		return ctx.Err()
	}
}

// cancel withdraws a request, and releases its slot if the call was admitted in the meantime.
func (g *callLimiter) cancel(slot callSlot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := func(other callSlot) bool { return other == slot }
	before := len(g.priority) + len(g.normal)
	g.priority, g.normal = slices.DeleteFunc(g.priority, same), slices.DeleteFunc(g.normal, same)
	if len(g.priority)+len(g.normal) == before {
		g.grantNext()
	}
}

// releaseAfter releases a slot after the given time, or when the returned function is called.
func (g *callLimiter) releaseAfter(limit time.Duration) func() {
	release := sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.grantNext()
	})
	timer := time.AfterFunc(limit, release)
	return func() {
		timer.Stop()
		release()
	}
}

// grantNext admits the next waiting call, or frees the slot if there is none. The caller must hold
// g.mu.
func (g *callLimiter) grantNext() {
	waiting := &g.priority
	if len(*waiting) == 0 {
		waiting = &g.normal
	}
	if len(*waiting) == 0 {
		g.free++
		return
	}
	close((*waiting)[0])
	*waiting = (*waiting)[1:]
}
