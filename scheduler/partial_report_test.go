package scheduler

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// partialReport returns a partial report of an incarnation that lists some of the fixture's tasks as running.
func partialReport(startTime int64, running ...int) fleet.Report {
	report := fleet.Report{StartTime: startTime, Clock: 6, Partial: true}
	for _, index := range running {
		report.Running = append(report.Running, fleet.Attempt{Task: taskName(index), Number: 1})
	}
	return report
}

func taskName(index int) string { return fmt.Sprintf("job.0.0.%d", index) }

// assertHosted checks on which incarnation the attempt of a task is; 0 stands for none.
func (s *reportFixture) assertHosted(t *testing.T, index int, startTime int64) {
	t.Helper()
	var got int64
	if w := s.job.rounds[0].steps[0].tasks[index].worker; w != nil {
		got = w.info.StartTime
	}
	if got != startTime {
		t.Errorf("%s is on the incarnation born at %d, want %d", taskName(index), got, startTime)
	}
}

// Guards against tasks that are run again because the report that lists them was not read to its end. What was read
// of it counts, and the worker with it as answering.
func TestPartialReportLosesNoAttempt(t *testing.T) {
	s := newReportFixture(t, 3)
	s.worker.unresponsive = true
	report := partialReport(1, 0)
	report.Ended = []fleet.EndedAttempt{newDoneEnd(1, taskName(1))}
	s.handleReport(s.worker, report, time.Now())
	if s.worker.unresponsive {
		t.Error("the worker counts as unresponsive")
	}
	s.assertHosted(t, 0, 1)
	s.assertHosted(t, 1, 0)
	s.assertHosted(t, 2, 1)
	s.assertAckedOnceStored(t)
	s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 7, Running: report.Running}, time.Now())
	s.assertHosted(t, 0, 1)
	s.assertHosted(t, 2, 0)
}

// Guards against acknowledging an end that could not be decoded, because a report was cut off before its row.
func TestPartialReportAcknowledgesNoUnreadEnd(t *testing.T) {
	s := newReportFixture(t, 3)
	s.handleReport(s.worker, fleet.Report{
		StartTime: 1, Clock: 6, UndecodedRows: 1, UndecodedFrom: 2, Ended: []fleet.EndedAttempt{newDoneEnd(1, taskName(0)), newDoneEnd(3, taskName(2))},
	}, time.Now())
	s.job.saved = s.job.generation
	s.worker.advancePersisted()
	for _, ended := range [][]fleet.EndedAttempt{nil, {newDoneEnd(1, taskName(0))}} {
		s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 7, Partial: true, Ended: ended}, time.Now())
		if got := s.worker.ackableSequence(); got != 1 {
			t.Errorf("after %d ends of a partial report, ends up to %d are acknowledged, want 1", len(ended), got)
		}
	}
	s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 8, Partial: true, Ended: []fleet.EndedAttempt{newDoneEnd(2, taskName(1))}}, time.Now())
	s.job.saved = s.job.generation
	s.worker.advancePersisted()
	if got := s.worker.ackableSequence(); got != 2 || s.job.state != workload.Completed {
		t.Errorf("ends up to %d are acknowledged and the job is %s, want 2 and completed", got, s.job.state)
	}
}

// Guards against starts on a worker whose capacity is taken by attempts that a partial report leaves out.
func TestPartialReportKeepsForeignAttempts(t *testing.T) {
	s := newReportFixture(t, 1)
	foreign := fleet.Attempt{Task: "other.0.0.0", Number: 1}
	s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 6, Running: []fleet.Attempt{foreign, {Task: taskName(0), Number: 1}}}, time.Now())
	s.handleReport(s.worker, partialReport(1, 0), time.Now())
	if s.worker.foreignAttempts != 1 {
		t.Errorf("%d foreign attempts after a partial report, want 1", s.worker.foreignAttempts)
	}
	s.handleReport(s.worker, fleet.Report{StartTime: 1, Clock: 7}, time.Now())
	if s.worker.foreignAttempts != 0 {
		t.Errorf("%d foreign attempts after a report without any, want 0", s.worker.foreignAttempts)
	}
}

// Guards against a task that runs twice: the next incarnation may have executed a start that was sent to the former
// one and list it beyond what was read.
func TestPartialReportAfterWorkerRestart(t *testing.T) {
	for name, report := range map[string]fleet.Report{
		"not read to its end": partialReport(2, 0),
		"more ends to come":   {StartTime: 2, Clock: 1, MoreEnds: true, Running: []fleet.Attempt{{Task: taskName(0), Number: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newReportFixture(t, 2)
			s.handleReport(s.worker, report, time.Now())
			s.assertHosted(t, 0, 2)
			s.assertHosted(t, 1, 2)
			if state := s.job.rounds[0].steps[0].tasks[1].state; state != taskStopping {
				t.Errorf("%s is in state %v, want stopping", taskName(1), state)
			}
			s.job.rounds[0].steps[0].tasks[1].stoppedAt = time.Now()
			next := s.workers[fleet.Incarnation{ID: "w", StartTime: 2}]
			s.handleReport(next, fleet.Report{StartTime: 2, Clock: 9, Running: []fleet.Attempt{{Task: taskName(0), Number: 1}}}, time.Now().Add(time.Millisecond))
			s.assertHosted(t, 0, 2)
			s.assertHosted(t, 1, 0)
		})
	}
}
