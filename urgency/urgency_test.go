package urgency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/urgency"
)

var zero = time.Unix(1000, 0)

// at returns a moment so many seconds after the zero time.
func at(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }

// work returns a step whose job came at the zero time, with its objective and chain in seconds.
func work(priority int, objective, chain float64) urgency.Work {
	return urgency.Work{
		Priority: priority, Arrived: zero, Deadline: at(objective), Chain: at(chain).Sub(zero),
	}
}

func TestJudge(t *testing.T) {
	lookup, gang, statement := work(0, 1.2, 0.6), work(1, 10, 4), work(2, 18, 3.4)
	idle := statement
	idle.Idle = 2500 * time.Millisecond
	lasting := work(1, 1, 1)
	lasting.Untimed = true
	cases := []struct {
		name             string
		work             urgency.Work
		now              float64
		rank             urgency.Rank
		pressed, patient bool
	}{
		{"a lookup", lookup, 0, urgency.UrgentInTime, true, false},
		{"a lookup that is late", lookup, 0.7, urgency.UrgentLate, false, false},
		{"a lookup that is worth nothing more", lookup, 3.7, urgency.Worthless, false, false},
		{"a gang that has just come", gang, 0, urgency.InTime, false, true},
		{"a gang that may wait no longer", gang, 2.6, urgency.InTime, true, false},
		{"a gang that is late", gang, 6.1, urgency.Late, false, false},
		{"a statement", statement, 0, urgency.InTime, false, true},
		{"a statement of which nothing runs for long", idle, 0, urgency.InTime, false, false},
		{"a statement that must begin", statement, 10, urgency.InTime, false, false},
		{"a statement that may wait no longer", statement, 11.5, urgency.InTime, true, false},
		{"what lasts", lasting, 5, urgency.InTime, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := urgency.Judge(test.work, at(test.now))
			if got.Rank != test.rank || got.Pressed != test.pressed || got.Patient != test.patient {
				t.Errorf("got %+v, want rank %d, pressed %v, patient %v", got, test.rank, test.pressed, test.patient)
			}
		})
	}
}

// Nothing is worth a stop and leaves room to others at the same time; and time only makes a
// step more pressed, until it is late.
func TestVerdictsOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := work(rapid.IntRange(0, 3).Draw(t, "priority"), rapid.Float64Range(0.1, 60).Draw(t, "objective"), rapid.Float64Range(0, 20).Draw(t, "chain"))
		former := urgency.Judge(w, zero)
		for seconds := 0.0; seconds < 70; seconds += 0.25 {
			v := urgency.Judge(w, at(seconds))
			if v.Pressed && v.Patient {
				t.Fatalf("pressed and patient after %v s: %+v", seconds, v)
			}
			if v.Rank < former.Rank || v.Patient && !former.Patient || former.Pressed && !v.Pressed && v.Rank <= urgency.InTime {
				t.Fatalf("after %v s %+v follows %+v", seconds, v, former)
			}
			former = v
		}
	})
}

func TestCompare(t *testing.T) {
	order := []urgency.Verdict{
		urgency.Judge(work(0, 1.2, 0.6), zero), urgency.Judge(work(1, 5, 4), zero), urgency.Judge(work(2, 18, 3.4), zero),
		urgency.Judge(work(0, 0.5, 0.6), zero), urgency.Judge(work(1, 3, 4), zero),
	}
	for i := range order[1:] {
		if urgency.Compare(order[i], order[i+1]) >= 0 || urgency.Compare(order[i+1], order[i]) <= 0 {
			t.Errorf("%+v does not go before %+v", order[i], order[i+1])
		}
	}
}
