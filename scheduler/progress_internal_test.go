package scheduler

import (
	"testing"
	"time"

	"chutereach/account"
	"chutereach/fleet"
	"chutereach/workload"
)

// A progress row lists the address of a worker once per step, even if several tasks run on it.
func TestProgressListsWorkerAddressOnce(t *testing.T) {
	record := workload.Record{Request: workload.Request{Steps: []workload.Step{{Count: 6}}}}
	j := newJob("j", record, newAccountState(account.Terms{}), time.Now())
	hosts := []*worker{
		newWorker(fleet.Worker{Incarnation: fleet.Incarnation{ID: "a"}, Address: "10.0.0.1:80"}),
		newWorker(fleet.Worker{Incarnation: fleet.Incarnation{ID: "b"}, Address: "10.0.0.2:80"}),
	}
	for i, task := range j.rounds[0].steps[0].tasks {
		task.attempt = 1
		hosts[i%len(hosts)].assign(task, taskGranted)
	}
	addressCount := map[string]int{}
	for _, task := range j.progress().Steps[0].Tasks {
		if task.Address != "" {
			addressCount[task.Worker+" "+task.Address]++
		}
	}
	if len(addressCount) != 2 || addressCount["a 10.0.0.1:80"] != 1 || addressCount["b 10.0.0.2:80"] != 1 {
		t.Errorf("addresses by worker: %v, want each of two workers once", addressCount)
	}
}
