package urgency

import (
	"cmp"
	"time"
)

// Rank orders waiting steps; lower ranks are placed first.
type Rank int

const (
	UrgentInTime Rank = iota // priority 0, can meet the deadline
	InTime                   // can meet the deadline
	UrgentLate               // priority 0, misses the deadline
	Late                     // misses the deadline
	Expired                  // too late for completion to have any value
)

const (
	// ExpiryFactor is the multiple of a job's objective after which its completion has no value.
	ExpiryFactor = 3
	// preemptLead is how long before its latest start a step may preempt other work, which
	// covers the time to ask for advice and to stop tasks. The share estimateMargin of the
	// estimated work is added, since estimates can be wrong by a factor of two.
	preemptLead    = 1500 * time.Millisecond
	estimateMargin = 0.5
	// yieldLead is how long before its latest start, plus the same margin, a step stops
	// leaving room to others.
	yieldLead = 3 * time.Second
	// overdueShare is the share of the time between the latest start and the last useful one for which a step is
	// late before it is overdue. Much of what is late gets free capacity by then.
	overdueShare = 0.25
	// maxIdle is how long a job without running tasks may be held back. A job must not be
	// idle for 3 s while there is room for it.
	maxIdle = 2 * time.Second
)

// Step describes a waiting step.
type Step struct {
	Priority int // of the queue; 0 is the highest
	// Arrived is the arrival time of the job, and Deadline the time by which it should be
	// completed.
	Arrived, Deadline time.Time
	// CriticalPath is the estimated duration of the critical path that remains.
	CriticalPath time.Duration
	// NoDeadline is set for work without a deadline, which runs indefinitely or has a schedule of
	// its own.
	NoDeadline bool
	// Idle is how long the job has had no task on a worker; 0 if it has one.
	Idle time.Duration
	// OverShare is set if the job exceeds the fair share of its account.
	OverShare bool
}

// Assessment is the urgency of a step at a point in time.
type Assessment struct {
	Rank Rank
	// LatestStart is the latest time at which the critical path can start and meet the deadline.
	LatestStart time.Time
	// Promoted is set if the step is late and has the rank of work that can meet its deadline.
	Promoted bool
	// Overdue is set if the step has been late for the share overdueShare of the time that it has until its
	// completion has no value, and can still be completed before that.
	Overdue bool
	// MayPreempt is set if the step may preempt work of lesser queues.
	MayPreempt bool
	// Deferrable is set if the step may be held back although there is room, because its job
	// has a task on a worker or has been idle only briefly.
	Deferrable bool
	// DefersToGangs is set if the step leaves room to gangs of higher-priority queues, waiting or
	// expected.
	DefersToGangs bool
	// OverShare is set if the job exceeds the fair share of its account. Its steps are ordered after
	// other steps of the same rank.
	OverShare bool
	// CriticalPath is the estimated duration of the critical path that remains.
	CriticalPath time.Duration
	// RelativeSize is the remaining work of the job relative to the mean of its queue. The step is
	// postponed in the order in proportion to it. It is 0 while no service is overloaded, for steps that
	// are late and for those of priority 0.
	RelativeSize float64
}

// WithPromotion returns the assessment of a late step that is placed like one that can meet its deadline.
func (v Assessment) WithPromotion() Assessment {
	v.Rank, v.Promoted, v.MayPreempt = InTime, true, true
	return v
}

// InTime reports whether the step can meet its deadline.
func (v Assessment) InTime() bool { return v.Rank <= InTime }

// Assess returns the urgency of a step.
func Assess(w Step, now time.Time) Assessment {
	v := Assessment{
		Rank: rank(w, now), LatestStart: w.Deadline.Add(-w.CriticalPath), CriticalPath: w.CriticalPath,
		Deferrable: w.Idle < maxIdle, OverShare: w.OverShare,
	}
	if w.NoDeadline {
		return v
	}
	margin := time.Duration(estimateMargin * float64(w.CriticalPath))
	v.MayPreempt = v.Rank <= InTime && (w.Priority == 0 || now.Add(preemptLead+margin).After(v.LatestStart))
	v.Overdue = (v.Rank == Late || v.Rank == UrgentLate) && !now.Before(w.overdueStart()) && !now.After(w.lastUsefulStart())
	v.DefersToGangs = v.Deferrable && w.Priority > 0 && now.Add(yieldLead+margin).Before(v.LatestStart)
	return v
}

// expiry returns the time from which the completion of the step's job has no value.
func (w Step) expiry() time.Time { return w.Arrived.Add(ExpiryFactor * w.Deadline.Sub(w.Arrived)) }

// lastUsefulStart returns the latest time at which the critical path can start and be completed before the expiry.
func (w Step) lastUsefulStart() time.Time { return w.expiry().Add(-w.CriticalPath) }

// overdueStart returns the time from which a step that still waits is overdue.
func (w Step) overdueStart() time.Time {
	latest := w.Deadline.Add(-w.CriticalPath)
	return latest.Add(time.Duration(overdueShare * float64(w.lastUsefulStart().Sub(latest))))
}

func rank(w Step, now time.Time) Rank {
	urgent := w.Priority == 0
	switch {
	case w.NoDeadline:
		return InTime
	case now.Add(w.CriticalPath).Before(w.Deadline):
		if urgent {
			return UrgentInTime
		}
		return InTime
	case now.After(w.expiry()):
		return Expired
	case urgent:
		return UrgentLate
	}
	return Late
}

// Compare orders the most urgent step first.
func Compare(a, b Assessment) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank), compareBool(a.OverShare, b.OverShare),
		a.postponedStart().Compare(b.postponedStart()), a.LatestStart.Compare(b.LatestStart),
	)
}

// maxPostponement is the maximum postponement in critical paths. A step whose latest start is later than
// that is ordered after the postponed step, however large that is.
const maxPostponement = 4

// postponedStart returns the time by which steps of one rank are ordered: the latest start, postponed by
// the critical path times the relative size.
func (v Assessment) postponedStart() time.Time {
	return v.LatestStart.Add(time.Duration(min(v.RelativeSize, maxPostponement) * float64(v.CriticalPath)))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
