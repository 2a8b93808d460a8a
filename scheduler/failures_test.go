package scheduler

import (
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// newGangFixture returns a fixture that has taken in the worker's first report, which lists all members of a gang
// as running.
func newGangFixture(t *testing.T, members int) *reportFixture {
	t.Helper()
	s := newReportFixture(t, members)
	s.job.rounds[0].steps[0].spec.Gang = true
	return s
}

// nextOwner returns the fixture of the next owner, which has loaded the stored progress of the job and has no
// report yet.
func (s *reportFixture) nextOwner(t *testing.T) *reportFixture {
	t.Helper()
	progress, err := workload.DecodeProgress(s.job.id, s.job.progress().Encode())
	if err != nil {
		t.Fatal(err)
	}
	return s.nextOwnerWith(t, progress)
}

func (s *reportFixture) nextOwnerWith(t *testing.T, progress workload.Progress) *reportFixture {
	t.Helper()
	next := newIdleReportFixture(t, *s.job.rounds[0].steps[0].spec)
	next.job.restore(progress, next.findOrAddWorker)
	return next
}

// reportEnds processes a report of the worker that lists ends and nothing else.
func (s *reportFixture) reportEnds(startTime int64, clock fleet.Clock, ends ...fleet.EndedAttempt) {
	s.handleReport(s.worker, fleet.Report{StartTime: startTime, Clock: clock, Ended: ends}, time.Now())
}

func newFailedEnd(sequence uint64, task string) fleet.EndedAttempt {
	return fleet.EndedAttempt{Sequence: sequence, Task: task, Number: 1, Outcome: fleet.Failed}
}

// assertFailures checks how many failures of the first task are stored.
func (s *reportFixture) assertFailures(t *testing.T, want int) {
	t.Helper()
	if got := s.job.progress().Steps[0].Tasks[0].Failures; got != want {
		t.Errorf("%d failures, want %d", got, want)
	}
}

// Guards against a job that is reported as failed too early: one attempt of a gang uses up several of its
// attempts if more than one of its members fails.
func TestAttemptOfGangFailsOnce(t *testing.T) {
	first, second := newFailedEnd(1, "job.0.0.0"), newFailedEnd(2, "job.0.0.1")
	t.Run("in one report", func(t *testing.T) {
		s := newGangFixture(t, 3)
		s.reportEnds(1, 6, first, second)
		s.assertFailures(t, 1)
	})
	t.Run("in two reports", func(t *testing.T) {
		s := newGangFixture(t, 2)
		s.reportEnds(1, 6, first)
		s.reportEnds(1, 7, first, second)
		s.assertFailures(t, 1)
	})
	t.Run("to two owners", func(t *testing.T) {
		s := newGangFixture(t, 2)
		s.reportEnds(1, 6, first)
		next := s.nextOwner(t)
		next.reportEnds(1, 7, second)
		next.assertFailures(t, 1)
	})
	t.Run("one is not acknowledged to the former owner", func(t *testing.T) {
		s := newGangFixture(t, 2)
		s.reportEnds(1, 6, first)
		next := s.nextOwner(t)
		next.reportEnds(1, 7, first, second)
		next.assertFailures(t, 1)
	})
	t.Run("one is read after the attempt was given up", func(t *testing.T) {
		s := newGangFixture(t, 2)
		s.exceedUnreadGracePeriod() // one member is given up, and the other is being stopped
		s.reportEnds(1, 7, first)
		s.reportEnds(1, 8, first, second)
		s.assertFailures(t, 1)
	})
}

// Guards against rows that grow with each failure of a large gang: only its first task lists the failed attempts.
func TestGangListsFailedAttemptsOnce(t *testing.T) {
	s := newGangFixture(t, 3)
	s.reportEnds(1, 6, newFailedEnd(1, "job.0.0.1"))
	for i, task := range s.job.progress().Steps[0].Tasks {
		if listed := task.FailedAttempts != nil; listed != (i == 0) || task.Failures != 1 {
			t.Errorf("task %d: failed attempts %v, %d failures; want a list in task 0 only, and 1 failure", i, task.FailedAttempts, task.Failures)
		}
	}
}

// Guards against counting a failure twice: the end of an attempt can be reported again.
func TestFailureReportedAgain(t *testing.T) {
	failed := newFailedEnd(1, "job.0.0.0")
	t.Run("to the next owner", func(t *testing.T) {
		s := newReportFixture(t, 1)
		s.reportEnds(1, 6, failed)
		next := s.nextOwner(t)
		next.reportEnds(1, 7, failed)
		next.assertFailures(t, 1)
	})
	t.Run("by another incarnation that executed the start late", func(t *testing.T) {
		s := newReportFixture(t, 1)
		s.reportEnds(1, 6, failed)
		s.reportEnds(2, 1, failed)
		s.assertFailures(t, 1)
	})
	t.Run("by another incarnation to the next owner", func(t *testing.T) {
		s := newReportFixture(t, 1)
		s.reportEnds(1, 6, failed)
		next := s.nextOwner(t)
		next.reportEnds(2, 1, failed)
		next.assertFailures(t, 1)
	})
}

// Guards against an attempt too many: the failure of an attempt that the former owner gave up is first read by
// the next one.
func TestLateFailureCountsForNextOwner(t *testing.T) {
	failed := newFailedEnd(1, "job.0.0.0")
	t.Run("once", func(t *testing.T) {
		s := newReportFixture(t, 1)
		s.giveUpUnreadableAttempt(t)
		next := s.nextOwner(t)
		for range 2 {
			next.reportEnds(1, 7, failed)
			next.assertFailures(t, 1)
		}
	})
	t.Run("not again if the former owner has counted it", func(t *testing.T) {
		s := newReportFixture(t, 1)
		s.giveUpUnreadableAttempt(t)
		s.reportEnds(1, 7, failed)
		s.assertFailures(t, 1)
		next := s.nextOwner(t)
		next.reportEnds(1, 8, failed)
		next.assertFailures(t, 1)
	})
	t.Run("once for two members of a gang", func(t *testing.T) {
		s := newGangFixture(t, 2)
		s.exceedUnreadGracePeriod()
		next := s.nextOwner(t)
		next.reportEnds(1, 7, failed)
		next.reportEnds(1, 8, failed, newFailedEnd(2, "job.0.0.1"))
		next.assertFailures(t, 1)
	})
}

// Guards against leaving out a failure: queues limit the failed attempts of a task whether or not a lease expired
// before the failure was read.
func TestFailureReadAfterItsLeaseExpiredCounts(t *testing.T) {
	s := newReportFixture(t, 1)
	s.expireAttempts(s.worker, "its lease has expired")
	s.assertFailures(t, 0)
	s.reportEnds(1, 7, newFailedEnd(1, "job.0.0.0"))
	s.assertFailures(t, 1)
}

// Guards against an attempt too many: a restarted worker executes a start again whose attempt did not fail before.
func TestFailureOfRepeatedAttemptCounts(t *testing.T) {
	s := newReportFixture(t, 1)
	stopped := newFailedEnd(1, "job.0.0.0")
	stopped.Outcome = fleet.Stopped
	s.reportEnds(1, 6, stopped)
	s.reportEnds(2, 1, newFailedEnd(1, "job.0.0.0"))
	s.assertFailures(t, 1)
}

// Guards against starting a gang too often, or failing it too early, after an upgrade during its attempts: rows
// of earlier builds hold only the number of failures, which those builds counted by member.
func TestFailuresStoredByEarlierBuild(t *testing.T) {
	cases := []struct {
		name           string
		attempt, count int
		ended          bool // the first member's attempt has ended
		want           int  // after the second member's attempt has failed
	}{
		{"no member of the latest attempt has ended", 2, 1, false, 2},
		{"a member of the latest attempt has ended", 2, 1, true, 1},
		{"members of one attempt were counted separately", 1, 2, true, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newGangFixture(t, 2)
			if test.ended {
				s.reportEnds(1, 6, newFailedEnd(1, "job.0.0.0"))
			}
			progress := s.job.progress()
			for i := range progress.Steps[0].Tasks {
				stored := &progress.Steps[0].Tasks[i]
				stored.Attempt, stored.Failures, stored.FailedAttempts = test.attempt, test.count, nil
			}
			next := s.nextOwnerWith(t, progress)
			end := newFailedEnd(2, "job.0.0.1")
			end.Number = test.attempt
			next.reportEnds(1, 7, end)
			next.assertFailures(t, test.want)
		})
	}
}

// Guards against a job that is reported as failed too early after an upgrade: the failure of an attempt that an earlier
// build has counted, but not acknowledged, is reported again after a later attempt has ended in another way.
func TestFailureCountedByEarlierBuildReportedAgain(t *testing.T) {
	fixtures := map[string]func(*testing.T) *reportFixture{
		"task": func(t *testing.T) *reportFixture { return newReportFixture(t, 1) },
		"gang": func(t *testing.T) *reportFixture { return newGangFixture(t, 2) },
	}
	for name, newFixture := range fixtures {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			failed := newFailedEnd(1, "job.0.0.0")
			s.reportEnds(1, 6, failed)
			progress := s.job.progress()
			for i := range progress.Steps[0].Tasks {
				stored := &progress.Steps[0].Tasks[i]
				stored.Attempt, stored.Failures, stored.FailedAttempts, stored.Worker = 2, 1, nil, ""
			}
			next := s.nextOwnerWith(t, progress)
			next.reportEnds(1, 7, failed)
			next.assertFailures(t, 1)
		})
	}
}
