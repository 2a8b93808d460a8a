package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// bundleCount returns how many bundles are in the store.
func (c *cell) bundleCount() int {
	all, err := rowstore.ReadAll(c.ctx, c.store, "bundles", testShard)
	if err != nil {
		c.t.Fatal(err)
	}
	return len(all.Rows)
}

// While the store is slow, changes above the capacity of one transaction are written as bundles.
// A successor loads them, and they are removed once the backlog is cleared.
func TestBundlesWithSlowStore(t *testing.T) {
	const jobs = 300
	cases := []struct {
		name     string
		failover bool
	}{{"one owner", false}, {"owner killed", true}}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCell(t, 40, func(c *cell) {
				o := c.startOwner()
				slow := func(bool) memory.Fault { return memory.Fault{Delay: 400 * time.Millisecond} }
				o.caller.SetFault(slow)
				accepted := make(chan string, jobs)
				for i := range jobs {
					id := fmt.Sprintf("job-%03d", i)
					go func() {
						if c.submit(o, id, newRequest(2, 1000), succeedAfter(300*time.Millisecond)) == nil {
							accepted <- id
						}
					}()
				}
				time.Sleep(1500 * time.Millisecond)
				if c.bundleCount() == 0 {
					t.Error("no bundles in the store, want at least one")
				}
				if test.failover {
					o.kill()
					o = c.startOwner()
				} else {
					time.Sleep(2 * time.Second)
					o.caller.SetFault(nil)
				}
				time.Sleep(4 * time.Second)
				close(accepted)
				count := 0
				for id := range accepted {
					count++
					c.awaitState(o, id, workload.Completed, 30*time.Second)
				}
				if count < jobs/2 {
					t.Errorf("%d of %d jobs accepted, want at least half", count, jobs)
				}
				time.Sleep(10 * time.Second)
				if left := c.bundleCount(); left != 0 {
					t.Errorf("%d bundles left in the store, want 0", left)
				}
			})
		})
	}
}

// Bundles are removed even while new jobs arrive. Otherwise a successor would have to load an
// unbounded number of them.
func TestBundlesRemovedUnderLoad(t *testing.T) {
	const jobs = 300
	withCell(t, 60, func(c *cell) {
		o := c.startOwner()
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 400 * time.Millisecond} })
		submit := func(id string) {
			go c.submit(o, id, newRequest(2, 1000), succeedAfter(300*time.Millisecond))
		}
		for i := range jobs {
			submit(fmt.Sprintf("early-%03d", i))
		}
		time.Sleep(2 * time.Second)
		if c.bundleCount() == 0 {
			t.Fatal("no bundles in the store, want at least one")
		}
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 25 * time.Millisecond} })
		for i := range 1000 { // new changes arrive during each transaction
			submit(fmt.Sprintf("later-%04d", i))
			time.Sleep(5 * time.Millisecond)
		}
		if left := c.bundleCount(); left != 0 {
			t.Errorf("%d bundles left in the store after 5 s, want 0", left)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against expired jobs that stay in the store because they are left out of bundles and nothing but bundles is
// written while many jobs expire or change.
func TestManyJobsExpireAtOnce(t *testing.T) {
	t.Parallel()
	const jobs = 150
	for name, interval := range map[string]time.Duration{"without other jobs": 0, "beside other jobs": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withCell(t, 40, func(c *cell) {
				o := c.startOwner()
				time.Sleep(time.Second)
				for i := range jobs {
					c.submitAsync(o, fmt.Sprintf("early-%03d", i), c.queue, newRequest(1, 1000))
				}
				time.Sleep(10 * time.Second)
				if interval > 0 { // jobs that still run when the early ones expire
					time.Sleep(keepFinal - 20*time.Second)
					for i := range 1500 {
						c.submitAsync(o, fmt.Sprintf("late-%04d", i), c.queue, newRequest(1, 1000))
						time.Sleep(interval)
					}
				}
				time.Sleep(keepFinal + time.Minute)
				if left := c.bundleCount(); left != 0 {
					t.Errorf("%d bundles left in the store, want 0", left)
				}
				page, err := rowstore.ReadAll(c.ctx, c.store, "progress", testShard)
				if err != nil || len(page.Rows) != 0 {
					t.Errorf("%d rows of progress left in the store, error %v; want none", len(page.Rows), err)
				}
			})
		})
	}
}
