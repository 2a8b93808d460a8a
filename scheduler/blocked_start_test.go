package scheduler

import (
	"testing"
	"time"

	"chutereach/account"
	"chutereach/leadership"
	"chutereach/resource"
	"chutereach/workload"
)

// Guards against a task that runs twice: a start extends its worker's lease beyond the stored bound, or after a release.
func TestStartsDoNotExtendBlockedLeases(t *testing.T) {
	bound := func(f *storedFixture, task *task) { task.worker.extensionBlocked = true }
	release := func(f *storedFixture, _ *task) { f.released = leadership.Release{Term: "t", Sequence: 1 << 40} }
	cases := []struct {
		name  string
		block func(*storedFixture, *task)
		sent  bool // an earlier call may have reached the worker
		want  startDecision
	}{
		{"not blocked", func(*storedFixture, *task) {}, false, startSend},
		{"bound stored", bound, false, startAbandon},
		{"bound stored, start sent before", bound, true, startHold},
		{"lease released", release, false, startHold},
		{"lease released, start sent before", release, true, startHold},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newStoredFixture(t, 2, 5, rowLimits{})
			request := workload.Request{Steps: []workload.Step{{Count: 1, Need: resource.Amount{CPU: 500}}}}
			j := newJob("job", workload.Record{Request: request, Queue: newQueue("q", "s", 3), AcceptedAt: f.now.UnixMilli()}, newAccountState(account.Terms{}), f.now)
			f.jobs[j.id], f.active[j.id] = j, j
			f.place()
			task := f.hostedTasks()[0]
			task.state, task.startSent = taskStarting, test.sent
			worker := task.worker
			test.block(f, task)
			before := worker.leaseExpiry
			_, _, got := f.startOrder(task, task.attempt, time.Now().Add(startValidity))
			if got != test.want {
				t.Errorf("startOrder() = %v, want %v", got, test.want)
			}
			if extended := worker.leaseExpiry.After(before); extended != (test.want == startSend) {
				t.Errorf("lease is extended: %v, want %v", extended, test.want == startSend)
			}
		})
	}
}
