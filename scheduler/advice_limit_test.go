package scheduler

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/fleet"
	"chutereach/resource"
	"chutereach/workload"
)

// blockedJobs is the number of steps that come first in the order of urgency and do not start.
const blockedJobs = 3 * maxAdviceSteps

// queueAdvisor answers after the latency of the first queue about the first jobs, and at once about the others. It gives
// tickets for all workers, except for jobs that no worker suits.
type queueAdvisor struct {
	first      []*job
	latency    time.Duration
	unsuitable bool // no worker suits the first jobs
}

func (a *queueAdvisor) Advise(_ context.Context, step string, workers []string) (fleet.Advice, error) {
	advice := fleet.Advice{Tickets: map[string]string{}, Valid: time.Second}
	for _, j := range a.first {
		if strings.HasPrefix(step, j.id) {
			time.Sleep(a.latency)
			if a.unsuitable {
				return advice, nil
			}
		}
	}
	for _, w := range workers {
		advice.Tickets[w] = "ticket"
	}
	return advice, nil
}

// newAdvisedQueue returns a queue of service "s" whose calls for advice have a latency.
func newAdvisedQueue(name string, latency time.Duration) workload.Queue {
	queue := newQueue(name, "s", 3)
	queue.Advice = workload.AdvicePolicy{CallLatency: latency, TicketTTL: time.Second}
	return queue
}

// Guards against jobs that never start because steps that cannot start, or only much later, use up the number of steps for
// which a pass requests advice.
func TestStepsThatCannotStartKeepAdviceFromOthers(t *testing.T) {
	lasting := func(cpu resource.MilliCPU, label string) workload.Step {
		return workload.Step{Count: 1, Need: resource.Amount{CPU: cpu, Memory: 1 << 30}, RequiredLabel: label, LongRunning: true}
	}
	separateRoom := func(i int) resource.Amount {
		if i%2 == 0 {
			return resource.Amount{CPU: 16_000}
		}
		return resource.Amount{Memory: 128<<30 - 1<<29}
	}
	const soon = time.Second // before any step gets a turn for its long wait
	cases := []struct {
		name    string
		blocked workload.Step
		used    func(i int) resource.Amount // on the workers
		advisor queueAdvisor
		within  time.Duration // time until all other jobs have started
	}{
		{"no worker has the label", lasting(1000, "b"), nil, queueAdvisor{}, soon},
		{"larger than any worker", lasting(64_000, "a"), nil, queueAdvisor{}, soon},
		{"no room for its CPU", lasting(20_000, "a"), func(int) resource.Amount { return resource.Amount{CPU: 16_000} }, queueAdvisor{}, soon},
		{"CPU and memory free on different workers", lasting(20_000, "a"), separateRoom, queueAdvisor{}, soon},
		{"nobody to ask about by costly calls", lasting(20_000, "a"), separateRoom, queueAdvisor{latency: time.Second}, soon},
		{"all workers asked about", lasting(1000, "a"), nil, queueAdvisor{unsuitable: true}, soon},
		{"costly calls that wait for their turn", lasting(100, "a"), nil, queueAdvisor{latency: time.Second}, longestIdle},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServiceFixture(t, 8)
				for i, w := range f.workers {
					w.info.Labels = []string{"a"}
					if test.used != nil {
						w.used = test.used(i)
					}
				}
				advisor := &test.advisor
				f.SetAdviceNodes([]AdviceNode{{Node: "self", Self: true, Advisor: advisor}, {Node: "remote", Advisor: advisor}})
				for _, node := range f.adviceNodes {
					node.hasCostlyCall = !node.Self // a costly call of another step
				}
				run := func(duration time.Duration) {
					for end := f.now.Add(duration); f.now.Before(end); {
						time.Sleep(dispatchInterval)
						synctest.Wait()
						f.now = time.Now()
						f.mu.Lock()
						f.place()
						f.mu.Unlock()
					}
				}
				for range blockedJobs {
					advisor.first = append(advisor.first, f.submit(newAdvisedQueue("first", max(time.Millisecond, advisor.latency)), test.blocked))
				}
				run(time.Second)
				var batches []*job
				for range 20 {
					batches = append(batches, f.submit(newAdvisedQueue("batch", time.Millisecond), newBatch()))
				}
				run(test.within)
				for _, j := range batches {
					if j.hosted == 0 {
						t.Errorf("job %s has had nothing running for %v", j.id, test.within)
					}
				}
				f.running.Close()
			})
		})
	}
}
