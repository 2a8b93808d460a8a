package workload_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chutereach/fleet"
	"chutereach/workload"
)

// life returns the only life of a worker.
func life(worker string) fleet.Life { return fleet.Life{ID: worker, Born: 1} }

// lost returns the record of a task after workers have ended under it, one after the other.
func lost(evidence ...workload.Evidence) workload.Crashes {
	var c workload.Crashes
	for i, e := range evidence {
		worker := fmt.Sprintf("w-%d", i)
		c = c.WithLost(life(worker), e).WithEnded(life(worker), i+1)
	}
	return c
}

func TestWhenATaskIsGivenUp(t *testing.T) {
	cases := []struct {
		name    string
		crashes workload.Crashes
		attempt int
		held    bool
		givenUp bool
	}{
		{"no worker has ended", workload.Crashes{}, 9, false, false},
		{"one ended at once", lost(workload.AtOnce), 1, false, false},
		{"two ended at once", lost(workload.AtOnce, workload.AtOnce), 2, false, true},
		{"one ended at once, and one later", lost(workload.AtOnce, workload.RanOn), 2, false, false},
		{"one ended at once, and it is not known of another", lost(workload.AtOnce).WithLost(life("w-9"), workload.AtOnce), 2, true, false},
		{"the other has answered again", lost(workload.AtOnce).WithLost(life("w-9"), workload.AtOnce).WithFound(life("w-9")), 2, false, false},
		{"three ended later", lost(workload.RanOn, workload.RanOn, workload.RanOn), 3, false, false},
		{"three ended later, and one more attempt", lost(workload.RanOn, workload.RanOn, workload.RanOn), 4, false, false},
		{"three ended later, and two more attempts", lost(workload.RanOn, workload.RanOn, workload.RanOn), 5, false, true},
		{"three ended later, and one of two more attempts never began", lost(workload.RanOn, workload.RanOn, workload.RanOn).WithSpareAttempt(), 5, false, false},
		{"two ended later, and it is not known of a third", lost(workload.RanOn, workload.RanOn).WithLost(life("w-9"), workload.Unclear), 3, true, false},
		{"the end of a worker is told twice", lost(workload.AtOnce).WithEnded(life("w-0"), 1), 1, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.crashes.Held(); got != test.held {
				t.Errorf("held is %v, want %v", got, test.held)
			}
			if got := test.crashes.GivenUp(test.attempt); got != test.givenUp {
				t.Errorf("given up is %v, want %v", got, test.givenUp)
			}
		})
	}
}

// However many attempts are lost, and in whatever order the fate of their workers becomes
// known, a task has at most two starts after the third of its workers has ended.
func TestStartsAfterTheThirdWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c workload.Crashes
		attempt, ended, after := 0, 0, 0
		type loss struct {
			worker string
			ended  bool
		}
		var open []loss
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if !c.Held() && !c.GivenUp(attempt) && rapid.Bool().Draw(t, "start") {
				attempt++
				if ended >= 3 {
					after++
				}
				crashes := rapid.Bool().Draw(t, "crashes")
				if crashes {
					ended++
				}
				worker := fmt.Sprintf("w-%d", attempt)
				open = append(open, loss{worker, crashes})
				c = c.WithLost(life(worker), workload.Evidence(rapid.IntRange(0, 2).Draw(t, "evidence")))
				continue
			}
			if len(open) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "known")
			if open[i].ended {
				c = c.WithEnded(life(open[i].worker), attempt)
			} else {
				c = c.WithFound(life(open[i].worker))
			}
			open = slices.Delete(open, i, i+1)
		}
		if after > 2 {
			t.Fatalf("%d starts after three workers had ended", after)
		}
	})
}
