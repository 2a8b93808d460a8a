package scheduler

import (
	"testing"
	"time"

	"chutereach/account"
	"chutereach/resource"
	"chutereach/urgency"
	"chutereach/workload"
)

// BenchmarkAllowed is what the check of a quota costs a step in a look: 23 ns on a busy
// machine; there was no check before.
func BenchmarkAllowed(b *testing.B) {
	a := newAccountState(account.Terms{Name: "a", Weight: 4, Quota: account.Quota{CPU: 900_000, Memory: 4 << 40}})
	spec := workload.Step{Count: 40, Need: resource.Amount{CPU: 3_500, Memory: 13 << 30}}
	st := &step{job: &job{account: a}, spec: &spec, left: spec.Count}
	for b.Loop() {
		if st.allowed() == 0 {
			b.Fatal("none may start")
		}
	}
}

// BenchmarkCompare is what the order of two steps costs: 37 ns on a busy machine.
func BenchmarkCompare(b *testing.B) {
	now := time.Unix(1000, 0)
	x := urgency.Judge(urgency.Work{Priority: 1, Arrived: now, Deadline: now.Add(9 * time.Second), Chain: 4 * time.Second}, now)
	y := urgency.Judge(urgency.Work{Priority: 1, Arrived: now, Deadline: now.Add(8 * time.Second), Chain: 2 * time.Second, Beyond: true}, now)
	for b.Loop() {
		if urgency.Compare(x, y) >= 0 {
			b.Fatal("what is owed goes first")
		}
	}
}
