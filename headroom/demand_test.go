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
	start       = time.Unix(1000, 0)
	gangTask    = resource.Amount{CPU: 9_000, Memory: 33 * gigabyte}
	smallTask   = resource.Amount{CPU: 3_500, Memory: 13 * gigabyte}
	wholeWorker = resource.Amount{CPU: 32_000, Memory: 128 * gigabyte}
)

// steadyDemand returns the demand after a gang of twenty tasks has arrived every 250 ms for a span.
func steadyDemand(span time.Duration) (headroom.Demand, time.Time) {
	var d headroom.Demand
	now := start
	for ; now.Sub(start) < span; now = now.Add(250 * time.Millisecond) {
		d = d.WithArrival(gangTask, 20, 1, now)
	}
	return d, now
}

func TestDemand(t *testing.T) {
	d, now := steadyDemand(30 * time.Second)
	if rate := d.Rate(now); rate < 70 || rate > 90 {
		t.Errorf("rate is %v tasks per second, want 70 to 90", rate)
	}
	if rate := d.Rate(now.Add(20 * time.Second)); rate > 2 {
		t.Errorf("rate is %v tasks per second 20 s after the last arrival, want at most 2", rate)
	}
	if got := d.SlotsIn(wholeWorker); got != 3 {
		t.Errorf("%d slots on an empty worker, want 3", got)
	}
	if got := (headroom.Demand{}).SlotsIn(wholeWorker); got != 0 {
		t.Errorf("%d slots without demand, want 0", got)
	}
	if got := d.SlotsIn(resource.Amount{CPU: -1, Memory: gigabyte}); got != 0 {
		t.Errorf("%d slots on an overcommitted worker, want 0", got)
	}
}

// Small tasks of lower priority fill the room that gangs cannot use and leave slots for the gangs
// that are expected within the horizon.
func TestSmallTasksLeaveHeadroom(t *testing.T) {
	const workers = 100
	d, now := steadyDemand(30 * time.Second)
	placeAll := func(priority int) (placed, slots int) {
		g := d.SlotsAt(now)
		free := make([]resource.Amount, workers)
		for i := range free {
			free[i] = wholeWorker
			g = g.WithWorker(wholeWorker)
		}
		for i := range free {
			for smallTask.Fits(free[i]) && !g.Reserves(priority, free[i], free[i].Minus(smallTask)) {
				after := free[i].Minus(smallTask)
				g = g.WithAllocation(free[i], after)
				free[i] = after
				placed++
			}
		}
		return placed, g.Free
	}
	if placed, slots := placeAll(2); slots < 110 || slots > 130 || placed < 500 {
		t.Errorf("%d small tasks placed with %d slots left, want at least 500 with 110 to 130 left", placed, slots)
	}
	if placed, slots := placeAll(1); slots != 0 || placed != 9*workers {
		t.Errorf("%d tasks of the gangs' priority placed with %d slots left, want %d with none left", placed, slots, 9*workers)
	}
}

// The incrementally updated count equals a full recount.
func TestIncrementalCountMatchesRecount(t *testing.T) {
	d, now := steadyDemand(5 * time.Second)
	rapid.Check(t, func(t *rapid.T) {
		free := wholeWorker
		g := d.SlotsAt(now).WithWorker(free)
		for range rapid.IntRange(0, 12).Draw(t, "tasks") {
			after := free.Minus(resource.Amount{CPU: resource.MilliCPU(rapid.IntRange(0, 9000).Draw(t, "cpu")), Memory: gigabyte})
			g = g.WithAllocation(free, after)
			free = after
		}
		if want := d.SlotsAt(now).WithWorker(free).Free; g.Free != want {
			t.Fatalf("%d slots, want %d", g.Free, want)
		}
	})
}
