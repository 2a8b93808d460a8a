package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/scheduler"
)

// An owner that cannot load the shard because the store fails must answer calls at once instead of
// holding them until they time out. It must not say that a job will not run, which the shard may contain.
func TestCallsAreRefusedWhileTheShardCannotLoad(t *testing.T) {
	runInCell(t, 1, func(c *cell) {
		m := c.nodes[0]
		if err := c.submit(m, "stored"); err != nil {
			t.Fatal(err)
		}
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
		for _, id := range []string{"job", "stored"} {
			err := c.wantAnswerWithin(100*time.Millisecond, m, id)
			wantError[*scheduler.NotCarriedOutError](t, "submission of "+id, err)
		}
		m.storeCaller.SetFault(nil)
		time.Sleep(3 * time.Second)
		c.awaitCompleted(m, "stored", 10*time.Second)
		if err := c.submit(m, "job"); err != nil {
			t.Errorf("submit after the store recovered: %v", err)
		}
	})
}
