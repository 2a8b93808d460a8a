package headroom_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/headroom"
	"chutereach/resource"
)

const gigabyte = 1 << 30

var (
	start  = time.Unix(1000, 0)
	member = resource.Amount{CPU: 9_000, Memory: 33 * gigabyte}
	small  = resource.Amount{CPU: 3_500, Memory: 13 * gigabyte}
	whole  = resource.Amount{CPU: 32_000, Memory: 128 * gigabyte}
)

// gangs returns the demand of a gang of twenty each quarter of a second.
func gangs(span time.Duration) (headroom.Demand, time.Time) {
	var d headroom.Demand
	now := start
	for ; now.Sub(start) < span; now = now.Add(250 * time.Millisecond) {
		d = d.WithArrival(member, 20, 1, now)
	}
	return d, now
}

func TestDemand(t *testing.T) {
	d, now := gangs(30 * time.Second)
	if rate := d.Rate(now); rate < 70 || rate > 90 {
		t.Errorf("%v tasks a second, want 80", rate)
	}
	if rate := d.Rate(now.Add(20 * time.Second)); rate > 2 {
		t.Errorf("%v tasks a second 20 s after the last", rate)
	}
	if got := d.Fits(whole); got != 3 {
		t.Errorf("a whole worker has room for %d, want 3", got)
	}
	if got := (headroom.Demand{}).Fits(whole); got != 0 {
		t.Errorf("without demand a worker has room for %d", got)
	}
	if got := d.Fits(resource.Amount{CPU: -1, Memory: gigabyte}); got != 0 {
		t.Errorf("a worker that has shrunk below what runs has room for %d", got)
	}
}

// Small tasks that may wait take what no gang could use, and leave as many gaps as gangs need
// in a second and a half.
func TestSmallTasksLeaveGaps(t *testing.T) {
	const workers = 100
	d, now := gangs(30 * time.Second)
	place := func(priority int) (placed, gaps int) {
		g := d.GapsAt(now)
		free := make([]resource.Amount, workers)
		for i := range free {
			free[i] = whole
			g = g.WithRoom(whole)
		}
		for i := range free {
			for small.Fits(free[i]) && !g.Keeps(priority, free[i], free[i].Minus(small)) {
				after := free[i].Minus(small)
				g = g.WithTaken(free[i], after)
				free[i] = after
				placed++
			}
		}
		return placed, g.Free
	}
	if placed, gaps := place(2); gaps < 110 || gaps > 130 || placed < 500 {
		t.Errorf("%d small tasks leave %d gaps, want 500 and 120", placed, gaps)
	}
	if placed, gaps := place(1); gaps != 0 || placed != 9*workers {
		t.Errorf("%d tasks of the gangs' own priority leave %d gaps, want %d and none", placed, gaps, 9*workers)
	}
}

// Gaps that are kept step by step are those that a new count finds.
func TestGapsAddUp(t *testing.T) {
	d, now := gangs(5 * time.Second)
	rapid.Check(t, func(t *rapid.T) {
		free := whole
		g := d.GapsAt(now).WithRoom(free)
		for range rapid.IntRange(0, 12).Draw(t, "tasks") {
			after := free.Minus(resource.Amount{CPU: resource.MilliCPU(rapid.IntRange(0, 9000).Draw(t, "cpu")), Memory: gigabyte})
			g = g.WithTaken(free, after)
			free = after
		}
		if want := d.GapsAt(now).WithRoom(free).Free; g.Free != want {
			t.Fatalf("%d gaps, want %d", g.Free, want)
		}
	})
}
