package scheduler

import (
	"slices"
	"time"

	"chutereach/urgency"
)

// withdrawOutage is how long the store may fail before unsent jobs are withdrawn. Until
// then another node that the store does answer may take the shard over, which took 0.65 s after
// the loss of an owner in a run.
const withdrawOutage = 700 * time.Millisecond

// withdrawIfLate withdraws a job that no transaction has included, if the store does not
// answer and the job can no longer be completed in time, and reports whether the job is
// withdrawn. Its submitter then gets a definite rejection; otherwise the outcome would be
// unknown and the job would run after its deadline. Jobs that can still be completed in time
// are kept. The lock is held.
func (s *Scheduler) withdrawIfLate(j *job, now time.Time) bool {
	if j.withdrawn {
		return true
	}
	since := s.term.FailingSince()
	if j.sent || j.saved > 0 || j.state.Final() || since.IsZero() || now.Sub(since) < withdrawOutage {
		return false
	}
	if j.rounds[0].urgency(now).InTime() {
		return false
	}
	s.withdraw(j, now)
	return true
}

// urgency returns the urgency of the round's first step.
func (r *round) urgency(now time.Time) urgency.Assessment {
	return urgency.Assess(workOf(r.steps[0], now), now)
}

// withdraw removes a job that no transaction has included. The lock is held.
func (s *Scheduler) withdraw(j *job, now time.Time) {
	j.withdrawn = true
	j.eachTask(func(t *task) { s.stop(t, "its job is withdrawn") })
	s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
	j.queued = true // so that change does not queue it again
	delete(s.jobs, j.id)
	delete(s.active, j.id)
	s.metrics.admission("given back")
	s.log.Info().Str("job", j.id).Str("queue", j.record.Queue.Name).Dur("age", now.Sub(j.arrived)).
		Dur("slack", j.deadline.Sub(now)).Dur("store_silent", now.Sub(s.term.FailingSince())).
		Msg("given back")
}
