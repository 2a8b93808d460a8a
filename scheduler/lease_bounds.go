package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chutereach/leadership"
	"chutereach/leases"
	"chutereach/rowstore"
)

const (
	leaseTable = "leases"
	// maxLeaseRows bounds the rows of lease bounds. With the platform's limit for a row they hold some 4,000 workers.
	maxLeaseRows = 4
)

// leaseBounds tracks which rows of lease bounds the store has.
type leaseBounds struct {
	rows    []string // their names
	changed bool     // they differ from what should be stored
	// rejected is whether the store has rejected a transaction with bounds. This owner then stores no more of them.
	rejected bool
}

// leaseWrite is what a transaction writes of lease bounds.
type leaseWrite struct {
	workers map[*worker]bool // those with a bound
	rows    []string
}

// needsLeaseBound reports whether the lease bound of a worker should be stored, so that a later owner that does not reach
// the worker either knows when its attempts have ended. A bound is kept until the worker answers. A worker whose address is
// unknown cannot be called, and needs one at once.
func (w *worker) needsLeaseBound() bool {
	switch {
	case w.ended || len(w.tasks) == 0 && len(w.lostAttempts) == 0:
		return false
	case w.unresponsive || w.lastReportAt.IsZero():
		return w.silent || w.storedExpiry != 0 || w.cancel == nil
	}
	return false
}

// reviewLeaseBound schedules a write of the bounds if a worker needs one that is not stored, or has one that it no longer needs.
// The caller must hold s.mu.
func (s *Scheduler) reviewLeaseBound(w *worker) {
	if w.needsLeaseBound() != w.boundListed && !s.leaseBounds.rejected {
		s.leaseBounds.changed = true
		wake(s.commitWake)
	}
}

// reviewLeaseBounds calls reviewLeaseBound for all workers. The caller must hold s.mu.
func (s *Scheduler) reviewLeaseBounds() {
	for _, w := range s.workers {
		s.reviewLeaseBound(w)
	}
}

// takeLeaseBounds adds the bounds to a transaction if they have changed. From then on, the leases of their workers must not
// be extended.
func (s *Scheduler) takeLeaseBounds(tx *transaction) {
	if !s.leaseBounds.changed {
		return
	}
	s.leaseBounds.changed = false
	listed := map[leases.Bound]*worker{}
	var bounds []leases.Bound
	for _, w := range s.workers {
		w.boundListed = !s.leaseBounds.rejected && w.needsLeaseBound()
		if !w.boundListed {
			continue
		}
		// A stored bound stays as it is: the lease has not been extended since.
		if expiry := cmp.Or(w.storedExpiry, s.storeClock.latestAt(w.leaseExpiry)); expiry != 0 {
			bound := leases.NewBound(w.info.Incarnation, expiry)
			listed[bound], bounds = w, append(bounds, bound)
		}
	}
	slices.SortFunc(bounds, func(a, b leases.Bound) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.StartTime, b.StartTime))
	})
	write := &leaseWrite{workers: map[*worker]bool{}}
	for i, row := range leases.Rows(s.term.Token(), bounds, s.limits.filled(), maxLeaseRows) {
		for _, bound := range row.Bounds {
			w := listed[bound]
			w.storedExpiry, w.extensionBlocked, write.workers[w] = bound.Expiry(), true, true
		}
		write.rows = append(write.rows, leases.RowName(i))
		tx.put(rowstore.Put{Key: s.rowKey(leaseTable, leases.RowName(i)), Value: row.Encode()})
	}
	for _, name := range s.leaseBounds.rows {
		if !slices.Contains(write.rows, name) {
			tx.remove(s.rowKey(leaseTable, name))
		}
	}
	tx.leases = write
}

// markLeaseBoundsSaved records that a transaction has been applied: the leases of workers without a bound in it may be
// extended again. The caller must hold s.mu.
func (s *Scheduler) markLeaseBoundsSaved(write *leaseWrite) {
	if write == nil {
		return
	}
	s.leaseBounds.rows = write.rows
	for _, w := range s.workers {
		if w.extensionBlocked && !write.workers[w] {
			w.storedExpiry, w.extensionBlocked = 0, false
			wake(w.persistedWake)
		}
	}
}

// restoreLeaseBounds applies the bounds that former owners have stored. Those from before an owner that kept none are not
// valid, nor is a row that cannot be decoded; both are removed. The caller must hold s.mu.
func (s *Scheduler) restoreLeaseBounds(rows []rowstore.Row) {
	valid, invalid := 0, 0
	for _, row := range rows {
		s.leaseBounds.rows = append(s.leaseBounds.rows, row.Name)
		stored, err := leases.DecodeRow(row.Name, row.Value)
		if err != nil || stored.Token < s.term.BoundsSince() {
			s.leaseBounds.changed = true
			invalid++
			s.log.Info().Err(err).Str("row", row.Name).Uint64("by", stored.Token).Uint64("valid_since", s.term.BoundsSince()).Msg("lease bounds are not valid")
			continue
		}
		for _, bound := range stored.Bounds {
			w := s.workers[bound.Incarnation()]
			if w == nil {
				s.leaseBounds.changed = true
				continue
			}
			w.storedExpiry, w.extensionBlocked, w.boundListed = bound.Expiry(), true, true
			if expiry, known := s.storeClock.reached(bound.Expiry()); known && expiry.Before(w.leaseExpiry) {
				w.leaseExpiry = expiry
			}
			valid++
		}
	}
	s.metrics.inheritedLeaseBounds.Add(int64(valid))
	s.log.Info().Int("valid", valid).Int("invalid_rows", invalid).Dur("otherwise", time.Until(s.formerLeaseExpiry)).
		Bool("released", s.term.FormerRelease().Term != "").Msg("lease bounds loaded")
}

// releaseInterval is the minimum time between the end of a release and the next one, so that handovers that fail again and again
// do not keep leases from being extended.
const releaseInterval = 2 * time.Second

// StopExtendingLeases stops extending leases until a transaction has been applied that starts after the call, and returns the
// release for a successor. It returns none if the last one ended a moment ago.
func (s *Scheduler) StopExtendingLeases() leadership.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.extendsLeases() {
		if time.Since(s.releaseEndedAt) < releaseInterval {
			return leadership.Release{}
		}
		s.released = s.term.Release()
	}
	return s.released.WithLeases(time.Until(s.latestLongLease()))
}

// ResumeExtendingLeases withdraws a release after a handover that has certainly failed, so that leases do not expire until the
// next transaction. It must not be called while a successor may still use the release.
func (s *Scheduler) ResumeExtendingLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRelease()
}

func (s *Scheduler) endRelease() {
	if s.released.Term != "" {
		s.released, s.releaseEndedAt = leadership.Release{}, time.Now()
	}
}

// extendsLeases reports whether no release is in force. The caller must hold s.mu.
func (s *Scheduler) extendsLeases() bool {
	if s.released.Term != "" && s.term.Resumed(s.released) {
		s.endRelease()
	}
	return s.released.Term == ""
}

// latestLongLease returns when all leases have expired that may be longer than s.lease: those granted by former owners, and those
// of restarted workers, which may have been granted by the clock of the former incarnation. The caller must hold s.mu.
func (s *Scheduler) latestLongLease() time.Time {
	latest := s.formerLeaseExpiry
	for _, w := range s.workers {
		if w.leaseExpiry.After(latest) && (len(w.tasks) > 0 || len(w.lostAttempts) > 0) {
			latest = w.leaseExpiry
		}
	}
	return latest
}

// mayExtendLease reports whether orders may extend the lease of a worker. The caller must hold s.mu.
func (s *Scheduler) mayExtendLease(w *worker) bool { return !w.extensionBlocked && s.extendsLeases() }

// quickCommit is the transaction time up to which a bound is stored after a single failed call. The worker may answer the
// next call, and the bound must then be withdrawn long before the lease expires.
const quickCommit = 100 * time.Millisecond

// storeIsQuick reports whether transactions are applied quickly. The caller must hold s.mu.
func (s *Scheduler) storeIsQuick() bool {
	return s.commitTook < quickCommit && s.term.SinceLastCommit() < idleCommitInterval+2*quickCommit
}

// latestFormerLease returns when the last lease that a former owner may have granted has expired.
func latestFormerLease(term *leadership.Term, lease time.Duration) time.Time {
	expiry := latestLeaseExpiry(term.FormerSentBefore().Add(leaseExtensionWindow), lease)
	release := term.FormerRelease()
	if release.Term == "" {
		return expiry
	}
	released := latestLeaseExpiry(release.ReceivedAt(), max(lease, startValidity))
	if long := release.ReceivedAt().Add(release.Leases); long.After(released) {
		released = long
	}
	if released.Before(expiry) {
		return released
	}
	return expiry
}
