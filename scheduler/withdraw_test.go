package scheduler_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// submitResult is the result of a Submit call and how long the call took.
type submitResult struct {
	err     error
	elapsed time.Duration
}

// submitAsync submits a job and delivers the result of the call on the returned channel.
func (c *cell) submitAsync(o *owner, id string, queue workload.Queue, request workload.Request) <-chan submitResult {
	answer := make(chan submitResult, 1)
	c.registerJob(id, request, succeedAfter(request.Steps[0].Estimate))
	record := workload.Record{Request: request, Queue: queue, AcceptedAt: time.Now().UnixMilli()}
	start := time.Now()
	go func() {
		err := o.Submit(c.ctx, id, record)
		answer <- submitResult{err, time.Since(start)}
	}()
	return answer
}

// lookupRequest returns a request for a short step without slack.
func lookupRequest() workload.Request { return withEstimate(newRequest(2, 1000), 640*time.Millisecond) }

// statementRequest returns a request for a longer step with slack.
func statementRequest() workload.Request {
	return withEstimate(newRequest(4, 1000), 3400*time.Millisecond)
}

func withEstimate(r workload.Request, estimate time.Duration) workload.Request {
	r.Steps[0].Estimate = estimate
	return r
}

// wantRejected fails the test unless a job was rejected as overload within a time limit.
func wantRejected(t *testing.T, what string, got submitResult, limit time.Duration) {
	t.Helper()
	var overloaded *scheduler.RejectedError
	if !errors.As(got.err, &overloaded) || overloaded.RetryAfter <= 0 {
		t.Errorf("%s: got %v, want OverloadedError with RetryAfter", what, got.err)
	}
	if got.elapsed > limit {
		t.Errorf("%s: rejected after %v, want at most %v", what, got.elapsed, limit)
	}
}

// While the store is down, jobs that were not sent to it and can no longer meet their deadline are
// rejected, and may be submitted again. Jobs with slack are kept and run once the store is back.
func TestUnsentJobsRejectedDuringOutage(t *testing.T) {
	withCell(t, 8, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{Reject: true} })
		time.Sleep(300 * time.Millisecond) // the pending transaction then holds only the owner's row
		first := c.submitAsync(o, "lookup", lookups, lookupRequest())
		again := c.submitAsync(o, "lookup", lookups, lookupRequest())
		late := c.submitAsync(o, "statement", statements, statementRequest())
		wantRejected(t, "a lookup", <-first, 700*time.Millisecond)
		wantRejected(t, "the same lookup, submitted twice", <-again, 700*time.Millisecond)
		wantError[*scheduler.UnconfirmedError](t, "a statement", (<-late).err)
		if _, err := o.State(c.ctx, "lookup"); err == nil {
			t.Error("State of a rejected job: got no error, want one")
		}
		time.Sleep(2 * time.Second)
		o.caller.SetFault(nil)
		c.awaitState(o, "statement", workload.Completed, 8*time.Second)
		if got := c.fleet.Starts(); got != statementRequest().Steps[0].Count {
			t.Errorf("%d attempts started, want the %d of the statement", got, statementRequest().Steps[0].Count)
		}
		if got := <-c.submitAsync(o, "lookup", lookups, lookupRequest()); got.err != nil {
			t.Errorf("submitting the lookup again after the outage: %v", got.err)
		}
		c.awaitState(o, "lookup", workload.Completed, 2*time.Second)
	})
}

// A job in a transaction whose response was lost may be stored: it is not rejected, and runs once
// it is found in the store.
func TestSentJobNotRejected(t *testing.T) {
	withCell(t, 8, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropResponse: write, DropRequest: !write} })
		answer := c.submitAsync(o, "lookup", lookups, lookupRequest())
		wantError[*scheduler.UnconfirmedError](t, "a lookup that was sent", (<-answer).err)
		o.caller.SetFault(nil)
		c.awaitState(o, "lookup", workload.Completed, 5*time.Second)
	})
}

// A job that was rejected during a store outage never runs, and all other jobs complete.
func TestRejectedJobsDoNotRun(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		for _, fault := range []memory.Fault{{Reject: true}, {DropRequest: true}, {DropResponse: true}} {
			t.Run(fmt.Sprintf("%v %+v", outage, fault), func(t *testing.T) {
				withCell(t, 12, func(c *cell) { runOutage(c, outage, fault) })
			})
		}
	}
}

func runOutage(c *cell, outage time.Duration, fault memory.Fault) {
	o := c.startOwner()
	time.Sleep(time.Second)
	answers := map[string]<-chan submitResult{}
	submit := func(id string) {
		if len(answers)%3 == 0 {
			answers[id] = c.submitAsync(o, id, statements, statementRequest())
			return
		}
		answers[id] = c.submitAsync(o, id, lookups, lookupRequest())
	}
	start := time.Now()
	for i := range 60 {
		if since := time.Since(start); since > 200*time.Millisecond && since < 200*time.Millisecond+outage {
			o.caller.SetFault(func(bool) memory.Fault { return fault })
		} else {
			o.caller.SetFault(nil)
		}
		submit(fmt.Sprintf("job-%02d", i))
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(outage)
	o.caller.SetFault(nil)
	accepted := 0
	for id, answer := range answers {
		var overloaded *scheduler.RejectedError
		if got := <-answer; !errors.As(got.err, &overloaded) {
			accepted++
			c.awaitState(o, id, workload.Completed, 40*time.Second)
		} else if _, err := o.State(c.ctx, id); err == nil || c.fleet.JobStarted(id) {
			c.t.Errorf("job %s was rejected but is known or has started (State error %v, started %v)", id, err, c.fleet.JobStarted(id))
		}
	}
	c.t.Logf("%d of %d jobs were accepted", accepted, len(answers))
}

// Guards against a withdrawn job that a transaction includes: it would run although its submission was rejected. The
// jobs are placed in memory before the transaction is sent, and its response is lost.
func TestWithdrawnJobsAreInNoTransaction(t *testing.T) {
	cases := []struct {
		name      string
		jobs      int
		specBytes int
		// unsent is set if the jobs do not all fit into the transaction.
		unsent bool
	}{
		{"a row of its own", 1, 10, false},
		{"rows of their own, two transactions", 60, 10, true},
		{"bundled", 80, 10, false},
		{"bundled, two transactions", 200, 4000, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 8, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				release, err := o.HoldCommits(c.ctx)
				if err != nil {
					t.Fatal(err)
				}
				request := lookupRequest()
				request.Spec = strings.Repeat("x", test.specBytes)
				answers := map[string]<-chan submitResult{}
				for i := range test.jobs {
					id := fmt.Sprintf("job-%03d", i)
					answers[id] = c.submitAsync(o, id, lookups, request)
				}
				time.Sleep(50 * time.Millisecond)
				o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropResponse: write, DropRequest: !write} })
				release()
				rejected := map[string]bool{}
				for id, answer := range answers {
					var overloaded *scheduler.RejectedError
					rejected[id] = errors.As((<-answer).err, &overloaded)
				}
				successor := c.startOwner()
				c.checkRejected(successor, rejected, test.unsent)
			})
		})
	}
}

// checkRejected fails the test unless jobs are unknown to an owner exactly if they were rejected, and the others
// complete. Some must have been rejected if wantSome is set, and some not.
func (c *cell) checkRejected(o *owner, rejected map[string]bool, wantSome bool) {
	c.t.Helper()
	count := 0
	for id := range rejected {
		if !rejected[id] {
			c.awaitState(o, id, workload.Completed, 30*time.Second)
			continue
		}
		count++
		_, err := o.State(c.ctx, id)
		wantError[*scheduler.UnknownJobError](c.t, "state of rejected job "+id, err)
		if c.fleet.JobStarted(id) {
			c.t.Errorf("job %s was rejected but a task of it has started", id)
		}
	}
	if (count > 0) != wantSome || count == len(rejected) {
		c.t.Errorf("%d of %d jobs were rejected, want some: %v", count, len(rejected), wantSome)
	}
}
