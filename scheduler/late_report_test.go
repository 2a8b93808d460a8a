package scheduler

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// A report that a former life gave before its end overtakes none of the next one's, but may be
// read after it. What was done is done.
func TestAReportOfAFormerLifeThatIsReadLate(t *testing.T) {
	former, next := fleet.Life{ID: "w", Born: 1}, fleet.Life{ID: "w", Born: 2}
	term, err := leadership.Take(t.Context(), memory.New().Caller(), "main", "node", "address", leadership.Sighting{})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Shard: "main", Lease: time.Second}, memory.New(), nil, term, NewMetrics(), zerolog.Nop())
	w := s.enter(fleet.Worker{Life: former, Service: "s"})
	queue := workload.Queue{Name: "q", Service: "s", Attempts: 3}
	request := workload.Request{Steps: []workload.Step{{Count: 1}}}
	j := newJob("job", workload.Record{Request: request, Queue: queue}, s.accountOf(workload.Record{}.Account), time.Now())
	s.jobs[j.id], s.active[j.id] = j, j
	w.host(j.rounds[0].steps[0].tasks[0], taskStarting)
	j.rounds[0].steps[0].tasks[0].attempt = 1
	sent := time.Now()
	s.takeReport(w, fleet.Report{Born: former.Born, Clock: 5, Running: []fleet.Attempt{{Task: "job.0.0.0", Number: 1}}}, sent)
	s.takeReport(w, fleet.Report{Born: next.Born, Clock: 1}, time.Now())
	if j.state.Final() || s.workers[next] == nil || s.workers[former] != nil {
		t.Fatalf("the job is %s, the lives are %v", j.state, s.workers)
	}
	s.takeReport(w, fleet.Report{
		Born: former.Born, Clock: 6, Ended: []fleet.End{{Sequence: 1, Task: "job.0.0.0", Number: 1, Outcome: fleet.Done}},
	}, sent)
	if j.state != workload.Completed {
		t.Errorf("the job is %s, want completed", j.state)
	}
}
