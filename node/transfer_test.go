package node_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/peer/peertest"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// slowLinkRate is the narrowest link of the deployments at hand, 10 Mbit/s.
const slowLinkRate = 10_000_000 / 8

// limitLinks gives every node but the owner a limitLinks link, for the store and for other nodes
// together, and returns the links by node.
func (c *cell) limitLinks(rate int) map[*member]*peertest.Link {
	links := map[*member]*peertest.Link{}
	for _, m := range c.nodes {
		if m.Owns() {
			continue
		}
		links[m] = peertest.NewLink(rate)
		c.network.SetLink(m.name, links[m])
		m.storeCaller.SetLink(links[m].Carry)
	}
	return links
}

// writeConfiguration writes a configuration of so many routes more.
func (c *cell) writeConfiguration(name string, routes int) {
	c.t.Helper()
	put := rowstore.Put{Key: rowstore.Key{Table: "config", Name: name}, Value: make([]byte, routes*routeBytes)}
	if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
		c.t.Fatal(err)
	}
}

// assertConfigurationVersion waits until a version is in force at a node.
func (c *cell) assertConfigurationVersion(m *member, version uint64, within time.Duration) {
	c.t.Helper()
	var got uint64
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		table, _ := m.Routes()
		if got = table.Version; got >= version {
			return
		}
	}
	c.t.Errorf("%s has version %d after %v, want %d", m.name, got, within, version)
}

// The incident of 2026-12-02 (CONFIG): a configuration that had grown to 4,245 routes came
// to nodes with narrow links piece by piece, from the store and, anew with each heartbeat,
// from the owner, and no transfer ended within its limit.
func TestLargeConfigurationOverSlowLinks(t *testing.T) {
	for _, routes := range []int{1400, 4200, 10_000, 25_000} {
		t.Run(fmt.Sprintf("%d routes", routes), func(t *testing.T) {
			runInCell(t, 4, func(c *cell) {
				links := c.limitLinks(slowLinkRate)
				before := map[*member]int{}
				for m, link := range links {
					before[m] = link.Carried()
				}
				c.writeConfiguration("x", routes)
				copyBytes := routes * routeBytes
				transferTime := time.Duration(copyBytes) * time.Second / slowLinkRate
				end := time.Now().Add(13*transferTime/10 + 200*time.Millisecond)
				for m := range links {
					c.assertConfigurationVersion(m, 2, time.Until(end))
				}
				time.Sleep(transferTime) // for what is still on its way
				for m, link := range links {
					if got := link.Carried() - before[m]; got > 11*copyBytes/10+64<<10 {
						t.Errorf("the link of %s carried %d bytes for a copy of %d", m.name, got, copyBytes)
					}
				}
			})
		})
	}
}

// A node that the store turns away has the configuration from another node, however
// narrow its link is.
func TestLargeConfigurationFetchedOverSlowLink(t *testing.T) {
	runInCell(t, 3, func(c *cell) {
		links := c.limitLinks(slowLinkRate)
		for m := range links {
			m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Refuse: true} })
		}
		time.Sleep(3 * time.Second) // until the calls of the feeds that are open have ended
		c.writeConfiguration("x", 10_000)
		for m, link := range links {
			before := link.Carried()
			c.assertConfigurationVersion(m, 2, 3*time.Second)
			time.Sleep(2 * time.Second) // for what is still on its way
			if got, most := link.Carried()-before, 10_000*routeBytes; got > most {
				t.Errorf("the link of %s carried %d bytes, want %d at most", m.name, got, most)
			}
		}
	})
}

// A shard of any size can be read by its next owner: as long as rows come in, the reading
// goes on.
func TestShardLoadsOverSlowLink(t *testing.T) {
	runInCell(t, 3, func(c *cell) {
		const jobs, bytes = 2000, 4000
		for first := 0; first < jobs; first += rowstore.MaxEntries {
			var puts []rowstore.Put
			for i := first; i < first+rowstore.MaxEntries; i++ {
				key := rowstore.Key{Table: "progress", Partition: "main", Name: fmt.Sprintf("job-%d", i)}
				puts = append(puts, rowstore.Put{Key: key, Value: make([]byte, bytes)})
			}
			if _, err := c.store.Commit(c.ctx, rowstore.Transaction{Puts: puts}); err != nil {
				t.Fatal(err)
			}
		}
		former := c.owner()
		c.limitLinks(slowLinkRate)
		c.stop(former)
		defer c.start(former)
		begun := time.Now()
		var err error
		for time.Since(begun) < 12*time.Second {
			for _, m := range c.nodes {
				if m != former && m.Owns() {
					if err = c.submit(m, "after"); err == nil {
						return
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Errorf("no job is accepted after %v: %v", time.Since(begun), err)
	})
}
