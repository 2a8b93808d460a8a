package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"chutereach/sizeclass"
	"chutereach/urgency"
	"chutereach/workload"
)

// waitCause is why a step with tasks to place waits.
type waitCause int

const (
	waitAdvice   waitCause = iota // workers are expected to have the capacity, but not enough tickets are valid
	waitCapacity                  // the workers that may run it lack the capacity
	waitWithheld                  // capacity is kept for other steps
	waitQuota                     // its account is at its quota
	waitEnds                      // members of its gang have to end first
	waitCauses
)

var waitCauseNames = [waitCauses]string{"advice", "capacity", "withheld", "quota", "ends"}

// waitTimes is how long a step has waited, by cause. The time between two dispatch passes counts for the
// cause that the second one finds.
type waitTimes struct {
	seen    time.Time // last pass in which the step waited
	byCause [waitCauses]time.Duration
}

// With returns the times after a pass in which the step waited. The time since the last such pass is
// left out if it exceeds maxPassGap: the step may not have waited all of it.
func (w waitTimes) With(cause waitCause, now time.Time) waitTimes {
	if elapsed := now.Sub(w.seen); elapsed <= maxPassGap {
		w.byCause[cause] += elapsed
	}
	w.seen = now
	return w
}

// recordWait records why tasks of a candidate remain waiting, if any do, after a pass has tried to place
// them. withheld is whether capacity was kept from it for other steps. The lock is held.
func (s *Scheduler) recordWait(c candidate, withheld bool, now time.Time) {
	st := c.step
	if !st.anyPlaceable() {
		return
	}
	cause := waitAdvice
	switch {
	case !st.quotaHeldSince.IsZero():
		cause = waitQuota
	case st.job.record.Queue.Advice.Enabled() && !st.advice.lacksCapacity:
		// There would be capacity, so tickets are missing.
	case withheld:
		cause = waitWithheld
	default:
		cause = waitCapacity
	}
	s.countWait(st, cause, now)
	if c.urgency.Rank == urgency.Expired && !st.job.expiryLogged {
		st.job.expiryLogged = true
		st.job.describe(s.log.Info()).Msg("job waits longer than its completion has value")
	}
}

// countWait adds a waiting step to the wait times of the step and to the summary of the current pass.
func (s *Scheduler) countWait(st *step, cause waitCause, now time.Time) {
	st.waits = st.waits.With(cause, now)
	s.passes.waiting[cause]++
	if st.job.record.Size == sizeclass.Largest {
		s.passes.largestWaiting[cause]++
	}
}

// coreSeconds returns the work of one round of the job by the caller's estimates. Tasks that run
// indefinitely have no amount of work.
func (j *job) coreSeconds() float64 {
	total := 0.0
	for _, spec := range j.record.Request.Steps {
		if !spec.LongRunning {
			total += float64(spec.Count) * float64(spec.Need.CPU) / 1000 * max(0, spec.Estimate.Seconds())
		}
	}
	return total
}

// describe adds the job's ID, queue and size to a log line, the most attempts that a task of an open round had, and how
// long the steps of open rounds have waited in this term, by cause.
func (j *job) describe(event *zerolog.Event) *zerolog.Event {
	tasks, attempts := j.record.Request.TasksPerRound()*j.record.Request.RoundCount(), 0
	var waited [waitCauses]time.Duration
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for cause, span := range st.waits.byCause {
				waited[cause] += span
			}
			for _, t := range st.tasks {
				attempts = max(attempts, t.attempt)
			}
		}
	}
	spans := zerolog.Dict()
	for cause, span := range waited {
		if span > 0 {
			spans.Dur(waitCauseNames[cause], span.Round(time.Millisecond))
		}
	}
	return event.Str("job", j.id).Str("queue", j.record.Queue.Name).Stringer("size", j.record.Size).Int("tasks", tasks).
		Int("attempts", attempts).Dict("waited", spans)
}

// servedOutcome returns whether a completed job was in time, late or too late to have value, or else its
// final state, as named in the metric final_by_size.
func (j *job) servedOutcome(state workload.State, now time.Time) string {
	switch {
	case state != workload.Completed:
		return string(state)
	case !now.After(j.deadline):
		return "in_time"
	case now.After(j.arrived.Add(urgency.ExpiryFactor * j.deadline.Sub(j.arrived))):
		return "too_late"
	}
	return "late"
}

// finalBySize counts a final job by size class and outcome.
func (m *Metrics) finalBySize(class sizeclass.Class, outcome string) {
	m.finalsBySize.Add(class.String()+"_"+outcome, 1)
}
