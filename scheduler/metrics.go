package scheduler

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chutereach/fleet"
	"chutereach/workload"
)

// Metrics counts what schedulers of one process do. Var shows it.
type Metrics struct {
	admissions, outcomes, refusals, finals *expvar.Map
	stops, grants, adviceFailed, late      *expvar.Int
	preempted                              *expvar.Int
	commitTimes, startTimes, adviceTimes   *times
	completedTimes                         *times
	commitJobs                             *expvar.Int
}

// NewMetrics returns Metrics that count from nothing.
func NewMetrics() *Metrics {
	return &Metrics{
		admissions: new(expvar.Map), outcomes: new(expvar.Map), refusals: new(expvar.Map), finals: new(expvar.Map),
		stops: new(expvar.Int), grants: new(expvar.Int), adviceFailed: new(expvar.Int), late: new(expvar.Int),
		commitTimes: newTimes(), startTimes: newTimes(), adviceTimes: newTimes(),
		completedTimes: newTimes(), commitJobs: new(expvar.Int), preempted: new(expvar.Int),
	}
}

// Var is everything, as a variable of expvar.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	all.Set("admission", m.admissions)
	all.Set("ends", m.outcomes)
	all.Set("starts_refused", m.refusals)
	all.Set("final", m.finals)
	all.Set("final_late", m.late)
	all.Set("stops", m.stops)
	all.Set("preempted", m.preempted)
	all.Set("grants", m.grants)
	all.Set("advice_failed", m.adviceFailed)
	all.Set("commit_ms", m.commitTimes)
	all.Set("committed_jobs", m.commitJobs)
	all.Set("start_ms", m.startTimes)
	all.Set("advice_ms", m.adviceTimes)
	all.Set("completed_ms", m.completedTimes)
	return all
}

func (m *Metrics) admission(outcome string) { m.admissions.Add(outcome, 1) }

func (m *Metrics) commit(took time.Duration, jobs int) {
	m.commitTimes.record(took)
	m.commitJobs.Add(int64(jobs))
}

func (m *Metrics) start(took time.Duration, err error) {
	if err == nil {
		m.startTimes.record(took)
	}
}

func (m *Metrics) refused(reason string)     { m.refusals.Add(reason, 1) }
func (m *Metrics) end(outcome fleet.Outcome) { m.outcomes.Add(string(outcome), 1) }

func (m *Metrics) advice(took time.Duration, err error) {
	if err != nil {
		m.adviceFailed.Add(1)
		return
	}
	m.adviceTimes.record(took)
}

func (m *Metrics) final(state workload.State, late bool, age time.Duration) {
	m.finals.Add(string(state), 1)
	if late {
		m.late.Add(1)
	}
	if state == workload.Completed {
		m.completedTimes.record(age)
	}
}

// times is a histogram of durations.
type times struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Bounds of the histograms, in microseconds.
const (
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

func newTimes() *times {
	return &times{histogram: hdrhistogram.New(1, histogramMost, histogramDigits)}
}

func (t *times) record(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histogram.RecordValue(min(histogramMost, max(1, took.Microseconds())))
}

// quantiles is how a histogram is shown, in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// String writes the quantiles as JSON.
func (t *times) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(q float64) float64 { return float64(t.histogram.ValueAtQuantile(q)) / 1000 }
	text, err := json.Marshal(quantiles{t.histogram.TotalCount(), at(50), at(99), at(100)})
	if err != nil {
		return "{}"
	}
	return string(text)
}
