package scheduler

import (
	"context"
	"slices"
	"time"

	"chutereach/rowstore"
	"chutereach/wait"
	"chutereach/workload"
)

// Tables of a shard's partition.
const (
	recordTable   = "jobs"
	progressTable = "progress"
)

// maxJobEntries bounds the entries for jobs in a transaction. The owner's row takes two
// more, and the last job may exceed the bound.
const maxJobEntries = rowstore.MaxTransactionEntries - 5

const (
	// bundleThreshold is the number of changed jobs above which they are written in
	// bundles.
	bundleThreshold = 60
	// maxBundleDeletes bounds the bundles deleted by one transaction.
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

// jobWrite is the state of a job that a transaction writes.
type jobWrite struct {
	job        *job
	generation uint64
	state      workload.State
	bundle     *bundle // nil if the job is written to rows of its own
}

// commitOnce writes one transaction and runs the callbacks that wait for it.
func (s *Scheduler) commitOnce(ctx context.Context) error {
	confirmations := s.takeConfirmations()
	batch, puts, deletes := s.takeDirty()
	started := time.Now()
	if err := s.term.Commit(ctx, puts, deletes); err != nil {
		return err
	}
	took := time.Since(started)
	s.metrics.commit(took, len(batch))
	if took > slowCommitThreshold {
		wake(s.dispatchWake)
		s.log.Warn().Dur("took", took).Int("jobs", len(batch)).Msg("slow transaction")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		s.markSaved(w)
	}
	for _, confirmed := range confirmations {
		close(confirmed)
	}
	for _, w := range s.workers {
		w.advancePersisted()
	}
	if took < slowCommitThreshold && s.changedJobs()+maxUnbundledJobs <= bundleThreshold {
		s.unbundle()
	}
	if len(s.dirty) > 0 {
		wake(s.commitWake)
	}
	return nil
}

// takeDirty dequeues as many changed jobs as fit into a transaction and encodes their
// rows. Above bundleThreshold it writes them in bundles.
func (s *Scheduler) takeDirty() ([]jobWrite, []rowstore.Put, []rowstore.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []jobWrite
	var puts []rowstore.Put
	deletes := s.takeObsoleteBundles()
	if s.changedJobs() > bundleThreshold {
		return s.bundleDirty(deletes)
	}
	for len(batch) < len(s.dirty) && len(puts)+len(deletes) < maxJobEntries {
		j := s.dirty[len(batch)]
		j.queued, j.sent = false, true
		batch = append(batch, jobWrite{job: j, generation: j.generation, state: j.state})
		jobPuts, jobDeletes := s.rowChanges(j)
		puts, deletes = append(puts, jobPuts...), append(deletes, jobDeletes...)
	}
	s.dirty = append(s.dirty[:0], s.dirty[len(batch):]...)
	return batch, puts, deletes
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

// takeObsoleteBundles dequeues bundles to be deleted, at most maxBundleDeletes.
func (s *Scheduler) takeObsoleteBundles() []rowstore.Key {
	count := min(len(s.obsoleteBundles), maxBundleDeletes)
	var keys []rowstore.Key
	for _, b := range s.obsoleteBundles[:count] {
		keys = append(keys, s.rowKey(bundleTable, b.name))
		for _, j := range b.entries {
			j.bundleEntries-- // a job that expires because of that is deleted by a later transaction
		}
	}
	s.obsoleteBundles = slices.Delete(s.obsoleteBundles, 0, count)
	return keys
}

// rowChanges returns the row changes of a job. A job without any progress has no row
// in the progress table.
func (s *Scheduler) rowChanges(j *job) (puts []rowstore.Put, deletes []rowstore.Key) {
	needed := j.needsRecord()
	switch {
	case !needed && j.inserted:
		deletes = append(deletes, s.rowKey(recordTable, j.id))
	case needed && !j.inserted:
		puts = append(puts, rowstore.Put{Key: s.rowKey(recordTable, j.id), Value: j.record.Encode()})
	}
	if j.expired {
		deletes = append(deletes, s.rowKey(progressTable, j.id))
	} else if progress := j.progress(); j.state.Final() || j.inserted || len(progress.Steps) > 0 {
		puts = append(puts, rowstore.Put{Key: s.rowKey(progressTable, j.id), Value: progress.Encode()})
	}
	j.inserted = needed
	return puts, deletes
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
	j.savedState = w.state
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
