package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/workload"
)

// Guards against an owner that needs memory for each pair of a bundle and a job: after minutes of a slow
// store, no owner could load the shard.
func TestLoadOfManyBundles(t *testing.T) {
	const (
		jobs      = 2500
		bundles   = 2500
		perBundle = 5
		maxBytes  = 100 << 20
	)
	type entry struct {
		Job      string            `cbor:"1,keyasint"`
		Record   *workload.Record  `cbor:"2,keyasint,omitempty"`
		Progress workload.Progress `cbor:"3,keyasint"`
	}
	withCell(t, 1, func(c *cell) {
		for number := range bundles {
			var entries []entry
			for i := range perBundle {
				job := (number*perBundle + i) % jobs
				e := entry{Job: fmt.Sprintf("job-%04d", job), Progress: workload.Progress{Generation: uint64(number + 2)}}
				if number*perBundle < jobs { // the first entry for a job has its record
					e.Record = &workload.Record{Request: newRequest(1, 32_000), Queue: c.queue, AcceptedAt: time.Now().UnixMilli()}
				}
				entries = append(entries, e)
			}
			key := rowstore.Key{Table: "bundles", Partition: testShard, Name: fmt.Sprintf("%016x.%08x", 1, number)}
			if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: codec.MustMarshal(entries)}}}); err != nil {
				t.Fatal(err)
			}
		}
		before := liveHeap()
		o := c.startOwner()
		if used := liveHeap() - before; used > maxBytes {
			t.Errorf("the owner takes %d MiB, want at most %d MiB", used>>20, maxBytes>>20)
		}
		if state, err := o.State(c.ctx, "job-0001"); err != nil || state.Final() {
			t.Errorf("state of a job in bundles: got %v, error %v; want one that is not final", state, err)
		}
	})
}

func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
