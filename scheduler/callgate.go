package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"
)

// callGate lets some calls through at a time, those that go ahead before the others. After a
// takeover thousands of workers are called for the first time at once. What has ended on the few
// that have work is what callers wait for; an idle worker has nothing to tell.
type callGate struct {
	mu       sync.Mutex
	free     int
	priority []callSlot // calls that wait
	normal   []callSlot
}

// callSlot is closed when a call may go.
type callSlot chan struct{}

func newCallGate(calls int) *callGate { return &callGate{free: calls} }

// enqueue gives a call its place. It is to be awaited.
func (g *callGate) enqueue(ahead bool) callSlot {
	g.mu.Lock()
	defer g.mu.Unlock()
	slot := make(callSlot)
	switch {
	case g.free > 0:
		g.free--
		close(slot)
	case ahead:
		g.priority = append(g.priority, slot)
	default:
		g.normal = append(g.normal, slot)
	}
	return slot
}

// acquire waits until a call may go; it then must leave. If ctx ends first, its place is given up.
func (g *callGate) acquire(ctx context.Context, slot callSlot) error {
	select {
	case <-slot:
		return nil
	case <-ctx.Done():
		g.cancel(slot)
		return ctx.Err()
	}
}

// cancel gives up a turn that was waited for, and passes it on if it has come meanwhile.
func (g *callGate) cancel(slot callSlot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := func(other callSlot) bool { return other == slot }
	before := len(g.priority) + len(g.normal)
	g.priority, g.normal = slices.DeleteFunc(g.priority, same), slices.DeleteFunc(g.normal, same)
	if len(g.priority)+len(g.normal) == before {
		g.grantNext()
	}
}

// releaseAfter lets the next call go after a time, or as soon as the function that it returns is
// called.
func (g *callGate) releaseAfter(limit time.Duration) func() {
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

// grantNext gives a place to the next call. The lock is held.
func (g *callGate) grantNext() {
	queue := &g.priority
	if len(*queue) == 0 {
		queue = &g.normal
	}
	if len(*queue) == 0 {
		g.free++
		return
	}
	close((*queue)[0])
	*queue = (*queue)[1:]
}
