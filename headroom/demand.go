package headroom

import (
	"math"
	"time"

	"chutereach/resource"
)

const (
	// decayTime is the time in which the weight of an arrival falls to 1/e.
	decayTime = 5 * time.Second
	// horizon is the time for which expected arrivals have room without preemption. On three days
	// of two seeds, twice this time scored 0.006 lower and half of it the same.
	horizon = 1500 * time.Millisecond
	// needSmoothing is the number of tasks of an arrival at which it weighs as much in the mean
	// need as all earlier ones.
	needSmoothing = 40
)

// Demand is the recent demand of gangs. The zero Demand is no demand.
type Demand struct {
	meanNeed  resource.Amount // of a task
	rate      float64         // tasks per second, at updatedAt
	updatedAt time.Time
	// priority is that of the queue of the most recent gang.
	priority int
}

// WithArrival returns the demand after a gang has arrived.
func (d Demand) WithArrival(need resource.Amount, tasks, priority int, now time.Time) Demand {
	count := float64(tasks)
	weight := count / (count + needSmoothing)
	if d.rate == 0 {
		weight = 1
	}
	ewma := func(previous, latest int64) int64 { return previous + int64(weight*float64(latest-previous)) }
	return Demand{
		meanNeed: resource.Amount{
			CPU:          resource.MilliCPU(ewma(int64(d.meanNeed.CPU), int64(need.CPU))),
			Memory:       resource.Bytes(ewma(int64(d.meanNeed.Memory), int64(need.Memory))),
			Accelerators: ewma(d.meanNeed.Accelerators, need.Accelerators),
		},
		rate: d.Rate(now) + count/decayTime.Seconds(), updatedAt: now, priority: priority,
	}
}

// Rate returns the arrival rate of gang tasks per second, decayed to now.
func (d Demand) Rate(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.updatedAt).Seconds()/decayTime.Seconds())
}

// SlotsIn returns how many gang tasks of mean need fit into a free amount.
func (d Demand) SlotsIn(free resource.Amount) int {
	if d.rate == 0 || !free.Valid() {
		return 0
	}
	count := math.MaxInt
	limit := func(available, needed int64) {
		if needed > 0 {
			count = min(count, int(available/needed))
		}
	}
	limit(int64(free.CPU), int64(d.meanNeed.CPU))
	limit(int64(free.Memory), int64(d.meanNeed.Memory))
	limit(free.Accelerators, d.meanNeed.Accelerators)
	if count == math.MaxInt {
		return 0 // tasks without a need take no room
	}
	return count
}

// Slots counts the room for gang tasks on all workers of a service at a point in time.
type Slots struct {
	Demand Demand
	Free   int // gang tasks that fit into the free room
	target int // gang tasks expected to arrive within the horizon
}

// SlotsAt returns the count for the demand at a point in time, with no workers counted yet.
func (d Demand) SlotsAt(now time.Time) Slots {
	return Slots{Demand: d, target: int(d.Rate(now) * horizon.Seconds())}
}

// WithWorker adds the free room of a worker.
func (g Slots) WithWorker(free resource.Amount) Slots {
	g.Free += g.Demand.SlotsIn(free)
	return g
}

// WithAllocation updates the count after the free room of one worker has changed.
func (g Slots) WithAllocation(before, after resource.Amount) Slots {
	g.Free -= g.Demand.SlotsIn(before) - g.Demand.SlotsIn(after)
	return g
}

// Reserves reports whether the room that a task would take on a worker is reserved for gangs. Room is
// reserved only from queues of lower priority than the gangs' queue.
func (g Slots) Reserves(priority int, before, after resource.Amount) bool {
	if priority <= g.Demand.priority {
		return false
	}
	lost := g.Demand.SlotsIn(before) - g.Demand.SlotsIn(after)
	return lost > 0 && g.Free-lost < g.target
}
