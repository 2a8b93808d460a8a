package node_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// evacuationLimit is how long after an evacuation tasks may still start in the data hall.
const evacuationLimit = 5 * time.Second

// restartWithEvacuationLimit restarts all nodes with evacuationLimit.
func (c *cell) restartWithEvacuationLimit() {
	c.evacuateWithin = evacuationLimit
	for _, m := range c.nodes {
		c.stop(m)
	}
	for _, m := range c.nodes {
		c.start(m)
	}
	time.Sleep(5 * time.Second)
}

func (c *cell) evacuate(hall string) {
	c.t.Helper()
	put := rowstore.Put{Key: rowstore.Key{Table: "config", Name: evacuatePrefix + hall}, Value: []byte("{}")}
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
		c.t.Fatal(err)
	}
	c.fleet.Evacuate(hall, evacuationLimit)
}

// No task starts in an evacuated data hall after evacuationLimit, whichever node owns the shard then,
// and jobs still complete in other data halls.
func TestEvacuationHoldsAcrossOwners(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cell, owner *member) (restore func())
	}{
		{"no fault", func(*cell, *member) func() { return func() {} }},
		{"the owner is killed", func(c *cell, owner *member) func() {
			c.stop(owner)
			return func() { c.start(owner) }
		}},
		{"all nodes are restarted", func(c *cell, owner *member) func() {
			for _, m := range c.nodes {
				c.stop(m)
			}
			for _, m := range c.nodes {
				c.start(m)
			}
			return func() {}
		}},
		{"the store refuses the owner", func(c *cell, owner *member) func() {
			owner.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
			return func() { owner.storeCaller.SetFault(nil) }
		}},
		{"the store answers no reads", func(c *cell, _ *member) func() {
			for _, m := range c.nodes {
				m.storeCaller.SetFault(func(write bool) memory.Fault { return memory.Fault{DropRequest: !write} })
			}
			return func() { c.setStoreFault(nil) }
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runInCell(t, 4, func(c *cell) {
				c.restartWithEvacuationLimit()
				owner := c.owner()
				restore := test.inject(c, owner)
				c.evacuate(hallOf(0))
				for i := range 30 { // submissions may fail during the fault
					at := c.nodes[i%len(c.nodes)]
					c.submit(at, fmt.Sprintf("job-%d", i))
					time.Sleep(400 * time.Millisecond)
				}
				restore()
				time.Sleep(5 * time.Second)
				if err := c.submit(c.nodes[1], "after"); err != nil {
					t.Fatal(err)
				}
				c.awaitCompleted(c.nodes[1], "after", 3*time.Second)
			})
		})
	}
}
