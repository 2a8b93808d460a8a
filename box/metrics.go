package box

import (
	"expvar"
	"fmt"
	"os"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"chutereach/hall"
)

// published guards the one name that expvar allows to be published once.
var (
	published sync.Once
	latest    struct {
		sync.Mutex
		life *life
	}
)

// publishMetrics makes expvar show this incarnation.
func (l *life) publishMetrics() {
	latest.Lock()
	latest.life = l
	latest.Unlock()
	published.Do(func() {
		expvar.Publish("chutereach", expvar.Func(func() any {
			latest.Lock()
			defer latest.Unlock()
			return latest.life.metrics()
		}))
	})
}

// Metrics is what /debug/vars shows under "chutereach".
type Metrics struct {
	Box         string         `json:"box"`
	Incarnation string         `json:"incarnation"`
	Revision    uint64         `json:"revision"`
	CPU         time.Duration  `json:"cpu_ns"`
	Heap        uint64         `json:"heap_bytes"`
	Resident    uint64         `json:"resident_bytes"`
	PeerBytes   int64          `json:"peer_bytes"` // of calls to peers and their answers
	Units       []hall.Summary `json:"units"`
	Table       TableMetrics   `json:"table"`
	Requests    RequestMetrics `json:"requests"`
}

// TableMetrics counts what was sent to the table.
type TableMetrics struct {
	Sent      int64 `json:"sent"`
	Resent    int64 `json:"resent"`
	ReadBack  int64 `json:"read_back"`
	Conflicts int64 `json:"conflicts"`
}

// RequestMetrics counts interactive requests by what became of them.
type RequestMetrics struct {
	Answered  int64 `json:"answered"`
	NotRun    int64 `json:"not_run"`
	Unknown   int64 `json:"unknown"`
	Forwarded int64 `json:"forwarded"`
	Retried   int64 `json:"retried"`
	Replayed  int64 `json:"replayed"`
	Pulled    int64 `json:"pulled"`
}

func (l *life) metrics() Metrics {
	m := Metrics{
		Box: l.box.set.Box.Name, Incarnation: string(l.self.Incarnation), Revision: l.publisher.Current().Number,
		CPU: processCPU(), Heap: heap(), Resident: resident(),
		PeerBytes: l.box.client.Sent.Load() + l.box.client.Received.Load(),
		Table: TableMetrics{
			l.sender.Stats.Sent.Load(), l.sender.Stats.Retries.Load(),
			l.sender.Stats.ConfirmedByRead.Load(), l.sender.Stats.Conflicts.Load(),
		},
		Requests: RequestMetrics{
			l.router.Stats.Answered.Load(), l.router.Stats.NotRun.Load(), l.router.Stats.Unknown.Load(),
			l.router.Stats.Forwarded.Load(), l.router.Stats.Retried.Load(), l.router.Stats.Replayed.Load(), l.router.Stats.Pulled.Load(),
		},
	}
	for _, u := range l.units.All() {
		m.Units = append(m.Units, u.Summary())
	}
	return m
}

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resident returns how much memory the process holds, or 0 where the system does
// not tell.
func resident() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	var size, pages uint64
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(data), &size, &pages); err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}

const heapMetric = "/memory/classes/heap/objects:bytes"

func heap() uint64 {
	s := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}
