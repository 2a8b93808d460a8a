package scheduler

import (
	"cmp"
	"slices"
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

// waitTimes is how long a step has waited for each cause, as seen by dispatch passes.
type waitTimes struct {
	seen    time.Time // last pass in which the step waited
	byCause [waitCauses]time.Duration
}

// With returns the times after a pass in which the step waited. A longer gap between passes, as
// during a takeover, has no known cause.
func (w waitTimes) With(cause waitCause, now time.Time) waitTimes {
	if elapsed := now.Sub(w.seen); elapsed <= maxPassGap {
		w.byCause[cause] += elapsed
	}
	w.seen = now
	return w
}

// recordWait records why a candidate still waits after a pass has tried to place it.
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
		// waitAdvice
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

// countWait counts a step that waits in this pass.
func (s *Scheduler) countWait(st *step, cause waitCause, now time.Time) {
	st.waits = st.waits.With(cause, now)
	s.passes.waiting[cause]++
	if st.job.sizeClass == sizeclass.Largest {
		s.passes.largestWaiting[cause]++
	}
}

// coreSeconds returns the work of the job's first round by the caller's estimates.
func (j *job) coreSeconds() float64 {
	total := 0.0
	for _, st := range j.rounds[0].steps {
		if !st.spec.LongRunning {
			total += float64(st.spec.Count) * float64(st.spec.Need.CPU) / 1000 * max(0, st.spec.Estimate.Seconds())
		}
	}
	return total
}

// classifyRestored classifies the active jobs that former owners have accepted.
func (s *Scheduler) classifyRestored() {
	list := make([]*job, 0, len(s.active))
	for _, j := range s.active {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id)) })
	for _, j := range list {
		s.recordSize(j)
	}
}

// describe adds to a log line what tells large jobs from small ones: the size of the job, how many
// attempts its tasks had, and how long its steps waited for each cause in this term.
func (j *job) describe(event *zerolog.Event) *zerolog.Event {
	tasks, attempts := 0, 0
	var waited [waitCauses]time.Duration
	for _, r := range j.rounds {
		for _, st := range r.steps {
			tasks += st.spec.Count
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
	return event.Str("job", j.id).Str("queue", j.record.Queue.Name).Stringer("size", j.sizeClass).Int("tasks", tasks).
		Int("attempts", attempts).Dict("waited", spans)
}

// servedOutcome returns the outcome of a final job for the metric by size.
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

// finalBySize counts a final job by its size and outcome.
func (m *Metrics) finalBySize(class sizeclass.Class, outcome string) {
	m.finalsBySize.Add(class.String()+"_"+outcome, 1)
}
