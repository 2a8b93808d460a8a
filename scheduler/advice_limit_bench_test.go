package scheduler

import (
	"fmt"
	"testing"
	"time"

	"chutereach/resource"
)

// BenchmarkAdviceBacklog measures a dispatch pass over waiting steps without tickets on 1,100 workers. Half of the workers
// lack the CPU for a task and the others the memory, so that workers are examined for each step and none is asked about.
func BenchmarkAdviceBacklog(b *testing.B) {
	for _, jobs := range []int{150, 1500} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			f := newServiceFixture(b, 1100)
			for i, w := range f.workers {
				if w.used = (resource.Amount{CPU: 30_000}); i%2 == 0 {
					w.used = resource.Amount{CPU: 1000, Memory: w.info.Capacity.Memory}
				}
			}
			f.SetAdviceNodes([]AdviceNode{{Node: "self", Self: true, Advisor: &queueAdvisor{}}})
			spec := newBatch()
			spec.Need = resource.Amount{CPU: 16_000, Memory: 1 << 30}
			for range jobs {
				f.submit(newAdvisedQueue("q", time.Millisecond), spec)
			}
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(dispatchInterval)
				f.place()
			}
		})
	}
}
