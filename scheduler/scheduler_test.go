package scheduler_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

func TestCompletesJobs(t *testing.T) {
	chain := newRequest(4, 1000)
	second := newStep(3, 2000)
	second.DependsOn = []int{0}
	third := newStep(2, 500)
	third.DependsOn = []int{0, 1}
	chain.Steps = append(chain.Steps, second, third)

	gang := newRequest(6, 4500)
	gang.Steps[0].Gang = true

	spread := newRequest(8, 500)
	spread.Steps[0].MaxPerWorker = 2

	labelled := newRequest(2, 500)
	labelled.Steps[0].RequiredLabel = "a"

	oneRack := newRequest(4, 4000)
	oneRack.Steps[0].SameRack = true

	wide := newRequest(60, 4000) // exceeds the capacity of the fleet

	cases := []struct {
		name    string
		request workload.Request
		within  time.Duration
	}{
		{"one step", newRequest(3, 1000), 2 * time.Second},
		{"a chain of steps", chain, 5 * time.Second},
		{"a gang", gang, 2 * time.Second},
		{"spread over workers", spread, 2 * time.Second},
		{"with a label", labelled, 2 * time.Second},
		{"in one rack", oneRack, 2 * time.Second},
		{"wider than the fleet", wide, 6 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 6, func(c *cell) {
				o := c.startOwner()
				if err := c.submit(o, "job", test.request, succeedAfter(time.Second)); err != nil {
					t.Fatal(err)
				}
				c.awaitState(o, "job", workload.Completed, test.within)
			})
		})
	}
}

func TestTicketsAreRequestedInAdvance(t *testing.T) {
	withCell(t, 9, func(c *cell) {
		c.queue.Advice = workload.AdvicePolicy{CallLatency: 5 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second}
		o := c.startOwner()
		if err := c.submit(o, "job", newRequest(40, 4000), succeedAfter(3*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 20*time.Second)
	})
}

func TestAcceptedJobIsStored(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if _, ok := c.store.Row(rowstore.Key{Table: "jobs", Partition: testShard, Name: "job"}); !ok {
			t.Error("accepted job has no row in the store")
		}
	})
}

func TestSubmitIsIdempotent(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		for range 3 {
			if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		c.awaitState(o, "job", workload.Completed, 3*time.Second)
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second)); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		if got := c.fleet.Starts(); got != 1 {
			t.Errorf("%d starts, want 1", got)
		}
	})
}

func TestAttemptLimit(t *testing.T) {
	fails := func(upTo int) func(workload.TaskID, int) fleettest.Plan {
		return func(_ workload.TaskID, attempt int) fleettest.Plan {
			if attempt <= upTo {
				return fleettest.Plan{Work: 100 * time.Millisecond, Outcome: fleet.Failed}
			}
			return fleettest.Plan{Work: 100 * time.Millisecond}
		}
	}
	gang := newRequest(4, 1000)
	gang.Steps[0].Gang = true
	cases := []struct {
		name    string
		request workload.Request
		failing int
		want    workload.State
	}{
		{"fewer than the attempts", newRequest(2, 1000), 2, workload.Completed},
		{"as many as the attempts", newRequest(2, 1000), 3, workload.Failed},
		{"of a gang, fewer", gang, 2, workload.Completed},
		{"of a gang, as many", gang, 3, workload.Failed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 3, func(c *cell) {
				o := c.startOwner()
				if err := c.submit(o, "job", test.request, fails(test.failing)); err != nil {
					t.Fatal(err)
				}
				c.awaitState(o, "job", test.want, 5*time.Second)
			})
		})
	}
}

func TestCancelStopsRunningAttempts(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		o := c.startOwner()
		if err := c.submit(o, "job", newRequest(10, 4000), succeedAfter(time.Minute)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if err := o.Cancel(c.ctx, "job"); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Cancelled, time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		if running := c.fleet.Running(); running != 0 {
			t.Errorf("%d attempts still running after the cancellation, want 0", running)
		}
		var notJob *scheduler.UnknownJobError
		if err := o.Cancel(c.ctx, "other"); !errors.As(err, &notJob) {
			t.Errorf("Cancel of an unknown job: got %v, want UnknownJobError", err)
		}
	})
}

func TestTaskResumesFromCheckpoint(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		request := newRequest(1, 1000)
		request.Steps[0].Checkpoints = true
		o := c.startOwner()
		if err := c.submit(o, "job", request, succeedAfter(8*time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		for _, w := range c.fleet.List() {
			c.fleet.Crash(w.ID)
		}
		c.fleet.Add(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w-9"}, Service: testService, Capacity: o.workerCapacity()})
		// The lease of the crashed worker expires first; then about 3 s of work remain.
		c.awaitState(o, "job", workload.Completed, 13*time.Second)
	})
}

func TestPendingCountsUnstartedJobs(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		for _, id := range []string{"a", "b", "c"} {
			if err := c.submit(o, id, newRequest(1, 16_000), succeedAfter(2*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(500 * time.Millisecond)
		if got, err := o.Pending(c.ctx, "diagnostics"); got != 2 || err != nil {
			t.Errorf("%d pending, %v; want 2, nil", got, err)
		}
		if got, err := o.Pending(c.ctx, "others"); got != 0 || err != nil {
			t.Errorf("%d pending in another queue, %v; want 0, nil", got, err)
		}
	})
}

func TestRoundsStartOnSchedule(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		request := newRequest(2, 1000)
		request.Rounds, request.Interval = 3, 2*time.Second
		request.FirstDue = time.Now().Add(time.Second).UnixMilli()
		o := c.startOwner()
		if err := c.submit(o, "job", request, succeedAfter(500*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		for _, want := range []int{0, 2, 4, 6} {
			time.Sleep(800 * time.Millisecond)
			if got := c.fleet.Starts(); got != want {
				t.Errorf("%d starts, want %d", got, want)
			}
			if want > 0 {
				time.Sleep(1200 * time.Millisecond)
			} else {
				time.Sleep(800 * time.Millisecond)
			}
		}
		c.awaitState(o, "job", workload.Completed, 2*time.Second)
	})
}

func TestLastingStepIsRestarted(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		request := newRequest(1, 1000)
		request.Steps[0].LongRunning = true
		o := c.startOwner()
		plan := func(workload.TaskID, int) fleettest.Plan {
			return fleettest.Plan{Work: time.Second, Outcome: fleet.Failed}
		}
		c.queue.MaxFailures = 1 << 20
		if err := c.submit(o, "job", request, plan); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if got := c.fleet.Starts(); got < 8 {
			t.Errorf("%d starts in 10 s, want 8 or more", got)
		}
		c.awaitState(o, "job", workload.Running, time.Second)
	})
}

func TestDrainingWorkerGetsNoStarts(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		o := c.startOwner()
		c.fleet.SetDraining("w-00")
		time.Sleep(time.Second)
		if err := c.submit(o, "job", newRequest(4, 4000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.fleet.SetFault(func(call fleettest.Call, worker string) fleettest.Fault {
			if call == fleettest.CallStart && worker == "w-00" {
				t.Error("start sent to a draining worker")
			}
			return fleettest.Fault{}
		})
		c.awaitState(o, "job", workload.Completed, 3*time.Second)
	})
}

func TestSubmitIsRefusedDuringStoreOutage(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		time.Sleep(3 * time.Second)
		begun := time.Now()
		err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second))
		var overloaded *scheduler.RejectedError
		if !errors.As(err, &overloaded) || overloaded.RetryAfter <= 0 {
			t.Errorf("got %v, want OverloadedError with RetryAfter", err)
		}
		if took := time.Since(begun); took > 10*time.Millisecond {
			t.Errorf("refused after %v, want 10ms at most", took)
		}
		o.caller.SetFault(nil)
		time.Sleep(3 * time.Second)
		if got := c.fleet.Starts(); got != 0 {
			t.Errorf("refused job has %d starts, want 0", got)
		}
	})
}

func TestSubmitTimeoutIsUnconfirmed(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropResponse: write, DropRequest: !write} })
		c.registerJob("job", newRequest(1, 1000), succeedAfter(time.Second))
		ctx, cancel := context.WithTimeout(c.ctx, 500*time.Millisecond)
		defer cancel()
		err := o.Submit(ctx, "job", workload.Record{Request: newRequest(1, 1000), Queue: c.queue, AcceptedAt: time.Now().UnixMilli()})
		var unconfirmed *scheduler.UnconfirmedError
		if !errors.As(err, &unconfirmed) {
			t.Errorf("got %v, want UnconfirmedError", err)
		}
	})
}

func TestFinalJobsExpire(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 3*time.Second)
		time.Sleep(100 * time.Second)
		c.awaitState(o, "job", workload.Completed, time.Millisecond)
		time.Sleep(time.Minute)
		var notJob *scheduler.UnknownJobError
		if _, err := o.State(c.ctx, "job"); !errors.As(err, &notJob) {
			t.Errorf("State after the retention time: got %v, want UnknownJobError", err)
		}
		if _, ok := c.store.Row(rowstore.Key{Table: "progress", Partition: testShard, Name: "job"}); ok {
			t.Error("progress row of the expired job is still in the store")
		}
	})
}

// Guards against data races between SetAdviceNodes and calls for advice.
func TestSetAdviceNodesDuringAdviceCalls(t *testing.T) {
	withCell(t, 9, func(c *cell) {
		c.queue.Advice = workload.AdvicePolicy{CallLatency: 5 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second}
		o := c.startOwner()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					o.SetAdviceNodes([]scheduler.AdviceNode{{Node: "node", Self: true, Advisor: c.fleet}})
				}
			}
		}()
		for _, id := range []string{"a", "b", "c", "d"} {
			if err := c.submit(o, id, newRequest(4, 1000), succeedAfter(100*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			c.awaitState(o, id, workload.Completed, 5*time.Second)
		}
		close(stop)
	})
}
