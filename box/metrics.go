package box

import (
	"expvar"
	"fmt"
	"os"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"chutereach/guard"
	"chutereach/hall"
)

// publishOnce prevents a second expvar.Publish of the same name, which panics.
var (
	publishOnce sync.Once
	current     struct {
		sync.Mutex
		incarnation *incarnation
	}
)

// publishMetrics makes expvar report the metrics of this incarnation.
func (inc *incarnation) publishMetrics() {
	current.Lock()
	current.incarnation = inc
	current.Unlock()
	publishOnce.Do(func() {
		expvar.Publish("chutereach", expvar.Func(func() any {
			current.Lock()
			defer current.Unlock()
			return current.incarnation.metrics()
		}))
	})
}

// Metrics is the content of /debug/vars under "chutereach".
type Metrics struct {
	Box         string         `json:"box"`
	Incarnation string         `json:"incarnation"`
	Revision    uint64         `json:"revision"`
	CPU         time.Duration  `json:"cpu_ns"`
	Heap        uint64         `json:"heap_bytes"`
	Resident    uint64         `json:"resident_bytes"`
	PeerBytes   int64          `json:"peer_bytes"` // sent and received in calls to peers
	Units       []hall.Summary `json:"units"`
	Table       TableMetrics   `json:"table"`
	Requests    RequestMetrics `json:"requests"`
	Callers     guard.Usage    `json:"callers"`
}

// TableMetrics counts the transactions sent to the table.
type TableMetrics struct {
	Sent      int64 `json:"sent"`
	Resent    int64 `json:"resent"`
	ReadBack  int64 `json:"read_back"`
	Conflicts int64 `json:"conflicts"`
}

// RequestMetrics counts interactive requests by outcome and by how they were handled.
type RequestMetrics struct {
	Answered  int64 `json:"answered"`
	NotRun    int64 `json:"not_run"`
	Unknown   int64 `json:"unknown"`
	Forwarded int64 `json:"forwarded"`
	Retried   int64 `json:"retried"`
	Replayed  int64 `json:"replayed"`
	Pulled    int64 `json:"pulled"`
}

func (inc *incarnation) metrics() Metrics {
	m := Metrics{
		Box: inc.box.set.Box.Name, Incarnation: string(inc.self.Incarnation), Revision: inc.publisher.Current().Number,
		CPU: processCPU(), Heap: heap(), Resident: resident(),
		PeerBytes: inc.box.client.Sent.Load() + inc.box.client.Received.Load(),
		Table: TableMetrics{
			inc.sender.Stats.Sent.Load(), inc.sender.Stats.Retries.Load(),
			inc.sender.Stats.ConfirmedByRead.Load(), inc.sender.Stats.Conflicts.Load(),
		},
		Callers: inc.box.callers.Usage(),
		Requests: RequestMetrics{
			inc.router.Stats.Answered.Load(), inc.router.Stats.NotRun.Load(), inc.router.Stats.Unknown.Load(),
			inc.router.Stats.Forwarded.Load(), inc.router.Stats.Retried.Load(), inc.router.Stats.Replayed.Load(), inc.router.Stats.Pulled.Load(),
		},
	}
	for _, u := range inc.units.All() {
		m.Units = append(m.Units, u.Summary())
	}
	return m
}

// processCPU returns the CPU time used by this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resident returns the resident memory of this process in bytes, or 0 if the system does
// not report it.
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
