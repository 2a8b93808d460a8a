package node_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

// recoveryLimit is how soon after the end of trouble at the store every node must be up to date
// again: a call of the feed that began just before the end is given up after 2.5 s and made
// again after 0.1 s. The shortest time that a deployment at hand allows is 3 s; these cases take
// 0.01 to 1.98 s.
const recoveryLimit = 2700 * time.Millisecond

// Soon after the store is well again every node has the newest configuration and an owner that
// answers, whatever its trouble was and for however long.
func TestNodesRecoverAfterStoreFault(t *testing.T) {
	cases := []struct {
		name        string
		fault       memory.Fault
		dropHistory bool // and its history is dropped meanwhile
	}{
		{"refuses", memory.Fault{Refuse: true}, false},
		{"is silent", memory.Fault{Silent: true}, false},
		{"loses answers", memory.Fault{Mute: true}, false},
		{"is slow", memory.Fault{Slow: 400 * time.Millisecond}, false},
		{"refuses, and forgets its history", memory.Fault{Refuse: true}, true},
		{"is silent, and forgets its history", memory.Fault{Silent: true}, true},
	}
	for _, test := range cases {
		for _, duration := range []time.Duration{700 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
			t.Run(test.name+" for "+duration.String(), func(t *testing.T) {
				runInCell(t, 12, func(c *cell) {
					c.setStoreFault(&test.fault)
					time.Sleep(duration / 2)
					c.writeConfiguration("while it is in trouble", 40)
					if test.dropHistory {
						c.store.ForgetHistory()
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

// setStoreFault gives every node's way to the store a fault; nil ends it.
func (c *cell) setStoreFault(fault *memory.Fault) {
	for _, m := range c.nodes {
		if fault == nil {
			m.storeCaller.SetFault(nil)
			continue
		}
		m.storeCaller.SetFault(func(bool) memory.Fault { return *fault })
	}
}

// assertOwnerAnswers waits until a call that only the owner can answer is answered at a node.
func (c *cell) assertOwnerAnswers(m *member, within time.Duration) {
	c.t.Helper()
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err = m.Pending(c.ctx, queue.Name); err == nil {
			return
		}
	}
	c.t.Errorf("%s: %v after %v", m.name, err, within)
}
