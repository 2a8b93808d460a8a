package scheduler_test

import (
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/workload"
)

// Guards against an accepted job that is denied, and run again when it is submitted again, because the clocks of two
// owners differ or step: how long a final job is kept goes by the store's clock.
func TestFinalJobsAreKeptIfClocksDiffer(t *testing.T) {
	for name, difference := range map[string]time.Duration{"clock behind": -time.Hour, "same clock": 0, "clock ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			withCell(t, 2, func(c *cell) {
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second)); err != nil {
					t.Fatal(err)
				}
				c.awaitState(o, "job", workload.Completed, 5*time.Second)
				wantError[*scheduler.UnknownJobError](t, "cancellation before the submission", o.Cancel(c.ctx, "early"))
				finalAt := time.Now()
				time.Sleep(keepFinal / 2)
				o.kill()
				c.changeProgress(func(p *workload.Progress) { p.FinalAt += difference.Milliseconds() })
				o = c.startOwner()
				time.Sleep(keepFinal/2 - 5*time.Second)
				c.wantKnown(o)
				time.Sleep(time.Until(finalAt.Add(keepFinal + 5*time.Second)))
				_, err := o.State(c.ctx, "job")
				wantError[*scheduler.UnknownJobError](t, "state of an expired job", err)
			})
		})
	}
}

// Guards against final jobs of an earlier build, which does not store the store's time, that are forgotten too early.
func TestFinalJobsOfEarlierBuildsAreKept(t *testing.T) {
	withCell(t, 2, func(c *cell) {
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitState(o, "job", workload.Completed, 5*time.Second)
		wantError[*scheduler.UnknownJobError](t, "cancellation before the submission", o.Cancel(c.ctx, "early"))
		time.Sleep(time.Second)
		o.kill()
		c.changeProgress(func(p *workload.Progress) { p.FinalAtStoreMS, p.FinalAt = 0, p.FinalAt-time.Hour.Milliseconds() })
		o = c.startOwner()
		time.Sleep(keepFinal - 5*time.Second)
		c.wantKnown(o)
		time.Sleep(10 * time.Second)
		_, err := o.State(c.ctx, "job")
		wantError[*scheduler.UnknownJobError](t, "state of an expired job", err)
	})
}

// wantKnown fails the test unless an owner reports the completed job and remembers the early cancellation.
func (c *cell) wantKnown(o *owner) {
	c.t.Helper()
	if state, err := o.State(c.ctx, "job"); state != workload.Completed || err != nil {
		c.t.Errorf("job is %q (%v), want completed: it has been final for less than %v", state, err, keepFinal)
	}
	err := c.submit(o, "early", newRequest(1, 1000), succeedAfter(time.Second))
	wantError[*scheduler.RejectedError](c.t, "submission after the cancellation", err)
}

// changeProgress changes the stored progress of all jobs, as another owner would have written it.
func (c *cell) changeProgress(change func(*workload.Progress)) {
	c.t.Helper()
	rows, err := rowstore.ReadAll(c.ctx, c.store, "progress", testShard)
	if err != nil {
		c.t.Fatal(err)
	}
	var puts []rowstore.Put
	for _, row := range rows.Rows {
		p, err := workload.DecodeProgress(row.Name, row.Value)
		if err != nil {
			c.t.Fatal(err)
		}
		change(&p)
		puts = append(puts, rowstore.Put{Key: row.Key, Value: p.Encode()})
	}
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: puts}); err != nil {
		c.t.Fatal(err)
	}
}
