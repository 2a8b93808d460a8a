package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// recoveryLimit bounds the time from the end of a store fault until all nodes are up to date. A call of the
// feed that starts just before that end times out after 2.5 s and is repeated after 0.1 s.
const recoveryLimit = 2700 * time.Millisecond

// After a store fault of any kind and duration, all nodes soon have the newest configuration and an
// owner that answers.
func TestNodesRecoverAfterStoreFault(t *testing.T) {
	cases := []struct {
		name        string
		fault       memory.Fault
		dropHistory bool // the store drops its history during the fault
	}{
		{"refuses calls", memory.Fault{Reject: true}, false},
		{"does not answer", memory.Fault{DropRequest: true}, false},
		{"loses answers", memory.Fault{DropResponse: true}, false},
		{"is slow", memory.Fault{Delay: 400 * time.Millisecond}, false},
		{"refuses calls and drops its history", memory.Fault{Reject: true}, true},
		{"does not answer and drops its history", memory.Fault{DropRequest: true}, true},
	}
	for _, test := range cases {
		for _, duration := range []time.Duration{700 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
			t.Run(test.name+" for "+duration.String(), func(t *testing.T) {
				runInCell(t, 12, func(c *cell) {
					c.setStoreFault(&test.fault)
					time.Sleep(duration / 2)
					c.writeConfiguration("during the fault", 40)
					if test.dropHistory {
						c.store.DiscardHistory()
					}
					time.Sleep(duration / 2)
					c.setStoreFault(nil)
					ended := time.Now()
					for _, m := range c.nodes {
						c.assertConfigurationVersion(m, 2, recoveryLimit-time.Since(ended))
						c.assertOwnerAnswers(m, recoveryLimit-time.Since(ended))
					}
				})
			})
		}
	}
}

// setStoreFault injects a fault into the store calls of all nodes, or clears it if fault is nil.
func (c *cell) setStoreFault(fault *memory.Fault) {
	for _, m := range c.nodes {
		if fault == nil {
			m.storeCaller.SetFault(nil)
			continue
		}
		m.storeCaller.SetFault(func(bool) memory.Fault { return *fault })
	}
}

// assertOwnerAnswers waits until a call through the node is answered by the owner.
func (c *cell) assertOwnerAnswers(m *member, within time.Duration) {
	c.t.Helper()
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err = m.Pending(c.ctx, queue.Name); err == nil {
			return
		}
	}
	c.t.Errorf("%s: got error %v after %v, want an answer from the owner", m.name, err, within)
}
