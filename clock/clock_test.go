package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chutereach/clock"
	"chutereach/clock/clocktest"
)

func TestSinceIncludesSuspension(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			suspension := clocktest.New(t)
			synctest.Test(t, func(t *testing.T) {
				start := clock.Now()
				time.Sleep(time.Second)
				suspension.Suspend(d)
				if got := start.Since(); got != d+time.Second {
					t.Errorf("Since() = %v, want %v", got, d+time.Second)
				}
			})
		})
	}
}

func TestAtomicStoreFirst(t *testing.T) {
	var value clock.Atomic
	if !value.Load().IsZero() {
		t.Error("Load() of the zero Atomic is not the zero Instant")
	}
	first := clock.Now()
	value.StoreFirst(first)
	value.StoreFirst(clock.Now())
	if got := value.Load(); got != first {
		t.Errorf("Load() = %v, want the first stored instant, %v", got, first)
	}
}

func TestCheck(t *testing.T) {
	if err := clock.Check(); err != nil {
		t.Error(err)
	}
}

// BenchmarkNow compares clock.Now with time.Now.
func BenchmarkNow(b *testing.B) {
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			clock.Now()
		}
	})
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}
