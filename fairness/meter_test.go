package fairness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/fairness"
)

var start = time.Unix(1000, 0)

// countWithinShare counts the jobs within the share of an account that sends jobs at a rate per
// second for a number of seconds.
func countWithinShare(weight, rate, seconds float64) (count int) {
	var m fairness.Meter
	for at := 0.0; at < seconds; at += 1 / rate {
		var overShare bool
		if m, overShare = m.WithJob(weight, start.Add(time.Duration(at*float64(time.Second)))); !overShare {
			count++
		}
	}
	return count
}

func TestCountWithinShare(t *testing.T) {
	cases := []struct {
		name                  string
		weight, rate, seconds float64
		want                  int
	}{
		{"half the weight", 8, 4, 10, 40},
		{"at the weight", 8, 8, 10, 80},
		{"eight times the weight: the burst and the weight", 8, 64, 10, 95},
		{"minimum burst of a small account", 0.5, 100, 0.02, 2},
		{"no weight", 0, 100, 10, 1000},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := countWithinShare(test.weight, test.rate, test.seconds); got < test.want-1 || got > test.want+1 {
				t.Errorf("%d jobs within the share, want %d", got, test.want)
			}
		})
	}
}

// For any arrival times, the jobs within the share are bounded by the burst size plus weight times
// time, and the first job after a long enough pause is within the share.
func TestWithinShareIsBoundedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 50).Draw(t, "weight")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 60).Draw(t, "gaps in ms")
		var m fairness.Meter
		now, count := start, 0
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			var overShare bool
			if m, overShare = m.WithJob(weight, now); !overShare {
				count++
			}
		}
		limit := max(2, 2*weight) + weight*now.Sub(start).Seconds()
		if float64(count) > limit+1e-6 {
			t.Fatalf("%d jobs within the share, want at most %v", count, limit)
		}
		pause := time.Duration(max(2, 2/weight) * float64(time.Second))
		if _, beyond := m.WithJob(weight, now.Add(pause)); beyond {
			t.Fatal("a job after a pause exceeds the share")
		}
	})
}

// BenchmarkWithJob measures the cost that the meter adds to each submitted job.
func BenchmarkWithJob(b *testing.B) {
	var m fairness.Meter
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m, _ = m.WithJob(8, now)
	}
}
