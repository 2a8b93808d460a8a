package scheduler_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/scheduler"
	"chutereach/workload"
)

// accounts are client accounts of a test, and the owner that goes by them.
type accounts struct {
	*cell
	mu    sync.Mutex // guards owner, which succeed replaces while jobs are handed in
	owner *owner
	terms map[string]account.Terms
}

// current returns the owner of the moment.
func (a *accounts) current() *owner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owner
}

func (c *cell) accounts(terms ...account.Terms) *accounts {
	a := &accounts{cell: c, owner: c.rule(), terms: map[string]account.Terms{}}
	for _, t := range terms {
		a.set(t)
	}
	return a
}

// set puts an account's terms into force.
func (a *accounts) set(terms account.Terms) {
	a.terms[terms.Name] = terms
	a.fleet.SetQuota(terms.Name, terms.Quota)
	a.tell()
}

// tell has the owner go by the accounts as they are.
func (a *accounts) tell() {
	var list []account.Account
	for _, terms := range a.terms {
		list = append(list, account.Account{Terms: terms})
	}
	a.owner.SetAccounts(account.NewDirectory(list))
}

// succeed ends the owner's term, as a kill does, and makes a new owner.
func (a *accounts) succeed() {
	a.owner.kill()
	next := a.rule()
	a.mu.Lock()
	a.owner = next
	a.mu.Unlock()
	a.tell()
}

// submit hands a job in for an account.
func (a *accounts) submit(name, id string, queue workload.Queue, request workload.Request, work time.Duration) error {
	a.fleet.Know(id, fleettest.Kind{
		Request: request, Attempts: queue.Attempts, Advised: queue.Advice.Needed(), Account: name,
		Plan: func(workload.TaskID, int) fleettest.Plan { return fleettest.Plan{Work: work} },
	})
	record := workload.Record{Request: request, Queue: queue, Accepted: time.Now().UnixMilli(), Account: a.terms[name]}
	return a.current().Submit(a.ctx, id, record)
}

func (a *accounts) mustSubmit(name, id string, queue workload.Queue, request workload.Request, work time.Duration) {
	a.t.Helper()
	if err := a.submit(name, id, queue, request, work); err != nil {
		a.t.Fatal(err)
	}
}

// awaitFor waits until a job of an account is in a state.
func (a *accounts) awaitFor(name, id string, want workload.State, within time.Duration) {
	a.t.Helper()
	state, err := workload.State(""), error(nil)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state, err = a.current().Scheduler.State(a.ctx, name, id); state == want {
			return
		}
	}
	a.t.Errorf("job %s is %q (%v) after %v, want %q", id, state, err, within, want)
}

// awaitFinal waits until a job of an account is final.
func (a *accounts) awaitFinal(name, id string, within time.Duration) {
	a.t.Helper()
	state := workload.State("")
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if state, _ = a.current().Scheduler.State(a.ctx, name, id); state.Final() {
			return
		}
	}
	a.t.Errorf("job %s of account %s is %q after %v", id, name, state, within)
}

func quotaOf(cpu resource.MilliCPU) account.Quota { return account.Quota{CPU: cpu} }

// countingAdvisor counts calls.
type countingAdvisor struct {
	fleet.Advisor
	calls atomic.Int64
}

func (a *countingAdvisor) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	a.calls.Add(1)
	return a.Advisor.Advise(ctx, step, workers)
}

// To callers of another account a job is not there, and they cannot take its id.
func TestJobsOfOtherAccounts(t *testing.T) {
	inCell(t, 2, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1}, account.Terms{Name: "b", Weight: 1})
		a.mustSubmit("a", "job", c.queue, jobOf(1, 1_000), time.Second)
		a.mustSubmit("", "open", c.queue, jobOf(1, 1_000), time.Second)
		a.checkOwnership("under way")
		a.succeed()
		a.checkOwnership("after a takeover")
		a.awaitFor("a", "job", workload.Completed, 5*time.Second)
		a.checkOwnership("completed")
		time.Sleep(time.Second)
		a.succeed()
		a.checkOwnership("completed, after a takeover")
	})
}

// checkOwnership looks at what callers of accounts a and b can do with a's job and an open one.
func (a *accounts) checkOwnership(stage string) {
	a.t.Helper()
	_, err := a.owner.Scheduler.State(a.ctx, "b", "job")
	wantError[*scheduler.NotJobError](a.t, stage+": its state for another account", err)
	err = a.owner.Scheduler.Cancel(a.ctx, "b", "job")
	wantError[*scheduler.NotJobError](a.t, stage+": its cancelling by another account", err)
	err = a.submit("b", "job", a.queue, jobOf(1, 1_000), time.Second)
	wantError[*scheduler.OverloadedError](a.t, stage+": another account's job of the same id", err)
	if err := a.submit("a", "job", a.queue, jobOf(1, 1_000), time.Second); err != nil {
		a.t.Errorf("%s: the same job again: %v", stage, err)
	}
	if _, err := a.owner.Scheduler.State(a.ctx, "b", "open"); err != nil {
		a.t.Errorf("%s: a job without an account: %v", stage, err)
	}
}

// Metrics tell which account is at its quota, and what waits for that.
func TestUsageOfAccounts(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(8_000)}, account.Terms{Name: "b", Weight: 1})
		a.mustSubmit("a", "wide", c.queue, jobOf(4, 4_000), 2*time.Second)
		a.mustSubmit("a", "later", c.queue, jobOf(1, 4_000), time.Second)
		a.mustSubmit("b", "beside", c.queue, jobOf(1, 1_000), 2*time.Second)
		err := a.submit("a", "never", c.queue, gangOf(4, 4_000), time.Second)
		wantError[*scheduler.QuotaError](t, "a gang that does not fit", err)
		time.Sleep(500 * time.Millisecond)
		got := a.owner.AccountUsage()
		want := []scheduler.AccountUsage{
			{Account: "a", Used: "8 cpu 2.0 GiB", Quota: "8 cpu 0 B", Waiting: 1, Held: 2, Refused: 1},
			{Account: "b", Used: "1 cpu 1.0 GiB", Quota: "0 cpu 0 B"},
		}
		if !slices.Equal(got, want) {
			t.Errorf("usage %+v, want %+v", got, want)
		}
	})
}

// A job whose account is gone from the configuration runs on, on the terms that it came with.
func TestAnAccountGoesWhileItsJobsRun(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(4_000)})
		a.mustSubmit("a", "job", c.queue, jobOf(3, 4_000), time.Second)
		delete(a.terms, "a")
		a.tell()
		time.Sleep(500 * time.Millisecond)
		a.succeed()
		a.awaitFor("a", "job", workload.Completed, 10*time.Second)
		if most := c.fleet.MostUsed("a"); most.CPU != 4_000 {
			t.Errorf("it had %v running at the most, want 4", most.CPU)
		}
	})
}
