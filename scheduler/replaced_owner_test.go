package scheduler_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// Guards against a false rejection: a submission that is answered with a RejectedError or a QuotaError must not run,
// but the successor of the owner that rejects it may have accepted the job from an earlier try of its caller.
func TestReplacedOwnerDoesNotRejectAcceptedJobs(t *testing.T) {
	t.Run("store refuses calls", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			former := c.startOwner()
			time.Sleep(time.Second)
			former.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
			time.Sleep(1500 * time.Millisecond)
			successor := c.startOwner()
			request := newRequest(1, 1000)
			if err := c.submit(successor, "job", request, succeedAfter(time.Second)); err != nil {
				t.Fatal(err)
			}
			wantNoRejection(t, c.submit(former, "job", request, succeedAfter(time.Second)))
		})
	})
	t.Run("quota raised", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(1000)})
			former := a.owner
			time.Sleep(time.Second)
			a.owner = c.startOwner()
			a.setTerms(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(8000)})
			request := newGangRequest(2, 1000)
			a.mustSubmit("a", "job", c.queue, request, time.Second)
			a.owner = former
			wantNoRejection(t, a.submit("a", "job", c.queue, request, time.Second))
		})
	})
	t.Run("cancellation not stored", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			former := c.startOwner()
			time.Sleep(time.Second)
			holdCommits(c, former)
			successor := c.startOwner()
			request := newRequest(1, 1000)
			if err := c.submit(successor, "job", request, succeedAfter(time.Second)); err != nil {
				t.Fatal(err)
			}
			go former.Cancel(c.ctx, "job")
			time.Sleep(50 * time.Millisecond)
			wantNoRejection(t, c.submit(former, "job", request, succeedAfter(time.Second)))
		})
	})
}

// Guards against the same false rejection for each way in which the store may fail an owner, each reason to reject a
// submission, and each time since the failure began.
func TestReplacedOwnerWithoutStoreDoesNotRejectAcceptedJobs(t *testing.T) {
	faults := map[string]memory.Fault{
		"store refuses calls":      {Reject: true},
		"store drops requests":     {DropRequest: true},
		"store answers very late":  {Delay: 5 * time.Second, ResponseDelay: 5 * time.Second},
		"store answers a bit late": {Delay: 900 * time.Millisecond},
	}
	reasons := map[string]func(a *accountCell, former *owner, fail func()) error{
		"store is down":       submitRepeated(workload.Queue{}, newRequest(1, 1000)),
		"job is withdrawn":    submitRepeated(lookups, lookupRequest()),
		"quota was raised":    submitOverOldQuota,
		"id belongs to other": submitReusedID,
	}
	for _, failing := range []time.Duration{0, 300 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		for fault, injected := range faults {
			for reason, submit := range reasons {
				t.Run(fmt.Sprintf("%s, %s for %v", reason, fault, failing), func(t *testing.T) {
					withCell(t, 2, func(c *cell) {
						a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(1000)}, account.Terms{Name: "b", Weight: 1})
						former := a.owner
						time.Sleep(time.Second)
						wantNoRejection(t, submit(a, former, func() {
							former.caller.SetFault(func(bool) memory.Fault { return injected })
							time.Sleep(failing)
							a.owner = c.startOwner()
							a.applyTerms()
						}))
					})
				})
			}
		}
	}
}

// submitRepeated returns a function that submits a job to the successor of an owner, which fail starts, and then to
// the owner.
func submitRepeated(queue workload.Queue, request workload.Request) func(*accountCell, *owner, func()) error {
	return func(a *accountCell, former *owner, fail func()) error {
		fail()
		if queue.Name == "" {
			queue = a.queue
		}
		a.mustSubmit("b", "job", queue, request, time.Second)
		a.owner = former
		return a.submit("b", "job", queue, request, time.Second)
	}
}

// submitOverOldQuota submits a job that only the quota known to the successor allows.
func submitOverOldQuota(a *accountCell, former *owner, fail func()) error {
	fail()
	a.setTerms(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(8000)})
	request := newGangRequest(2, 1000)
	a.mustSubmit("a", "job", a.queue, request, time.Second)
	a.owner = former
	return a.submit("a", "job", a.queue, request, time.Second)
}

// submitReusedID submits a job under the ID of another account's job, which the successor has already forgotten.
func submitReusedID(a *accountCell, former *owner, fail func()) error {
	a.mustSubmit("a", "job", a.queue, newRequest(1, 1000), time.Second)
	a.awaitState("a", "job", workload.Completed, 5*time.Second)
	fail()
	time.Sleep(keepFinal + 5*time.Second)
	a.mustSubmit("b", "job", a.queue, newRequest(1, 1000), time.Second)
	a.owner = former
	return a.submit("b", "job", a.queue, newRequest(1, 1000), time.Second)
}

// wantNoRejection fails the test if a submission is answered as one that will not run.
func wantNoRejection(t *testing.T, err error) {
	t.Helper()
	var rejected *scheduler.RejectedError
	var overQuota *scheduler.QuotaError
	if errors.As(err, &rejected) || errors.As(err, &overQuota) {
		t.Errorf("former owner: %v, want no rejection: its successor has accepted the job", err)
	}
}

// Guards against an unknown outcome for a call that has changed nothing: if the term ends while the rejection of a
// submission or an unknown job is being confirmed, the call can be made at the successor as if it were the first.
func TestUnconfirmedAnswerIsNotAnUnknownOutcome(t *testing.T) {
	calls := map[string]func(*accountCell) error{
		"rejection": func(a *accountCell) error {
			return a.submit("a", "job", a.queue, newGangRequest(2, 1000), time.Second)
		},
		"unknown job": func(a *accountCell) error {
			_, err := a.owner.State(a.ctx, "other")
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(1000)})
				time.Sleep(time.Second)
				holdCommits(c, a.owner)
				c.startOwner()
				wantError[*scheduler.DeposedError](t, name, call(a))
			})
		})
	}
}
