package workload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/codec"
	"chutereach/fleet"
	"chutereach/workload"
)

// incarnationOf returns the incarnation of a worker that never restarts.
func incarnationOf(worker string) fleet.Incarnation {
	return fleet.Incarnation{ID: worker, StartTime: 1}
}

var (
	late       = workload.LossEvidence{}
	unsurvived = workload.LossEvidence{Unsurvived: true}
	conclusive = workload.LossEvidence{Unsurvived: true, Conclusive: true, Exposure: 12 * time.Millisecond}
	// unseen is the loss of an attempt of which the owner saw too little.
	unseen = workload.LossEvidence{Unseen: true}
	// lateConclusive is the loss of an attempt after a second on workers that end rarely.
	lateConclusive = workload.LossEvidence{Conclusive: true, Exposure: time.Second}
	// unseenConclusive is such a loss without a report that the attempt has survived its start.
	unseenConclusive = workload.LossEvidence{Conclusive: true, Unseen: true, Exposure: time.Second}
)

// crashesAfter returns the record of a task after one worker crash per piece of evidence.
func crashesAfter(evidence ...workload.LossEvidence) workload.CrashHistory {
	return addCrashes(workload.CrashHistory{}, evidence...)
}

func addCrashes(c workload.CrashHistory, evidence ...workload.LossEvidence) workload.CrashHistory {
	for i, e := range evidence {
		worker := incarnationOf(fmt.Sprintf("w-%d", i))
		c = c.WithLostAttempt(worker, e).WithWorkerCrash(worker)
	}
	return c
}

// withLost returns c with the loss of a worker whose fate is unknown.
func withLost(c workload.CrashHistory, evidence workload.LossEvidence) workload.CrashHistory {
	return c.WithLostAttempt(incarnationOf("w-9"), evidence)
}

func TestCrashLimits(t *testing.T) {
	four := crashesAfter(unsurvived, unsurvived, unsurvived, unsurvived)
	fourLate := crashesAfter(lateConclusive, lateConclusive, lateConclusive, lateConclusive)
	cases := []struct {
		name    string
		crashes workload.CrashHistory
		held    bool
		givenUp bool
	}{
		{"no crash", workload.CrashHistory{}, false, false},
		{"two conclusive", crashesAfter(conclusive, conclusive), false, false},
		{"three conclusive", crashesAfter(conclusive, conclusive, conclusive), false, true},
		{"four conclusive late ones", fourLate, false, false},
		{"twenty conclusive late ones", crashesAfter(slices.Repeat([]workload.LossEvidence{lateConclusive}, 20)...), false, false},
		{"a conclusive late one and two others", crashesAfter(conclusive, lateConclusive, conclusive), false, false},
		{"a conclusive late one and four others", crashesAfter(conclusive, lateConclusive, conclusive, conclusive, conclusive), false, false},
		{"a conclusive late one and five others", crashesAfter(conclusive, lateConclusive, conclusive, conclusive, conclusive, conclusive), false, true},
		{"a conclusive one that was not seen to survive and four others", crashesAfter(conclusive, unseenConclusive, conclusive, conclusive, conclusive), false, true},
		{"three conclusive late ones and two idle attempts", crashesAfter(lateConclusive, lateConclusive, lateConclusive).WithIdleAttempt().WithIdleAttempt(), false, false},
		{"four conclusive late ones and one lost worker", withLost(fourLate, lateConclusive), false, false},
		{"two conclusive and one lost worker", withLost(crashesAfter(conclusive, conclusive), conclusive), true, false},
		{"two conclusive and one worker lost late", withLost(crashesAfter(conclusive, conclusive), late), false, false},
		{"two conclusive and one worker that responds again", withLost(crashesAfter(conclusive, conclusive), conclusive).WithWorkerAlive(incarnationOf("w-9")), false, false},
		{"two conclusive, a survived start and one more", addCrashes(crashesAfter(conclusive, conclusive).WithSurvivedAttempt(100*time.Millisecond), conclusive), false, false},
		{"late conclusive ones and an attempt that ran no longer", addCrashes(fourLate.WithSurvivedAttempt(time.Second), lateConclusive), false, false},
		{"late conclusive ones and an attempt that ran longer", addCrashes(fourLate.WithSurvivedAttempt(3*time.Second), lateConclusive), false, false},
		{"three unsurvived, a conclusive one and an unseen one", addCrashes(crashesAfter(unseen), unsurvived, unsurvived, unsurvived, conclusive), false, true},
		{"three unsurvived, a conclusive one and a worker lost unseen", withLost(crashesAfter(unsurvived, unsurvived, unsurvived, conclusive), unseen), true, false},
		{"four unsurvived and an unseen one", addCrashes(crashesAfter(unseen), unsurvived, unsurvived, unsurvived, unsurvived), false, false},
		{"two conclusive and twenty unseen", addCrashes(crashesAfter(conclusive, conclusive), slices.Repeat([]workload.LossEvidence{unseen}, 20)...), false, false},
		{"twenty late", crashesAfter(slices.Repeat([]workload.LossEvidence{late}, 20)...), false, false},
		{"four unsurvived", four, false, false},
		{"five unsurvived", addCrashes(four, unsurvived), false, true},
		{"five unsurvived, with a survived start between", addCrashes(four.WithSurvivedAttempt(time.Second), unsurvived), false, false},
		{"five unsurvived, with a reported end between", addCrashes(four.WithReportedOutcome(), unsurvived), false, false},
		{"four unsurvived and one lost worker", withLost(four, unsurvived), true, false},
		{"four unsurvived and a survived start after a lost worker", withLost(four, unsurvived).WithSurvivedAttempt(time.Second), false, false},
		{"three unsurvived and one lost worker", withLost(crashesAfter(unsurvived, unsurvived, unsurvived), unsurvived), false, false},
		{"three unsurvived and two idle attempts", crashesAfter(unsurvived, unsurvived, unsurvived).WithIdleAttempt().WithIdleAttempt(), false, false},
		{"three unsurvived, one conclusive, and two idle attempts", crashesAfter(unsurvived, conclusive, unsurvived).WithIdleAttempt().WithIdleAttempt(), false, true},
		{"three unsurvived, an idle attempt and a conclusive one", addCrashes(crashesAfter(unsurvived, unsurvived, unsurvived).WithIdleAttempt(), conclusive), false, true},
		{"three unsurvived, an idle attempt and an unsurvived one", addCrashes(crashesAfter(unsurvived, unsurvived, unsurvived).WithIdleAttempt(), unsurvived), false, false},
		{"crash reported twice", crashesAfter(conclusive, conclusive).WithWorkerCrash(incarnationOf("w-0")), false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.crashes.MustWait(); got != test.held {
				t.Errorf("held = %v, want %v", got, test.held)
			}
			if got := test.crashes.Exhausted(); got != test.givenUp {
				t.Errorf("given up = %v, want %v", got, test.givenUp)
			}
		})
	}
}

// Late losses must not give a task up, but its starts must be spread over time until an attempt has run for twice as
// long.
func TestLateLossesSpreadStarts(t *testing.T) {
	three := crashesAfter(lateConclusive, lateConclusive, lateConclusive)
	cases := []struct {
		name    string
		crashes workload.CrashHistory
		want    bool
	}{
		{"two", crashesAfter(lateConclusive, lateConclusive), false},
		{"two and one lost worker", withLost(crashesAfter(lateConclusive, lateConclusive), lateConclusive), true},
		{"three", three, true},
		{"three and an attempt that ran no longer", three.WithSurvivedAttempt(time.Second), true},
		{"three and an attempt that ran longer", three.WithSurvivedAttempt(3 * time.Second), false},
		{"three and a reported end", three.WithReportedOutcome(), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.crashes.MustBackOff(); got != test.want {
				t.Errorf("must back off = %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against more than two starts of a task that crashes each of its workers after three of them have
// crashed, regardless of the order in which the crashes are confirmed.
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
			if !c.MustWait() && !c.Exhausted() && rapid.Bool().Draw(t, "start") {
				attempt++
				crashes := rapid.Bool().Draw(t, "crashes") // otherwise the start does not reach the worker
				if crashes {
					if crashed >= 3 {
						startsAfterLimit++
					}
					crashed++
				}
				worker := fmt.Sprintf("w-%d", attempt)
				unresolved = append(unresolved, lostAttempt{worker, crashes})
				c = c.WithLostAttempt(incarnationOf(worker), workload.LossEvidence{Unsurvived: true, Conclusive: rapid.Bool().Draw(t, "conclusive")})
				continue
			}
			if len(unresolved) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(unresolved)-1).Draw(t, "resolved")
			if unresolved[i].crashed {
				c = c.WithWorkerCrash(incarnationOf(unresolved[i].worker))
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

// formerLostWorker and formerCrashHistory are the rows of builds before the criteria changed.
type formerLostWorker struct {
	ID        string `cbor:"1,keyasint"`
	StartTime int64  `cbor:"3,keyasint,omitempty"`
	Early     bool   `cbor:"2,keyasint,omitempty"`
}

type formerCrashHistory struct {
	WorkerCrashes int                `cbor:"6,keyasint,omitempty"`
	EarlyCrashes  int                `cbor:"7,keyasint,omitempty"`
	LastAttempt   int                `cbor:"8,keyasint,omitempty"`
	Unresolved    []formerLostWorker `cbor:"9,keyasint,omitempty"`
	Suspected     bool               `cbor:"10,keyasint,omitempty"`
}

// Guards against rows that a node of another build cannot read during an upgrade, and against giving a
// task up there for what the other build counted.
func TestCrashHistoryOfOtherBuilds(t *testing.T) {
	t.Run("former row", func(t *testing.T) {
		row := codec.MustMarshal(formerCrashHistory{3, 1, 5, []formerLostWorker{{"v", 7, true}}, true})
		var c workload.CrashHistory
		if err := codec.Unmarshal(row, &c); err != nil {
			t.Fatal(err)
		}
		want := workload.CrashHistory{Unresolved: []workload.LostWorker{{ID: "v", StartTime: 7}}, Suspected: true}
		if !c.Equal(want) || c.MustWait() || c.Exhausted() {
			t.Errorf("read %+v, want %+v", c, want)
		}
	})
	t.Run("row for a former build", func(t *testing.T) {
		var c formerCrashHistory
		if err := codec.Unmarshal(codec.MustMarshal(withLost(crashesAfter(conclusive, unsurvived), conclusive)), &c); err != nil {
			t.Fatal(err)
		}
		if c.WorkerCrashes != 0 || c.EarlyCrashes != 0 || c.LastAttempt != 0 || !slices.Equal(c.Unresolved, []formerLostWorker{{"w-9", 1, false}}) || !c.Suspected {
			t.Errorf("a former build reads %+v, want no crash and one lost worker", c)
		}
	})
}
