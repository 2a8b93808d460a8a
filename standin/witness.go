package standin

import (
	"fmt"
	"sync"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/resource"
)

// Witness sees every attempt begin and end on the workers of a fleet, and
// judges what must always hold from there.
type Witness struct {
	mu      sync.Mutex
	running map[string]string // worker, by task
	starts  map[string]int    // by task
	ends    map[string]int    // by task: attempts that ran to a good end
	broken  []string
}

func newWitness() *Witness {
	return &Witness{running: map[string]string{}, starts: map[string]int{}, ends: map[string]int{}}
}

// taskOf returns the name of the task that an attempt is for.
func taskOf(attempt string) string {
	a, err := job.ParseAttempt(attempt)
	if err != nil {
		return attempt
	}
	return fmt.Sprintf("%s/%d", a.Job, a.Task)
}

func (w *Witness) began(worker, attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := taskOf(attempt)
	w.starts[task]++
	if other, twice := w.running[task]; twice {
		w.broken = append(w.broken, fmt.Sprintf("%s runs on %s and on %s", task, other, worker))
	}
	w.running[task] = worker
}

func (w *Witness) ended(attempt string, good bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := taskOf(attempt)
	delete(w.running, task)
	if good {
		w.ends[task]++
	}
}

func (w *Witness) used(worker provider.Worker, sum resource.Amount) {
	kind, over := sum.Shortage(worker.Capacity)
	if !over {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf("%s was given more %s than it has: %v", worker.Name, kind, sum))
}

// Broken returns every promise that was broken so far.
func (w *Witness) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

// Starts returns how often each task was started.
func (w *Witness) Starts() map[string]int { return w.copyOf(w.starts) }

// Ends returns how often each task ran to a good end.
func (w *Witness) Ends() map[string]int { return w.copyOf(w.ends) }

func (w *Witness) copyOf(m map[string]int) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// Running returns how many tasks run now.
func (w *Witness) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}
