package scheduler

import (
	"slices"
	"time"

	"chutereach/workload"
)

// A store that rejects a transaction for what it contains would reject it each time. The jobs of such a transaction
// are written again in smaller ones, until only the job that the store rejects is left. All sizes are bounded, so that
// this should not happen; without it, one job would stop all others.

// handleRejected puts back what a rejected transaction contained, and gives a job up that was alone in it.
func (s *Scheduler) handleRejected(tx *transaction, confirmations []chan struct{}, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.rejectedTransactions.Add(1)
	s.log.Error().Err(cause).Int("jobs", len(tx.writes)).Int("entries", tx.entries).Int("bytes", tx.bytes).Msg("store rejected a transaction")
	s.undo(tx)
	s.confirmations = append(confirmations, s.confirmations...)
	if len(tx.writes) == 1 && tx.leases == nil {
		s.giveUp(tx.writes[0].job)
	}
	s.writeLimit = max(1, len(tx.writes)/2)
	wake(s.commitWake)
}

// raiseWriteLimit lets the next transaction have more jobs, after one was applied.
func (s *Scheduler) raiseWriteLimit() {
	if s.writeLimit *= 2; s.writeLimit > bundleThreshold {
		s.writeLimit = 0
	}
}

// undo puts back what a transaction that was not applied contained. The jobs come first in the next one.
func (s *Scheduler) undo(tx *transaction) {
	var list []*job
	for i := range tx.writes {
		w := &tx.writes[i]
		j := w.job
		w.undoParts()
		j.inserted = w.wasInserted
		if w.bundle != nil {
			j.bundleEntries--
		}
		if !j.queued {
			j.queued = true
			list = append(list, j)
		}
	}
	s.dirty = append(list, s.dirty...)
	for _, b := range tx.bundles {
		for _, j := range b.entries {
			j.bundleEntries++
		}
	}
	s.obsoleteBundles = append(tx.bundles, s.obsoleteBundles...)
	s.orphanParts = append(tx.orphans, s.orphanParts...)
	if tx.leases != nil {
		s.leaseBounds.changed, s.leaseBounds.rejected = true, true
	}
}

// giveUp fails a job whose state the store rejects, or withdraws it if the store has nothing of it.
func (s *Scheduler) giveUp(j *job) {
	s.log.Error().Str("job", j.id).Str("state", string(j.state)).Msg("store rejects the state of the job; giving the job up")
	again := j.unstorable
	j.unstorable = true
	switch {
	case again:
		s.dequeue(j)
	case j.saved == 0 && !j.inserted:
		s.withdraw(j, time.Now())
	case j.state.Final():
		s.markDirty(j)
	default:
		s.finish(j, workload.Failed, "its state cannot be stored")
	}
}

// dequeue removes a job from those to be written.
func (s *Scheduler) dequeue(j *job) {
	s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
}
