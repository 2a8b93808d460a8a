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

// wantError fails the test if an error is not of a type.
func wantError[E error](t testing.TB, what string, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("%s: %v, want %T", what, err, want)
	}
}

// A wide step of an account runs in waves within its quota, and holds nobody else back.
func TestAStepWiderThanItsQuotaRunsInWaves(t *testing.T) {
	for _, sameRack := range []bool{false, true} {
		t.Run(fmt.Sprintf("same rack %v", sameRack), func(t *testing.T) {
			inCell(t, 4, func(c *cell) {
				a := c.accounts(account.Terms{Name: "small", Weight: 1, Quota: quotaOf(8_000)}, account.Terms{Name: "other", Weight: 1})
				wide := jobOf(6, 4_000)
				wide.Steps[0].SameRack = sameRack
				a.mustSubmit("small", "wide", c.queue, wide, time.Second)
				a.mustSubmit("other", "beside", c.queue, jobOf(8, 4_000), time.Second)
				a.awaitFor("other", "beside", workload.Completed, 3*time.Second)
				a.awaitFor("small", "wide", workload.Completed, 6*time.Second)
				if most := c.fleet.MostUsed("small"); most.CPU != 8_000 {
					t.Errorf("it had %v running at the most, want 8", most.CPU)
				}
			})
		})
	}
}

// What can never run within its account's quota is refused when it is handed in.
func TestWhatNeverFitsItsQuotaIsRefused(t *testing.T) {
	cases := []struct {
		name    string
		quota   account.Quota
		request workload.Request
		taken   bool
	}{
		{"no quota", account.Quota{}, gangOf(4, 8_000), true},
		{"a gang that fits", quotaOf(32_000), gangOf(4, 8_000), true},
		{"a gang that does not", quotaOf(31_999), gangOf(4, 8_000), false},
		{"a wide step", quotaOf(8_000), jobOf(4, 8_000), true},
		{"one task that does not fit", quotaOf(7_999), jobOf(1, 8_000), false},
		{"too much memory", account.Quota{Memory: gigabyte - 1}, jobOf(1, 8_000), false},
		{"nothing allowed", quotaOf(-1), jobOf(1, 1), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, 4, func(c *cell) {
				a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: test.quota})
				err := a.submit("a", "job", c.queue, test.request, time.Second)
				if test.taken {
					if err != nil {
						t.Error(err)
					}
					return
				}
				wantError[*scheduler.QuotaError](t, "handing it in", err)
				_, err = a.owner.Scheduler.State(c.ctx, "a", "job")
				wantError[*scheduler.NotJobError](t, "its state", err)
			})
		})
	}
}

// A quota that is lowered below what runs stops new starts only, and one that is raised is
// used at once.
func TestAQuotaIsLoweredAndRaised(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(16_000)})
		a.mustSubmit("a", "first", c.queue, jobOf(4, 4_000), 3*time.Second)
		c.awaitStarts(4, time.Second)
		a.set(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(4_000)})
		a.mustSubmit("a", "second", c.queue, jobOf(2, 4_000), time.Second)
		time.Sleep(time.Second)
		if used := c.fleet.UsedBy("a"); used.CPU != 16_000 {
			t.Errorf("%v run after the quota was lowered, want 16", used.CPU)
		}
		a.set(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(24_000)})
		c.awaitStarts(6, time.Second)
		a.awaitFor("a", "first", workload.Completed, 5*time.Second)
		a.awaitFor("a", "second", workload.Completed, 5*time.Second)
	})
}

// At its quota, an account's urgent job has its own batch work give way, and no other
// account's, though there is room beside.
func TestUrgentWorkTakesItsOwnAccountsQuota(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(16_000)}, account.Terms{Name: "b", Weight: 1})
		batch := workload.Queue{Name: "claims", Service: testService, Priority: 2, Attempts: 3, Stretch: 5, Target: 20 * time.Second}
		filler := workload.Request{Spec: "f", Steps: []workload.Step{{
			Count: 4, Need: resource.Amount{CPU: 4_000, Memory: gigabyte}, Estimate: 6 * time.Second, Checkpoints: true,
		}}}
		a.mustSubmit("a", "batch-a", batch, filler, 6*time.Second)
		a.mustSubmit("b", "batch-b", batch, filler, 6*time.Second)
		c.awaitStarts(8, time.Second)
		time.Sleep(500 * time.Millisecond)
		lookups := workload.Queue{Name: "lookups", Service: testService, Priority: 0, Attempts: 3, Stretch: 2, Target: time.Second}
		a.mustSubmit("a", "urgent", lookups, jobOf(1, 4_000), time.Second)
		a.awaitFor("a", "urgent", workload.Completed, 2500*time.Millisecond)
		if used := c.fleet.UsedBy("b"); used.CPU != 16_000 {
			t.Errorf("%v of the other account run, want 16", used.CPU)
		}
		a.awaitFor("a", "batch-a", workload.Completed, 15*time.Second)
	})
}

// Jobs of an account at its quota ask for no advice: their tickets would run out unused.
func TestNoAdviceForWhatTheQuotaHoldsBack(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(4_000)})
		advisor := &countingAdvisor{Advisor: c.fleet}
		a.owner.SetLanes([]scheduler.Lane{{Node: "node", Self: true, Advisor: advisor}})
		advised := c.queue
		advised.Name = "advised" // the queue in force asks for none
		advised.Advice = workload.AdvicePolicy{Decision: 10 * time.Millisecond, Each: time.Millisecond, Valid: 2 * time.Second}
		a.mustSubmit("a", "first", advised, jobOf(1, 4_000), 5*time.Second)
		c.awaitStarts(1, time.Second)
		asked := advisor.calls.Load()
		a.mustSubmit("a", "second", advised, jobOf(1, 4_000), time.Second)
		time.Sleep(3 * time.Second)
		if more := advisor.calls.Load() - asked; more != 0 {
			t.Errorf("%d calls for advice while the quota holds the job back", more)
		}
		a.awaitFor("a", "second", workload.Completed, 10*time.Second)
	})
}

// A gang of an account is not starved by the account's own small jobs.
func TestAGangGetsItsAccountsQuota(t *testing.T) {
	inCell(t, 8, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(16_000)})
		patient := workload.Queue{Name: "claims", Service: testService, Priority: 2, Attempts: 3, Stretch: 50, Target: time.Minute}
		go func() {
			for i := 0; c.ctx.Err() == nil; i++ {
				time.Sleep(200 * time.Millisecond)
				if err := a.submit("a", fmt.Sprintf("small-%d", i), patient, jobOf(1, 4_000), time.Second); err != nil && c.ctx.Err() == nil {
					t.Error(err)
				}
			}
		}()
		time.Sleep(2 * time.Second)
		a.mustSubmit("a", "gang", c.queue, gangOf(4, 4_000), time.Second)
		a.awaitFor("a", "gang", workload.Completed, 4*time.Second)
	})
}

// What still runs of a cancelled job counts for a successor too.
func TestTasksOfACancelledJobCountAfterATakeover(t *testing.T) {
	inCell(t, 4, func(c *cell) {
		a := c.accounts(account.Terms{Name: "a", Weight: 1, Quota: quotaOf(16_000)})
		a.mustSubmit("a", "job", c.queue, jobOf(4, 4_000), 20*time.Second)
		c.awaitStarts(4, time.Second)
		c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
			return fleettest.Fault{Lost: call == fleettest.CallStop}
		})
		if err := a.owner.Scheduler.Cancel(c.ctx, "a", "job"); err != nil {
			t.Fatal(err)
		}
		a.succeed()
		a.mustSubmit("a", "next", c.queue, jobOf(4, 4_000), time.Second)
		time.Sleep(time.Second)
		if c.fleet.Began("next") {
			t.Error("the next job began while the quota was in use")
		}
		c.fleet.SetFault(nil)
		a.awaitFor("a", "next", workload.Completed, 5*time.Second)
	})
}

// Whatever the order of starts, late starts, ends, cancelling, takeovers, crashes, shrinking
// and changes of quotas, no start brings an account over its quota: the judge of the fleet
// looks at each. And every job ends.
func TestQuotasInAnyOrder(t *testing.T) {
	const orders = 1000
	inRounds(t, orders, func(t *testing.T, seed uint64) {
		inCell(t, 6, func(c *cell) { c.quotasInAnyOrder(rand.New(rand.NewPCG(seed, 9))) })
	})
}

func (c *cell) quotasInAnyOrder(random *rand.Rand) {
	c.lease = shortLease
	names := []string{"a", "b", "c"}
	a := c.accounts()
	for _, name := range names {
		a.set(account.Terms{Name: name, Weight: 1, Quota: randomQuota(random)})
	}
	time.Sleep(500 * time.Millisecond)
	jobs := map[string]string{} // the account of each
	for i := range 14 {
		c.disturb(a, random, names)
		name, id := names[random.IntN(len(names))], fmt.Sprintf("job-%d", i)
		queue := c.queue
		queue.Priority = random.IntN(3)
		err := a.submit(name, id, queue, randomRequest(random), time.Duration(200+random.IntN(1500))*time.Millisecond)
		var over *scheduler.QuotaError
		if err == nil {
			jobs[id] = name
		} else if !errors.As(err, &over) {
			c.t.Errorf("job %s: %v", id, err)
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	c.fleet.SetFault(nil)
	a.owner.caller.SetFault(nil)
	for i := range 6 {
		c.fleet.Resize(fmt.Sprintf("w-%02d", i), whole)
	}
	for _, name := range names {
		a.set(account.Terms{Name: name, Weight: 1, Quota: quotaOf(64_000)})
	}
	for id, name := range jobs {
		a.awaitFinal(name, id, 20*time.Second)
	}
}

func randomQuota(random *rand.Rand) account.Quota {
	quota := quotaOf(resource.MilliCPU(2_000 + random.IntN(30_000)))
	if random.IntN(3) == 0 {
		quota.Memory = resource.Bytes(1+random.IntN(10)) * gigabyte
	}
	return quota
}

func randomRequest(random *rand.Rand) workload.Request {
	request := jobOf(1+random.IntN(5), resource.MilliCPU(1000+random.IntN(5000)))
	step := &request.Steps[0]
	step.Gang = random.IntN(4) == 0
	step.Checkpoints = random.IntN(2) == 0
	step.SameRack = random.IntN(6) == 0
	return request
}

// disturb does one thing that quotas have to bear.
func (c *cell) disturb(a *accounts, random *rand.Rand, names []string) {
	worker := fmt.Sprintf("w-%02d", random.IntN(6))
	switch random.IntN(10) {
	case 0, 1:
		a.set(account.Terms{Name: names[random.IntN(len(names))], Weight: 1, Quota: randomQuota(random)})
	case 2:
		a.succeed()
	case 3:
		if c.fleet.Alive(worker) {
			c.fleet.Restart(worker)
		}
	case 4:
		c.fleet.Resize(worker, []resource.Amount{half, whole}[random.IntN(2)])
	case 5:
		c.fleet.SetFault(lateStarts(random))
	case 6:
		c.fleet.SetFault(nil)
	case 7:
		id := fmt.Sprintf("job-%d", random.IntN(14))
		for _, name := range names {
			a.owner.Scheduler.Cancel(c.ctx, name, id) // not theirs, or final already: nothing changes
		}
	case 8:
		a.owner.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Slow: 200 * time.Millisecond} })
	case 9:
		a.owner.caller.SetFault(nil)
	}
}

// lateStarts has a third of the starts carried out up to 3.2 s late, without an answer.
func lateStarts(random *rand.Rand) func(fleettest.Call, string) fleettest.Fault {
	source := rand.New(rand.NewPCG(random.Uint64(), 1)) // calls of one moment are in no order
	return func(call fleettest.Call, _ string) fleettest.Fault {
		if call == fleettest.CallStart && source.IntN(3) == 0 {
			return fleettest.Fault{Late: time.Duration(200+source.IntN(3000)) * time.Millisecond}
		}
		return fleettest.Fault{}
	}
}

// No job has nothing running for 3 s while its account holds under half of its quota and the
// workers have room twice over.
func TestNoJobStandsStillBesideRoomAndQuota(t *testing.T) {
	const orders = 300
	inRounds(t, orders, func(t *testing.T, seed uint64) {
		inCell(t, 12, func(c *cell) { c.watchedOrders(rand.New(rand.NewPCG(seed, 10))) })
	})
}

func (c *cell) watchedOrders(random *rand.Rand) {
	a := c.accounts()
	names := []string{"a", "b"}
	for _, name := range names {
		a.set(account.Terms{Name: name, Weight: 1, Quota: quotaOf(resource.MilliCPU(16_000 + random.IntN(40_000)))})
	}
	watch := &stillness{accounts: a, jobs: map[string]idleJob{}}
	time.Sleep(500 * time.Millisecond)
	for i := range 30 {
		name, id := names[random.IntN(len(names))], fmt.Sprintf("job-%d", i)
		request := randomRequest(random)
		queue := c.queue
		queue.Name, queue.Priority = fmt.Sprintf("queue-%d", random.IntN(3)), random.IntN(3)
		err := a.submit(name, id, queue, request, time.Duration(200+random.IntN(2500))*time.Millisecond)
		var over *scheduler.QuotaError
		if err == nil {
			watch.jobs[id] = idleJob{account: name, request: request}
		} else if !errors.As(err, &over) {
			c.t.Errorf("job %s: %v", id, err)
		}
		watch.over(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	watch.over(8 * time.Second)
}

// stillness looks for jobs that stand still for no reason.
type stillness struct {
	*accounts
	jobs map[string]idleJob
}

type idleJob struct {
	account string
	request workload.Request
	since   time.Time // when it began to stand still beside room and quota; zero: it does not
}

// over looks each 50 ms for a while.
func (s *stillness) over(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id, job := range s.jobs {
			s.look(id, job)
		}
	}
}

func (s *stillness) look(id string, job idleJob) {
	state, err := s.owner.Scheduler.State(s.ctx, job.account, id)
	if err != nil || state.Final() {
		delete(s.jobs, id)
		return
	}
	all := job.request.Steps[0].Need.Times(int64(job.request.Steps[0].Count))
	quota := resource.Amount(s.terms[job.account].Quota)
	room := resource.Amount{CPU: 12 * whole.CPU, Memory: 12 * whole.Memory}
	idle := s.fleet.UsedByJob(id).IsZero() &&
		s.fleet.UsedBy(job.account).Times(2).CPU < quota.CPU && s.fleet.UsedBy(job.account).Plus(all).CPU <= quota.CPU &&
		s.fleet.Used().Plus(all.Times(2)).CPU <= room.CPU && s.fleet.Used().Times(2).CPU < room.CPU
	switch {
	case !idle:
		job.since = time.Time{}
	case job.since.IsZero():
		job.since = time.Now()
	case time.Since(job.since) > 3*time.Second:
		s.t.Errorf("job %s of account %s stands still beside room and quota", id, job.account)
		job.since = time.Now()
	}
	s.jobs[id] = job
}
