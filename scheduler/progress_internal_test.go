package scheduler

import (
	"testing"
	"time"

	"chutereach/account"
	"chutereach/fleet"
	"chutereach/workload"
)

// A row tells the address of each worker once for a step, however many of its tasks are there.
func TestAnAddressIsWrittenOnce(t *testing.T) {
	record := workload.Record{Request: workload.Request{Steps: []workload.Step{{Count: 6}}}}
	j := newJob("j", record, newAccountState(account.Terms{}), time.Now())
	hosts := []*worker{
		newWorker(fleet.Worker{Life: fleet.Life{ID: "a"}, Address: "10.0.0.1:80"}),
		newWorker(fleet.Worker{Life: fleet.Life{ID: "b"}, Address: "10.0.0.2:80"}),
	}
	for i, task := range j.rounds[0].steps[0].tasks {
		task.attempt = 1
		hosts[i%len(hosts)].host(task, taskGranted)
	}
	told := map[string]int{}
	for _, task := range j.progress().Steps[0].Tasks {
		if task.Address != "" {
			told[task.Worker+" "+task.Address]++
		}
	}
	if len(told) != 2 || told["a 10.0.0.1:80"] != 1 || told["b 10.0.0.2:80"] != 1 {
		t.Errorf("addresses: %v", told)
	}
}
