package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/proptest"
	"chutereach/resource"
	"chutereach/workload"
)

// Guards against steps that never get advice because a bound on the room of workers is lower than what the step could
// use.
func TestRoomBoundNeverHidesWorker(t *testing.T) {
	draw := func(rt *rapid.T, name string, most int) resource.Amount {
		return resource.Amount{
			CPU:          resource.MilliCPU(rapid.IntRange(0, most).Draw(rt, name+" cpu") * 1000),
			Memory:       resource.Bytes(rapid.IntRange(0, most).Draw(rt, name+" memory")) << 30,
			Accelerators: int64(rapid.IntRange(0, 2).Draw(rt, name+" accelerators")),
		}
	}
	proptest.Check(t, func(rt *rapid.T) {
		f := newServiceFixture(t, rapid.IntRange(0, 4).Draw(rt, "workers"))
		for i, w := range f.workers {
			w.info.Labels = []string{rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "label")}
			w.info.Capacity = draw(rt, "capacity", 8).Plus(resource.Amount{CPU: 16_000, Memory: 16 << 30, Accelerators: 2})
			for n := range rapid.IntRange(0, 2).Draw(rt, "tasks") {
				queue := newQueue("running", "s", 3)
				queue.Priority = rapid.IntRange(1, 3).Draw(rt, "priority of a task")
				j := f.submit(queue, workload.Step{Count: 1, Need: draw(rt, "task", 10), Checkpoints: true, Estimate: time.Minute})
				running := j.rounds[0].steps[0].tasks[0]
				w.assign(running, taskRunning)
				running.startedAt = f.now.Add(-time.Duration(n+1) * time.Second)
			}
			w.discovered = rapid.IntRange(0, 9).Draw(rt, fmt.Sprint("lost ", i)) > 0
		}
		queue := newAdvisedQueue("waiting", time.Millisecond)
		queue.Priority = rapid.IntRange(0, 2).Draw(rt, "priority")
		j := f.submit(queue, workload.Step{
			Count: rapid.IntRange(1, 3).Draw(rt, "count"), Need: draw(rt, "need", 16), Gang: rapid.Bool().Draw(rt, "gang"),
			BestEffortCPU: rapid.Bool().Draw(rt, "best-effort"), RequiredLabel: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "required label"),
			Estimate: time.Second,
		})
		for _, w := range f.workers {
			w.lastReportAt = f.now
		}
		f.startPass(f.now)
		for _, c := range f.candidates(f.now) {
			if c.step.job != j {
				continue
			}
			c.urgency.MayPreempt = rapid.Bool().Draw(rt, "may preempt")
			c.quotaAllowance = len(c.step.tasks)
			c.tasks = c.placeableTasks()
			if named := f.workersToAsk(f.pass, c); len(named) > 0 && !f.pass.mayFitSomewhere(c) {
				rt.Fatalf("%d workers could be asked about, but the bound leaves no room", len(named))
			}
		}
	})
}
