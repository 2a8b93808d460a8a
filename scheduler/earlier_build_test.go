package scheduler_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"chutereach/codec"
	"chutereach/leadership"
	"chutereach/rowstore"
)

// earlierBuild is the store as a build sees it that keeps no lease bounds: it does not know their table, nor the field
// of the owner's row that tells since when there are any.
type earlierBuild struct{ rowstore.Store }

func withoutLeaseBounds(store rowstore.Store) rowstore.Store { return earlierBuild{store} }

func (b earlierBuild) Commit(ctx context.Context, transaction rowstore.Transaction) (uint64, error) {
	var puts []rowstore.Put
	for _, put := range transaction.Puts {
		switch put.Table {
		case "leases":
			continue
		case "shards":
			var row leadership.Row
			if err := codec.Unmarshal(put.Value, &row); err != nil {
				return 0, err
			}
			row.BoundsSince = 0
			put.Value = codec.MustMarshal(row)
		}
		puts = append(puts, put)
	}
	transaction.Puts = puts
	transaction.Deletes = slices.DeleteFunc(slices.Clone(transaction.Deletes), func(key rowstore.Key) bool { return key.Table == "leases" })
	return b.Store.Commit(ctx, transaction)
}

func (b earlierBuild) Read(ctx context.Context, table, partition, from string, limit int) (rowstore.Page, error) {
	page, err := b.Store.Read(ctx, table, partition, from, limit)
	if table == "leases" {
		page.Rows, page.More = nil, false
	}
	return page, err
}

// Guards against a task that runs twice: an owner has stored until when a worker can run it, a later one reaches the
// worker and extends its lease, and one more does not reach it.
func TestStoredLeaseBoundIsNotUsedAfterExtension(t *testing.T) {
	builds := map[string]func(rowstore.Store) rowstore.Store{
		"by this build":       func(store rowstore.Store) rowstore.Store { return store },
		"by an earlier build": withoutLeaseBounds,
	}
	for name, build := range builds {
		t.Run(name, func(t *testing.T) {
			withLastingTask(t, func(c *cell, o *owner, host string) {
				o.client.blockWorker(host)
				time.Sleep(noticeTime)
				o.kill()
				extending := c.startOwnerOf(build)
				time.Sleep(5 * time.Second)
				extending.kill()
				c.blockedForNext = host
				c.startOwner()
				c.awaitStarts(2, 10*time.Second) // fleettest checks that the first attempt has ended
			})
		})
	}
}

// Guards against bounds that stay invalid for good after an owner of an earlier build.
func TestLeaseBoundsAreUsedAgainAfterEarlierBuild(t *testing.T) {
	withLastingTask(t, func(c *cell, o *owner, host string) {
		o.kill()
		earlier := c.startOwnerOf(withoutLeaseBounds)
		time.Sleep(time.Second)
		earlier.kill()
		o = c.startOwner()
		time.Sleep(time.Second)
		c.assertRestartsAfterCrash(o, host, noticeTime, killAndReplace, 2*time.Second)
	})
}
