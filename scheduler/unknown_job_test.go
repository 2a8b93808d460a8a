package scheduler_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// An owner that has been replaced must not answer that there is no such job as its successor has accepted:
// the caller of a cancellation takes that as done, and the job keeps running.
func TestReplacedOwnerDoesNotDenyJobs(t *testing.T) {
	losses := []struct {
		name   string
		inject func(*cell, *owner) // before the successor takes the shard
	}{
		{"planned handover", holdCommits},
		{"store refuses calls", func(_ *cell, o *owner) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		}},
		{"store does not answer", func(_ *cell, o *owner) {
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		}},
		{"not yet noticed", func(*cell, *owner) {}},
	}
	calls := map[string]func(context.Context, *owner) error{
		"cancel": func(ctx context.Context, o *owner) error { return o.Scheduler.Cancel(ctx, "", "job") },
		"state": func(ctx context.Context, o *owner) error {
			_, err := o.Scheduler.State(ctx, "", "job")
			return err
		},
	}
	for _, loss := range losses {
		for name, call := range calls {
			t.Run(loss.name+", "+name, func(t *testing.T) {
				withCell(t, 2, func(c *cell) {
					former := c.startOwner()
					time.Sleep(time.Second)
					loss.inject(c, former)
					successor := c.startOwner()
					if err := c.submit(successor, "job", newRequest(1, 1000), succeedAfter(time.Second)); err != nil {
						t.Fatal(err)
					}
					ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
					defer cancel()
					var unknown *scheduler.UnknownJobError
					if err := call(ctx, former); errors.As(err, &unknown) {
						t.Errorf("former owner: %v, want no such answer: its successor has accepted the job", err)
					}
				})
			})
		}
	}
}

// holdCommits holds the owner's transactions for as long as a call to a successor may take.
func holdCommits(c *cell, o *owner) {
	release, err := o.HoldCommits(c.ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	time.AfterFunc(700*time.Millisecond, release)
}

// A cancellation that arrives before the submission of its job must keep the job from running, even if
// another node owns the shard by then. A node may still be retrying the submission.
func TestCancelBeforeSubmission(t *testing.T) {
	for name, next := range map[string]func(*cell, *owner) *owner{"same owner": keepOwner, "owner replaced": replaceOwner} {
		t.Run(name, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				wantError[*scheduler.UnknownJobError](t, "cancellation before the submission", o.Cancel(c.ctx, "job"))
				_, err := o.State(c.ctx, "job")
				wantError[*scheduler.UnknownJobError](t, "state before the submission", err)
				o = next(c, o)
				err = c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second))
				wantError[*scheduler.RejectedError](t, "submission after the cancellation", err)
				time.Sleep(3 * time.Second)
				if c.fleet.JobStarted("job") {
					t.Error("a task of the cancelled job has started")
				}
				_, err = o.State(c.ctx, "job")
				wantError[*scheduler.UnknownJobError](t, "state after the submission", err)
			})
		})
	}
}

// A cancellation that arrives before the submission of its job must not affect another account's job with
// the same ID.
func TestCancelBeforeSubmissionOfAnotherAccount(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1}, account.Terms{Name: "b", Weight: 1})
		time.Sleep(time.Second)
		wantError[*scheduler.UnknownJobError](t, "cancellation by account b", a.owner.Scheduler.Cancel(c.ctx, "b", "job"))
		a.replaceOwner()
		a.mustSubmit("a", "job", c.queue, newRequest(1, 1000), time.Second)
		wantError[*scheduler.UnknownJobError](t, "second cancellation by account b", a.owner.Scheduler.Cancel(c.ctx, "b", "job"))
		a.awaitState("a", "job", workload.Completed, 5*time.Second)
	})
}

// A replaced owner must not go on counting pending jobs from its memory: it lacks those that its successor
// has accepted.
func TestReplacedOwnerDoesNotCountPendingJobs(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		former := c.startOwner()
		time.Sleep(time.Second)
		former.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
		successor := c.startOwner()
		for _, id := range []string{"running", "waiting"} {
			if err := c.submit(successor, id, newRequest(1, 16_000), succeedAfter(time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		if got, err := former.Pending(c.ctx, c.queue.Name); err == nil {
			t.Errorf("former owner: %d pending, want an error: the count is over 2 s old", got)
		}
		if got, err := successor.Pending(c.ctx, c.queue.Name); got != 1 || err != nil {
			t.Errorf("successor: %d pending, %v; want 1, nil", got, err)
		}
		successor.kill()
		if got, err := successor.Pending(c.ctx, c.queue.Name); err == nil {
			t.Errorf("successor after its term: %d pending, want an error", got)
		}
	})
}
