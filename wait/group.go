package wait

import "sync"

// Group runs goroutines until it is closed. Unlike sync.WaitGroup.Go, Go may be
// called concurrently with Close. The zero value is ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool
	tasks  sync.WaitGroup
}

// Go runs f in a new goroutine. It does nothing if the group is closed.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.tasks.Go(f)
	}
}

// Close prevents further goroutines from starting and waits for the running ones.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}
