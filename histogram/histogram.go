// Package histogram provides histograms of durations that expvar shows as quantiles.
package histogram

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of a histogram. Longer durations count as maxMicroseconds.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Durations is a histogram of durations. It implements expvar.Var.
type Durations struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram // of microseconds
}

// New returns an empty histogram.
func New() *Durations {
	return &Durations{counts: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// Record adds a duration.
func (d *Durations) Record(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.RecordValue(min(maxMicroseconds, max(1, duration.Microseconds())))
}

// quantiles is the JSON form of a histogram, in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// String returns the quantiles as JSON, as expvar.Var requires.
func (d *Durations) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	milliseconds := func(q float64) float64 { return float64(d.counts.ValueAtQuantile(q)) / 1000 }
	text, err := json.Marshal(quantiles{d.counts.TotalCount(), milliseconds(50), milliseconds(99), milliseconds(100)})
	if err != nil {
		return "{}"
	}
	return string(text)
}
