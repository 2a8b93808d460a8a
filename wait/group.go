package wait

import "sync"

// Group runs goroutines until it is closed. Unlike a sync.WaitGroup it may be
// asked for another while somebody waits. The zero Group is ready.
type Group struct {
	mu     sync.Mutex
	closed bool
	tasks  sync.WaitGroup
}

// Go runs f, unless the group is closed.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.tasks.Go(f)
	}
}

// Close keeps the group from running more, and waits for what runs.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}
