package workload

import "time"

// AdvicePolicy describes the placement advice service of a queue. The zero value means that the
// queue does not use advice.
type AdvicePolicy struct {
	CallLatency      time.Duration `cbor:"1,keyasint,omitempty"` // fixed duration of a call
	PerWorkerLatency time.Duration `cbor:"2,keyasint,omitempty"` // added per worker named in the call
	TicketTTL        time.Duration `cbor:"3,keyasint,omitempty"` // lifetime of the returned tickets
}

// Enabled reports whether tasks of the queue need a ticket to start.
func (p AdvicePolicy) Enabled() bool { return p.TicketTTL > 0 }

// Latency returns the expected duration of a call that names the given number of workers.
func (p AdvicePolicy) Latency(workers int) time.Duration {
	return p.CallLatency + time.Duration(workers)*p.PerWorkerLatency
}

// Queue is the scheduling policy for the jobs submitted on one route.
type Queue struct {
	Name            string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"` // service whose workers run the tasks
	Priority        int           `cbor:"3,keyasint"` // 0 is the highest
	MaxFailures     int           `cbor:"4,keyasint"` // number of failures after which a task is not retried
	ObjectiveFactor float64       `cbor:"5,keyasint"` // critical path multiplier of the objective
	ObjectiveOffset time.Duration `cbor:"6,keyasint"` // added to the stretched critical path
	Advice          AdvicePolicy  `cbor:"7,keyasint,omitempty"`
}

// Objective returns the target duration from submission to completion of a request.
func (q Queue) Objective(r Request) time.Duration {
	criticalPath := time.Duration(float64(r.CriticalPath(nil)) * max(1, q.ObjectiveFactor))
	advice := time.Duration(len(r.Steps)) * q.Advice.Latency(objectiveAdviceWorkers)
	return criticalPath + q.ObjectiveOffset + advice
}

const (
	minRetryAfter         = time.Second
	maxRetryAfter         = 3 * time.Second
	retryObjectiveDivisor = 4
)

// RetryAfter returns the delay after which a client should retry a rejected request. It is
// proportional to the objective, so that urgent requests are retried early and others do not
// exhaust their retries.
func (q Queue) RetryAfter(r Request) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, (q.Objective(r)/retryObjectiveDivisor).Round(time.Second)))
}

// objectiveAdviceWorkers is the number of workers per advice call that Objective assumes.
const objectiveAdviceWorkers = 30
