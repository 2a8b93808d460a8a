package node_test

import (
	"errors"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
)

// A node that took the shard and may not read it, since the store fails, refuses
// calls at once instead of holding them to their end.
func TestCallsAreRefusedWhileTheShardCannotLoad(t *testing.T) {
	runInCell(t, 1, func(c *cell) {
		m := c.nodes[0]
		c.stop(m)
		taken := false
		c.start(m)
		m.storeCaller.SetFault(func(write bool) memory.Fault {
			refuse := taken
			taken = taken || write && m.Owns()
			return memory.Fault{Refuse: refuse || m.Owns()}
		})
		for end := time.Now().Add(5 * time.Second); !m.Owns() && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		begun := time.Now()
		err := c.submit(m, "job")
		var overloaded *scheduler.OverloadedError
		if !errors.As(err, &overloaded) || overloaded.RetryAfter <= 0 {
			t.Errorf("got %v, want to be told when to come back", err)
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
		m.storeCaller.SetFault(nil)
		time.Sleep(3 * time.Second)
		if err := c.submit(m, "job"); err != nil {
			t.Errorf("once the store is back: %v", err)
		}
	})
}
