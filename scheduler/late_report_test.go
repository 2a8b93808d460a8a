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

// reportFixture is a scheduler with one worker and a job whose tasks run there.
type reportFixture struct {
	*Scheduler
	worker *worker
	job    *job
}

// newReportFixture returns a fixture that has taken in the worker's first report, which lists all
// tasks as running.
func newReportFixture(t *testing.T, tasks int) *reportFixture {
	t.Helper()
	s := newIdleReportFixture(t, workload.Step{Count: tasks})
	report := fleet.Report{StartTime: 1, Clock: 5}
	for _, task := range s.job.rounds[0].steps[0].tasks {
		s.worker.assign(task, taskStarting)
		task.attempt, task.startSent = 1, true
		report.Running = append(report.Running, fleet.Attempt{Task: task.id().String(), Number: 1})
	}
	s.handleReport(s.worker, report, time.Now())
	return s
}

// newIdleReportFixture returns a fixture whose worker has not reported, and whose job has not started.
func newIdleReportFixture(t *testing.T, step workload.Step) *reportFixture {
	t.Helper()
	term, err := leadership.Acquire(t.Context(), memory.New().NewClient(), "main", "node", "address", leadership.ObservedRow{})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Shard: "main", Lease: time.Second}, memory.New(), nil, term, NewMetrics(), zerolog.Nop())
	w := s.addIncarnation(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartTime: 1}, Service: "s"})
	queue := workload.Queue{Name: "q", Service: "s", MaxFailures: 3}
	request := workload.Request{Steps: []workload.Step{step}}
	j := newJob("job", workload.Record{Request: request, Queue: queue}, s.accountOf(account.Terms{}), time.Now())
	s.jobs[j.id], s.active[j.id] = j, j
	return &reportFixture{s, w, j}
}

func newDoneEnd(sequence uint64, task string) fleet.EndedAttempt {
	return fleet.EndedAttempt{Sequence: sequence, Task: task, Number: 1, Outcome: fleet.Done}
}

// Guards against losing a finished task: a report from before the worker's restart is processed
// after the first report since the restart, and its ends still count.
func TestReportReadAfterWorkerRestart(t *testing.T) {
	s := newReportFixture(t, 1)
	sent := time.Now()
	s.handleReport(s.worker, fleet.Report{StartTime: 2, Clock: 1}, time.Now())
	if s.job.state.Final() || s.workers[fleet.Incarnation{ID: "w", StartTime: 2}] == nil || s.workers[s.worker.info.Incarnation] != nil {
		t.Fatalf("after the restart: the job is %s, the workers are %v; want a running job and only the worker born at 2", s.job.state, s.workers)
	}
	s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 6, Ended: []fleet.EndedAttempt{newDoneEnd(1, "job.0.0.0")}}, sent)
	if s.job.state != workload.Completed {
		t.Errorf("the job is %s, want completed", s.job.state)
	}
}

// An unreadable row of a report affects only its own attempt: other rows are processed, the attempt
// is not considered lost, and its end is not acknowledged before it was read.
func TestUnreadableReportRow(t *testing.T) {
	s := newReportFixture(t, 3)
	s.handleReport(s.worker, fleet.Report{
		StartTime: 1, Clock: 6, UndecodedRows: 1, UndecodedFrom: 2, Ended: []fleet.EndedAttempt{newDoneEnd(1, "job.0.0.0"), newDoneEnd(3, "job.0.0.2")},
	}, time.Now())
	s.job.saved = s.job.generation
	s.worker.advancePersisted()
	if got := s.worker.ackableSequence(); got != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", got)
	}
	if left := s.job.rounds[0].steps[0].tasksLeft; left != 1 || s.worker.tasks["job.0.0.1"] == nil {
		t.Errorf("%d tasks are left, want 1 with a running attempt", left)
	}
	s.handleReport(s.worker, fleet.Report{
		StartTime: 1, Clock: 7, Ended: []fleet.EndedAttempt{newDoneEnd(2, "job.0.0.1"), newDoneEnd(3, "job.0.0.2")},
	}, time.Now())
	if got := s.worker.ackableSequence(); got != 1 {
		t.Errorf("ends up to %d are acknowledged before the store has the end, want 1", got)
	}
	s.job.saved = s.job.generation
	s.worker.advancePersisted()
	if got := s.worker.ackableSequence(); got != 3 || s.job.state != workload.Completed {
		t.Errorf("ends up to %d are acknowledged and the job is %s, want 3 and completed", got, s.job.state)
	}
}

// giveUpUnreadableAttempt makes the worker report a row that cannot be read in place of the task's attempt,
// until the owner gives the attempt up.
func (s *reportFixture) giveUpUnreadableAttempt(t *testing.T) {
	t.Helper()
	s.exceedUnreadGracePeriod()
	if len(s.worker.tasks) > 0 {
		t.Fatal("the attempt was not given up")
	}
}

// exceedUnreadGracePeriod makes the worker report a row that cannot be read in place of all attempts, for longer
// than unreadGracePeriod.
func (s *reportFixture) exceedUnreadGracePeriod() {
	unreadable := fleet.Report{StartTime: 1, Clock: 6, UndecodedRows: 1, UndecodedFrom: 1}
	s.handleReport(s.worker, unreadable, time.Now())
	s.worker.unreadSince = time.Now().Add(-unreadGracePeriod)
	s.handleReport(s.worker, unreadable, time.Now())
}

// assertAckedOnceStored checks that the worker's first end is acknowledged only after its job is
// stored.
func (s *reportFixture) assertAckedOnceStored(t *testing.T) {
	t.Helper()
	if got := s.worker.ackableSequence(); got != 0 {
		t.Errorf("ends up to %d are acknowledged before the store has the end, want 0", got)
	}
	s.job.saved = s.job.generation
	s.worker.advancePersisted()
	if got := s.worker.ackableSequence(); got != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", got)
	}
}

// Guards against repeating a finished task: if the end of an attempt that was given up were acknowledged
// before it is stored, the next owner would not know of it.
func TestLateEndIsStoredBeforeItsAcknowledgement(t *testing.T) {
	s := newReportFixture(t, 1)
	s.giveUpUnreadableAttempt(t)
	s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 7, Ended: []fleet.EndedAttempt{newDoneEnd(1, "job.0.0.0")}}, time.Now())
	if s.job.state != workload.Completed {
		t.Errorf("the job is %s, want completed", s.job.state)
	}
	s.assertAckedOnceStored(t)
}

// Guards against an attempt too many: a failure counts once, also if it can be read only after the
// attempt was given up.
func TestUnreadableFailureCounts(t *testing.T) {
	s := newReportFixture(t, 1)
	s.giveUpUnreadableAttempt(t)
	failed := fleet.Report{StartTime: 1, Clock: 7, Ended: []fleet.EndedAttempt{{Sequence: 1, Task: "job.0.0.0", Number: 1, Outcome: fleet.Failed}}}
	for range 2 {
		s.handleReport(s.worker, failed, time.Now())
		s.assertFailures(t, 1)
	}
	s.assertAckedOnceStored(t)
}
