package node_test

import (
	"errors"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
)

// An owner that cannot load the shard because the store fails must refuse calls at once instead of
// holding them until they time out.
func TestCallsAreRefusedWhileTheShardCannotLoad(t *testing.T) {
	runInCell(t, 1, func(c *cell) {
		m := c.nodes[0]
		c.stop(m)
		tookOver := false
		c.start(m)
		m.storeCaller.SetFault(func(write bool) memory.Fault {
			refuse := tookOver
			tookOver = tookOver || write && m.Owns()
			return memory.Fault{Reject: refuse || m.Owns()}
		})
		for end := time.Now().Add(5 * time.Second); !m.Owns() && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		startedAt := time.Now()
		err := c.submit(m, "job")
		var overloaded *scheduler.RejectedError
		if !errors.As(err, &overloaded) || overloaded.RetryAfter <= 0 {
			t.Errorf("got error %v, want OverloadedError with RetryAfter", err)
		}
		if took := time.Since(startedAt); took > 100*time.Millisecond {
			t.Errorf("refused after %v, want 100ms at most", took)
		}
		m.storeCaller.SetFault(nil)
		time.Sleep(3 * time.Second)
		if err := c.submit(m, "job"); err != nil {
			t.Errorf("submit after the store recovered: %v", err)
		}
	})
}
