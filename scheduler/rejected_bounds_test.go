package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/fleet/fleettest"
	"chutereach/rowstore"
	"chutereach/workload"
)

// Guards against jobs that are given up because the store rejects the rows of lease bounds.
func TestRejectedBoundsFailNoJob(t *testing.T) {
	withLastingTask(t, func(c *cell, o *owner, host string) {
		c.store.RejectRows(func(put rowstore.Put) bool { return put.Table == "leases" })
		o.client.blockWorker(host)
		time.Sleep(2500 * time.Millisecond)
		for i := range 10 {
			if err := c.submit(o, fmt.Sprint("job-", i), newRequest(2, 500), succeedAfter(300*time.Millisecond)); err != nil {
				t.Errorf("job %d: %v", i, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 10 {
			c.awaitState(o, fmt.Sprint("job-", i), workload.Completed, 5*time.Second)
		}
	})
}

// Guards against a lease that expires on a worker that answers again, because its bound was rejected and so cannot be withdrawn.
func TestLeaseIsExtendedAfterItsBoundWasRejected(t *testing.T) {
	withLastingTaskAndLease(t, fleettest.MaxLease, func(c *cell, o *owner, host string) {
		c.store.RejectRows(func(put rowstore.Put) bool { return put.Table == "leases" })
		o.client.blockWorker(host)
		time.Sleep(noticeTime + 500*time.Millisecond)
		o.client.blockWorker("")
		time.Sleep(10 * time.Second)
		c.assertNotRestarted(host)
	})
}
