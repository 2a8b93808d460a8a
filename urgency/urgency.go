package urgency

import (
	"cmp"
	"time"
)

// Rank orders work that waits; lower goes first.
type Rank int

// The ranks.
const (
	UrgentInTime Rank = iota // of the first queue, and can be completed in time
	InTime
	UrgentLate
	Late
	Worthless // so late that completing it earns nothing more
)

const (
	// worthlessAfter is the multiple of its objective after which a job earns nothing more.
	worthlessAfter = 3
	// stopLead is how long before a step's latest start others are stopped for it: asking for
	// advice and their stop take up to it. chainShare of the chain's estimate is added, for
	// estimates are half as long or twice as long as the work.
	stopLead   = 1500 * time.Millisecond
	chainShare = 0.5
	// leaveLead is the same for a step that leaves room to others: after this it takes its own.
	leaveLead = 3 * time.Second
	// mostIdle is for how long a job of which nothing runs leaves room to others. It must not
	// stand still for 3 s where there is room.
	mostIdle = 2 * time.Second
)

// Work is a step that waits, as its urgency depends on it.
type Work struct {
	Priority int // of its queue; 0 goes first
	// Arrived is when its job came, and Deadline when that should be completed.
	Arrived, Deadline time.Time
	// Chain is the estimated work of the longest chain that is left.
	Chain time.Duration
	// Untimed work has no deadline that counts: it lasts, or has times of its own.
	Untimed bool
	// Idle is for how long nothing of its job has run; 0 if something does.
	Idle time.Duration
	// Beyond is whether its job came on top of what its account is owed.
	Beyond bool
}

// Verdict is how urgent a step is at a moment.
type Verdict struct {
	Rank Rank
	// Latest is when the rest of the chain must begin to end in time.
	Latest time.Time
	// Pressed steps are worth that work of lesser queues is stopped for them.
	Pressed bool
	// MayWait is whether it may be held back although there is room: something of its job
	// runs, or did a moment ago.
	MayWait bool
	// Patient steps leave room to wide steps of queues that go first.
	Patient bool
	// Beyond steps go after those of their rank that are owed to their accounts.
	Beyond bool
}

// InTime reports whether the work can be completed in time.
func (v Verdict) InTime() bool { return v.Rank <= InTime }

// Judge returns how urgent a step is.
func Judge(w Work, now time.Time) Verdict {
	v := Verdict{Rank: rankOf(w, now), Latest: w.Deadline.Add(-w.Chain), MayWait: w.Idle < mostIdle, Beyond: w.Beyond}
	if w.Untimed {
		return v
	}
	margin := time.Duration(chainShare * float64(w.Chain))
	v.Pressed = v.Rank <= InTime && (w.Priority == 0 || now.Add(stopLead+margin).After(v.Latest))
	v.Patient = v.MayWait && w.Priority > 0 && now.Add(leaveLead+margin).Before(v.Latest)
	return v
}

func rankOf(w Work, now time.Time) Rank {
	urgent := w.Priority == 0
	switch {
	case w.Untimed:
		return InTime
	case now.Add(w.Chain).Before(w.Deadline):
		if urgent {
			return UrgentInTime
		}
		return InTime
	case now.After(w.Arrived.Add(worthlessAfter * w.Deadline.Sub(w.Arrived))):
		return Worthless
	case urgent:
		return UrgentLate
	}
	return Late
}

// Compare orders verdicts, the most urgent first.
func Compare(a, b Verdict) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), trueLast(a.Beyond, b.Beyond), a.Latest.Compare(b.Latest))
}

func trueLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
