package scheduler_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/rowstore"
	"chutereach/scheduler"
)

// Guards against a submission that is accepted shortly after its cancellation was answered: a repeated cancellation
// must be kept as long as the first one, and one that arrives while the first expires must be stored again.
func TestRepeatedCancelBeforeSubmission(t *testing.T) {
	const keepFinal = 2 * time.Minute // as in the cell's configuration
	for _, before := range []time.Duration{10 * time.Second, time.Second} {
		t.Run(before.String()+" before the first one expires", func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				wantError[*scheduler.UnknownJobError](t, "first cancellation", o.Cancel(c.ctx, "job"))
				time.Sleep(keepFinal - before)
				wantError[*scheduler.UnknownJobError](t, "second cancellation", o.Cancel(c.ctx, "job"))
				time.Sleep(before + 3*time.Second)
				err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second))
				wantError[*scheduler.RejectedError](t, "submission after the second cancellation", err)
			})
		})
	}
}

// Guards against a job that runs although its cancellation was answered: the job was submitted while its route was
// public, or without a key, and the cancellation that overtakes it has a key.
func TestCancelWithKeyBeforeSubmissionWithoutKey(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		a := c.withAccounts(account.Terms{Name: "a", Weight: 1})
		time.Sleep(time.Second)
		wantError[*scheduler.UnknownJobError](t, "cancellation with a key", a.owner.Scheduler.Cancel(c.ctx, "a", "job"))
		err := a.submit("", "job", c.queue, newRequest(1, 1000), time.Second)
		wantError[*scheduler.RejectedError](t, "submission without a key", err)
	})
}

// Guards against the denial of a job with a stored row that this owner cannot decode, as one of a later version: it
// may be running, and a later owner may read the row. Nor may it run from its start again.
func TestUndecodableJobIsNotDenied(t *testing.T) {
	for _, table := range []string{"jobs", "progress"} {
		t.Run(table, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(200*time.Millisecond)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				o.kill()
				key := rowstore.Key{Table: table, Partition: testShard, Name: "job"}
				if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: []byte("x")}}}); err != nil {
					t.Fatal(err)
				}
				o = c.startOwner()
				time.Sleep(time.Second)
				submitted := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second))
				for _, err := range []error{o.Cancel(c.ctx, "job"), stateError(c, o), submitted} {
					wantError[*scheduler.UnconfirmedError](t, "call about a job that cannot be decoded", err)
				}
				if got := c.fleet.Starts(); got != 1 {
					t.Errorf("%d attempts started, want 1", got)
				}
			})
		})
	}
}

func stateError(c *cell, o *owner) error {
	_, err := o.State(c.ctx, "job")
	return err
}

// Guards against early cancellations that are lost when so many are stored at once that they are written in bundles.
func TestCancelsBeforeSubmissionsInBundles(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		o := c.startOwner()
		time.Sleep(time.Second)
		const count = 300
		var cancels sync.WaitGroup
		for i := range count {
			cancels.Go(func() {
				wantError[*scheduler.UnknownJobError](t, "cancellation", o.Cancel(c.ctx, fmt.Sprintf("job-%d", i)))
			})
		}
		cancels.Wait()
		o = replaceOwner(c, o)
		for i := range count {
			err := c.submit(o, fmt.Sprintf("job-%d", i), newRequest(1, 1000), succeedAfter(time.Second))
			wantError[*scheduler.RejectedError](t, "submission", err)
		}
	})
}
