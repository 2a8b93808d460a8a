package hall

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chutereach/config"
)

const (
	maxWait               = int64(24 * time.Hour / time.Microsecond)
	waitSignificantDigits = 3
)

// WaitHistograms holds a histogram per class of the time in microseconds from the
// moment a task could have run to the report that it runs.
type WaitHistograms map[config.Class]*hdrhistogram.Histogram

func (w *WaitHistograms) record(c config.Class, d time.Duration) {
	if *w == nil {
		*w = WaitHistograms{}
	}
	h := (*w)[c]
	if h == nil {
		h = hdrhistogram.New(1, maxWait, waitSignificantDigits)
		(*w)[c] = h
	}
	h.RecordValue(min(max(d.Microseconds(), 1), maxWait))
}

// WaitSummary summarizes the wait times of one class.
type WaitSummary struct {
	Class config.Class  `json:"class" cbor:"1,keyasint"`
	Count int64         `json:"count" cbor:"2,keyasint"`
	P50   time.Duration `json:"p50" cbor:"3,keyasint"`
	P99   time.Duration `json:"p99" cbor:"4,keyasint"`
	Max   time.Duration `json:"max" cbor:"5,keyasint"`
}

func (w WaitHistograms) summary() []WaitSummary {
	var all []WaitSummary
	for _, c := range config.Classes {
		h := w[c]
		if h == nil {
			continue
		}
		all = append(all, WaitSummary{
			Class: c, Count: h.TotalCount(),
			P50: time.Duration(h.ValueAtPercentile(50)) * time.Microsecond,
			P99: time.Duration(h.ValueAtPercentile(99)) * time.Microsecond,
			Max: time.Duration(h.Max()) * time.Microsecond,
		})
	}
	return all
}
