package workload_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chutereach/fleet"
	"chutereach/workload"
)

// incarnationOf returns the incarnation of a worker that never restarts.
func incarnationOf(worker string) fleet.Incarnation {
	return fleet.Incarnation{ID: worker, StartTime: 1}
}

// crashesAfter returns the record of a task after one worker crash per piece of evidence.
func crashesAfter(evidence ...workload.LossEvidence) workload.CrashHistory {
	var c workload.CrashHistory
	for i, e := range evidence {
		worker := fmt.Sprintf("w-%d", i)
		c = c.WithLostAttempt(incarnationOf(worker), e).WithWorkerCrash(incarnationOf(worker), i+1)
	}
	return c
}

func TestCrashLimits(t *testing.T) {
	cases := []struct {
		name    string
		crashes workload.CrashHistory
		attempt int
		held    bool
		givenUp bool
	}{
		{"no crash", workload.CrashHistory{}, 9, false, false},
		{"one early crash", crashesAfter(workload.EarlyLoss), 1, false, false},
		{"two early crashes", crashesAfter(workload.EarlyLoss, workload.EarlyLoss), 2, false, true},
		{"one early and one late crash", crashesAfter(workload.EarlyLoss, workload.LateLoss), 2, false, false},
		{"one early crash and one lost worker", crashesAfter(workload.EarlyLoss).WithLostAttempt(incarnationOf("w-9"), workload.EarlyLoss), 2, true, false},
		{"one early crash and one worker that responds again", crashesAfter(workload.EarlyLoss).WithLostAttempt(incarnationOf("w-9"), workload.EarlyLoss).WithWorkerAlive(incarnationOf("w-9")), 2, false, false},
		{"three late crashes", crashesAfter(workload.LateLoss, workload.LateLoss, workload.LateLoss), 3, false, false},
		{"three late crashes and one more attempt", crashesAfter(workload.LateLoss, workload.LateLoss, workload.LateLoss), 4, false, false},
		{"three late crashes and two more attempts", crashesAfter(workload.LateLoss, workload.LateLoss, workload.LateLoss), 5, false, true},
		{"three late crashes and two more attempts, one not started", crashesAfter(workload.LateLoss, workload.LateLoss, workload.LateLoss).WithUnstartedAttempt(), 5, false, false},
		{"two late crashes and one lost worker", crashesAfter(workload.LateLoss, workload.LateLoss).WithLostAttempt(incarnationOf("w-9"), workload.InconclusiveLoss), 3, true, false},
		{"crash reported twice", crashesAfter(workload.EarlyLoss).WithWorkerCrash(incarnationOf("w-0"), 1), 1, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.crashes.MustWait(); got != test.held {
				t.Errorf("held = %v, want %v", got, test.held)
			}
			if got := test.crashes.Exhausted(test.attempt); got != test.givenUp {
				t.Errorf("given up = %v, want %v", got, test.givenUp)
			}
		})
	}
}

// Guards against more than two starts of a task after three of its workers have crashed,
// regardless of the order in which the crashes are confirmed.
func TestAttemptsAreLimitedAfterThreeCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c workload.CrashHistory
		attempt, crashed, startsAfterLimit := 0, 0, 0
		type lostAttempt struct {
			worker  string
			crashed bool
		}
		var unresolved []lostAttempt
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if !c.MustWait() && !c.Exhausted(attempt) && rapid.Bool().Draw(t, "start") {
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
				c = c.WithLostAttempt(incarnationOf(worker), workload.LossEvidence(rapid.IntRange(0, 2).Draw(t, "evidence")))
				continue
			}
			if len(unresolved) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(unresolved)-1).Draw(t, "resolved")
			if unresolved[i].crashed {
				c = c.WithWorkerCrash(incarnationOf(unresolved[i].worker), attempt)
			} else {
				c = c.WithWorkerAlive(incarnationOf(unresolved[i].worker))
			}
			unresolved = slices.Delete(unresolved, i, i+1)
		}
		if startsAfterLimit > 2 {
			t.Fatalf("%d starts after three worker crashes, want at most 2", startsAfterLimit)
		}
	})
}
