package scheduler_test

import (
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// Discovery entries expire while the store is down. For two seconds after the outage, workers that
// answer stay in use without an entry; after that they get no starts.
func TestExpiredDiscoveryEntries(t *testing.T) {
	outage := func(c *cell, o *owner) {
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
		time.Sleep(3 * time.Second)
		c.fleet.SetDiscoveryEmpty(true)
		time.Sleep(600 * time.Millisecond)
		o.caller.SetFault(nil)
		time.Sleep(200 * time.Millisecond)
	}
	t.Run("usable right after an outage", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			o := c.startOwner()
			time.Sleep(time.Second)
			outage(c, o)
			if err := c.submit(o, "job", newRequest(2, 1000), succeedAfter(500*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			c.awaitState(o, "job", workload.Completed, time.Second)
		})
	})
	t.Run("unusable if not listed again", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			o := c.startOwner()
			time.Sleep(time.Second)
			outage(c, o)
			time.Sleep(3 * time.Second)
			if err := c.submit(o, "job", newRequest(2, 1000), succeedAfter(500*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			if got := c.fleet.Starts(); got != 0 {
				t.Errorf("%d starts on workers that were not listed again, want 0", got)
			}
			c.fleet.SetDiscoveryEmpty(false)
			c.awaitState(o, "job", workload.Completed, 3*time.Second)
		})
	})
	t.Run("unusable without an outage", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			o := c.startOwner()
			time.Sleep(time.Second)
			c.fleet.SetDiscoveryEmpty(true)
			time.Sleep(600 * time.Millisecond)
			if err := c.submit(o, "job", newRequest(2, 1000), succeedAfter(500*time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			if got := c.fleet.Starts(); got != 0 {
				t.Errorf("%d starts on workers without an entry, want 0", got)
			}
			c.fleet.SetDiscoveryEmpty(false)
			c.awaitState(o, "job", workload.Completed, 3*time.Second)
		})
	})
}
