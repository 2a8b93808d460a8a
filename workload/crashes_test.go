package workload_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chutereach/fleet"
	"chutereach/workload"
)

// life returns the incarnation of a worker that never restarts.
func life(worker string) fleet.Life { return fleet.Life{ID: worker, Born: 1} }

// crashesAfter returns the record of a task after one worker crash per piece of evidence.
func crashesAfter(evidence ...workload.Evidence) workload.Crashes {
	var c workload.Crashes
	for i, e := range evidence {
		worker := fmt.Sprintf("w-%d", i)
		c = c.WithLost(life(worker), e).WithEnded(life(worker), i+1)
	}
	return c
}

func TestCrashLimits(t *testing.T) {
	cases := []struct {
		name    string
		crashes workload.Crashes
		attempt int
		held    bool
		givenUp bool
	}{
		{"no crash", workload.Crashes{}, 9, false, false},
		{"one early crash", crashesAfter(workload.AtOnce), 1, false, false},
		{"two early crashes", crashesAfter(workload.AtOnce, workload.AtOnce), 2, false, true},
		{"one early and one late crash", crashesAfter(workload.AtOnce, workload.RanOn), 2, false, false},
		{"one early crash and one lost worker", crashesAfter(workload.AtOnce).WithLost(life("w-9"), workload.AtOnce), 2, true, false},
		{"one early crash and one worker that responds again", crashesAfter(workload.AtOnce).WithLost(life("w-9"), workload.AtOnce).WithFound(life("w-9")), 2, false, false},
		{"three late crashes", crashesAfter(workload.RanOn, workload.RanOn, workload.RanOn), 3, false, false},
		{"three late crashes and one more attempt", crashesAfter(workload.RanOn, workload.RanOn, workload.RanOn), 4, false, false},
		{"three late crashes and two more attempts", crashesAfter(workload.RanOn, workload.RanOn, workload.RanOn), 5, false, true},
		{"three late crashes and two more attempts, one not started", crashesAfter(workload.RanOn, workload.RanOn, workload.RanOn).WithSpareAttempt(), 5, false, false},
		{"two late crashes and one lost worker", crashesAfter(workload.RanOn, workload.RanOn).WithLost(life("w-9"), workload.Unclear), 3, true, false},
		{"crash reported twice", crashesAfter(workload.AtOnce).WithEnded(life("w-0"), 1), 1, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.crashes.Held(); got != test.held {
				t.Errorf("held = %v, want %v", got, test.held)
			}
			if got := test.crashes.GivenUp(test.attempt); got != test.givenUp {
				t.Errorf("given up = %v, want %v", got, test.givenUp)
			}
		})
	}
}

// Guards against more than two starts of a task after three of its workers have crashed,
// regardless of the order in which the crashes are confirmed.
func TestAttemptsAreLimitedAfterThreeCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c workload.Crashes
		attempt, crashed, startsAfterLimit := 0, 0, 0
		type lostAttempt struct {
			worker  string
			crashed bool
		}
		var unresolved []lostAttempt
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if !c.Held() && !c.GivenUp(attempt) && rapid.Bool().Draw(t, "start") {
				attempt++
				if crashed >= 3 {
					startsAfterLimit++
				}
				crashes := rapid.Bool().Draw(t, "crashes")
				if crashes {
					crashed++
				}
				worker := fmt.Sprintf("w-%d", attempt)
				unresolved = append(unresolved, lostAttempt{worker, crashes})
				c = c.WithLost(life(worker), workload.Evidence(rapid.IntRange(0, 2).Draw(t, "evidence")))
				continue
			}
			if len(unresolved) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(unresolved)-1).Draw(t, "resolved")
			if unresolved[i].crashed {
				c = c.WithEnded(life(unresolved[i].worker), attempt)
			} else {
				c = c.WithFound(life(unresolved[i].worker))
			}
			unresolved = slices.Delete(unresolved, i, i+1)
		}
		if startsAfterLimit > 2 {
			t.Fatalf("%d starts after three worker crashes, want at most 2", startsAfterLimit)
		}
	})
}
