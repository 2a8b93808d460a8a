package scheduler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// wantError fails the test if an error has no E in its chain.
func wantError[E error](t testing.TB, what string, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("%s: got error %v, want %T", what, err, want)
	}
}

// A step wider than its account's quota runs in batches within it and does not delay other accounts.
func TestWideStepRunsWithinQuota(t *testing.T) {
	for _, sameRack := range []bool{false, true} {
		t.Run(fmt.Sprintf("same rack %v", sameRack), func(t *testing.T) {
			withCell(t, 4, func(c *cell) {
				a := c.withAccounts(account.Terms{Name: "small", Weight: 1, Quota: cpuQuota(8_000)}, account.Terms{Name: "other", Weight: 1})
				wide := newRequest(6, 4_000)
				wide.Steps[0].SameRack = sameRack
				a.mustSubmit("small", "wide", c.queue, wide, time.Second)
				a.mustSubmit("other", "beside", c.queue, newRequest(8, 4_000), time.Second)
				a.awaitState("other", "beside", workload.Completed, 3*time.Second)
				a.awaitState("small", "wide", workload.Completed, 6*time.Second)
				if most := c.fleet.PeakUsage("small"); most.CPU != 8_000 {
					t.Errorf("peak CPU usage of account small is %v, want 8", most.CPU)
				}
			})
		})
	}
}

// A request that can never run within its account's quota is rejected by Submit.
func TestRequestExceedingQuotaRejected(t *testing.T) {
	cases := []struct {
		name     string
		quota    account.Quota
		request  workload.Request
		accepted bool
	}{
		{"no quota", account.Quota{}, newGangRequest(4, 8_000), true},
		{"gang within the quota", cpuQuota(32_000), newGangRequest(4, 8_000), true},
		{"gang over the quota", cpuQuota(31_999), newGangRequest(4, 8_000), false},
		{"step wider than the quota", cpuQuota(8_000), newRequest(4, 8_000), true},
		{"task over the quota", cpuQuota(7_999), newRequest(1, 8_000), false},
		{"memory over the quota", account.Quota{Memory: gigabyte - 1}, newRequest(1, 8_000), false},
		{"quota of nothing", cpuQuota(-1), newRequest(1, 1), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 4, func(c *cell) {
				a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: test.quota})
				err := a.submit("a", "job", c.queue, test.request, time.Second)
				if test.accepted {
					if err != nil {
						t.Error(err)
					}
					return
				}
				wantError[*scheduler.QuotaError](t, "Submit", err)
				_, err = a.owner.Scheduler.State(c.ctx, "a", "job")
				wantError[*scheduler.UnknownJobError](t, "State", err)
			})
		})
	}
}

// A quota lowered below the current usage only blocks new starts. A raised quota takes effect at
// once.
func TestQuotaChange(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(16_000)})
		a.mustSubmit("a", "first", c.queue, newRequest(4, 4_000), 3*time.Second)
		c.awaitStarts(4, time.Second)
		a.setTerms(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(4_000)})
		a.mustSubmit("a", "second", c.queue, newRequest(2, 4_000), time.Second)
		time.Sleep(time.Second)
		if used := c.fleet.AccountUsage("a"); used.CPU != 16_000 {
			t.Errorf("CPU usage after the quota was lowered is %v, want 16", used.CPU)
		}
		a.setTerms(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(24_000)})
		c.awaitStarts(6, time.Second)
		a.awaitState("a", "first", workload.Completed, 5*time.Second)
		a.awaitState("a", "second", workload.Completed, 5*time.Second)
	})
}

// An urgent job of an account at its quota preempts batch tasks of the same account only, even if
// the workers have free capacity.
func TestPreemptionAtQuota(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(16_000)}, account.Terms{Name: "b", Weight: 1})
		batch := workload.Queue{Name: "claims", Service: testService, Priority: 2, MaxFailures: 3, ObjectiveFactor: 5, ObjectiveOffset: 20 * time.Second}
		filler := workload.Request{Spec: "f", Steps: []workload.Step{{
			Count: 4, Need: resource.Amount{CPU: 4_000, Memory: gigabyte}, Estimate: 6 * time.Second, Checkpoints: true,
		}}}
		a.mustSubmit("a", "batch-a", batch, filler, 6*time.Second)
		a.mustSubmit("b", "batch-b", batch, filler, 6*time.Second)
		c.awaitStarts(8, time.Second)
		time.Sleep(500 * time.Millisecond)
		lookups := workload.Queue{Name: "lookups", Service: testService, Priority: 0, MaxFailures: 3, ObjectiveFactor: 2, ObjectiveOffset: time.Second}
		a.mustSubmit("a", "urgent", lookups, newRequest(1, 4_000), time.Second)
		a.awaitState("a", "urgent", workload.Completed, 2500*time.Millisecond)
		if used := c.fleet.AccountUsage("b"); used.CPU != 16_000 {
			t.Errorf("CPU usage of account b is %v, want 16", used.CPU)
		}
		a.awaitState("a", "batch-a", workload.Completed, 15*time.Second)
	})
}

// No advice is requested for jobs of an account at its quota. Their tickets would expire unused.
func TestNoAdviceCallsAtQuota(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(4_000)})
		advisor := &countingAdvisor{Advisor: c.fleet}
		a.owner.SetAdviceNodes([]scheduler.AdviceNode{{Node: "node", Self: true, Advisor: advisor}})
		advised := c.queue
		advised.Name = "advised" // the configured queue needs no advice
		advised.Advice = workload.AdvicePolicy{CallLatency: 10 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second}
		a.mustSubmit("a", "first", advised, newRequest(1, 4_000), 5*time.Second)
		c.awaitStarts(1, time.Second)
		asked := advisor.calls.Load()
		a.mustSubmit("a", "second", advised, newRequest(1, 4_000), time.Second)
		time.Sleep(3 * time.Second)
		if more := advisor.calls.Load() - asked; more != 0 {
			t.Errorf("%d advice calls while the quota blocks the job, want 0", more)
		}
		a.awaitState("a", "second", workload.Completed, 10*time.Second)
	})
}

// Small jobs of an account at its quota do not starve a gang of the same account.
func TestGangNotStarvedAtQuota(t *testing.T) {
	withCell(t, 8, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(16_000)})
		lowPriority := workload.Queue{Name: "claims", Service: testService, Priority: 2, MaxFailures: 3, ObjectiveFactor: 50, ObjectiveOffset: time.Minute}
		go func() {
			for i := 0; c.ctx.Err() == nil; i++ {
				time.Sleep(200 * time.Millisecond)
				if err := a.submit("a", fmt.Sprintf("small-%d", i), lowPriority, newRequest(1, 4_000), time.Second); err != nil && c.ctx.Err() == nil {
					t.Error(err)
				}
			}
		}()
		time.Sleep(2 * time.Second)
		a.mustSubmit("a", "gang", c.queue, newGangRequest(4, 4_000), time.Second)
		a.awaitState("a", "gang", workload.Completed, 4*time.Second)
	})
}

// Running tasks of a cancelled job still count toward the quota after a takeover.
func TestCancelledTasksCountTowardQuotaAfterTakeover(t *testing.T) {
	withCell(t, 4, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1, Quota: cpuQuota(16_000)})
		a.mustSubmit("a", "job", c.queue, newRequest(4, 4_000), 20*time.Second)
		c.awaitStarts(4, time.Second)
		c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
			return fleettest.Fault{RequestLost: call == fleettest.CallStop}
		})
		if err := a.owner.Scheduler.Cancel(c.ctx, "a", "job"); err != nil {
			t.Fatal(err)
		}
		a.replaceOwner()
		a.mustSubmit("a", "next", c.queue, newRequest(4, 4_000), time.Second)
		time.Sleep(time.Second)
		if c.fleet.JobStarted("next") {
			t.Error("job next started while the cancelled job used the whole quota")
		}
		c.fleet.SetFault(nil)
		a.awaitState("a", "next", workload.Completed, 5*time.Second)
	})
}

// No start exceeds an account's quota under random sequences of late starts, cancellations,
// takeovers, crashes, resizes and quota changes, and every job ends. The fleettest package checks
// every start.
func TestQuotasRandomOrder(t *testing.T) {
	const sequences = 1000
	forSeeds(t, sequences, func(t *testing.T, seed uint64) {
		withCell(t, 6, func(c *cell) { c.runRandomQuotaEvents(rand.New(rand.NewPCG(seed, 9))) })
	})
}

func (c *cell) runRandomQuotaEvents(random *rand.Rand) {
	c.lease = shortLease
	names := []string{"a", "b", "c"}
	a := c.withAccounts()
	for _, name := range names {
		a.setTerms(account.Terms{Name: name, Weight: 1, Quota: randomQuota(random)})
	}
	time.Sleep(500 * time.Millisecond)
	jobs := map[string]string{} // account by job
	early := map[earlyCancel]bool{}
	for i := range 14 {
		c.applyRandomQuotaEvent(a, random, names, i, early)
		name, id := names[random.IntN(len(names))], fmt.Sprintf("job-%d", i)
		queue := c.queue
		queue.Priority = random.IntN(3)
		err := a.submit(name, id, queue, randomRequest(random), time.Duration(200+random.IntN(1500))*time.Millisecond)
		var over *scheduler.QuotaError
		switch {
		case early[earlyCancel{name, id}]:
			wantError[*scheduler.RejectedError](c.t, "submission of "+id+" after its cancellation", err)
		case err == nil:
			jobs[id] = name
		case !errors.As(err, &over):
			c.t.Errorf("job %s: %v", id, err)
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	c.fleet.SetFault(nil)
	a.owner.caller.SetFault(nil)
	for i := range 6 {
		c.fleet.Resize(fmt.Sprintf("w-%02d", i), fullCapacity)
	}
	for _, name := range names {
		a.setTerms(account.Terms{Name: name, Weight: 1, Quota: cpuQuota(64_000)})
	}
	for id, name := range jobs {
		a.awaitFinal(name, id, 20*time.Second)
	}
}

func randomQuota(random *rand.Rand) account.Quota {
	quota := cpuQuota(resource.MilliCPU(2_000 + random.IntN(30_000)))
	if random.IntN(3) == 0 {
		quota.Memory = resource.Bytes(1+random.IntN(10)) * gigabyte
	}
	return quota
}

func randomRequest(random *rand.Rand) workload.Request {
	request := newRequest(1+random.IntN(5), resource.MilliCPU(1000+random.IntN(5000)))
	step := &request.Steps[0]
	step.Gang = random.IntN(4) == 0
	step.Checkpoints = random.IntN(2) == 0
	step.SameRack = random.IntN(6) == 0
	return request
}

// earlyCancel is the cancellation of a job by an account before the submission of the job.
type earlyCancel struct{ account, job string }

// cancelEarly cancels a job that is not submitted yet, and records in early that this was answered.
func (c *cell) cancelEarly(a *accountCell, name, id string, early map[earlyCancel]bool) {
	var unknown *scheduler.UnknownJobError
	if err := a.owner.Scheduler.Cancel(c.ctx, name, id); !errors.As(err, &unknown) {
		c.t.Errorf("cancellation of %s before its submission: %v", id, err)
	}
	early[earlyCancel{name, id}] = true
}

// applyRandomQuotaEvent changes a quota or a worker, replaces the owner, cancels a job, or sets or clears a
// fault. Jobs from the number submitted on are not submitted yet.
func (c *cell) applyRandomQuotaEvent(a *accountCell, random *rand.Rand, names []string, submitted int, early map[earlyCancel]bool) {
	worker := fmt.Sprintf("w-%02d", random.IntN(6))
	switch random.IntN(10) {
	case 0, 1:
		a.setTerms(account.Terms{Name: names[random.IntN(len(names))], Weight: 1, Quota: randomQuota(random)})
	case 2:
		a.replaceOwner()
	case 3:
		if c.fleet.Alive(worker) {
			c.fleet.Restart(worker)
		}
	case 4:
		c.fleet.Resize(worker, []resource.Amount{halfCapacity, fullCapacity}[random.IntN(2)])
	case 5:
		c.fleet.SetFault(delayStarts(random))
	case 6:
		c.fleet.SetFault(nil)
	case 7:
		number := random.IntN(14)
		if number >= submitted {
			c.cancelEarly(a, names[random.IntN(len(names))], fmt.Sprintf("job-%d", number), early)
			return
		}
		for _, name := range names {
			a.owner.Scheduler.Cancel(c.ctx, name, fmt.Sprintf("job-%d", number)) // no effect if the job is another account's or final
		}
	case 8:
		a.owner.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 200 * time.Millisecond} })
	case 9:
		a.owner.caller.SetFault(nil)
	}
}

// delayStarts delays a third of the starts by up to 3.2 s, without an answer to the caller.
func delayStarts(random *rand.Rand) func(fleettest.Call, string) fleettest.Fault {
	source := rand.New(rand.NewPCG(random.Uint64(), 1)) // own source, since the order of concurrent calls varies
	return func(call fleettest.Call, _ string) fleettest.Fault {
		if call == fleettest.CallStart && source.IntN(3) == 0 {
			return fleettest.Fault{Delay: time.Duration(200+source.IntN(3000)) * time.Millisecond}
		}
		return fleettest.Fault{}
	}
}

// No job is without running tasks for 3 s while its account uses less than half of its quota and
// the workers have twice the needed capacity.
func TestNoJobStalls(t *testing.T) {
	const sequences = 300
	forSeeds(t, sequences, func(t *testing.T, seed uint64) {
		withCell(t, 12, func(c *cell) { c.runStallCheck(rand.New(rand.NewPCG(seed, 10))) })
	})
}

func (c *cell) runStallCheck(random *rand.Rand) {
	a := c.withAccounts()
	names := []string{"a", "b"}
	for _, name := range names {
		a.setTerms(account.Terms{Name: name, Weight: 1, Quota: cpuQuota(resource.MilliCPU(16_000 + random.IntN(40_000)))})
	}
	detector := &stallDetector{accountCell: a, jobs: map[string]watchedJob{}}
	time.Sleep(500 * time.Millisecond)
	for i := range 30 {
		name, id := names[random.IntN(len(names))], fmt.Sprintf("job-%d", i)
		request := randomRequest(random)
		queue := c.queue
		queue.Name, queue.Priority = fmt.Sprintf("queue-%d", random.IntN(3)), random.IntN(3)
		err := a.submit(name, id, queue, request, time.Duration(200+random.IntN(2500))*time.Millisecond)
		var over *scheduler.QuotaError
		if err == nil {
			detector.jobs[id] = watchedJob{account: name, request: request}
		} else if !errors.As(err, &over) {
			c.t.Errorf("job %s: %v", id, err)
		}
		detector.watchFor(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	detector.watchFor(8 * time.Second)
}

// stallDetector reports jobs that do not run although quota and capacity allow it.
type stallDetector struct {
	*accountCell
	jobs map[string]watchedJob
}

type watchedJob struct {
	account      string
	request      workload.Request
	stalledSince time.Time // zero if the job is not stalled
}

// watchFor checks all jobs every 50 ms for a time span.
func (s *stallDetector) watchFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id, job := range s.jobs {
			s.check(id, job)
		}
	}
}

func (s *stallDetector) check(id string, job watchedJob) {
	state, err := s.owner.Scheduler.State(s.ctx, job.account, id)
	if err != nil || state.Final() {
		delete(s.jobs, id)
		return
	}
	all := job.request.Steps[0].Need.Times(int64(job.request.Steps[0].Count))
	quota := resource.Amount(s.terms[job.account].Quota)
	capacity := resource.Amount{CPU: 12 * fullCapacity.CPU, Memory: 12 * fullCapacity.Memory}
	stalled := s.fleet.JobUsage(id).IsZero() &&
		s.fleet.AccountUsage(job.account).Times(2).CPU < quota.CPU && s.fleet.AccountUsage(job.account).Plus(all).CPU <= quota.CPU &&
		s.fleet.TotalUsage().Plus(all.Times(2)).CPU <= capacity.CPU && s.fleet.TotalUsage().Times(2).CPU < capacity.CPU
	switch {
	case !stalled:
		job.stalledSince = time.Time{}
	case job.stalledSince.IsZero():
		job.stalledSince = time.Now()
	case time.Since(job.stalledSince) > 3*time.Second:
		s.t.Errorf("job %s of account %s did not run for 3 s despite free quota and capacity", id, job.account)
		job.stalledSince = time.Now()
	}
	s.jobs[id] = job
}
