package wait_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/wait"
)

// roundsOf returns Rounds whose runs take a second, and a counter of the runs.
func roundsOf(interval time.Duration, result func(run int) error) (rounds *wait.Rounds, runs *int) {
	runs = new(int)
	return &wait.Rounds{
		Run: func() error {
			*runs++
			run := *runs
			time.Sleep(time.Second)
			return result(run)
		},
		Interval: func() time.Duration { return interval },
	}, runs
}

func succeed(int) error { return nil }

func TestRoundsShareNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rounds, runs := roundsOf(0, succeed)
		var callers sync.WaitGroup
		start := time.Now()
		join := func(want time.Duration) {
			callers.Go(func() {
				if err := rounds.Join(t.Context()); err != nil || time.Since(start) != want {
					t.Errorf("Join() = %v after %v, want nil after %v", err, time.Since(start), want)
				}
			})
		}
		join(time.Second)
		time.Sleep(500 * time.Millisecond)
		for range 10 {
			join(2 * time.Second) // the first run started before these calls
		}
		callers.Wait()
		if *runs != 2 {
			t.Errorf("%d runs, want 2", *runs)
		}
	})
}

func TestRoundsKeepInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rounds, _ := roundsOf(3*time.Second, succeed)
		start := time.Now()
		for range 2 {
			rounds.Join(t.Context())
		}
		if got := time.Since(start); got != 4*time.Second {
			t.Errorf("two runs of 1 s, 3 s apart, took %v, want 4s", got)
		}
	})
}

func TestRoundsReturnResultOfTheirRun(t *testing.T) {
	failure := errors.New("failure")
	synctest.Test(t, func(t *testing.T) {
		rounds, _ := roundsOf(0, func(run int) error {
			if run == 1 {
				return failure
			}
			return nil
		})
		for _, want := range []error{failure, nil} {
			if err := rounds.Join(t.Context()); err != want {
				t.Errorf("Join() = %v, want %v", err, want)
			}
		}
	})
}

func TestRoundsJoinEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rounds, _ := roundsOf(0, succeed)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := rounds.Join(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Join() = %v, want DeadlineExceeded", err)
		}
		time.Sleep(time.Second)
	})
}
