// Package histogram counts durations, and shows them as quantiles for expvar.
package histogram

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a histogram: the longest duration that it tells from longer ones, and the
// significant digits that it keeps.
const (
	longest = int64(10 * time.Minute / time.Microsecond)
	digits  = 2
)

// Times is a histogram of durations. It implements expvar.Var.
type Times struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram // of microseconds
}

// New returns a histogram that has counted nothing.
func New() *Times { return &Times{counts: hdrhistogram.New(1, longest, digits)} }

// Record counts one duration.
func (t *Times) Record(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.RecordValue(min(longest, max(1, took.Microseconds())))
}

// quantiles is how a histogram is shown, in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// String writes the quantiles as JSON.
func (t *Times) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(q float64) float64 { return float64(t.counts.ValueAtQuantile(q)) / 1000 }
	text, err := json.Marshal(quantiles{t.counts.TotalCount(), at(50), at(99), at(100)})
	if err != nil {
		return "{}"
	}
	return string(text)
}
