package cases

import (
	"syscall"
	"time"
)

func init() { cases["doubt"] = doubt }

type phases []map[string]any

func one(count int, cpu, estimate float64, more ...any) map[string]any {
	p := map[string]any{"count": count, "cpu": cpu, "memMb": 512, "estimateMs": estimate}
	for i := 0; i+1 < len(more); i += 2 {
		p[more[i].(string)] = more[i+1]
	}
	return p
}

// prepare starts some nodes and workers of 16 cores and 64 GB.
func prepare(b *bed, nodes, workers int) bool { return prepareLike(b, nodes, workers, 16000, 65536) }

func prepareLike(b *bed, nodes, workers int, cpu, mem float64) bool {
	b.configure([3]string{"r-points", "/points/", "desk"})
	for i := range workers {
		b.fleet.add("desk", []string{"hall-a", "hall-b"}[i%2], cpu, mem, "a", "r1-"+string(rune('1'+i%3)))
	}
	names := []string{"edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6"}
	for i := range nodes {
		b.addNode(names[i], []string{"hall-a", "hall-b"}[i%2])
	}
	for _, n := range b.nodes {
		n.start()
	}
	return b.ready(20 * time.Second)
}

// doubt: a worker is lost, and the nodes are restarted in turn, the owner first.
func doubt(b *bed, trouble bool) bool {
	b.fleet.plan = func(*worker, string, int) (time.Duration, string) { return 90 * time.Second, "done" }
	b.judge.quiet = true
	if !prepare(b, 3, 8) {
		return false
	}
	time.Sleep(5 * time.Second)
	const job = "5c0e7a21d94b36f8"
	if !b.submit("/points/"+job, map[string]any{"spec": "text", "phases": phases{one(1, 1000, 60000)}}) {
		return false
	}
	for end := time.Now().Add(5 * time.Second); b.judge.running(job) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range b.fleet.workers {
			w.mu.Lock()
			here := len(w.running) > 0
			w.mu.Unlock()
			if here {
				b.note("worker %s is lost for good", w.id)
				w.lose()
			}
		}
	}
	lost, longest := time.Now(), time.Duration(0)
	idle := time.Now()
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			if b.judge.running(job) > 0 {
				idle = time.Now()
			}
			longest = max(longest, time.Since(idle))
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	for range 5 {
		time.Sleep(time.Second)
		n := b.owner()
		if n == nil {
			return false
		}
		n.signal(syscall.SIGTERM)
		if !n.waitExit(8 * time.Second) {
			return false
		}
		time.Sleep(300 * time.Millisecond)
		n.start()
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	<-watched
	status, state := b.state("/points/" + job)
	b.note("%.1f s after the loss: GET %d %s; the job had nothing running for %.1f s on end", time.Since(lost).Seconds(), status, state, longest.Seconds())
	if longest > 10*time.Second {
		b.breaks("LOST: job %s had nothing running for %.1f s, with 7 of 8 workers idle, while nodes were only stopped and started in turn", job, longest.Seconds())
	}
	return true
}
