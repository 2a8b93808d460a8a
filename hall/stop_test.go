package hall

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/config"
	"chutereach/job"
	"chutereach/provider"
	"chutereach/standin"
)

// A stop that is answered with JobNotFoundError must not be followed by a start: its caller takes the job as gone.
func TestStopIsNotDeniedWhileJobIsStored(t *testing.T) {
	t.Run("job is in the inbox", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 1)
			defer b.close()
			u := b.startOwner()
			time.Sleep(3500 * time.Millisecond)
			checkStopNotDenied(t, b, u, b.submit("again", 2))
		})
	})
	t.Run("job is accepted by the next owner", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 1)
			defer b.close()
			replaced := b.startOwner()
			next := b.startOwner()
			time.Sleep(3500 * time.Millisecond)
			id := b.submit("again", 2)
			next.NotifyInbox()
			time.Sleep(100 * time.Millisecond)
			checkStopNotDenied(t, b, replaced, id)
		})
	})
	t.Run("unit is loading", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 1)
			defer b.close()
			first := b.startOwner()
			time.Sleep(3 * time.Second)
			id := b.submit("again", 6) // of which four fit the worker at once
			time.Sleep(3 * time.Second)
			b.crash(first)
			b.table.Faults.Always(standin.Fault{Delay: 100 * time.Millisecond})
			next := b.newOwner()
			b.table.Faults.Clear()
			go next.Run()
			checkStopNotDenied(t, b, next, id)
		})
	})
}

// checkStopNotDenied stops a job and fails the test if the job is denied but its tasks run.
func checkStopNotDenied(t *testing.T, b *testBench, u *Unit, id job.ID) {
	t.Helper()
	err := u.StopJob(t.Context(), id)
	time.Sleep(5 * time.Second)
	if running := b.fleet.Witness.Running(); errors.As(err, new(*JobNotFoundError)) && running > 0 {
		t.Errorf("StopJob: %v, but %d tasks are running 5 s later", err, running)
	}
}

// A stop that is answered without an error must be stored: the next owner must not go on with the job.
func TestAnsweredStopSurvivesOwner(t *testing.T) {
	losses := map[string]func(*testBench, *Unit){
		"owner replaced before the stop":        func(b *testBench, _ *Unit) { b.newOwner() },
		"owner ends before the stop is written": func(*testBench, *Unit) {},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 1)
				defer func() { b.fleet.Close() }()
				u := b.startOwner()
				time.Sleep(3 * time.Second)
				id := b.submit("again", 6)
				time.Sleep(3 * time.Second)
				lose(b, u)
				err := u.StopJob(t.Context(), id)
				b.crash(u)
				time.Sleep(testOwnershipTTL)
				next := b.startOwner()
				time.Sleep(5 * time.Second)
				if s, _ := next.Job(id); err == nil && !s.Job.Stopped {
					t.Errorf("the stop was answered without an error, but the next owner goes on with the job: %s", b.taskCounts(next, id))
				}
				u.Stop()
				next.Stop()
			})
		})
	}
}

// A settlement that is answered without an error must be stored: to the next owner, the task must not be unknown.
func TestAnsweredSettlementSurvivesOwner(t *testing.T) {
	losses := map[string]func(*testBench, *Unit){
		"owner replaced before the settlement":        func(b *testBench, _ *Unit) { b.newOwner() },
		"owner ends before the settlement is written": func(*testBench, *Unit) {},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 1)
				defer func() { b.fleet.Close() }()
				u := b.startOwner()
				time.Sleep(3 * time.Second)
				id := b.submit("once", 1)
				time.Sleep(3 * time.Second)
				b.fleet.Reboot("w00")
				time.Sleep(time.Minute)
				lose(b, u)
				err := u.Settle(t.Context(), id, 0, job.Done)
				b.crash(u)
				time.Sleep(testOwnershipTTL)
				next := b.startOwner()
				time.Sleep(5 * time.Second)
				if got := b.taskCounts(next, id); err == nil && got != "done:1" {
					t.Errorf("the settlement was answered without an error, but to the next owner the tasks are %s", got)
				}
				u.Stop()
				next.Stop()
			})
		})
	}
}

// A stop must not be lost to a template update whose commit is pending, nor end the unit by a conflict with it.
func TestStopDuringTemplateUpdate(t *testing.T) {
	for _, rows := range []int{DefaultSettings.BatchRows, 1} { // both changes in one transaction, or in two
		t.Run(fmt.Sprintf("%d rows per transaction", rows), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 1)
				defer b.close()
				u := b.newOwner()
				u.settings.BatchRows = rows
				go u.Run()
				id := b.submit("replica", 3)
				time.Sleep(10 * time.Second)
				b.table.Faults.Always(standin.Fault{Delay: 100 * time.Millisecond})
				b.updateConfig(u, func(s *config.Set) { changeCommand(b, s) })
				if err := u.StopJob(t.Context(), id); err != nil {
					t.Errorf("StopJob: %v", err)
				}
				time.Sleep(time.Minute)
				if got := b.taskCounts(u, id); got != "stopped:3" {
					t.Errorf("tasks by state: %s, want stopped:3", got)
				}
				if n := b.fleet.Witness.Running(); n != 0 {
					t.Errorf("%d tasks are running a minute after the job was stopped, want 0", n)
				}
			})
		})
	}
}

// A stop of a job that is not stored must be answered as such: callers take other errors as a reason to repeat the call.
func TestUnknownJobIsDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 1)
		defer b.close()
		u := b.startOwner()
		if err := u.StopJob(t.Context(), job.NewID("h")); !errors.As(err, new(*JobNotFoundError)) {
			t.Errorf("StopJob: %v, want a JobNotFoundError", err)
		}
	})
}

// A stop whose job cannot be looked up in the table must not be denied.
func TestStopIsNotDeniedWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 1)
		defer b.close()
		u := b.startOwner()
		time.Sleep(3 * time.Second)
		b.table.Faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
		if err := u.StopJob(t.Context(), job.NewID("h")); !errors.As(err, new(*UnavailableError)) {
			t.Errorf("StopJob: %v, want an UnavailableError", err)
		}
		b.table.Faults.Clear()
	})
}

// No task of a job may start after its stop was answered, even if its grant was committed before.
func TestNoStartAfterAnsweredStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 1)
		defer b.close()
		u := b.startOwner()
		time.Sleep(3 * time.Second)
		// The worker starts the first task at once, but the start calls of the others wait for its answer.
		b.fleet.Faults.Set(func(op standin.Op, _ string) standin.Fault {
			if op == standin.OpStart {
				return standin.Fault{AnswerLate: time.Second}
			}
			return standin.Fault{}
		})
		id := b.submit("again", 4)
		u.NotifyInbox()
		time.Sleep(100 * time.Millisecond)
		if err := u.StopJob(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		before := len(b.fleet.Witness.Starts())
		time.Sleep(time.Minute)
		if after := len(b.fleet.Witness.Starts()); before != 1 || after != before {
			t.Errorf("tasks started: %d when the stop was answered and %d a minute later, want 1 and 1", before, after)
		}
		if got := b.taskCounts(u, id); got != "stopped:4" {
			t.Errorf("tasks by state: %s, want stopped:4", got)
		}
	})
}
