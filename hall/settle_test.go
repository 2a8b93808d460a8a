package hall

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/job"
	"chutereach/standin"
)

// A task that is settled twice must take the first outcome, be counted once, and leave the unit running.
func TestSettleTwiceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 1)
		defer b.close()
		u := b.startOwner()
		id := b.submit("once", 2)
		time.Sleep(3 * time.Second)
		b.fleet.Reboot("w00")
		time.Sleep(time.Minute)
		b.table.Faults.Always(standin.Fault{Delay: 100 * time.Millisecond})
		results := make(chan error, 2)
		for range 2 {
			go func() { results <- u.Settle(t.Context(), id, 0, job.Done) }()
		}
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first // both calls return after the same commit, in any order
		}
		if first != nil || !errors.As(second, new(*job.SettleError)) {
			t.Errorf("answers: %v and %v, want nil and a SettleError", first, second)
		}
		s, _ := u.Job(id)
		if got := b.taskCounts(u, id); got != "done:1 unknown:1" || s.Final() {
			t.Errorf("tasks by state: %s, job is final: %t, want done:1 unknown:1 and a job that is not final", got, s.Final())
		}
		if err := u.ctx.Err(); err != nil {
			t.Errorf("the unit has ended: %v", context.Cause(u.ctx))
		}
	})
}

// A settlement must not be answered with JobNotFoundError while its job is stored.
func TestSettlementIsNotDeniedWhileJobIsStored(t *testing.T) {
	t.Run("job is in the inbox", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 1)
			defer b.close()
			u := b.startOwner()
			time.Sleep(3500 * time.Millisecond)
			err := u.Settle(t.Context(), b.submit("once", 1), 0, job.Done)
			if !errors.As(err, new(*job.SettleError)) {
				t.Errorf("Settle: %v, want a SettleError: the task is not unknown", err)
			}
		})
	})
	t.Run("unit is loading", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 1)
			defer b.close()
			first := b.startOwner()
			id := b.submit("once", 1)
			time.Sleep(3 * time.Second)
			b.fleet.Reboot("w00")
			time.Sleep(time.Minute)
			b.crash(first)
			b.table.Faults.Always(standin.Fault{Delay: 100 * time.Millisecond})
			next := b.newOwner()
			go next.Run()
			if err := next.Settle(t.Context(), id, 0, job.Done); err != nil {
				t.Errorf("Settle: %v", err)
			}
			if got := b.taskCounts(next, id); got != "done:1" {
				t.Errorf("tasks by state: %s, want done:1", got)
			}
		})
	})
}
