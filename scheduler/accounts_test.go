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

// accountCell is a cell with client accounts and the owner that enforces their terms.
type accountCell struct {
	*cell
	mu    sync.Mutex // guards owner, which replaceOwner changes while jobs are submitted
	owner *owner
	terms map[string]account.Terms
}

func (a *accountCell) currentOwner() *owner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owner
}

func (c *cell) withAccounts(terms ...account.Terms) *accountCell {
	a := &accountCell{cell: c, owner: c.startOwner(), terms: map[string]account.Terms{}}
	for _, t := range terms {
		a.setTerms(t)
	}
	return a
}

// setTerms changes an account's terms and applies them to the owner and to the quota checks.
func (a *accountCell) setTerms(terms account.Terms) {
	a.terms[terms.Name] = terms
	a.fleet.SetQuota(terms.Name, terms.Quota)
	a.applyTerms()
}

// applyTerms passes the current accounts to the owner.
func (a *accountCell) applyTerms() {
	var list []account.Account
	for _, terms := range a.terms {
		list = append(list, account.Account{Terms: terms})
	}
	a.owner.SetAccounts(account.NewDirectory(list))
}

// replaceOwner kills the owner and starts its successor.
func (a *accountCell) replaceOwner() {
	a.owner.kill()
	next := a.startOwner()
	a.mu.Lock()
	a.owner = next
	a.mu.Unlock()
	a.applyTerms()
}

// submit submits a job for an account.
func (a *accountCell) submit(name, id string, queue workload.Queue, request workload.Request, work time.Duration) error {
	a.fleet.RegisterJob(id, fleettest.JobSpec{
		Request: request, MaxFailures: queue.MaxFailures, NeedsTicket: queue.Advice.Enabled(), Account: name,
		Plan: func(workload.TaskID, int) fleettest.Plan { return fleettest.Plan{Work: work} },
	})
	record := workload.Record{Request: request, Queue: queue, AcceptedAt: time.Now().UnixMilli(), Account: a.terms[name]}
	return a.currentOwner().Submit(a.ctx, id, record)
}

func (a *accountCell) mustSubmit(name, id string, queue workload.Queue, request workload.Request, work time.Duration) {
	a.t.Helper()
	if err := a.submit(name, id, queue, request, work); err != nil {
		a.t.Fatal(err)
	}
}

// awaitState waits until a job of an account reaches a state.
func (a *accountCell) awaitState(name, id string, want workload.State, within time.Duration) {
	a.t.Helper()
	state, err := workload.State(""), error(nil)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state, err = a.currentOwner().Scheduler.State(a.ctx, name, id); state == want {
			return
		}
	}
	a.t.Errorf("job %s is %q (%v) after %v, want %q", id, state, err, within, want)
}

// awaitFinal waits until a job of an account reaches a final state.
func (a *accountCell) awaitFinal(name, id string, within time.Duration) {
	a.t.Helper()
	state := workload.State("")
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if state, _ = a.currentOwner().Scheduler.State(a.ctx, name, id); state.Final() {
			return
		}
	}
	a.t.Errorf("job %s of account %s is %q after %v, want a final state", id, name, state, within)
}

func cpuQuota(cpu resource.MilliCPU) account.Quota { return account.Quota{CPU: cpu} }

// countingAdvisor counts the calls to an advisor.
type countingAdvisor struct {
	fleet.Advisor
	calls atomic.Int64
}

func (a *countingAdvisor) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	a.calls.Add(1)
	return a.Advisor.Advise(ctx, step, workers)
}

// A job is not visible to other accounts, and they cannot reuse its ID.
func TestJobAccessByOtherAccounts(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1}, account.Terms{Name: "b", Weight: 1})
		a.mustSubmit("a", "job", c.queue, newRequest(1, 1_000), time.Second)
		a.mustSubmit("", "open", c.queue, newRequest(1, 1_000), time.Second)
		a.checkOwnership("running")
		a.replaceOwner()
		a.checkOwnership("after a takeover")
		a.awaitState("a", "job", workload.Completed, 5*time.Second)
		a.checkOwnership("completed")
		time.Sleep(time.Second)
		a.replaceOwner()
		a.checkOwnership("completed, after a takeover")
	})
}

// checkOwnership checks access of accounts a and b to a's job and to one without an account.
func (a *accountCell) checkOwnership(stage string) {
	a.t.Helper()
	_, err := a.owner.Scheduler.State(a.ctx, "b", "job")
	wantError[*scheduler.UnknownJobError](a.t, stage+": State by another account", err)
	err = a.owner.Scheduler.Cancel(a.ctx, "b", "job")
	wantError[*scheduler.UnknownJobError](a.t, stage+": Cancel by another account", err)
	err = a.submit("b", "job", a.queue, newRequest(1, 1_000), time.Second)
	wantError[*scheduler.RejectedError](a.t, stage+": Submit of the same ID by another account", err)
	if err := a.submit("a", "job", a.queue, newRequest(1, 1_000), time.Second); err != nil {
		a.t.Errorf("%s: Submit of the same job again: %v", stage, err)
	}
	if _, err := a.owner.Scheduler.State(a.ctx, "b", "open"); err != nil {
		a.t.Errorf("%s: State of a job without an account: %v", stage, err)
	}
}

// AccountUsage reports the usage of each account and the jobs held back or refused by its quota.
func TestAccountUsage(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(8_000)}, account.Terms{Name: "b", Weight: 1})
		a.mustSubmit("a", "wide", c.queue, newRequest(4, 4_000), 2*time.Second)
		a.mustSubmit("a", "later", c.queue, newRequest(1, 4_000), time.Second)
		a.mustSubmit("b", "beside", c.queue, newRequest(1, 1_000), 2*time.Second)
		err := a.submit("a", "never", c.queue, newGangRequest(4, 4_000), time.Second)
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

// A job whose account is removed from the configuration keeps the terms it was submitted with.
func TestAccountRemovedWhileJobsRun(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(4_000)})
		a.mustSubmit("a", "job", c.queue, newRequest(3, 4_000), time.Second)
		delete(a.terms, "a")
		a.applyTerms()
		time.Sleep(500 * time.Millisecond)
		a.replaceOwner()
		a.awaitState("a", "job", workload.Completed, 10*time.Second)
		if most := c.fleet.PeakUsage("a"); most.CPU != 4_000 {
			t.Errorf("peak CPU usage of account a is %v, want 4", most.CPU)
		}
	})
}
