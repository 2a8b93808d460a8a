package leadership

import (
	"time"

	"chutereach/clock"
)

// LastSuccess returns when the last applied transaction was first sent.
func (r *Term) LastSuccess() time.Time { return r.lastCommitSent.Load().Time() }

// UnansweredSince returns since when the store counts as failing if it has not answered a transaction that was started
// at a time.
func (r *Term) UnansweredSince(startedAt clock.Instant) clock.Instant {
	return (&commit{term: r, startedAt: startedAt}).unansweredSince()
}
