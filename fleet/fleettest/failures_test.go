package fleettest_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// Guards against false violations and missed ones: an attempt that two incarnations of a worker execute has failed
// once, however often its failure is acknowledged.
func TestFailuresAreCountedByAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &delayedCalls{t: t, fleet: fleettest.New(), worker: fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartTime: 1}, Capacity: resource.Amount{CPU: 16_000}}}
		d.fleet.Add(d.worker)
		d.fleet.RegisterJob("job", fleettest.JobSpec{
			Request:     workload.Request{Steps: []workload.Step{{Count: 1, Need: resource.Amount{CPU: 1000}}}},
			MaxFailures: 2,
			Plan: func(workload.TaskID, int) fleettest.Plan {
				return fleettest.Plan{Work: 100 * time.Millisecond, Outcome: fleet.Failed}
			},
		})
		d.runAndAcknowledge(1, 1)
		d.fleet.RestartSameID("w", 50*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		d.runAndAcknowledge(1, 1)
		d.runAndAcknowledge(2, 2)
		if got := d.fleet.Violations(); got != nil {
			t.Errorf("after the second attempt of 2: got violations %q, want none", got)
		}
		d.start(0, 3)
		if got, want := d.fleet.Violations(), []string{"job.0.0.0 was started after 2 failed attempts, limit 2"}; !slices.Equal(got, want) {
			t.Errorf("after the third attempt of 2: got violations %q, want %q", got, want)
		}
	})
}

// runAndAcknowledge runs an attempt of the first task until it has ended, and acknowledges its end.
func (d *delayedCalls) runAndAcknowledge(attempt int, sequence uint64) {
	d.hold(0) // the incarnation accepts acknowledgements once it has answered
	d.start(0, attempt)
	time.Sleep(200 * time.Millisecond)
	d.hold(sequence)
}
