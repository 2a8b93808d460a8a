package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/resource"
	"chutereach/workload"
)

// overloadReplay replays jobs without a network: tasks start when they are granted and end after their
// estimate.
type overloadReplay struct {
	*roomFixture
	now       time.Time
	reordered bool // the candidates of some pass were not in the order by latest start
	inTime    int  // jobs done in time
}

func newOverloadReplay(t *testing.T, sizeOrder bool, workers int) *overloadReplay {
	r := &overloadReplay{roomFixture: newRoomFixture(t, repeat(workers, 0)...), now: time.Now()}
	r.load = LoadPolicy{SizeOrder: sizeOrder}
	return r
}

// add adds a job with an objective of twice its work and 4 s. Calls for advice take some time; 0 means
// that it needs none.
func (r *overloadReplay) add(priority, count int, cpu resource.MilliCPU, work, call time.Duration) *job {
	queue := workload.Queue{Name: fmt.Sprint(priority), Service: "s", Priority: priority, MaxFailures: 3, ObjectiveFactor: 2, ObjectiveOffset: 4 * time.Second}
	queue.Advice = workload.AdvicePolicy{CallLatency: call, TicketTTL: 100 * call}
	steps := []workload.Step{{Count: count, Need: resource.Amount{CPU: cpu}, Estimate: work, Gang: priority == 1}}
	record := workload.Record{Request: workload.Request{Steps: steps}, Queue: queue, AcceptedAt: r.now.UnixMilli()}
	j := newJob(fmt.Sprintf("job-%05d", len(r.jobs)), record, newAccountState(account.Terms{}), r.now)
	r.jobs[j.id], r.active[j.id] = j, j
	r.recordSize(j)
	return j
}

// run replays arrivals of some cores of work per second, one gang to four batches, until all jobs are
// done or 100 s have passed.
func (r *overloadReplay) run(span time.Duration, cores float64) {
	end, rng, credit := r.now.Add(span), rand.New(rand.NewPCG(1, 2)), 0.0
	for passes := 0; passes < 4000 && (r.now.Before(end) || len(r.active) > 0); passes++ {
		for credit += cores * dispatchInterval.Seconds(); credit > 0 && r.now.Before(end); {
			work := time.Duration((0.5 + rng.ExpFloat64()) * float64(2*time.Second))
			priority, count, cpu := 2, 1+int(rng.ExpFloat64()*12), resource.MilliCPU(3500)
			if rng.IntN(5) == 0 {
				priority, count, cpu = 1, 10+rng.IntN(20), 9000
			}
			credit -= float64(count) * float64(cpu) / 1000 * work.Seconds()
			r.add(priority, count, cpu, work, 0)
		}
		r.pass()
	}
}

// pass ends the tasks that are due and runs a dispatch pass.
func (r *overloadReplay) pass() {
	for _, w := range r.workers {
		w.lastReportAt = r.now
		for _, t := range w.taskList() {
			r.startOrEnd(t)
		}
	}
	r.now = r.now.Add(dispatchInterval)
	r.reordered = r.reordered || !slices.IsSortedFunc(r.ordered(), func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency.Rank, b.urgency.Rank), a.urgency.LatestStart.Compare(b.urgency.LatestStart), cmp.Compare(a.step.job.id, b.step.job.id))
	})
	r.dispatch(r.now)
}

// overload begins an overload of service "s" by the candidates that wait.
func (r *overloadReplay) overload(t *testing.T) {
	r.ordered()
	load := r.sizeOrder.services["s"]
	if load.monitor = load.monitor.WithMissed(1); !load.monitor.Overloaded() {
		t.Fatalf("no overload with %v s of work waiting and a mean slack of %v", load.waiting, load.meanSlack())
	}
}

// ordered returns the candidates in the order in which a pass places them.
func (r *overloadReplay) ordered() []candidate {
	list := r.candidates(r.now)
	if r.load.SizeOrder && r.updateOverload(list, r.now) {
		r.sortBySize(list, r.now)
	}
	return list
}

func (r *overloadReplay) startOrEnd(t *task) {
	if t.startedAt.IsZero() {
		t.state, t.startedAt = taskRunning, r.now
	}
	if r.now.Before(t.startedAt.Add(t.step.spec.Estimate)) {
		return
	}
	t.worker.release(t)
	t.markDone()
	j := t.step.job
	if j.idleSince = r.now; j.roundsLeft == 0 {
		delete(r.active, j.id)
		if !r.now.After(j.deadline) {
			r.inTime++
		}
	}
}

// Guards against an order by size that completes fewer jobs in time than the order by latest start, that
// loses jobs, or that applies without an overload or with the switch off.
func TestSizeOrderReplay(t *testing.T) {
	t.Parallel()
	replay := func(sizeOrder bool, load float64) *overloadReplay {
		r := newOverloadReplay(t, sizeOrder, 40)
		if r.run(30*time.Second, load*40*32); len(r.active) > 0 {
			t.Errorf("%d of %d jobs are not done", len(r.active), len(r.jobs))
		}
		return r
	}
	off, on := replay(false, 2.5), replay(true, 2.5)
	t.Logf("%d jobs, in time %d by latest start and %d by size", len(on.jobs), off.inTime, on.inTime)
	if float64(on.inTime) < 1.1*float64(off.inTime) {
		t.Errorf("%d jobs are done in time by size, %d by latest start; want a tenth more", on.inTime, off.inTime)
	}
	if m := on.metrics; m.overloads.Value() == 0 || m.overloadSeconds.Value() == 0 || m.overloaded.Value() != 0 {
		t.Errorf("%v overloads have begun, %v go on, %v s in all; want some, 0, some", m.overloads, m.overloaded, m.overloadSeconds)
	}
	light := replay(true, 0.7)
	if off.reordered || !on.reordered || light.reordered {
		t.Errorf("not by latest start: %v with the switch off, %v with it on, %v without an overload; want only the second", off.reordered, on.reordered, light.reordered)
	}
	if a, b := off.metrics.overloads.Value(), light.metrics.overloads.Value(); a+b > 0 {
		t.Errorf("%d overloads with the switch off, %d under a light load, want none", a, b)
	}
}

// Guards against an overload that is detected from work that nobody could have served in time: what was
// late when the owner loaded it, or what waits while no worker is usable.
func TestNewOwnerStartsWithoutOverload(t *testing.T) {
	t.Parallel()
	for _, workers := range []int{0, 4} {
		r := newOverloadReplay(t, true, workers)
		for range 50 {
			if j := r.add(2, 20, 16_000, 10*time.Second, 0); workers > 0 {
				j.deadline = r.now.Add(-time.Second)
			}
		}
		r.run(25*time.Second, 0)
		if r.metrics.overloads.Value() > 0 || r.metrics.missedWork.Value() > 0 {
			t.Errorf("%v overloads and %v s of missed work with %d workers, want none", r.metrics.overloads, r.metrics.missedWork, workers)
		}
	}
}

// Guards against an order by size that leaves capacity unused: under overload, the job that comes last
// is placed in the same pass if it fits.
func TestLastJobIsPlacedUnderOverload(t *testing.T) {
	r := newOverloadReplay(t, true, 4)
	r.pass()
	last := r.add(2, 14, 8000, time.Second, 0)
	last.deadline = r.now.Add(2 * time.Second)
	r.add(2, 2, 8000, 2*time.Second, 0).deadline = r.now.Add(3500 * time.Millisecond)
	r.overload(t)
	if list := r.ordered(); list[1].step.job != last || list[1].urgency.LatestStart.After(list[0].urgency.LatestStart) {
		t.Errorf("last is %s, want %s, which has the earlier latest start", list[1].step.job.id, last.id)
	}
	if r.pass(); r.metrics.grants.Value() != 16 {
		t.Errorf("%v tasks start, want 16", r.metrics.grants)
	}
}

// Guards against late lookups that get no advice while in-time steps use up the limit of a pass.
func TestAdviceForLateLookups(t *testing.T) {
	for _, on := range []bool{false, true} {
		r := newOverloadReplay(t, on, 4)
		r.add(0, 1, 1000, time.Second, 200*time.Millisecond).deadline = r.now.Add(400 * time.Millisecond) // late with costly calls
		for range 200 {
			r.add(2, 1, 1000, time.Second, 200*time.Millisecond) // in time
			r.add(0, 1, 1000, time.Second, 6*time.Millisecond).deadline = r.now.Add(500 * time.Millisecond)
			expired := r.add(0, 1, 1000, time.Second, 6*time.Millisecond)
			expired.arrived, expired.deadline = r.now.Add(-4*time.Second), r.now.Add(-3*time.Second)
		}
		limit, admitted, mark := adviceLimit{lateUrgent: on}, "", map[bool]string{true: "+", false: "-"}
		for _, c := range r.candidates(r.now) {
			use := limit.admit(c)
			admitted += mark[use != nil]
			if use != nil {
				*use = use.With(true)
			}
		}
		want := strings.Repeat("+", 150) + strings.Repeat("-", 50+1) + strings.Repeat(mark[on], 150) + strings.Repeat("-", 50+200)
		if admitted != want {
			t.Errorf("admitted in order of urgency with the switch %v: %s, want %s", on, admitted, want)
		}
		if r.pass(); r.metrics.adviceLeftOut.Value() != int64(strings.Count(want, "-")) {
			t.Errorf("%v steps are left out with the switch %v, want %d", r.metrics.adviceLeftOut, on, strings.Count(want, "-"))
		}
		for _, w := range r.workers {
			w.used = w.info.Capacity
		}
		if r.pass(); r.metrics.adviceLeftOut.Value() != 0 {
			t.Errorf("%v steps are left out with the switch %v while no worker has room, want none", r.metrics.adviceLeftOut, on)
		}
	}
}

// Guards against missed work that is counted although nothing could be placed, as while a process is
// frozen or placement is suspended, and against missed work that is not counted.
func TestMissedWorkAfterGap(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval time.Duration // between passes
		missed   bool
	}{{"passes without a gap", dispatchInterval, true}, {"frozen", 2 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			r := newOverloadReplay(t, true, 4)
			r.add(2, 200, 16_000, 2*time.Second, 0).deadline = r.now.Add(3 * time.Second)
			for end := r.now.Add(2 * time.Second); !r.now.After(end); r.now = r.now.Add(c.interval) {
				for _, w := range r.workers {
					w.lastReportAt = r.now
				}
				r.ordered()
			}
			if got := r.metrics.missedWork.Value() > 0; got != c.missed {
				t.Errorf("%v s of work are missed, want some: %v", r.metrics.missedWork, c.missed)
			}
		})
	}
}

// Guards against an overload that puts the steps of another service first or last as a whole.
func TestOverloadOfOneService(t *testing.T) {
	r := newOverloadReplay(t, true, 4)
	r.pass()
	r.add(2, 20, 8000, time.Second, 0)
	var want []*job
	for _, count := range []int{2, 20, 60} {
		j := r.add(2, count, 8000, time.Second, 0)
		j.deadline = r.now.Add(3 * time.Second)
		if count == 20 {
			j.record.Queue.Service, j.record.Queue.Name = "other", "other"
		}
		want = append(want, j)
	}
	r.overload(t)
	var got []*job
	for _, c := range r.ordered() {
		if c.step.job.deadline.Equal(want[0].deadline) {
			got = append(got, c.step.job)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("got order %s, %s, %s, want the small job, that of the other service and the large job", got[0].id, got[1].id, got[2].id)
	}
}

// Guards against small jobs that take their account's share from its gang because they are ordered first.
func TestShareIsAssignedByLatestStart(t *testing.T) {
	r := newOverloadReplay(t, true, 4)
	r.pass()
	large, small := r.add(2, 60, 8000, time.Second, 0), r.add(2, 2, 8000, time.Second, 0)
	small.account, small.overShare = large.account, true
	large.deadline, small.deadline = r.now.Add(2*time.Second), r.now.Add(3*time.Second)
	r.overload(t)
	if r.ordered(); large.overShare || !small.overShare {
		t.Errorf("over the share: %v for the job with the earliest latest start, %v for the other, want only the other", large.overShare, small.overShare)
	}
}
