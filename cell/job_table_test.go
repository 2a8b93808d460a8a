package cell

import (
	"context"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"chutereach/commit"
	"chutereach/job"
	"chutereach/provider"
	"chutereach/standin"
)

// acceptingTable is a table in which the owner of a unit accepts a job from the inbox after the next read.
type acceptingTable struct {
	provider.Table
	accept func()
}

func (t *acceptingTable) Get(ctx context.Context, key string) (provider.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if t.accept != nil {
		t.accept()
		t.accept = nil
	}
	return row, err
}

// Guards against the denial of a job that its unit accepts from the inbox between two reads of the table.
func TestJobFromTableWhileAccepted(t *testing.T) {
	ctx := context.Background()
	table := &acceptingTable{Table: standin.NewTable()}
	sender := commit.NewSender(table, rate.NewLimiter(rate.Inf, 1))
	stored := job.Job{ID: job.NewID("h"), Tasks: 1, Created: time.Now()}
	version, err := sender.Do(ctx, provider.Txn{ID: "submit"}.Put(job.InboxKey(stored.ID), 0, stored.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	table.accept = func() {
		txn := provider.Txn{ID: "accept"}.Put(stored.Key(), 0, stored.Encode()).Remove(job.InboxKey(stored.ID), version)
		if _, err := sender.Do(ctx, txn); err != nil {
			t.Error(err)
		}
	}
	c := &Cell{}
	c.Sender = sender
	if _, err := c.jobFromTable(ctx, stored.ID); err != nil {
		t.Errorf("%v, want the status of the job", err)
	}
}
