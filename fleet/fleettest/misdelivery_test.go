package fleettest_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// Guards against false violations and missed ones: failures of attempts that delayed starts began on
// a restarted worker count only if a caller reached that incarnation before the starts or read the
// ends.
func TestFailuresOfMisdeliveredStarts(t *testing.T) {
	const tasks = 3
	cases := []struct {
		name      string
		contactAt time.Duration // after the restart; 0: no call reaches the restarted worker
		want      []string
	}{
		{"no caller reaches the worker", 0, nil},
		{"a caller reaches the worker before the starts", 500 * time.Millisecond, failuresOverLimit(tasks)},
		{"a caller reads the ends", 1300 * time.Millisecond, failuresOverLimit(tasks)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDelayedCalls(t, tasks)
				d.fleet.RestartSameID(d.worker.ID, 50*time.Millisecond)
				if test.contactAt > 0 {
					time.Sleep(test.contactAt)
					d.hold(0)
				}
				time.Sleep(2*time.Second - test.contactAt)
				for i := range tasks {
					d.start(i, 2)
				}
				if got := d.fleet.Violations(); !slices.Equal(got, test.want) {
					t.Errorf("got violations %q, want %q", got, test.want)
				}
			})
		})
	}
}

// failuresOverLimit returns the violations by one more start of each task.
func failuresOverLimit(tasks int) []string {
	var violations []string
	for i := range tasks {
		violations = append(violations, fmt.Sprintf("%s was started after 1 failed attempts, limit 1", taskName(i)))
	}
	return violations
}

func taskName(index int) string { return fmt.Sprintf("job.0.0.%d", index) }

// delayedCalls is a fleet of one worker, with starts that are executed after a second and an
// acknowledgement of their ends that is executed after 1.5 seconds.
type delayedCalls struct {
	t      *testing.T
	fleet  *fleettest.Fleet
	worker fleet.Worker
}

func newDelayedCalls(t *testing.T, tasks int) *delayedCalls {
	t.Helper()
	d := &delayedCalls{
		t: t, fleet: fleettest.New(),
		worker: fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartTime: 1}, Capacity: resource.Amount{CPU: 16_000}},
	}
	d.fleet.Add(d.worker)
	d.fleet.RegisterJob("job", fleettest.JobSpec{
		Request:     workload.Request{Steps: []workload.Step{{Count: tasks, Need: resource.Amount{CPU: 1000}}}},
		MaxFailures: 1,
		Plan: func(workload.TaskID, int) fleettest.Plan {
			return fleettest.Plan{Work: 100 * time.Millisecond, Outcome: fleet.Failed}
		},
	})
	d.hold(0) // the incarnation accepts acknowledgements once it has answered
	d.setDelay(time.Second)
	for i := range tasks {
		d.start(i, 1)
	}
	d.setDelay(1500 * time.Millisecond)
	d.hold(uint64(tasks))
	d.setDelay(0)
	return d
}

func (d *delayedCalls) setDelay(delay time.Duration) {
	d.fleet.SetFault(func(fleettest.Call, string) fleettest.Fault { return fleettest.Fault{Delay: delay} })
}

// start and hold call the worker's current incarnation and give up after a short time.
func (d *delayedCalls) start(index, attempt int) {
	ctx, cancel := context.WithTimeout(d.t.Context(), 10*time.Millisecond)
	defer cancel()
	_, _ = d.fleet.Start(ctx, d.fleet.List()[0], fleet.StartOrder{Task: taskName(index), Number: attempt, Token: 1, Deadline: 5000})
}

func (d *delayedCalls) hold(ackedThrough uint64) {
	ctx, cancel := context.WithTimeout(d.t.Context(), 10*time.Millisecond)
	defer cancel()
	_, _ = d.fleet.Hold(ctx, d.fleet.List()[0], fleet.HoldOrder{Token: 1, AckedThrough: ackedThrough})
}
