package placement

import (
	"math/bits"
	"slices"

	"chutereach/provider"
	"chutereach/resource"
)

// Request describes the resources and constraints of a task to place.
type Request struct {
	Need         resource.Amount
	Tolerations  []string          // taints that the task tolerates
	Affinity     map[string]string // labels that the worker must have
	AntiAffinity map[string]string // labels that the worker must not have
	// SiblingCounts returns the number of tasks of the same job on a worker and in its
	// rack. If it is nil, tasks of the job are not spread.
	SiblingCounts func(w provider.Worker) (onWorker, inRack int)
}

// Scorer ranks workers that have room for a task.
type Scorer interface {
	// FullestFirst reports whether the fullest workers are visited first.
	FullestFirst() bool
	// Score rates a worker by the smallest and the largest share of its capacity,
	// between 0 and 1, that the task would leave free. Higher is better.
	Score(minShare, maxShare float64) float64
}

// Spread spreads tasks across workers, so that each worker keeps room for later
// tasks.
type Spread struct{}

// FullestFirst implements Scorer.
func (Spread) FullestFirst() bool { return false }

// Score prefers the worker whose scarcest resource has the largest free share.
func (Spread) Score(minShare, _ float64) float64 { return minShare }

// BinPack fills workers one by one, so that others stay empty for large tasks.
type BinPack struct{}

// FullestFirst implements Scorer.
func (BinPack) FullestFirst() bool { return true }

// Score prefers the worker whose largest free share is smallest, which limits the
// capacity that is stranded when another resource is exhausted.
func (BinPack) Score(minShare, maxShare float64) float64 { return -minShare - (maxShare - minShare) }

const (
	// maxScored is the maximum number of eligible workers that Choose scores.
	maxScored = 12
	// siblingOnWorkerPenalty and siblingInRackPenalty are subtracted from the score
	// per sibling. Both exceed the range of free-room scores of either scorer.
	siblingOnWorkerPenalty = 8
	siblingInRackPenalty   = 2
)

// Choose returns the worker that s prefers for a task, or false if no eligible
// worker has room. Workers with the fewest free accelerators that suffice take
// precedence over the scorer, to keep accelerators for tasks that need them.
func Choose[S Scorer](x *Index, s S, request Request) (provider.Worker, bool) {
	for acc := min(request.Need.Accelerators, acceleratorLevels-1); acc < acceleratorLevels; acc++ {
		c := search[S]{scorer: s, request: &request}
		c.searchLevel(&x.levels[acc])
		if c.best != nil {
			return c.best.worker, true
		}
	}
	return provider.Worker{}, false
}

// search is the state of one search within an accelerator level.
type search[S Scorer] struct {
	scorer    S
	request   *Request
	scored    int
	best      *entry
	bestScore float64
}

// searchLevel visits the rows that can hold the task.
func (c *search[S]) searchLevel(l *level) {
	eligible := l.used &^ (1<<bucket(int64(c.request.Need.CPU), cpuUnit) - 1)
	for eligible != 0 && c.scored < maxScored {
		i := c.nextBucket(eligible)
		eligible &^= 1 << i
		c.searchRow(l.rows[i])
	}
}

// searchRow visits the cells that can hold the task.
func (c *search[S]) searchRow(r *row) {
	eligible := r.used &^ (1<<bucket(int64(c.request.Need.Memory), memUnit) - 1)
	for eligible != 0 && c.scored < maxScored {
		i := c.nextBucket(eligible)
		eligible &^= 1 << i
		c.searchCell(r.cells[i])
	}
}

// nextBucket returns the bucket in the bit set eligible that is visited first.
func (c *search[S]) nextBucket(eligible uint64) int {
	if c.scorer.FullestFirst() {
		return bits.TrailingZeros64(eligible)
	}
	return buckets - 1 - bits.LeadingZeros64(eligible)
}

func (c *search[S]) searchCell(cell []*entry) {
	for _, e := range cell {
		if !c.request.Need.Fits(e.free) || !c.request.allows(e.worker) {
			continue
		}
		c.compare(e)
		if c.scored >= maxScored {
			return
		}
	}
}

func (c *search[S]) compare(e *entry) {
	c.scored++
	score := c.scorer.Score(remainingShares(e.free.Minus(c.request.Need), e.worker.Capacity))
	if c.request.SiblingCounts != nil {
		onWorker, inRack := c.request.SiblingCounts(e.worker)
		score -= float64(onWorker*siblingOnWorkerPenalty + inRack*siblingInRackPenalty)
	}
	if c.best == nil || score > c.bestScore {
		c.best, c.bestScore = e, score
	}
}

// remainingShares returns the smallest and largest share of capacity that remains.
func remainingShares(remaining, capacity resource.Amount) (minShare, maxShare float64) {
	cpu := float64(remaining.CPU) / float64(max(capacity.CPU, 1))
	mem := float64(remaining.Memory) / float64(max(capacity.Memory, 1))
	minShare, maxShare = min(cpu, mem), max(cpu, mem)
	if capacity.Accelerators > 0 {
		acc := float64(remaining.Accelerators) / float64(capacity.Accelerators)
		minShare, maxShare = min(minShare, acc), max(maxShare, acc)
	}
	return minShare, maxShare
}

// allows reports whether w satisfies the taint and label constraints.
func (r *Request) allows(w provider.Worker) bool {
	for _, t := range w.Taints {
		if !slices.Contains(r.Tolerations, t) {
			return false
		}
	}
	for k, v := range r.Affinity {
		if w.Labels[k] != v {
			return false
		}
	}
	for k, v := range r.AntiAffinity {
		if w.Labels[k] == v {
			return false
		}
	}
	return true
}

// Scan is like Choose but examines every worker. It is the reference for tests
// and the baseline for benchmarks.
func Scan[S Scorer](x *Index, s S, request Request) (provider.Worker, bool) {
	c := search[S]{scorer: s, request: &request}
	for _, e := range x.byName {
		if !e.closed && request.Need.Fits(e.free) && request.allows(e.worker) {
			c.compare(e)
		}
	}
	if c.best == nil {
		return provider.Worker{}, false
	}
	return c.best.worker, true
}
