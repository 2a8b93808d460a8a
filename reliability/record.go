package reliability

import (
	"math"
	"time"
)

const (
	// quarantineAfter is how many failures in a row keep all work from a worker. One is
	// mostly the task's own: one or two tasks in a hundred fail anywhere.
	quarantineAfter = 2
	// leastPause and mostPause bound for how long; each quarantine without a success in
	// between is twice as long as the one before.
	leastPause = time.Second
	mostPause  = 4 * time.Second
	// doubtFor is for how long a worker is in doubt after one failure: by then one that fails
	// everything has failed again.
	doubtFor = time.Second
	// newestWeight is the weight of the newest attempt in the share of failures, and halfLife
	// the time in which the share halves without any.
	newestWeight = 0.25
	halfLife     = 4 * time.Second
	// doubtShare is the share of failures from which a worker is in doubt. One failure on a
	// sound worker comes to a quarter.
	doubtShare = 0.3
)

// Standing is how far a worker can be relied on.
type Standing int

// The standings, the best first.
const (
	Sound       Standing = iota
	Doubtful             // it may fail: nothing goes there that must not
	Probing              // it has failed in a row: one task at a time finds out
	Quarantined          // it gets nothing for a while
)

// Record is how attempts have ended on a worker. The zero Record is that of a sound one.
type Record struct {
	row      int // failures in a row that are taken for the worker's
	share    float64
	failedAt time.Time
	until    time.Time // of its quarantine
	pause    time.Duration
	lastJob  string // of the last failure
}

// WithDone returns the record after an attempt has ended well.
func (r Record) WithDone() Record {
	return Record{share: r.share * (1 - newestWeight), failedAt: r.failedAt}
}

// WithFailed returns the record after an attempt has failed. Failures of one job in a row
// count once: they may be the job's own.
func (r Record) WithFailed(job string, now time.Time) Record {
	if r.row > 0 && r.lastJob == job {
		return r
	}
	r.share = r.Share(now) + (1-r.Share(now))*newestWeight
	r.failedAt, r.lastJob = now, job
	if r.row++; r.row >= quarantineAfter {
		r.pause = min(mostPause, max(leastPause, 2*r.pause))
		r.until = now.Add(r.pause)
	}
	return r
}

// WithForgiven returns the record after the last failure has turned out to be the task's: it
// has failed on another worker too.
func (r Record) WithForgiven() Record {
	if r.row == 0 {
		return r
	}
	r.row--
	r.share = math.Max(0, (r.share-newestWeight)/(1-newestWeight))
	if r.row < quarantineAfter {
		r.until = time.Time{}
	}
	return r
}

// Share returns the share of attempts that fail, the newest weighing most.
func (r Record) Share(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * math.Exp2(-float64(now.Sub(r.failedAt))/float64(halfLife))
}

// Standing returns how far the worker can be relied on.
func (r Record) Standing(now time.Time) Standing {
	switch {
	case now.Before(r.until):
		return Quarantined
	case r.row >= quarantineAfter:
		return Probing
	case r.row > 0 && now.Sub(r.failedAt) < doubtFor, r.Share(now) >= doubtShare:
		return Doubtful
	}
	return Sound
}

// Work is what could be placed on a worker.
type Work struct {
	// Precious work is lost, or much of it, with one more failure: a task with one attempt
	// left, or a member of a gang.
	Precious bool
	// Beside is how many other tasks run on the worker.
	Beside int
}

// Takes reports whether work may go to a worker of a standing.
func (s Standing) Takes(work Work) bool {
	switch s {
	case Quarantined:
		return false
	case Probing:
		return !work.Precious && work.Beside == 0
	case Doubtful:
		return !work.Precious
	}
	return true
}
