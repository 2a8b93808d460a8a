package workload

import "time"

// AdvicePolicy says what advice costs: Decision for a call, Each for a worker
// named in it. Zero means that the queue needs no advice.
type AdvicePolicy struct {
	Decision time.Duration `cbor:"1,keyasint,omitempty"`
	Each     time.Duration `cbor:"2,keyasint,omitempty"`
	Valid    time.Duration `cbor:"3,keyasint,omitempty"`
}

// Needed reports whether tasks of the queue need a ticket.
func (p AdvicePolicy) Needed() bool { return p.Valid > 0 }

// Cost returns how long a call about n workers takes.
func (p AdvicePolicy) Cost(workers int) time.Duration {
	return p.Decision + time.Duration(workers)*p.Each
}

// Queue is the policy of the jobs that came by one route.
type Queue struct {
	Name     string        `cbor:"1,keyasint"`
	Service  string        `cbor:"2,keyasint"` // whose workers run the tasks
	Priority int           `cbor:"3,keyasint"` // 0 goes first
	Attempts int           `cbor:"4,keyasint"` // failures after which a task has failed for good
	Stretch  float64       `cbor:"5,keyasint"` // objective as a multiple of the longest chain of work
	Target   time.Duration `cbor:"6,keyasint"` // and this much more
	Advice   AdvicePolicy  `cbor:"7,keyasint,omitempty"`
}

// Objective returns within which time a request should be completed.
func (q Queue) Objective(r Request) time.Duration {
	chain := time.Duration(float64(r.Chain(nil)) * max(1, q.Stretch))
	advice := time.Duration(len(r.Steps)) * q.Advice.Cost(adviceWorkers)
	return chain + q.Target + advice
}

// Bounds of RetryAfter.
const (
	soonestRetry = time.Second
	latestRetry  = 3 * time.Second
	retryShare   = 4
)

// RetryAfter returns when a caller whose request was refused should come again:
// a share of its objective, so that what is urgent comes soon and what may wait
// does not use its tries up.
func (q Queue) RetryAfter(r Request) time.Duration {
	return min(latestRetry, max(soonestRetry, (q.Objective(r)/retryShare).Round(time.Second)))
}

// adviceWorkers is the number of workers on which an objective counts advice.
const adviceWorkers = 30
