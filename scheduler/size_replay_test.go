package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/account"
	"chutereach/fleet"
	"chutereach/resource"
	"chutereach/urgency"
	"chutereach/workload"
)

// sizeReplay simulates a service that receives gangs, batches and lookups, without a network. An advice policy
// allows each step on some workers only. Tasks start when they are granted and end after their estimate.
// Calls for advice and stops take time, so it must run in a synctest bubble.
type sizeReplay struct {
	*overloadReplay
	rng     *rand.Rand
	kinds   []replayedKind
	arrived []*replayedJob
	saved   map[*task]time.Duration // work that a task had done when it was stopped
}

// replayedKind describes the jobs of a queue, which have one step each.
type replayedKind struct {
	queue         workload.Queue
	gang          bool
	checkpoints   float64 // share of jobs that write checkpoints
	load          float64 // share of the load
	count         float64 // mean number of tasks
	spread        float64 // of the number of tasks
	cpu           float64 // mean, in thousandths of a core
	work          time.Duration
	eligibleShare float64 // of the workers that may run a step
}

// replayedJob is a job of the replay.
type replayedJob struct {
	*job
	work  float64   // in core-seconds
	ended time.Time // zero until it is completed
}

// served reports whether the job was completed in time, or late but while its completion still had value.
func (j *replayedJob) served() bool {
	return !j.ended.IsZero() && j.ended.Before(j.arrived.Add(urgency.ExpiryFactor*j.deadline.Sub(j.arrived)))
}

// replayInterval is the time between two dispatch passes. It is longer than dispatchInterval because the passes
// take most of the test's processor time.
const replayInterval = 4 * dispatchInterval

// replayedStop is how long a worker takes to stop a task.
const replayedStop = 200 * time.Millisecond

// stoppingClient confirms each stop after replayedStop. Requests for reports fail, because the replay itself ends
// the tasks.
type stoppingClient struct{ fleet.Client }

func (stoppingClient) Stop(context.Context, fleet.Worker, fleet.StopOrder) (fleet.Clock, error) {
	time.Sleep(replayedStop)
	return 0, nil
}

func (stoppingClient) Hold(context.Context, fleet.Worker, fleet.HoldOrder) (fleet.Report, error) {
	return fleet.Report{}, &fleet.NoResponseError{}
}

// hashingAdvisor takes as long for an answer as the queue's policy says. A hash of step and worker decides whether
// the worker is eligible, so that answers never change.
type hashingAdvisor struct{ kinds []replayedKind }

func (a hashingAdvisor) Advise(_ context.Context, step string, workers []string) (fleet.Advice, error) {
	kind := a.kinds[slices.IndexFunc(a.kinds, func(k replayedKind) bool { return strings.HasPrefix(step, k.queue.Name) })]
	time.Sleep(kind.queue.Advice.Latency(len(workers)))
	tickets := map[string]string{}
	for _, w := range workers {
		h := fnv.New32a()
		fmt.Fprint(h, step, "/", w)
		if float64(h.Sum32()%1000) < 1000*kind.eligibleShare {
			tickets[w] = "ticket"
		}
	}
	return fleet.Advice{Tickets: tickets, Valid: kind.queue.Advice.TicketTTL}, nil
}

// newSizeReplay returns a replay with 550 workers of 16 cores and 73 nodes for advice.
func newSizeReplay(t *testing.T, seed uint64) *sizeReplay {
	queue := func(name string, priority int, factor float64, offset, call, perWorker time.Duration) workload.Queue {
		return workload.Queue{
			Name: name, Service: "s", Priority: priority, MaxFailures: 3, ObjectiveFactor: factor, ObjectiveOffset: offset,
			Advice: workload.AdvicePolicy{CallLatency: call, PerWorkerLatency: perWorker, TicketTTL: 2 * time.Second},
		}
	}
	r := &sizeReplay{
		overloadReplay: newOverloadReplay(t, true, 550), rng: rand.New(rand.NewPCG(seed, 1)), saved: map[*task]time.Duration{},
		kinds: []replayedKind{
			{
				queue: queue("gang", 1, 2.2, time.Second, 390*time.Millisecond, 11200*time.Microsecond), gang: true,
				load: 0.52, count: 20, spread: 0.8, cpu: 4500, work: 4 * time.Second, eligibleShare: 0.3,
			},
			{
				queue: queue("batch", 2, 4, 3*time.Second, 140*time.Millisecond, 4*time.Millisecond), checkpoints: 0.8,
				load: 0.35, count: 20, spread: 0.6, cpu: 2700, work: 2700 * time.Millisecond, eligibleShare: 0.45,
			},
			{
				queue: queue("lookup", 0, 1.5, 300*time.Millisecond, 14*time.Millisecond, 400*time.Microsecond),
				load:  0.13, count: 2.25, spread: 0.8, cpu: 3900, work: time.Second, eligibleShare: 0.7,
			},
		},
	}
	for _, w := range r.workers {
		w.info.Capacity = resource.Amount{CPU: 16_000, Memory: 64 << 30}
	}
	var nodes []AdviceNode
	for i := range 73 {
		nodes = append(nodes, AdviceNode{Node: fmt.Sprint("node-", i), Self: i == 0, Advisor: hashingAdvisor{r.kinds}})
	}
	r.SetAdviceNodes(nodes)
	r.client = stoppingClient{}
	return r
}

// logNormal returns a random log-normal factor with mean 1.
func (r *sizeReplay) logNormal(spread float64) float64 {
	return math.Exp(spread*r.rng.NormFloat64() - spread*spread/2)
}

// submit adds a job and returns its work in core-seconds.
func (r *sizeReplay) submit(k replayedKind) float64 {
	count := max(1, int(math.Round(min(6, r.logNormal(k.spread))*k.count)))
	cpu := min(7600, k.cpu*r.logNormal(0.4))
	work := min(2.5, r.logNormal(0.5)) * k.work.Seconds()
	step := workload.Step{
		Count: count, Need: resource.Amount{CPU: resource.MilliCPU(cpu)}, Estimate: time.Duration(work * float64(time.Second)),
		Gang: k.gang, Checkpoints: r.rng.Float64() < k.checkpoints,
	}
	record := workload.Record{Request: workload.Request{Steps: []workload.Step{step}}, Queue: k.queue, AcceptedAt: r.now.UnixMilli()}
	j := newJob(fmt.Sprintf("%s-%05d", k.queue.Name, len(r.jobs)), record, newAccountState(account.Terms{}), r.now)
	r.jobs[j.id], r.active[j.id] = j, j
	r.recordSize(j)
	coreSeconds := float64(count) * cpu / 1000 * work
	r.arrived = append(r.arrived, &replayedJob{job: j, work: coreSeconds})
	return coreSeconds
}

// run submits jobs for a time span and then goes on until all are completed, for at most another minute. load is
// the submitted work as a multiple of the CPU capacity of the workers.
func (r *sizeReplay) run(span time.Duration, load float64) {
	end, last := r.now.Add(span), r.now.Add(span+time.Minute)
	owed := make([]float64, len(r.kinds)) // core-seconds to submit
	for r.now.Before(last) && (r.now.Before(end) || len(r.active) > 0) {
		time.Sleep(replayInterval)
		r.mu.Lock()
		r.now = time.Now()
		for i, k := range r.kinds {
			owed[i] += load * k.load * 16 * float64(len(r.workers)) * replayInterval.Seconds()
			for owed[i] > 0 && r.now.Before(end) {
				owed[i] -= r.submit(k)
			}
		}
		r.advance()
		r.dispatch(r.now)
		r.mu.Unlock()
	}
	time.Sleep(5 * time.Second) // until no call is in flight
}

// advance updates the states of all tasks: granted ones start, and stopped or finished ones leave their workers.
func (r *sizeReplay) advance() {
	for _, w := range r.workers {
		w.lastReportAt = r.now
		for _, t := range w.taskList() {
			switch {
			case t.state == taskGranted:
				t.state, t.startedAt = taskRunning, r.now
			case t.state == taskStopping && !t.stoppedAt.IsZero():
				r.saved[t] += max(0, t.stoppedAt.Sub(t.startedAt)-replayedStop)
				w.release(t)
				t.state = taskWaiting
			case t.state == taskRunning && !r.now.Before(t.startedAt.Add(t.step.spec.Estimate-r.saved[t])):
				w.release(t)
				t.markDone()
			default:
				continue
			}
			t.step.job.idleSince = r.now
		}
	}
	for _, j := range r.arrived {
		if j.ended.IsZero() && j.roundsLeft == 0 {
			j.ended = r.now
			delete(r.active, j.id)
		}
	}
}

// servedShares returns which share of a queue's jobs was served: of all, of the largest tenth by work, and of the
// fifth below it.
func (r *sizeReplay) servedShares(queue string) (all, largest, large float64) {
	var jobs []*replayedJob
	for _, j := range r.arrived {
		if j.record.Queue.Name == queue {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *replayedJob) int { return cmp.Compare(b.work, a.work) })
	share := func(list []*replayedJob) float64 {
		served := 0
		for _, j := range list {
			if j.served() {
				served++
			}
		}
		return float64(served) / float64(len(list))
	}
	tenth := len(jobs) / 10
	return share(jobs), share(jobs[:tenth]), share(jobs[tenth : 3*tenth])
}

// Guards against large gangs that starve under overload: the largest tenth of a queue's jobs, and the fifth below
// it, must be served at least half as often as all of its jobs.
func TestLargestGangsStarve(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := newSizeReplay(t, 1)
		r.run(30*time.Second, 2.5)
		for _, k := range r.kinds {
			all, largest, large := r.servedShares(k.queue.Name)
			t.Logf("%s: %.2f of all jobs are served, %.2f of the largest tenth, %.2f of the next fifth", k.queue.Name, all, largest, large)
			if largest < all/2 || large < all/2 {
				t.Errorf("%s: large jobs are served less than half as often as all", k.queue.Name)
			}
		}
	})
}
