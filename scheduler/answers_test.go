package scheduler

import (
	"testing"
	"time"
)

func TestAnswerLimit(t *testing.T) {
	cases := []struct {
		name  string
		takes []time.Duration
		least time.Duration
		most  time.Duration
	}{
		{"no samples", nil, maxCallTimeout, maxCallTimeout},
		{"quick answers", repeated(6*time.Millisecond, 50), minCallTimeout, minCallTimeout},
		{"slow answers", repeated(100*time.Millisecond, 50), 100 * time.Millisecond, 150 * time.Millisecond},
		{"very slow answers", repeated(time.Second, 50), maxCallTimeout, maxCallTimeout},
		{"quick answers after slow ones", append(repeated(200*time.Millisecond, 20), repeated(5*time.Millisecond, 60)...), minCallTimeout, minCallTimeout},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var a callStats
			for _, took := range test.takes {
				a.addLatency(took)
			}
			if got := a.timeout(); got < test.least || got > test.most {
				t.Errorf("limit %v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}

func repeated(d time.Duration, count int) []time.Duration {
	list := make([]time.Duration, count)
	for i := range list {
		list[i] = d
	}
	return list
}

// recordCalls records a number of calls, of which every nth had no answer; if nth is 0, all had
// one.
func recordCalls(a *callStats, calls, nth int) {
	for i := range calls {
		a.addResult(nth == 0 || (i+1)%nth != 0)
	}
}

func assertLossy(t *testing.T, a callStats, want bool) {
	t.Helper()
	if a.lossy != want {
		t.Errorf("lossy is %v at a loss of %.4f, want %v", a.lossy, a.lossRate, want)
	}
}

func TestLossDetection(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		var a callStats
		recordCalls(&a, 1000, 0)
		assertLossy(t, a, false)
	})
	t.Run("one call in 25", func(t *testing.T) {
		var a callStats
		recordCalls(&a, 500, 25)
		assertLossy(t, a, true)
	})
	t.Run("one call in 500", func(t *testing.T) {
		var a callStats
		recordCalls(&a, 2000, 500)
		assertLossy(t, a, false)
	})
	t.Run("one call in 25, then none", func(t *testing.T) {
		var a callStats
		recordCalls(&a, 500, 25)
		recordCalls(&a, 1000, 0)
		assertLossy(t, a, false)
	})
}

// An owner whose own timers are late ignores calls without an answer when it estimates loss, and
// waits longer for answers.
func TestLateOwnerIgnoresCallLoss(t *testing.T) {
	late := time.Duration(0)
	s := newTestScheduler(t)
	s.lateness = func() time.Duration { return late }
	s.mu.Lock()
	defer s.mu.Unlock()
	allowance := s.latenessAllowance()
	late = 30 * time.Millisecond
	for range 100 {
		s.recordCallResult(false)
	}
	assertLossy(t, s.answers, false)
	if got := s.latenessAllowance(); got <= allowance || got < 100*time.Millisecond {
		t.Errorf("a late owner waits %v longer for answers, want 100ms or more and above %v", got, allowance)
	}
	late = 0
	for range 100 {
		s.recordCallResult(false)
	}
	assertLossy(t, s.answers, true)
}
