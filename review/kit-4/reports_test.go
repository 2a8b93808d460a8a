package cases

import (
	"strings"
	"time"
)

func init() { cases["reports"] = reports }

// reports: a large job comes whose tasks write checkpoints, and later a small one.
func reports(b *bed, trouble bool) bool {
	count := 1024
	if !trouble {
		count = 64
	}
	b.judge.quiet = true
	b.fleet.saveEvery, b.fleet.saveSize = 2*time.Second, 4400
	b.fleet.plan = func(_ *worker, task string, _ int) (time.Duration, string) { return 15 * time.Second, "done" }
	if !prepareLike(b, 3, 4, 64000, 131072) {
		return false
	}
	time.Sleep(3 * time.Second)
	const job, later = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	if !b.submit("/points/"+job, map[string]any{"spec": "text", "phases": phases{one(count, 250, 15000, "checkpointing", true)}}) {
		return false
	}
	time.Sleep(45 * time.Second)
	if !b.submit("/points/"+later, map[string]any{"spec": "text", "phases": phases{one(1, 1000, 15000)}}) {
		return false
	}
	time.Sleep(20 * time.Second)
	busy := 0
	for _, w := range b.fleet.workers {
		w.mu.Lock()
		b.note("worker %s: %d running, %d ends not taken note of", w.id, len(w.running), len(w.ended))
		busy += len(w.running)
		w.mu.Unlock()
	}
	for _, id := range []string{job, later} {
		status, state := b.state("/points/" + id)
		b.note("job %s: %d %s", id, status, state)
		if state != "completed" && b.judge.running(id) == 0 {
			b.breaks("LOST: job %s is %s and nothing of it runs, while %d tasks run on 4 workers of 64 cores", id, state, busy)
		}
	}
	return true
}

// text is a checkpoint of a length for a task.
func text(size int, task string) string { return task + strings.Repeat("c", max(0, size-len(task))) }
