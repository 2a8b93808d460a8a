package scheduler

import (
	"fmt"
	"time"

	"chutereach/workload"
)

// The jobs of a shard are bounded by the memory of the machines that may own it. A job is accepted only if there is
// memory for it and for all others with as many open rounds as they have, so that each machine that takes the shard over
// can load them.

const (
	// jobMemoryShare is the share of a machine's memory for jobs. The collector takes 0.7 before it slows the process
	// down, and a takeover needs memory for the rows beside the jobs.
	jobMemoryShare = 0.45
	// Bytes that the state of jobs takes, with the strings and map entries that belong to it. TestJobWeights measures
	// them.
	jobBytes      = 1792
	stepBytes     = 1024
	taskBytes     = 768
	finalJobBytes = 1280
	// memoryRetryAfter is the Retry-After time for a job that the memory in use leaves no room for, and
	// neverFitsRetryAfter that for a job that would not fit into the memory of these machines by itself.
	memoryRetryAfter    = 5 * time.Second
	neverFitsRetryAfter = 30 * time.Second
)

// memoryBudget bounds the memory that jobs take.
type memoryBudget struct {
	machine func() int64 // memory in bytes of the smallest machine that may own the shard; 0 or nil: unknown
	used    int64
}

// limit returns the bytes that jobs may take, and whether there is a limit.
func (b memoryBudget) limit() (int64, bool) {
	if b.machine == nil {
		return 0, false
	}
	machine := b.machine()
	return int64(jobMemoryShare * float64(machine)), machine > 0
}

// fits reports whether there is memory for some more bytes.
func (b memoryBudget) fits(bytes int64) bool {
	limit, limited := b.limit()
	return !limited || b.used+bytes <= limit
}

// weigh updates the memory that a job takes. The lock is held.
func (s *Scheduler) weigh(j *job) {
	weight := j.memory()
	s.memory.used += weight - j.weight
	j.weight = weight
	s.metrics.jobMemory.Set(s.memory.used)
}

// unweigh releases the memory of a job that is removed. The lock is held.
func (s *Scheduler) unweigh(j *job) {
	s.memory.used -= j.weight
	j.weight = 0
	s.metrics.jobMemory.Set(s.memory.used)
}

// memory returns the bytes that the job takes.
func (j *job) memory() int64 {
	if len(j.record.Request.Steps) == 0 {
		return finalJobBytes
	}
	return requestWeight(j.record.Request, len(j.rounds))
}

// requestWeight returns the bytes that a job takes with a number of open rounds, at least one. If its tasks run
// indefinitely, no round of it ends, so all rounds are counted as open.
func requestWeight(request workload.Request, open int) int64 {
	rounds := max(1, open)
	if request.RunsIndefinitely() {
		rounds = request.RoundCount()
	}
	return jobBytes + int64(request.TextBytes()) + int64(rounds)*roundWeight(request)
}

func roundWeight(request workload.Request) int64 {
	return int64(len(request.Steps))*stepBytes + int64(request.TasksPerRound())*taskBytes
}

// checkMemory returns a RejectedError if there is no memory for a new job. The lock is held.
func (s *Scheduler) checkMemory(request workload.Request) error {
	weight := requestWeight(request, 0)
	limit, limited := s.memory.limit()
	switch {
	case !limited || s.memory.used+weight <= limit:
		return nil
	case weight > limit:
		return &RejectedError{fmt.Sprintf("the job takes %d bytes of memory, and %d are for all jobs", weight, limit), neverFitsRetryAfter}
	}
	return &RejectedError{fmt.Sprintf("%d of the %d bytes of memory for jobs are in use", s.memory.used, limit), memoryRetryAfter}
}
