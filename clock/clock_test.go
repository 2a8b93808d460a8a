package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chutereach/clock"
	"chutereach/clock/clocktest"
)

func TestSuspensionsCount(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			machine := clocktest.New(t)
			synctest.Test(t, func(t *testing.T) {
				begun := clock.Now()
				time.Sleep(time.Second)
				machine.Suspend(d)
				if got := begun.Since(); got != d+time.Second {
					t.Errorf("%v since, want %v", got, d+time.Second)
				}
			})
		})
	}
}

func TestAnInstantIsHeldOnce(t *testing.T) {
	var a clock.Atomic
	if !a.Load().IsZero() {
		t.Error("the zero value holds an instant")
	}
	first := clock.Now()
	a.StoreFirst(first)
	a.StoreFirst(clock.Now())
	if got := a.Load(); got != first {
		t.Errorf("it holds %v, want the first, %v", got, first)
	}
}

func TestTheSystemTells(t *testing.T) {
	if err := clock.Check(); err != nil {
		t.Error(err)
	}
}

// BenchmarkNow tells what counting suspensions costs beside time.Now.
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
