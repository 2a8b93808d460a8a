package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/scheduler"
	"chutereach/workload"
)

// submitToQueue submits a job to a given queue.
func (c *cell) submitToQueue(o *owner, queue workload.Queue, id string, request workload.Request, work time.Duration) {
	c.t.Helper()
	c.fleet.RegisterJob(id, fleettest.JobSpec{
		Request: request, MaxFailures: queue.MaxFailures, NeedsTicket: queue.Advice.Enabled(),
		Plan: func(workload.TaskID, int) fleettest.Plan { return fleettest.Plan{Work: work} },
	})
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	record := workload.Record{Request: request, Queue: queue, AcceptedAt: time.Now().UnixMilli()}
	if err := o.Submit(ctx, id, record); err != nil {
		c.t.Fatal(err)
	}
}

// Tasks with slack and checkpoints are preempted for urgent work of a higher priority. They resume
// from their checkpoint and complete.
func TestPreemption(t *testing.T) {
	const fillerWork = 6 * time.Second
	cases := []struct {
		name     string
		change   func(filler *workload.Step, queue *workload.Queue)
		gang     bool
		advised  bool
		hasSlack bool // the submitted job is not urgent
		preempts bool
	}{
		{name: "for single tasks", preempts: true},
		{name: "for a gang", gang: true, preempts: true},
		{name: "for a gang that needs advice", gang: true, advised: true, preempts: true},
		{name: "not for a job with slack", hasSlack: true},
		{name: "not for a gang with slack", hasSlack: true, gang: true},
		{
			name: "not without checkpoints", gang: true,
			change: func(filler *workload.Step, _ *workload.Queue) { filler.Checkpoints = false },
		},
		{
			name: "not if the preempted job would be late", gang: true,
			change: func(_ *workload.Step, queue *workload.Queue) {
				queue.ObjectiveFactor, queue.ObjectiveOffset = 1, time.Second
			},
		},
		{
			name: "not at the same priority", gang: true,
			change: func(_ *workload.Step, queue *workload.Queue) { queue.Priority = 1 },
		},
		{
			name: "not of a gang", gang: true,
			change: func(filler *workload.Step, _ *workload.Queue) { filler.Gang = true },
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				o := c.startOwner()
				claims := workload.Queue{Name: "claims", Service: testService, Priority: 2, MaxFailures: 3, ObjectiveFactor: 5, ObjectiveOffset: 10 * time.Second}
				filler := workload.Step{Count: 8, Need: resource.Amount{CPU: 4000, Memory: gigabyte}, Estimate: fillerWork, Checkpoints: true}
				if test.change != nil {
					test.change(&filler, &claims)
				}
				c.submitToQueue(o, claims, "filler", workload.Request{Spec: "f", Steps: []workload.Step{filler}}, fillerWork)
				time.Sleep(time.Second)
				desk := workload.Queue{Name: "desk", Service: testService, Priority: 1, MaxFailures: 3, ObjectiveFactor: 2, ObjectiveOffset: time.Second}
				if test.hasSlack {
					desk.ObjectiveFactor = 10
				}
				if test.advised {
					desk.Advice = workload.AdvicePolicy{CallLatency: 100 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second}
				}
				urgent := workload.Step{Count: 4, Need: resource.Amount{CPU: 4000, Memory: gigabyte}, Estimate: time.Second, Gang: test.gang}
				start := time.Now()
				c.submitToQueue(o, desk, "urgent", workload.Request{Spec: "u", Steps: []workload.Step{urgent}}, time.Second)
				c.awaitState(o, "urgent", workload.Completed, 12*time.Second)
				took := time.Since(start)
				if preempts := took < 3*time.Second; preempts != test.preempts {
					t.Errorf("completed after %v, so preemption is %v, want %v", took, preempts, test.preempts)
				}
				c.awaitState(o, "filler", workload.Completed, 20*time.Second)
			})
		})
	}
}

// slowAdvisor serves one call at a time, and delays calls for steps whose name has slowPrefix.
type slowAdvisor struct {
	fleet.Advisor
	slot       chan struct{}
	slowPrefix string
	delay      time.Duration
}

func (a *slowAdvisor) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	select {
	case a.slot <- struct{}{}:
	case <-ctx.Done():
		return fleet.Advice{}, &fleet.AdvisorError{Cause: ctx.Err()}
	}
	defer func() { <-a.slot }()
	if strings.HasPrefix(step, a.slowPrefix) {
		time.Sleep(a.delay)
	}
	return a.Advisor.Advise(ctx, step, workers)
}

// Expensive advice calls do not occupy all advice nodes, so that cheap calls for urgent jobs are
// not delayed.
func TestExpensiveAdviceCallsDoNotDelayCheapOnes(t *testing.T) {
	const (
		costlyCall = 800 * time.Millisecond
		cheapCalls = 60 // more than the local node alone can serve in time
	)
	withCell(t, 8, func(c *cell) {
		o := c.startOwner()
		var nodes []scheduler.AdviceNode
		for i := range 5 {
			advisor := &slowAdvisor{Advisor: c.fleet, slot: make(chan struct{}, 1), slowPrefix: "costly", delay: costlyCall}
			nodes = append(nodes, scheduler.AdviceNode{Node: fmt.Sprintf("node-%d", i), Self: i == 0, Advisor: advisor})
		}
		o.SetAdviceNodes(nodes)
		costly := workload.Queue{
			Name: "diagnostics-2", Service: testService, Priority: 1, MaxFailures: 3, ObjectiveFactor: 10, ObjectiveOffset: time.Second,
			Advice: workload.AdvicePolicy{CallLatency: costlyCall, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second},
		}
		for i := range 20 {
			c.submitToQueue(o, costly, fmt.Sprintf("costly-%02d", i), newRequest(1, 1000), time.Second)
		}
		cheap := workload.Queue{
			Name: "lookups", Service: testService, Priority: 0, MaxFailures: 3, ObjectiveFactor: 1.5, ObjectiveOffset: 250 * time.Millisecond,
			Advice: workload.AdvicePolicy{CallLatency: 10 * time.Millisecond, PerWorkerLatency: time.Millisecond, TicketTTL: 2 * time.Second},
		}
		start := time.Now()
		var submitted sync.WaitGroup
		for i := range cheapCalls {
			submitted.Go(func() {
				c.submitToQueue(o, cheap, fmt.Sprintf("cheap-%02d", i), newRequest(1, 1000), 200*time.Millisecond)
			})
		}
		submitted.Wait()
		for i := range cheapCalls {
			c.awaitState(o, fmt.Sprintf("cheap-%02d", i), workload.Completed, 5*time.Second)
		}
		if took := time.Since(start); took > 700*time.Millisecond {
			t.Errorf("cheap jobs completed after %v, want at most 700ms", took)
		}
	})
}
