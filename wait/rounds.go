package wait

import (
	"context"
	"sync"
	"time"
)

// Rounds shares the results of a function among concurrent callers. Each caller gets the result of a run that
// started after its call, so that callers which arrive during a run share the next one.
type Rounds struct {
	// Run is the function. Runs do not overlap.
	Run func() error
	// Interval returns the minimum time between the starts of two runs.
	Interval func() time.Duration

	mu      sync.Mutex
	next    *round // the run that new callers wait for; nil if none is due
	running bool   // whether loop runs
	last    time.Time
}

// round is one run of the function.
type round struct {
	done chan struct{} // closed when err is set
	err  error
}

// Join waits for a run that starts after the call and returns its result, or ctx.Err() if ctx ends first.
func (r *Rounds) Join(ctx context.Context) error {
	joined := r.join()
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Rounds) join() *round {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.loop()
	}
	return r.next
}

// loop runs the function until no caller waits for it.
func (r *Rounds) loop() {
	for r.isDue() {
		time.Sleep(r.Interval() - time.Since(r.last))
		current := r.takeNext()
		current.err = r.Run()
		close(current.done)
	}
}

// isDue reports whether a caller waits for a run. If not, the loop ends.
func (r *Rounds) isDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = r.next != nil
	return r.running
}

// takeNext returns the run that is due. Later callers wait for the one after it.
func (r *Rounds) takeNext() *round {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next, r.last = nil, time.Now()
	return current
}
