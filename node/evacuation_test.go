package node_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// evacuationLimit is how long after an evacuation work may still begin in the data hall.
const evacuationLimit = 5 * time.Second

// restartWithEvacuationLimit gives every node a new life that heeds evacuations within the bound.
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

// Whoever owns the shard after a data hall was evacuated, nothing begins there, and work goes on
// elsewhere.
func TestEveryOwnerHeedsEvacuations(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cell, owner *member) (restore func())
	}{
		{"the owner stays", func(*cell, *member) func() { return func() {} }},
		{"the owner is killed at once", func(c *cell, owner *member) func() {
			c.stop(owner)
			return func() { c.start(owner) }
		}},
		{"every node is killed at once", func(c *cell, owner *member) func() {
			for _, m := range c.nodes {
				c.stop(m)
			}
			for _, m := range c.nodes {
				c.start(m)
			}
			return func() {}
		}},
		{"the store turns the owner away", func(c *cell, owner *member) func() {
			owner.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Refuse: true} })
			return func() { owner.storeCaller.SetFault(nil) }
		}},
		{"no node reads the store", func(c *cell, _ *member) func() {
			for _, m := range c.nodes {
				m.storeCaller.SetFault(func(write bool) memory.Fault { return memory.Fault{Silent: !write} })
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
				for i := range 30 { // some are refused
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
