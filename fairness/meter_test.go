package fairness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/fairness"
)

var zero = time.Unix(1000, 0)

// owed counts the jobs that are owed to an account of those that come at some rate a second for
// some seconds.
func owed(weight, rate, seconds float64) (count int) {
	var m fairness.Meter
	for at := 0.0; at < seconds; at += 1 / rate {
		var beyond bool
		if m, beyond = m.WithJob(weight, zero.Add(time.Duration(at*float64(time.Second)))); !beyond {
			count++
		}
	}
	return count
}

func TestWhatIsOwed(t *testing.T) {
	cases := []struct {
		name                  string
		weight, rate, seconds float64
		want                  int
	}{
		{"half of its weight", 8, 4, 10, 40},
		{"its weight", 8, 8, 10, 80},
		{"eight times its weight: what it has saved up, and its weight", 8, 64, 10, 95},
		{"a small account's two at once", 0.5, 100, 0.02, 2},
		{"no weight", 0, 100, 10, 1000},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := owed(test.weight, test.rate, test.seconds); got < test.want-1 || got > test.want+1 {
				t.Errorf("%d jobs are owed, want %d", got, test.want)
			}
		})
	}
}

// Whatever comes when: no span of time has more owed jobs than its weight comes to and what
// could be saved up, and a job after a pause of the window is owed.
func TestOwedJobsFollowTheWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 50).Draw(t, "weight")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 60).Draw(t, "gaps in ms")
		var m fairness.Meter
		now, count := zero, 0
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			var beyond bool
			if m, beyond = m.WithJob(weight, now); !beyond {
				count++
			}
		}
		most := max(2, 2*weight) + weight*now.Sub(zero).Seconds()
		if float64(count) > most+1e-6 {
			t.Fatalf("%d jobs are owed, want %v at most", count, most)
		}
		pause := time.Duration(max(2, 2/weight) * float64(time.Second))
		if _, beyond := m.WithJob(weight, now.Add(pause)); beyond {
			t.Fatal("a job after a pause comes on top")
		}
	})
}

// BenchmarkWithJob is what counting a job against its account's weight costs a hand-in:
// 85 ns on a busy machine.
func BenchmarkWithJob(b *testing.B) {
	var m fairness.Meter
	now := zero
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m, _ = m.WithJob(8, now)
	}
}
