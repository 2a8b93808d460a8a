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
	mu      sync.Mutex
	free    int
	ahead   []callTurn // calls that wait
	waiting []callTurn
}

// callTurn is closed when a call may go.
type callTurn chan struct{}

func newCallGate(calls int) *callGate { return &callGate{free: calls} }

// queue gives a call its place. It is to be awaited.
func (g *callGate) queue(ahead bool) callTurn {
	g.mu.Lock()
	defer g.mu.Unlock()
	turn := make(callTurn)
	switch {
	case g.free > 0:
		g.free--
		close(turn)
	case ahead:
		g.ahead = append(g.ahead, turn)
	default:
		g.waiting = append(g.waiting, turn)
	}
	return turn
}

// await waits until a call may go; it then must leave. If ctx ends first, its place is given up.
func (g *callGate) await(ctx context.Context, turn callTurn) error {
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		g.abandon(turn)
		return ctx.Err()
	}
}

// abandon gives up a turn that was waited for, and passes it on if it has come meanwhile.
func (g *callGate) abandon(turn callTurn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := func(other callTurn) bool { return other == turn }
	before := len(g.ahead) + len(g.waiting)
	g.ahead, g.waiting = slices.DeleteFunc(g.ahead, same), slices.DeleteFunc(g.waiting, same)
	if len(g.ahead)+len(g.waiting) == before {
		g.pass()
	}
}

// leaveWithin lets the next call go after a time, or as soon as the function that it returns is
// called.
func (g *callGate) leaveWithin(turn time.Duration) func() {
	leave := sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pass()
	})
	timer := time.AfterFunc(turn, leave)
	return func() {
		timer.Stop()
		leave()
	}
}

// pass gives a place to the next call. The lock is held.
func (g *callGate) pass() {
	queue := &g.ahead
	if len(*queue) == 0 {
		queue = &g.waiting
	}
	if len(*queue) == 0 {
		g.free++
		return
	}
	close((*queue)[0])
	*queue = (*queue)[1:]
}
