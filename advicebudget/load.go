package advicebudget

import "time"

// Kind tells calls by their expected duration.
type Kind int

const (
	// Cheap calls serve urgent work and must not queue behind costly ones.
	Cheap Kind = iota
	// Costly calls are all others.
	Costly
	kinds
)

func (k Kind) String() string {
	if k == Cheap {
		return "cheap"
	}
	return "costly"
}

const (
	// intervalLength is short enough to follow a burst: with 500 ms, one lookup in 100 waited for
	// two others at the start of a burst (TestLanesByMeasuredLoad in package scheduler).
	intervalLength = 250 * time.Millisecond
	intervals      = 12
	// Window is the time over which calls are measured.
	Window = intervals * intervalLength
)

// interval holds the lane time used in one interval since the Unix epoch.
type interval struct {
	number int64
	used   [kinds]time.Duration
}

// Load is the measured load of recent calls. The zero Load has no measurements.
type Load struct {
	since     time.Time // start of the first call
	intervals [intervals]interval
}

// WithCall returns the load with a call that occupied a lane from start to end, whether or not it
// was answered.
func (l Load) WithCall(kind Kind, start, end time.Time) Load {
	if l.since.IsZero() || start.Before(l.since) {
		l.since = start
	}
	if earliest := end.Add(-Window); start.Before(earliest) {
		start = earliest
	}
	for start.Before(end) {
		number := intervalNumber(start)
		until := time.Unix(0, (number+1)*int64(intervalLength))
		if end.Before(until) {
			until = end
		}
		l.add(number, kind, until.Sub(start))
		start = until
	}
	return l
}

// add adds used time to an interval, unless a later one has taken its place.
func (l *Load) add(number int64, kind Kind, used time.Duration) {
	in := &l.intervals[((number%intervals)+intervals)%intervals]
	if in.number > number {
		return
	}
	if in.number < number {
		*in = interval{number: number}
	}
	in.used[kind] += used
}

// Measured reports whether calls have been observed for the whole window.
func (l Load) Measured(now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) >= Window
}

// Lanes returns how many lanes the calls of a kind used in the busiest interval of the window. The
// maximum follows a burst within one interval, which the mean over the window would not.
func (l Load) Lanes(kind Kind, now time.Time) float64 {
	most := time.Duration(0)
	current := intervalNumber(now)
	for _, in := range l.intervals {
		if in.number <= current && in.number > current-intervals {
			most = max(most, in.used[kind])
		}
	}
	return float64(most) / float64(intervalLength)
}

func intervalNumber(at time.Time) int64 { return at.UnixNano() / int64(intervalLength) }
