package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// Guards against calls that are rejected by an outdated table of routes: a store that answers that it has forgotten the
// history does not confirm the table. It is outdated until all rows have been read again.
func TestTableIsNotCurrentAfterLostHistory(t *testing.T) {
	runInCell(t, 1, func(c *cell) {
		m := c.nodes[0]
		m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		time.Sleep(3 * time.Second)
		assertTableIsCurrent(t, "store unreachable", m, false)
		put := rowstore.Put{Key: rowstore.Key{Table: "config", Name: "x"}, Value: []byte("x")}
		if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
			t.Fatal(err)
		}
		c.store.DiscardHistory()
		m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 800 * time.Millisecond} })
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if table, _ := m.Routes(); table.Version == 2 {
				return
			}
			if m.TableIsCurrent() {
				t.Error("the table counts as current before the store has sent the newer one")
				return
			}
		}
		t.Error("no newer table after 5 s")
	})
}
