package workload

import "slices"

// FailedAttempts lists the failed attempts of a task, or of a gang, in ascending order. As it identifies
// them, a failure that is reported repeatedly counts once.
type FailedAttempts []int

// Contains reports whether an attempt has failed.
func (f FailedAttempts) Contains(attempt int) bool {
	_, found := slices.BinarySearch(f, attempt)
	return found
}

// With returns f with an attempt added.
func (f FailedAttempts) With(attempt int) FailedAttempts {
	i, found := slices.BinarySearch(f, attempt)
	if found {
		return f
	}
	return slices.Insert(slices.Clone(f), i, attempt)
}

// WithCount returns f completed to count attempts. Earlier builds store only a count; which attempts it refers
// to is unknown. They are taken to be the latest ones up to lastEnded, whose reports are most likely to be
// repeated. A count above the number of attempts is reduced: earlier builds counted each failed member of a gang.
func (f FailedAttempts) WithCount(count, lastEnded int) FailedAttempts {
	for attempt := lastEnded; attempt > 0 && len(f) < count; attempt-- {
		f = f.With(attempt)
	}
	return f
}
