package explain

import (
	"cmp"
	"slices"
	"time"
)

// Cause is the largest contribution to a job's delay.
type Cause string

// Causes of a Loss.
const (
	CauseRefused    Cause = "refused, the store was down"
	CauseNotWritten Cause = "not final, or not written"
	CauseStore      Cause = "transactions took long"
	CauseNoOwner    Cause = "no owner"
	CauseAttempts   Cause = "attempts failed or were lost"
	CausePreempted  Cause = "gave way to urgent work"
	CauseQuota      Cause = "its account was at its quota"
	CauseEvacuated  Cause = "waited while data halls were evacuated"
	CausePlacement  Cause = "waited for room or advice"
	CauseLongRun    Cause = "ran for long"
)

// Avoidable reports whether better scheduling could have avoided a loss with this cause. Jobs
// can be neither accepted nor completed while the store is down, and quotas are set by the
// operator.
func (c Cause) Avoidable() bool {
	return c != CauseRefused && c != CauseStore && c != CauseNotWritten && c != CauseQuota
}

// Loss counts the jobs of one queue, submitted in one window, that were late, refused or
// never final for the same cause.
type Loss struct {
	Queue  string        `json:"queue"`
	Window time.Duration `json:"window"` // start, relative to the zero time
	Cause  Cause         `json:"cause"`
	Jobs   int           `json:"jobs"`
}

// span is a time interval.
type span struct{ from, to time.Time }

// overlap returns how much of s is covered by others, which must not overlap each other.
func (s span) overlap(others []span) time.Duration {
	total := time.Duration(0)
	for _, other := range others {
		from, to := s.from, s.to
		if other.from.After(from) {
			from = other.from
		}
		if other.to.Before(to) {
			to = other.to
		}
		total += max(0, to.Sub(from))
	}
	return total
}

// Losses returns the jobs that were not completed in time, counted by window, queue and cause.
// lines are those of all boxes. Windows have the given length and start at zero.
func Losses(lines []Line, zero time.Time, window time.Duration) []Loss {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	common := commonDelays{slowTransactions: slowTransactionSpans(lines), ownerless: ownerlessSpans(lines), evacuated: evacuatedSpans(lines)}
	counts := map[Loss]int{}
	for _, own := range linesByJob(lines) {
		cause, at, lost := common.classify(own)
		if lost {
			begin := at.Sub(zero).Truncate(window)
			counts[Loss{Queue: queueOf(own), Window: begin, Cause: cause}]++
		}
	}
	losses := make([]Loss, 0, len(counts))
	for loss, jobs := range counts {
		loss.Jobs = jobs
		losses = append(losses, loss)
	}
	slices.SortFunc(losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Cause, b.Cause))
	})
	return losses
}

// linesByJob groups lines by job and keeps their order.
func linesByJob(lines []Line) map[string][]Line {
	jobs := map[string][]Line{}
	for _, line := range lines {
		if line.Job != "" {
			jobs[line.Job] = append(jobs[line.Job], line)
		}
	}
	return jobs
}

func queueOf(own []Line) string {
	for _, line := range own {
		if queue := line.stringField("queue"); queue != "" {
			return queue
		}
	}
	return ""
}

// slowTransactionSpans returns the periods of slow store transactions.
func slowTransactionSpans(lines []Line) []span {
	var spans []span
	for _, line := range lines {
		if line.Message == "slow transaction" {
			spans = append(spans, span{line.Time.Add(-line.durationField("took")), line.Time})
		}
	}
	return spans
}

// ownerlessSpans returns the periods from the last decision of a shard owner until its
// successor had loaded the shard.
func ownerlessSpans(lines []Line) []span {
	var spans []span
	var last time.Time
	for _, line := range lines {
		switch line.Message {
		case "granted", "accepted", "job is final":
			last = line.Time
		case "shard loaded":
			if !last.IsZero() {
				spans = append(spans, span{last, line.Time})
			}
		}
	}
	return spans
}

// commonDelays holds the periods that delay all jobs.
type commonDelays struct{ slowTransactions, ownerless, evacuated []span }

// classify returns the cause of a loss and when the job was submitted. lost is false for a job
// that was cancelled or became final in time.
func (d commonDelays) classify(own []Line) (cause Cause, submitted time.Time, lost bool) {
	submitted = own[0].Time
	final := slices.IndexFunc(own, func(l Line) bool { return l.Message == "job is final" })
	if final < 0 {
		if slices.ContainsFunc(own, func(l Line) bool { return l.Message == msgGivenBack }) {
			return CauseRefused, submitted, true
		}
		if slices.ContainsFunc(own, func(l Line) bool { return l.Message == "accepted" }) {
			return CauseNotWritten, submitted, true
		}
		if slices.ContainsFunc(own, refusedForQuota) {
			return CauseQuota, submitted, true
		}
		return CauseRefused, submitted, true
	}
	line := own[final]
	submitted = line.Time.Add(-line.durationField("age"))
	late, _ := line.Fields["late"].(bool)
	if line.stringField("state") == "cancelled" || !late {
		return "", submitted, false
	}
	return d.mainCause(own[:final], span{submitted, line.Time}), submitted, true
}

// mainCause returns the cause of the largest delay of a late job.
func (d commonDelays) mainCause(own []Line, lifetime span) Cause {
	wait, retried, preempted := attemptDelays(own, lifetime.from)
	held := quotaSpans(own, lifetime.to)
	waited := wait.to.Sub(wait.from) - wait.overlap(d.slowTransactions) - wait.overlap(d.ownerless) - wait.overlap(held)
	evacuatedWait := min(waited, wait.overlap(d.evacuated))
	type delay struct {
		cause Cause
		time  time.Duration
	}
	delays := []delay{
		{CauseStore, lifetime.overlap(d.slowTransactions)},
		{CauseNoOwner, lifetime.overlap(d.ownerless)},
		{CauseAttempts, retried},
		{CausePreempted, preempted},
		{CauseQuota, lifetime.overlap(held)},
		{CauseEvacuated, evacuatedWait},
		{CausePlacement, waited - evacuatedWait},
	}
	largest := slices.MaxFunc(delays, func(a, b delay) int { return cmp.Compare(a.time, b.time) })
	if largest.time < minDelay {
		return CauseLongRun
	}
	return largest.cause
}

// minDelay is the shortest delay that is reported as a cause. Shorter ones occur in every job.
const minDelay = 100 * time.Millisecond

// quotaSpans returns the periods in which a step of the job waited for its account's quota,
// cut off at end. Waits of several steps are merged.
func quotaSpans(own []Line, end time.Time) []span {
	var spans []span
	start := time.Time{}
	for _, line := range own {
		switch line.Message {
		case msgQuotaWait:
			if start.IsZero() {
				start = line.Time
			}
		case msgQuotaRoom:
			if !start.IsZero() {
				spans = append(spans, span{start, line.Time})
			}
			start = time.Time{}
		}
	}
	if !start.IsZero() {
		spans = append(spans, span{start, end})
	}
	return spans
}

// msgGivenBack is logged for an accepted job that was returned to its caller during a store
// outage, before it was stored.
const msgGivenBack = "given back"

// Log messages about account quotas.
const (
	msgQuotaWait = "waits for its account's quota"
	msgQuotaRoom = "its account's quota has room"
)

// refusedForQuota reports whether the line logs a job refused because it exceeds its account's
// quota.
func refusedForQuota(line Line) bool {
	return line.Message == "refused" && line.stringField("account") != ""
}

// attemptDelays returns the period in which a job waited for its first grant, and the longest
// time that it lost to an unsuccessful attempt and to a preempted one.
func attemptDelays(own []Line, submitted time.Time) (wait span, retried, preempted time.Duration) {
	wait = span{submitted, submitted}
	granted, stopping := time.Time{}, false
	for _, line := range own {
		switch line.Message {
		case "granted":
			if granted.IsZero() {
				wait.to = line.Time
			}
			granted = line.Time
		case "stopping":
			stopping = true
		case "attempt over":
			cost := line.Time.Sub(granted)
			if stopping {
				preempted = max(preempted, cost)
			} else {
				retried = max(retried, cost)
			}
		}
	}
	return wait, retried, preempted
}
