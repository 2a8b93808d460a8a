package explain

import (
	"cmp"
	"slices"
	"time"
)

// Cause is what held a job up for the longest time.
type Cause string

// The causes of losses.
const (
	CauseRefused    Cause = "refused, the store was down"
	CauseNotWritten Cause = "not final, or not written"
	CauseStore      Cause = "transactions took long"
	CauseNoOwner    Cause = "no owner"
	CauseAttempts   Cause = "attempts failed or were lost"
	CauseGaveWay    Cause = "gave way to urgent work"
	CauseQuota      Cause = "its account was at its quota"
	CauseEvacuated  Cause = "waited while data halls were evacuated"
	CauseWaited     Cause = "waited for room or advice"
	CauseRan        Cause = "ran for long"
)

// Saveable reports whether a scheduler could have done something about a loss of this
// cause: nothing can be accepted or completed while the store is down, and an operator sets
// quotas.
func (c Cause) Saveable() bool {
	return c != CauseRefused && c != CauseStore && c != CauseNotWritten && c != CauseQuota
}

// Loss counts the jobs of a queue that came in one window and were late, refused or
// never final for one cause.
type Loss struct {
	Queue  string        `json:"queue"`
	Window time.Duration `json:"window"` // its begin, after the zero time
	Cause  Cause         `json:"cause"`
	Jobs   int           `json:"jobs"`
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// overlap returns how much of a span lies in others, which do not overlap each other.
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

// Losses finds in the lines of all boxes the jobs that were not completed in time, and
// what held each up for the longest. Windows of a length are counted from a zero time.
func Losses(lines []Line, zero time.Time, window time.Duration) []Loss {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	causes := dayCauses{slow: slowSpans(lines), ownerless: ownerlessSpans(lines), evacuated: evacuatedSpans(lines)}
	counts := map[Loss]int{}
	for _, own := range byJob(lines) {
		cause, at, lost := causes.of(own)
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

// byJob returns the lines of each job, in the order of time.
func byJob(lines []Line) map[string][]Line {
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
		if queue := line.text("queue"); queue != "" {
			return queue
		}
	}
	return ""
}

// slowSpans returns the times of transactions that took long.
func slowSpans(lines []Line) []span {
	var spans []span
	for _, line := range lines {
		if line.Message == "slow transaction" {
			spans = append(spans, span{line.Time.Add(-line.duration("took")), line.Time})
		}
	}
	return spans
}

// ownerlessSpans returns the times from an owner's last decision to the moment at which
// its successor had loaded the shard.
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

// dayCauses are the times of a day that hold all jobs up.
type dayCauses struct{ slow, ownerless, evacuated []span }

// of returns what held a job up and when it came, if it was lost.
func (d dayCauses) of(own []Line) (cause Cause, came time.Time, lost bool) {
	came = own[0].Time
	final := slices.IndexFunc(own, func(l Line) bool { return l.Message == "job is final" })
	if final < 0 {
		if slices.ContainsFunc(own, func(l Line) bool { return l.Message == givenBack }) {
			return CauseRefused, came, true
		}
		if slices.ContainsFunc(own, func(l Line) bool { return l.Message == "accepted" }) {
			return CauseNotWritten, came, true
		}
		if slices.ContainsFunc(own, refusedForQuota) {
			return CauseQuota, came, true
		}
		return CauseRefused, came, true
	}
	line := own[final]
	came = line.Time.Add(-line.duration("age"))
	late, _ := line.Fields["late"].(bool)
	if line.text("state") == "cancelled" || !late {
		return "", came, false
	}
	return d.longest(own[:final], span{came, line.Time}), came, true
}

// longest returns what took the most of a late job's life.
func (d dayCauses) longest(own []Line, life span) Cause {
	wait, retried, yielded := heldUp(own, life.from)
	held := heldByQuota(own, life.to)
	waited := wait.to.Sub(wait.from) - wait.overlap(d.slow) - wait.overlap(d.ownerless) - wait.overlap(held)
	short := min(waited, wait.overlap(d.evacuated))
	type share struct {
		cause Cause
		time  time.Duration
	}
	shares := []share{
		{CauseStore, life.overlap(d.slow)},
		{CauseNoOwner, life.overlap(d.ownerless)},
		{CauseAttempts, retried},
		{CauseGaveWay, yielded},
		{CauseQuota, life.overlap(held)},
		{CauseEvacuated, short},
		{CauseWaited, waited - short},
	}
	most := slices.MaxFunc(shares, func(a, b share) int { return cmp.Compare(a.time, b.time) })
	if most.time < leastShare {
		return CauseRan
	}
	return most.cause
}

// leastShare is the time from which something counts as having held a job up: less is
// in every job's life.
const leastShare = 100 * time.Millisecond

// heldByQuota returns the times in which the quota of its account held a step of a job back,
// until the job's end at the latest. Those of several steps are joined.
func heldByQuota(own []Line, end time.Time) []span {
	var spans []span
	begun := time.Time{}
	for _, line := range own {
		switch line.Message {
		case quotaHolds:
			if begun.IsZero() {
				begun = line.Time
			}
		case quotaLetsGo:
			if !begun.IsZero() {
				spans = append(spans, span{begun, line.Time})
			}
			begun = time.Time{}
		}
	}
	if !begun.IsZero() {
		spans = append(spans, span{begun, end})
	}
	return spans
}

// givenBack is the message of lines on jobs that were taken, and given back in an outage of
// the store before it held them.
const givenBack = "given back"

// Messages of lines on quotas.
const (
	quotaHolds  = "waits for its account's quota"
	quotaLetsGo = "its account's quota has room"
)

// refusedForQuota reports whether a line says that a job could never fit its account's quota.
func refusedForQuota(line Line) bool {
	return line.Message == "refused" && line.text("account") != ""
}

// heldUp returns from when to when a job waited for its first grant, and what attempts
// that did not end well cost it.
func heldUp(own []Line, came time.Time) (wait span, retried, yielded time.Duration) {
	wait = span{came, came}
	granted, gaveWay := time.Time{}, false
	for _, line := range own {
		switch line.Message {
		case "granted":
			if granted.IsZero() {
				wait.to = line.Time
			}
			granted = line.Time
		case "stopping":
			gaveWay = true
		case "attempt over":
			cost := line.Time.Sub(granted)
			if gaveWay {
				yielded = max(yielded, cost)
			} else {
				retried = max(retried, cost)
			}
		}
	}
	return wait, retried, yielded
}
