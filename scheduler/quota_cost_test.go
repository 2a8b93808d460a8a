package scheduler

import (
	"testing"
	"time"

	"chutereach/account"
	"chutereach/resource"
	"chutereach/urgency"
	"chutereach/workload"
)

// BenchmarkAllowed measures the quota check of one step in a dispatch pass.
func BenchmarkAllowed(b *testing.B) {
	a := newAccountState(account.Terms{Name: "a", Weight: 4, Quota: account.Quota{CPU: 900_000, Memory: 4 << 40}})
	spec := workload.Step{Count: 40, Need: resource.Amount{CPU: 3_500, Memory: 13 << 30}}
	st := &step{job: &job{account: a}, spec: &spec, tasksLeft: spec.Count}
	for b.Loop() {
		if st.allowedTasks() == 0 {
			b.Fatal("quota allows no task, want at least one")
		}
	}
}

// BenchmarkCompare measures one comparison of two steps by urgency.
func BenchmarkCompare(b *testing.B) {
	now := time.Unix(1000, 0)
	x := urgency.Assess(urgency.Step{Priority: 1, Arrived: now, Deadline: now.Add(9 * time.Second), CriticalPath: 4 * time.Second}, now)
	y := urgency.Assess(urgency.Step{Priority: 1, Arrived: now, Deadline: now.Add(8 * time.Second), CriticalPath: 2 * time.Second, OverShare: true}, now)
	for b.Loop() {
		if urgency.Compare(x, y) >= 0 {
			b.Fatal("step over the account's share sorts first, want it last")
		}
	}
}
