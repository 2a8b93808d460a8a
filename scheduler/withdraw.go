package scheduler

import (
	"slices"
	"time"

	"chutereach/urgency"
)

// withdrawAfter is how long the store may fail before jobs that it has never been sent are
// given back. Until then a node that the store does answer takes the shard over, which took
// 0.65 s after the loss of an owner in a play.
const withdrawAfter = 700 * time.Millisecond

// withdrawHopeless gives a job back that no transaction has ever held, if the store does not
// answer and the job cannot be completed in time any more, and reports whether it is given
// back. Its caller can then be told for certain that it was not taken; otherwise it would be
// told that nothing is known, and the job would run when nobody waits for it. A job that has
// time is kept, since it can be completed in time after the outage. The lock is held.
func (s *Scheduler) withdrawHopeless(j *job, now time.Time) bool {
	if j.withdrawn {
		return true
	}
	since := s.term.FailingSince()
	if j.sent || j.saved > 0 || j.state.Final() || since.IsZero() || now.Sub(since) < withdrawAfter {
		return false
	}
	if j.rounds[0].urgency(now).InTime() {
		return false
	}
	s.withdraw(j, now)
	return true
}

// urgency returns how urgent the first of the round's steps is.
func (r *round) urgency(now time.Time) urgency.Verdict {
	return urgency.Judge(workOf(r.steps[0], now), now)
}

// withdraw forgets a job that no transaction has held.
func (s *Scheduler) withdraw(j *job, now time.Time) {
	j.withdrawn = true
	j.eachTask(func(t *task) { s.stop(t, "its job is given back") })
	s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
	j.queued = true // it is never queued again
	delete(s.jobs, j.id)
	delete(s.active, j.id)
	s.metrics.admission("given back")
	s.log.Info().Str("job", j.id).Str("queue", j.record.Queue.Name).Dur("age", now.Sub(j.arrived)).
		Dur("slack", j.deadline.Sub(now)).Dur("store_silent", now.Sub(s.term.FailingSince())).
		Msg("given back")
}
