package node

import (
	"testing"
	"time"
)

func TestSpeedMeter(t *testing.T) {
	const baseline = 10 * time.Microsecond
	repeat := func(took time.Duration, times int) []time.Duration {
		list := make([]time.Duration, times)
		for i := range list {
			list[i] = took
		}
		return list
	}
	for _, c := range []struct {
		name    string
		samples []time.Duration
		slow    bool
	}{
		{"too few samples", repeat(baseline, speedSamples-1), false},
		{"unchanged", repeat(baseline, 20), false},
		{"some samples interrupted", append(repeat(baseline, 10), time.Millisecond, 2*baseline, time.Millisecond, baseline, time.Millisecond), false},
		{"slightly slower", append(repeat(baseline, 10), repeat(3*baseline/2, 10)...), false},
		{"too few slow samples", append(repeat(baseline, 10), repeat(5*baseline, speedSamples-1)...), false},
		{"slow", append(repeat(baseline, 10), repeat(5*baseline, speedSamples)...), true},
		{"recovered", append(repeat(5*baseline, 10), baseline), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &speedMeter{}
			for _, took := range c.samples {
				m.add(took)
			}
			if m.slow() != c.slow {
				t.Errorf("slow() = %v, want %v", m.slow(), c.slow)
			}
		})
	}
}

func TestSampleMeasures(t *testing.T) {
	m := &speedMeter{}
	m.sample()
	if m.best <= 0 {
		t.Errorf("best sample is %v, want more than 0", m.best)
	}
}
