package headroom

import (
	"math"
	"time"

	"chutereach/resource"
)

const (
	// memory is how long the past counts: arrivals a time ago weigh 1/e.
	memory = 5 * time.Second
	// window is how long arrivals should find room without others making way. Twice as long
	// and half as long earned 0.006 less and the same on three days of two seeds.
	window = 1500 * time.Millisecond
	// shapeTasks is how many tasks weigh as much as all before them in the mean need.
	shapeTasks = 40
)

// Demand is what gangs have asked for of late. The zero Demand is none.
type Demand struct {
	need resource.Amount // of a task, at the mean
	rate float64         // tasks a second
	at   time.Time       // of which the rate is
	// priority is that of the queue from which the last gang came.
	priority int
}

// WithArrival returns the demand after a gang has come.
func (d Demand) WithArrival(need resource.Amount, tasks, priority int, now time.Time) Demand {
	count := float64(tasks)
	weight := count / (count + shapeTasks)
	if d.rate == 0 {
		weight = 1
	}
	mean := func(old, new int64) int64 { return old + int64(weight*float64(new-old)) }
	return Demand{
		need: resource.Amount{
			CPU:          resource.MilliCPU(mean(int64(d.need.CPU), int64(need.CPU))),
			Memory:       resource.Bytes(mean(int64(d.need.Memory), int64(need.Memory))),
			Accelerators: mean(d.need.Accelerators, need.Accelerators),
		},
		rate: d.Rate(now) + count/memory.Seconds(), at: now, priority: priority,
	}
}

// Rate returns how many tasks of gangs come a second.
func (d Demand) Rate(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/memory.Seconds())
}

// Fits returns how many tasks of the gangs that come an amount has room for.
func (d Demand) Fits(free resource.Amount) int {
	if d.rate == 0 || !free.Valid() {
		return 0
	}
	count := math.MaxInt
	limit := func(have, want int64) {
		if want > 0 {
			count = min(count, int(have/want))
		}
	}
	limit(int64(free.CPU), int64(d.need.CPU))
	limit(int64(free.Memory), int64(d.need.Memory))
	limit(free.Accelerators, d.need.Accelerators)
	if count == math.MaxInt {
		return 0 // they need nothing that could run out
	}
	return count
}

// Gaps is the room for gangs on all workers of a service, in tasks, at a moment.
type Gaps struct {
	Demand Demand
	Free   int // tasks that there is room for
	wanted int
}

// GapsAt returns the gaps before any room is counted.
func (d Demand) GapsAt(now time.Time) Gaps {
	return Gaps{Demand: d, wanted: int(d.Rate(now) * window.Seconds())}
}

// WithRoom returns the gaps with the room that a worker has left.
func (g Gaps) WithRoom(free resource.Amount) Gaps {
	g.Free += g.Demand.Fits(free)
	return g
}

// WithTaken returns the gaps after a worker's room has gone from one amount to another.
func (g Gaps) WithTaken(before, after resource.Amount) Gaps {
	g.Free -= g.Demand.Fits(before) - g.Demand.Fits(after)
	return g
}

// Keeps reports whether the room that a task would take is kept for gangs: a task of a queue
// with a lesser priority that would leave too little.
func (g Gaps) Keeps(priority int, before, after resource.Amount) bool {
	if priority <= g.Demand.priority {
		return false
	}
	loss := g.Demand.Fits(before) - g.Demand.Fits(after)
	return loss > 0 && g.Free-loss < g.wanted
}
