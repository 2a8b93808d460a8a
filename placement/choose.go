package placement

import (
	"math/bits"
	"slices"

	"chutereach/provider"
	"chutereach/resource"
)

// Ask is a task that wants a worker.
type Ask struct {
	Need      resource.Amount
	Tolerates []string          // taints that the task puts up with
	Affinity  map[string]string // labels that the worker must have
	Avoid     map[string]string // labels that the worker must not have
	// Crowd counts the task's siblings on a worker and in its rack; nil where
	// there are none to keep apart.
	Crowd func(w provider.Worker) (onWorker, inRack int)
}

// Scorer is a policy of choosing among workers that have room.
type Scorer interface {
	// FullestFirst says from which end the cells are walked.
	FullestFirst() bool
	// Score rates a worker by what would be left free on it, as shares of its
	// capacity between 0 and 1: the smallest and the largest. More is better.
	Score(least, most float64) float64
}

// Waiting spreads tasks, so that the next one finds room wherever it must run.
type Waiting struct{}

// FullestFirst implements Scorer.
func (Waiting) FullestFirst() bool { return false }

// Score prefers the worker whose scarcest resource is left with the most.
func (Waiting) Score(least, _ float64) float64 { return least }

// Packing fills workers, so that others stay whole for tasks that need it.
type Packing struct{}

// FullestFirst implements Scorer.
func (Packing) FullestFirst() bool { return true }

// Score prefers the worker that is left with the least, and evenly so: what is
// left of one resource is stranded when another has run out.
func (Packing) Score(least, most float64) float64 { return -least - (most - least) }

const (
	// candidates is how many workers with room a decision compares.
	candidates = 12
	// crowdOnWorker and crowdInRack are what a sibling costs a worker's score;
	// scores of free room are within one of each other.
	crowdOnWorker = 8
	crowdInRack   = 2
)

// Choose returns the worker that s prefers for a task, or false if none has
// room. Workers with accelerators to spare come last for a task that needs
// none, whatever s prefers.
func Choose[S Scorer](x *Index, s S, a Ask) (provider.Worker, bool) {
	for acc := min(a.Need.Accelerators, accLevels-1); acc < accLevels; acc++ {
		c := search[S]{scorer: s, ask: &a}
		c.level(&x.levels[acc])
		if c.best != nil {
			return c.best.worker, true
		}
	}
	return provider.Worker{}, false
}

// search is one decision on one level of accelerators.
type search[S Scorer] struct {
	scorer S
	ask    *Ask
	seen   int
	best   *entry
	score  float64
}

// level walks the rows that can hold the task.
func (c *search[S]) level(l *level) {
	able := l.used &^ (1<<bucket(int64(c.ask.Need.CPU), cpuUnit) - 1)
	for able != 0 && c.seen < candidates {
		i := c.pick(able)
		able &^= 1 << i
		c.row(l.rows[i])
	}
}

// row walks the cells that can hold the task.
func (c *search[S]) row(r *row) {
	able := r.used &^ (1<<bucket(int64(c.ask.Need.Memory), memUnit) - 1)
	for able != 0 && c.seen < candidates {
		i := c.pick(able)
		able &^= 1 << i
		c.cell(r.cells[i])
	}
}

// pick returns the bucket among able that the scorer walks first.
func (c *search[S]) pick(able uint64) int {
	if c.scorer.FullestFirst() {
		return bits.TrailingZeros64(able)
	}
	return buckets - 1 - bits.LeadingZeros64(able)
}

func (c *search[S]) cell(cell []*entry) {
	for _, e := range cell {
		if !c.ask.Need.Fits(e.free) || !c.ask.allows(e.worker) {
			continue
		}
		c.compare(e)
		if c.seen >= candidates {
			return
		}
	}
}

func (c *search[S]) compare(e *entry) {
	c.seen++
	score := c.scorer.Score(leftOver(e.free.Minus(c.ask.Need), e.worker.Capacity))
	if c.ask.Crowd != nil {
		onWorker, inRack := c.ask.Crowd(e.worker)
		score -= float64(onWorker*crowdOnWorker + inRack*crowdInRack)
	}
	if c.best == nil || score > c.score {
		c.best, c.score = e, score
	}
}

// leftOver returns the smallest and the largest share of capacity that is left.
func leftOver(left, capacity resource.Amount) (least, most float64) {
	cpu := float64(left.CPU) / float64(max(capacity.CPU, 1))
	mem := float64(left.Memory) / float64(max(capacity.Memory, 1))
	least, most = min(cpu, mem), max(cpu, mem)
	if capacity.Accelerators > 0 {
		acc := float64(left.Accelerators) / float64(capacity.Accelerators)
		least, most = min(least, acc), max(most, acc)
	}
	return least, most
}

// allows reports whether the task's rules let it run on w.
func (a *Ask) allows(w provider.Worker) bool {
	for _, t := range w.Taints {
		if !slices.Contains(a.Tolerates, t) {
			return false
		}
	}
	for k, v := range a.Affinity {
		if w.Labels[k] != v {
			return false
		}
	}
	for k, v := range a.Avoid {
		if w.Labels[k] == v {
			return false
		}
	}
	return true
}

// Scan is Choose without the index: it looks at every worker. It is what the
// index is measured against, and what its tests compare it with.
func Scan[S Scorer](x *Index, s S, a Ask) (provider.Worker, bool) {
	c := search[S]{scorer: s, ask: &a}
	for _, e := range x.byName {
		if !e.closed && a.Need.Fits(e.free) && a.allows(e.worker) {
			c.compare(e)
		}
	}
	if c.best == nil {
		return provider.Worker{}, false
	}
	return c.best.worker, true
}
