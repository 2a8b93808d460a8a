package fleettest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// gangRun is a gang of three members on one worker. Member 0 fails after 100 ms, member 1 would fail after 200 ms,
// and member 2 would be done after 250 ms.
type gangRun struct {
	t     *testing.T
	fleet *fleettest.Fleet
}

func newGangRun(t *testing.T, breakDelay time.Duration) *gangRun {
	t.Helper()
	r := &gangRun{t, fleettest.New()}
	r.fleet.SetGangBreakDelay(breakDelay)
	r.fleet.Add(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartTime: 1}, Capacity: resource.Amount{CPU: 16_000}})
	plans := []fleettest.Plan{
		{Work: 100 * time.Millisecond, Outcome: fleet.Failed}, {Work: 200 * time.Millisecond, Outcome: fleet.Failed}, {Work: 250 * time.Millisecond},
	}
	r.fleet.RegisterJob("job", fleettest.JobSpec{
		Request:     workload.Request{Steps: []workload.Step{{Count: len(plans), Need: resource.Amount{CPU: 1000}, Gang: true}}},
		MaxFailures: 2,
		Plan:        func(task workload.TaskID, _ int) fleettest.Plan { return plans[task.Index] },
	})
	return r
}

// run starts an attempt of all members and waits until it has ended.
func (r *gangRun) run(attempt int) {
	r.t.Helper()
	for i := range 3 {
		order := fleet.StartOrder{Task: taskName(i), Number: attempt, Token: 1, Deadline: 5000}
		if _, err := r.fleet.Start(r.t.Context(), r.fleet.List()[0], order); err != nil {
			r.t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
}

func (r *gangRun) assertOutcomes(want ...fleet.Outcome) {
	r.t.Helper()
	for i, attempt := range r.fleet.Attempts("job") {
		if attempt.Outcome != want[i] {
			r.t.Errorf("%s ended as %q, want %q", attempt.Task, attempt.Outcome, want[i])
		}
	}
}

// Guards against a stand-in that hides faults: workers end the other members of a gang some time after the first, and
// until then these end as they would have, except that none can be done.
func TestGangBreakDelay(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration
		want  []fleet.Outcome
	}{
		{"none", 0, []fleet.Outcome{fleet.Failed, fleet.GangBroken, fleet.GangBroken}},
		{"until before the others end", 50 * time.Millisecond, []fleet.Outcome{fleet.Failed, fleet.GangBroken, fleet.GangBroken}},
		{"until one has failed", 120 * time.Millisecond, []fleet.Outcome{fleet.Failed, fleet.Failed, fleet.GangBroken}},
		{"until one would be done", 300 * time.Millisecond, []fleet.Outcome{fleet.Failed, fleet.Failed, fleet.GangBroken}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newGangRun(t, test.delay)
				r.run(1)
				r.assertOutcomes(test.want...)
			})
		})
	}
}

// Guards against accepting a job that was reported as failed too early: failures in one attempt of a gang count once.
func TestAttemptsExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newGangRun(t, 300*time.Millisecond)
		for attempt := 1; attempt <= 2; attempt++ {
			r.run(attempt)
			if got, want := r.fleet.AttemptsExhausted("job"), attempt == 2; got != want {
				t.Errorf("after %d attempts of 2: exhausted = %v, want %v", attempt, got, want)
			}
		}
	})
}
