package scheduler_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// told is what a caller is told of a job that was handed in, and when.
type told struct {
	err   error
	after time.Duration
}

// handIn hands a job in as the test's caller, and tells what became of the call.
func (c *cell) handIn(o *owner, id string, queue workload.Queue, request workload.Request) <-chan told {
	answer := make(chan told, 1)
	c.know(id, request, work(request.Steps[0].Estimate))
	record := workload.Record{Request: request, Queue: queue, Accepted: time.Now().UnixMilli()}
	begun := time.Now()
	go func() {
		err := o.Submit(c.ctx, id, record)
		answer <- told{err, time.Since(begun)}
	}()
	return answer
}

// lookup returns a request that must begin at once, and statement one that has time.
func lookup() workload.Request { return estimated(jobOf(2, 1000), 640*time.Millisecond) }

func statement() workload.Request { return estimated(jobOf(4, 1000), 3400*time.Millisecond) }

func estimated(r workload.Request, estimate time.Duration) workload.Request {
	r.Steps[0].Estimate = estimate
	return r
}

// wantNotTaken fails the test unless a caller was told within a time that its job was not taken.
func wantNotTaken(t *testing.T, what string, got told, within time.Duration) {
	t.Helper()
	var overloaded *scheduler.OverloadedError
	if !errors.As(got.err, &overloaded) || overloaded.RetryAfter <= 0 {
		t.Errorf("%s: told %v, want when to come back", what, got.err)
	}
	if got.after > within {
		t.Errorf("%s: told after %v, want %v at most", what, got.after, within)
	}
}

// While the store is down, what has not been sent to it and can no longer be in time is given
// back: its caller is told that it was not taken, which is true, and it may come again. What
// has time is kept, and runs when the store is back.
func TestHopelessJobsAreGivenBackInAnOutage(t *testing.T) {
	inCell(t, 8, func(c *cell) {
		o := c.rule()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{Refuse: true} })
		time.Sleep(300 * time.Millisecond) // the transaction under way is the owner's alone
		first := c.handIn(o, "lookup", lookups, lookup())
		again := c.handIn(o, "lookup", lookups, lookup())
		late := c.handIn(o, "statement", statements, statement())
		wantNotTaken(t, "a lookup", <-first, 700*time.Millisecond)
		wantNotTaken(t, "the same lookup, handed in twice", <-again, 700*time.Millisecond)
		wantError[*scheduler.UnconfirmedError](t, "a statement", (<-late).err)
		if _, err := o.State(c.ctx, "lookup"); err == nil {
			t.Error("a job that was given back has a state")
		}
		time.Sleep(2 * time.Second)
		o.caller.SetFault(nil)
		c.await(o, "statement", workload.Completed, 8*time.Second)
		if got := c.fleet.Starts(); got != statement().Steps[0].Count {
			t.Errorf("%d starts, want those of the statement only", got)
		}
		if got := <-c.handIn(o, "lookup", lookups, lookup()); got.err != nil {
			t.Errorf("handed in again after the outage: %v", got.err)
		}
		c.await(o, "lookup", workload.Completed, 2*time.Second)
	})
}

// A job that a transaction holds whose answer is lost may have been taken: it is never given
// back, and runs once it turns out to be in the store.
func TestWhatMayBeInTheStoreIsNotGivenBack(t *testing.T) {
	inCell(t, 8, func(c *cell) {
		o := c.rule()
		time.Sleep(time.Second)
		o.caller.SetFault(func(write bool) memory.Fault { return memory.Fault{Mute: write, Silent: !write} })
		answer := c.handIn(o, "lookup", lookups, lookup())
		wantError[*scheduler.UnconfirmedError](t, "a lookup that was sent", (<-answer).err)
		o.caller.SetFault(nil)
		c.await(o, "lookup", workload.Completed, 5*time.Second)
	})
}

// Outages of any length, at any moment of many arrivals: what was told not to have been taken
// never runs, and all else does.
func TestNotTakenIsTrueInOutages(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		for _, fault := range []memory.Fault{{Refuse: true}, {Silent: true}, {Mute: true}} {
			t.Run(fmt.Sprintf("%v %+v", outage, fault), func(t *testing.T) {
				inCell(t, 12, func(c *cell) { playOutage(c, outage, fault) })
			})
		}
	}
}

func playOutage(c *cell, outage time.Duration, fault memory.Fault) {
	o := c.rule()
	time.Sleep(time.Second)
	answers := map[string]<-chan told{}
	hand := func(id string) {
		if len(answers)%3 == 0 {
			answers[id] = c.handIn(o, id, statements, statement())
			return
		}
		answers[id] = c.handIn(o, id, lookups, lookup())
	}
	begun := time.Now()
	for i := range 60 {
		if since := time.Since(begun); since > 200*time.Millisecond && since < 200*time.Millisecond+outage {
			o.caller.SetFault(func(bool) memory.Fault { return fault })
		} else {
			o.caller.SetFault(nil)
		}
		hand(fmt.Sprintf("job-%02d", i))
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(outage)
	o.caller.SetFault(nil)
	taken := 0
	for id, answer := range answers {
		var overloaded *scheduler.OverloadedError
		if got := <-answer; !errors.As(got.err, &overloaded) {
			taken++
			c.await(o, id, workload.Completed, 40*time.Second)
		} else if _, err := o.State(c.ctx, id); err == nil || c.fleet.Began(id) {
			c.t.Errorf("job %s is there or has begun, and its caller was told that it was not taken", id)
		}
	}
	c.t.Logf("%d of %d jobs were taken", taken, len(answers))
}
