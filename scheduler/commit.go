package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"chutereach/rowstore"
	"chutereach/wait"
)

// Tables of a shard's partition.
const (
	recordTable   = "jobs"
	progressTable = "progress"
)

// maxJobEntries bounds the entries for jobs in a transaction. The owner's row takes two more.
const maxJobEntries = rowstore.MaxTransactionEntries - 5

const (
	// bundleThreshold is the number of changed jobs above which they are written in
	// bundles.
	bundleThreshold = 60
	// maxBundleDeletes bounds the bundles, and the parts without a job, deleted by one transaction.
	maxBundleDeletes = 10
)

const (
	// minCommitInterval is the minimum time between the starts of two transactions, so
	// that changes share a transaction.
	minCommitInterval = 20 * time.Millisecond
	// ownerWriteShare is the share of the partition's write rate that the owner uses.
	// The rest is left for retries and for the next owner.
	ownerWriteShare = 0.5
)

// commitIntervalFor returns the minimum time between two transactions for a store that
// accepts writes transactions per second; 0 means unknown.
func commitIntervalFor(writes float64) time.Duration {
	if writes <= 0 {
		return minCommitInterval
	}
	return max(minCommitInterval, time.Duration(float64(time.Second)/(writes*ownerWriteShare)))
}

// slowCommitThreshold is the duration above which a transaction is logged as slow.
const slowCommitThreshold = 400 * time.Millisecond

// idleCommitInterval is how often an owner without changes commits an empty transaction
// to confirm its term.
const idleCommitInterval = 250 * time.Millisecond

// markDirty records a change of a job and queues the job for the next transaction. The lock
// is held.
func (s *Scheduler) markDirty(j *job) {
	j.generation++
	if !j.queued {
		j.queued = true
		s.dirty = append(s.dirty, j)
	}
	wake(s.commitWake)
}

// markTaskDirty records a change of a task's stored state. The lock is held.
func (s *Scheduler) markTaskDirty(t *task) {
	t.touch()
	s.markDirty(t.step.job)
}

// onSaved calls do once the job's current generation is in the store. The lock is
// held, both now and during the call.
func (j *job) onSaved(do func()) {
	j.afterSave = append(j.afterSave, saveAction{j.generation, do})
}

// commitLoop writes changes until ctx is done or the term ends.
func (s *Scheduler) commitLoop(ctx context.Context) error {
	idle := time.NewTimer(idleCommitInterval)
	defer idle.Stop()
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.commitWake:
		case <-idle.C:
		}
		wait.For(ctx, s.commitInterval-time.Since(last))
		last = time.Now()
		select {
		case s.commitSlot <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		err := s.commitOnce(ctx)
		<-s.commitSlot
		if err != nil {
			return err
		}
		idle.Reset(idleCommitInterval)
	}
}

// commitOnce writes one transaction and runs the callbacks that wait for it.
func (s *Scheduler) commitOnce(ctx context.Context) error {
	confirmations := s.takeConfirmations()
	tx := s.takeDirty()
	started := time.Now()
	err := s.term.Commit(ctx, tx.puts, tx.deletes)
	var rejected *rowstore.RejectedError
	if errors.As(err, &rejected) {
		s.handleRejected(tx, confirmations, rejected)
		return nil
	}
	if err != nil {
		return err
	}
	took := time.Since(started)
	s.metrics.commit(took, len(tx.writes))
	if took > slowCommitThreshold {
		wake(s.dispatchWake)
		s.log.Warn().Dur("took", took).Int("jobs", len(tx.writes)).Int("bytes", tx.bytes).Msg("slow transaction")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitTook = took
	s.markLeaseBoundsSaved(tx.leases)
	for _, w := range tx.writes {
		s.markSaved(w)
	}
	for _, confirmed := range confirmations {
		close(confirmed)
	}
	for _, w := range s.workers {
		w.advancePersisted()
	}
	s.raiseWriteLimit()
	if took < slowCommitThreshold && s.changedJobs()+maxUnbundledJobs <= bundleThreshold {
		s.unbundle()
	}
	if len(s.dirty) > 0 || s.leaseBounds.changed || len(s.orphanParts) > 0 {
		wake(s.commitWake)
	}
	return nil
}

// takeDirty dequeues as many changed jobs as fit into a transaction and encodes their
// rows. Above bundleThreshold it writes them in bundles.
func (s *Scheduler) takeDirty() *transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx := s.newTransaction()
	s.takeLeaseBounds(tx)
	if s.writeLimit == 0 {
		s.takeObsoleteBundles(tx)
		s.takeOrphanParts(tx)
	}
	if s.changedJobs() > bundleThreshold && s.writeLimit == 0 {
		s.bundleDirty(tx)
		return tx
	}
	s.dirty = s.takeJobs(tx, s.dirty, s.writeLimit)
	return tx
}

// takeJobs adds the rows of jobs to a transaction as far as they fit, of at most limit jobs if limit is not 0. It returns
// the jobs that have something left to write.
func (s *Scheduler) takeJobs(tx *transaction, list []*job, limit int) []*job {
	var left []*job
	for i, j := range list {
		if limit > 0 && i >= limit || !tx.fits(1, 0) {
			return append(left, list[i:]...)
		}
		if !s.take(tx, j) {
			left = append(left, j)
		}
	}
	return left
}

// changedJobs returns how many of the dirty jobs have a state to be written. Expired ones have none.
func (s *Scheduler) changedJobs() int {
	count := 0
	for _, j := range s.dirty {
		if !j.expired {
			count++
		}
	}
	return count
}

// takeObsoleteBundles adds the deletion of bundles that no job needs, at most maxBundleDeletes.
func (s *Scheduler) takeObsoleteBundles(tx *transaction) {
	count := min(len(s.obsoleteBundles), maxBundleDeletes)
	for _, b := range s.obsoleteBundles[:count] {
		tx.remove(s.rowKey(bundleTable, b.name))
		tx.bundles = append(tx.bundles, b)
		for _, j := range b.entries {
			j.bundleEntries-- // a job that expires because of that is deleted by a later transaction
		}
	}
	s.obsoleteBundles = slices.Delete(s.obsoleteBundles, 0, count)
}

// takeOrphanParts adds the deletion of parts that no job needs, at most maxBundleDeletes.
func (s *Scheduler) takeOrphanParts(tx *transaction) {
	count := min(len(s.orphanParts), maxBundleDeletes)
	for _, name := range s.orphanParts[:count] {
		tx.remove(s.rowKey(partTable, name))
	}
	tx.orphans = s.orphanParts[:count]
	s.orphanParts = s.orphanParts[count:]
}

// take adds the rows of a job to a transaction, and reports whether they fit. Of a job with parts, as many are added as fit.
func (s *Scheduler) take(tx *transaction, j *job) bool {
	rows := s.rowsOf(j)
	if !tx.fits(len(rows.puts)+len(rows.deletes)+1, rows.bytes()) {
		return false
	}
	w := jobWrite{job: j, generation: j.generation, takenAt: j.generation, state: j.state, wasInserted: j.inserted, parted: rows.parted}
	complete := true
	if rows.parted {
		tx.reserve(len(rows.puts)+len(rows.deletes), rows.bytes())
		complete = s.takeParts(tx, &w)
		tx.reserve(-len(rows.puts)-len(rows.deletes), -rows.bytes())
	}
	if !complete && !j.partedStored {
		// The row that says that the job has parts must not come before any of them.
		rows, w.generation, w.parted = rows.withoutProgress(), j.saved, false
	}
	tx.add(rows)
	s.takeObsoleteParts(tx, &w)
	complete = complete && len(j.obsoleteParts) == 0
	j.sent, j.inserted, j.queued = true, j.needsRecord(), !complete
	tx.writes = append(tx.writes, w)
	return complete
}

// rowsOf returns the row changes of a job, apart from its parts. A job without any progress has no row
// in the progress table.
func (s *Scheduler) rowsOf(j *job) jobRows {
	var rows jobRows
	needed := j.needsRecord()
	switch {
	case !needed && j.inserted:
		rows.deletes = append(rows.deletes, s.rowKey(recordTable, j.id))
	case needed && !j.inserted:
		rows.puts = append(rows.puts, rowstore.Put{Key: s.rowKey(recordTable, j.id), Value: j.record.Encode()})
	}
	if j.expired {
		rows.deletes = append(rows.deletes, s.rowKey(progressTable, j.id))
		return rows
	}
	progress := j.progress()
	if !j.state.Final() && !j.inserted && len(progress.Steps) == 0 && !j.parted {
		return rows
	}
	value := progress.Encode()
	if progress.Rounds == nil && len(value) > s.limits.filled() && !j.parted {
		s.log.Info().Str("job", j.id).Int("bytes", len(value)).Msg("progress of the job is stored in parts")
		j.split()
		progress = j.progress()
		value = progress.Encode()
	}
	if rows.parted = progress.Rounds != nil; !rows.parted && j.parted {
		j.dropAllParts()
	}
	rows.puts = append(rows.puts, rowstore.Put{Key: s.rowKey(progressTable, j.id), Value: value})
	return rows
}

// needsRecord reports whether the next owner would need the job's record: until the job is
// final and its last attempt is over. Attempts that are being stopped count against the
// account's quota.
func (j *job) needsRecord() bool { return !j.state.Final() || j.hosted > 0 }

func (s *Scheduler) rowKey(table, name string) rowstore.Key {
	return rowstore.Key{Table: table, Partition: s.shard, Name: name}
}

// markSaved records that a job's generation is in the store and runs the callbacks that are
// due. The lock is held.
func (s *Scheduler) markSaved(w jobWrite) {
	j := w.job
	j.saved = max(j.saved, w.generation)
	if w.generation >= w.takenAt {
		j.savedState = w.state
	}
	j.partedStored = j.partedStored || w.parted
	s.setBundle(j, w.bundle)
	rest := j.afterSave[:0]
	var due []saveAction
	for _, action := range j.afterSave {
		if action.generation <= j.saved {
			due = append(due, action)
		} else {
			rest = append(rest, action)
		}
	}
	j.afterSave = rest
	for _, action := range due {
		action.run()
	}
}
