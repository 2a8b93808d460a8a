package urgency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/urgency"
)

var start = time.Unix(1000, 0)

// at returns the time a number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// work returns a step of a job that arrives at start. The objective and the critical path are in
// seconds.
func work(priority int, objective, chain float64) urgency.Step {
	return urgency.Step{
		Priority: priority, Arrived: start, Deadline: at(objective), CriticalPath: at(chain).Sub(start),
	}
}

func TestJudge(t *testing.T) {
	lookup, gang, statement := work(0, 1.2, 0.6), work(1, 10, 4), work(2, 18, 3.4)
	idle := statement
	idle.Idle = 2500 * time.Millisecond
	untimed := work(1, 1, 1)
	untimed.NoDeadline = true
	cases := []struct {
		name             string
		work             urgency.Step
		now              float64
		rank             urgency.Rank
		preempts, yields bool
	}{
		{"a lookup", lookup, 0, urgency.UrgentInTime, true, false},
		{"a late lookup", lookup, 0.7, urgency.UrgentLate, false, false},
		{"an expired lookup", lookup, 3.7, urgency.Expired, false, false},
		{"a new gang", gang, 0, urgency.InTime, false, true},
		{"a gang close to its latest start", gang, 2.6, urgency.InTime, true, false},
		{"a late gang", gang, 6.1, urgency.Late, false, false},
		{"a statement", statement, 0, urgency.InTime, false, true},
		{"an idle statement", idle, 0, urgency.InTime, false, false},
		{"a statement that stops yielding", statement, 10, urgency.InTime, false, false},
		{"a statement close to its latest start", statement, 11.5, urgency.InTime, true, false},
		{"without a deadline", untimed, 5, urgency.InTime, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := urgency.Assess(test.work, at(test.now))
			if got.Rank != test.rank || got.MayPreempt != test.preempts || got.DefersToGangs != test.yields {
				t.Errorf("got %+v, want rank %d, preempts %v, yields %v", got, test.rank, test.preempts, test.yields)
			}
		})
	}
}

// A step never preempts and yields at the same time, and it only becomes more urgent over time until
// it is late.
func TestUrgencyOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := work(rapid.IntRange(0, 3).Draw(t, "priority"), rapid.Float64Range(0.1, 60).Draw(t, "objective"), rapid.Float64Range(0, 20).Draw(t, "chain"))
		previous := urgency.Assess(step, start)
		for seconds := 0.0; seconds < 70; seconds += 0.25 {
			v := urgency.Assess(step, at(seconds))
			if v.MayPreempt && v.DefersToGangs {
				t.Fatalf("preempts and yields after %v s: %+v", seconds, v)
			}
			if v.Rank < previous.Rank || v.DefersToGangs && !previous.DefersToGangs || previous.MayPreempt && !v.MayPreempt && v.Rank <= urgency.InTime {
				t.Fatalf("less urgent after %v s: %+v, was %+v", seconds, v, previous)
			}
			previous = v
		}
	})
}

// Guards against late work that is promoted while it can still wait, or when it is too late for it to have value.
func TestOverdue(t *testing.T) {
	lookup, gang, short := work(0, 1.2, 0.6), work(1, 10, 4), work(1, 3, 8)
	untimed := gang
	untimed.NoDeadline = true
	cases := []struct {
		name    string
		work    urgency.Step
		now     float64
		overdue bool
	}{
		{"in time", gang, 5.9, false},
		{"just late", gang, 6.1, false},
		{"late for less than a quarter of its time", gang, 10.9, false},
		{"late for more than a quarter of its time", gang, 11.1, true},
		{"at the last useful start", gang, 26, true},
		{"too late for any value", gang, 26.1, false},
		{"expired", gang, 30.1, false},
		{"a late lookup", lookup, 1.5, true},
		{"late on arrival", short, 0, true},
		{"without a deadline", untimed, 24, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := urgency.Assess(test.work, at(test.now)); got.Overdue != test.overdue {
				t.Errorf("got %+v, want overdue %v", got, test.overdue)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	ordered := []urgency.Assessment{
		urgency.Assess(work(0, 1.2, 0.6), start), urgency.Assess(work(1, 5, 4), start), urgency.Assess(work(2, 18, 3.4), start),
		urgency.Assess(work(0, 0.5, 0.6), start), urgency.Assess(work(1, 3, 4), start),
	}
	assertOrder(t, ordered)
}

// Guards against small steps that overtake others of another rank or share, or that overtake a large one
// however much earlier it has to start.
func TestCompareBySize(t *testing.T) {
	sized := func(objective, size float64, overShare bool) urgency.Assessment {
		v := urgency.Assess(work(2, objective, 2), start)
		v.RelativeSize, v.OverShare = size, overShare
		return v
	}
	ordered := []urgency.Assessment{
		urgency.Assess(work(0, 9, 2), start),
		sized(12, 0.5, false), sized(10, 2, false), sized(13, 1, false), sized(10, 100, false), sized(19, 0.1, false),
		sized(8, 0.1, true),
		urgency.Assess(work(2, 1, 2), start),
	}
	assertOrder(t, ordered)
}

func assertOrder(t *testing.T, ordered []urgency.Assessment) {
	t.Helper()
	for i := range ordered[1:] {
		if urgency.Compare(ordered[i], ordered[i+1]) >= 0 || urgency.Compare(ordered[i+1], ordered[i]) <= 0 {
			t.Errorf("%+v is not ordered before %+v", ordered[i], ordered[i+1])
		}
	}
}
