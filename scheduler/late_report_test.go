package scheduler

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chutereach/account"
	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// reportFixture is a scheduler with one worker that runs tasks of a job, as of its first report.
type reportFixture struct {
	*Scheduler
	worker *worker
	job    *job
}

// newReportFixture returns a scheduler whose worker runs a number of tasks.
func newReportFixture(t *testing.T, tasks int) *reportFixture {
	t.Helper()
	term, err := leadership.Take(t.Context(), memory.New().Caller(), "main", "node", "address", leadership.Sighting{})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Shard: "main", Lease: time.Second}, memory.New(), nil, term, NewMetrics(), zerolog.Nop())
	w := s.enter(fleet.Worker{Life: fleet.Life{ID: "w", Born: 1}, Service: "s"})
	queue := workload.Queue{Name: "q", Service: "s", Attempts: 3}
	request := workload.Request{Steps: []workload.Step{{Count: tasks}}}
	j := newJob("job", workload.Record{Request: request, Queue: queue}, s.accountOf(account.Terms{}), time.Now())
	s.jobs[j.id], s.active[j.id] = j, j
	report := fleet.Report{Born: 1, Clock: 5}
	for _, task := range j.rounds[0].steps[0].tasks {
		w.host(task, taskStarting)
		task.attempt, task.told = 1, true
		report.Running = append(report.Running, fleet.Attempt{Task: task.id().String(), Number: 1})
	}
	s.takeReport(w, report, time.Now())
	return &reportFixture{s, w, j}
}

func newDoneEnd(sequence uint64, task string) fleet.End {
	return fleet.End{Sequence: sequence, Task: task, Number: 1, Outcome: fleet.Done}
}

// A report that a former life gave before its end overtakes none of the next one's, but may be
// read after it. What was done is done.
func TestReportReadAfterWorkerRestart(t *testing.T) {
	s := newReportFixture(t, 1)
	sent := time.Now()
	s.takeReport(s.worker, fleet.Report{Born: 2, Clock: 1}, time.Now())
	if s.job.state.Final() || s.workers[fleet.Life{ID: "w", Born: 2}] == nil || s.workers[s.worker.info.Life] != nil {
		t.Fatalf("the job is %s, the lives are %v", s.job.state, s.workers)
	}
	s.takeReport(s.worker, fleet.Report{Born: 1, Clock: 6, Ended: []fleet.End{newDoneEnd(1, "job.0.0.0")}}, sent)
	if s.job.state != workload.Completed {
		t.Errorf("the job is %s, want completed", s.job.state)
	}
}

// A row of a report that cannot be read costs no more than that row: the others count, the attempt
// is not taken for lost at once, and its end is not acknowledged away.
func TestUnreadableReportRow(t *testing.T) {
	s := newReportFixture(t, 3)
	s.takeReport(s.worker, fleet.Report{
		Born: 1, Clock: 6, Unread: 1, UnreadFrom: 2, Ended: []fleet.End{newDoneEnd(1, "job.0.0.0"), newDoneEnd(3, "job.0.0.2")},
	}, time.Now())
	s.job.saved = s.job.generation
	s.worker.advanceNoted()
	if got := s.worker.acknowledged(); got != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", got)
	}
	if left := s.job.rounds[0].steps[0].left; left != 1 || s.worker.tasks["job.0.0.1"] == nil {
		t.Errorf("%d tasks are left, want one that is not lost", left)
	}
	s.takeReport(s.worker, fleet.Report{
		Born: 1, Clock: 7, Ended: []fleet.End{newDoneEnd(2, "job.0.0.1"), newDoneEnd(3, "job.0.0.2")},
	}, time.Now())
	if got := s.worker.acknowledged(); got != 1 {
		t.Errorf("ends up to %d are acknowledged before the store has the end, want 1", got)
	}
	s.job.saved = s.job.generation
	s.worker.advanceNoted()
	if got := s.worker.acknowledged(); got != 3 || s.job.state != workload.Completed {
		t.Errorf("ends up to %d are acknowledged and the job is %s, want 3 and completed", got, s.job.state)
	}
}
