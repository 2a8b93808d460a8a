package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// Guards against running tasks again whose ends a worker has not listed yet: it lists only so many at once, and the
// rest once these are acknowledged.
func TestMoreEndsThanAReportLists(t *testing.T) {
	const jobs = 25
	submit := func(c *cell, o *owner) {
		time.Sleep(time.Second)
		for i := range jobs {
			small := newRequest(60, 10)
			small.Steps[0].Need.Memory = 1 << 20
			if err := c.submit(o, fmt.Sprintf("job-%02d", i), small, succeedAfter(4*time.Second)); err != nil {
				c.t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		if running := c.fleet.Running(); running < 1000 {
			c.t.Fatalf("%d tasks run, want more than two reports list", running)
		}
	}
	assertEachTaskRanOnce := func(c *cell, o *owner) {
		c.t.Helper()
		for i := range jobs {
			c.awaitState(o, fmt.Sprintf("job-%02d", i), workload.Completed, time.Minute)
		}
		if starts := c.fleet.Starts(); starts != jobs*60 {
			c.t.Errorf("got %d starts, want %d", starts, jobs*60)
		}
	}
	t.Run("owner replaced while tasks end", func(t *testing.T) {
		withCell(t, 1, func(c *cell) {
			o := c.startOwner()
			submit(c, o)
			o.kill()
			time.Sleep(3 * time.Second)
			assertEachTaskRanOnce(c, c.startOwner())
		})
	})
	t.Run("store down while tasks end", func(t *testing.T) {
		withCell(t, 1, func(c *cell) {
			o := c.startOwner()
			submit(c, o)
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 3 * time.Second} })
			time.Sleep(5 * time.Second)
			o.caller.SetFault(nil)
			assertEachTaskRanOnce(c, o)
		})
	})
}

// Guards against jobs that stand still because the reports of their workers are never read to their end: each report
// must acknowledge some ends, or wait until fewer tasks run.
func TestReportsAreNeverReadToTheirEnd(t *testing.T) {
	const jobs, maxRows = 5, 3
	submit := func(c *cell, o *owner) {
		time.Sleep(time.Second)
		c.fleet.SetMaxReportRows(maxRows)
		for i := range jobs {
			small := newRequest(10, 500)
			if err := c.submit(o, fmt.Sprintf("job-%02d", i), small, succeedAfter(2*time.Second)); err != nil {
				c.t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if running := c.fleet.Running(); running <= 2*maxRows {
			c.t.Fatalf("%d tasks run, want more than two reports list", running)
		}
	}
	assertEachTaskRanOnce := func(c *cell, o *owner) {
		c.t.Helper()
		for i := range jobs {
			c.awaitState(o, fmt.Sprintf("job-%02d", i), workload.Completed, time.Minute)
		}
		if starts := c.fleet.Starts(); starts != jobs*10 {
			c.t.Errorf("got %d starts, want %d", starts, jobs*10)
		}
	}
	t.Run("one owner", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			o := c.startOwner()
			submit(c, o)
			assertEachTaskRanOnce(c, o)
		})
	})
	t.Run("owner replaced while tasks run", func(t *testing.T) {
		withCell(t, 2, func(c *cell) {
			o := c.startOwner()
			submit(c, o)
			o.kill()
			time.Sleep(2 * time.Second)
			assertEachTaskRanOnce(c, c.startOwner())
		})
	})
}
