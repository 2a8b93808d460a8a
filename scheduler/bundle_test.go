package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// bundles returns how many bundles are in the store.
func (c *cell) bundles() int {
	all, err := rowstore.ReadAll(c.ctx, c.store, "bundles", testShard)
	if err != nil {
		c.t.Fatal(err)
	}
	return len(all.Rows)
}

// More changes than a transaction holds one by one, while the store is slow, go
// into bundles; a successor reads them, and they are gone once there was time.
func TestManyChangesAtASlowStore(t *testing.T) {
	const jobs = 300
	cases := []struct {
		name    string
		succeed bool
	}{{"one owner", false}, {"the owner dies meanwhile", true}}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, 40, func(c *cell) {
				o := c.rule()
				slow := func(bool) memory.Fault { return memory.Fault{Slow: 400 * time.Millisecond} }
				o.caller.SetFault(slow)
				taken := make(chan string, jobs)
				for i := range jobs {
					id := fmt.Sprintf("job-%03d", i)
					go func() {
						if c.submit(o, id, jobOf(2, 1000), work(300*time.Millisecond)) == nil {
							taken <- id
						}
					}()
				}
				time.Sleep(1500 * time.Millisecond)
				if c.bundles() == 0 {
					t.Error("nothing was bundled")
				}
				if test.succeed {
					o.kill()
					o = c.rule()
				} else {
					time.Sleep(2 * time.Second)
					o.caller.SetFault(nil)
				}
				time.Sleep(4 * time.Second)
				close(taken)
				count := 0
				for id := range taken {
					count++
					c.await(o, id, workload.Completed, 30*time.Second)
				}
				if count < jobs/2 {
					t.Errorf("only %d of %d jobs were taken", count, jobs)
				}
				time.Sleep(10 * time.Second)
				if left := c.bundles(); left != 0 {
					t.Errorf("%d bundles are left", left)
				}
			})
		})
	}
}

// Bundles are dissolved although jobs keep coming: a successor would have to read
// them all.
func TestBundlesGoWhileJobsKeepComing(t *testing.T) {
	const jobs = 300
	inCell(t, 60, func(c *cell) {
		o := c.rule()
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Slow: 400 * time.Millisecond} })
		submit := func(id string) {
			go c.submit(o, id, jobOf(2, 1000), work(300*time.Millisecond))
		}
		for i := range jobs {
			submit(fmt.Sprintf("early-%03d", i))
		}
		time.Sleep(2 * time.Second)
		if c.bundles() == 0 {
			t.Fatal("nothing was bundled")
		}
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Slow: 25 * time.Millisecond} })
		for i := range 1000 { // while each transaction is under way, more changes
			submit(fmt.Sprintf("later-%04d", i))
			time.Sleep(5 * time.Millisecond)
		}
		if left := c.bundles(); left != 0 {
			t.Errorf("%d bundles are left after 5 s", left)
		}
		time.Sleep(5 * time.Second)
	})
}
