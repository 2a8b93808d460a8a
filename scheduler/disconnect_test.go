package scheduler

import (
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// Guards against a job that is reported as failed because of connections that broke before its attempts began: their
// workers answered again, ran the attempts, and restarted later without another broken connection.
func TestEarlierDisconnectIsNoEvidence(t *testing.T) {
	s := newIdleReportFixture(t, workload.Step{Count: 1})
	task := s.job.rounds[0].steps[0].tasks[0]
	for startTime := int64(1); startTime <= 3; startTime++ {
		w := s.workers[fleet.Incarnation{ID: "w", StartTime: startTime}]
		w.unresponsive, w.connectionClosed, w.unresponsiveSince = true, true, time.Now().Add(-10*time.Second)
		s.handleReport(w, fleet.Report{StartTime: startTime, Clock: 1}, time.Now())
		task.attempt++
		w.assign(task, taskStarting)
		if _, _, decision := s.startOrder(task, task.attempt, time.Now().Add(startValidity)); decision != startSend {
			t.Fatal("the start is not sent")
		}
		s.markRunning(task, time.Now().Add(-5*time.Second))
		s.handleReport(w, fleet.Report{StartTime: startTime + 1, Clock: 1}, time.Now())
		if task.hosted() {
			t.Fatal("the attempt is not lost with its worker")
		}
	}
	if s.job.state.Final() {
		t.Errorf("the job is %q, want it to be retried", s.job.state)
	}
}

// Guards against a job that is reported as failed for crashes although its worker has reported the end of an attempt:
// an attempt that fails before any report lists it as running, and whose start got no answer, shows as much as another.
func TestFailureWithoutStartAnswerIsNoCrash(t *testing.T) {
	s := newIdleReportFixture(t, workload.Step{Count: 1})
	task := s.job.rounds[0].steps[0].tasks[0]
	task.crashes.UnsurvivedLosses = 4
	s.worker.assign(task, taskStarting)
	task.attempt, task.startSent = 1, true
	s.reportEnds(1, 1, newFailedEnd(1, "job.0.0.0"))
	if !task.crashes.IsEmpty() {
		t.Errorf("the crash record is %+v, want it to be empty", task.crashes)
	}
}
