package scheduler

import (
	"context"
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

// maxEntries bounds a transaction's entries for jobs; the owner's row takes two,
// and a job three at most.
const maxEntries = rowstore.MaxEntries - 5

const (
	// maxSingly is from how many changed jobs on they are written in bundles.
	maxSingly = 60
	// maxDeadAtOnce bounds the bundles that one transaction deletes.
	maxDeadAtOnce = 10
)

const (
	// leastCommitGap is the least time between the starts of two transactions, so
	// that changes share them: each call to the store has its price.
	leastCommitGap = 20 * time.Millisecond
	// writesShare is the owner's share of what the store takes of its partition; the
	// rest is for transactions that are sent again, and for a successor.
	writesShare = 0.5
)

// commitGapFor returns the least time between two transactions at a store that takes
// a number of them a second, or 0 if that is not known.
func commitGapFor(writes float64) time.Duration {
	if writes <= 0 {
		return leastCommitGap
	}
	return max(leastCommitGap, time.Duration(float64(time.Second)/(writes*writesShare)))
}

// slowCommit is from when on a transaction is worth a line in the log.
const slowCommit = 400 * time.Millisecond

// idleCommit is how often an owner without changes shows that it lives.
const idleCommit = 250 * time.Millisecond

// change queues a job for the next transaction. The lock is held.
func (s *Scheduler) change(j *job) {
	j.generation++
	if !j.queued {
		j.queued = true
		s.dirty = append(s.dirty, j)
	}
	wake(s.commitWake)
}

// onceSaved does something once the job as it is now is in the store. The lock
// is held, now and then.
func (j *job) onceSaved(do func()) {
	j.afterSave = append(j.afterSave, saveAction{j.generation, do})
}

// commitLoop writes changes until ctx ends or the term does.
func (s *Scheduler) commitLoop(ctx context.Context) error {
	idle := time.NewTimer(idleCommit)
	defer idle.Stop()
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.commitWake:
		case <-idle.C:
		}
		wait.For(ctx, s.commitGap-time.Since(last))
		last = time.Now()
		select {
		case s.commitTurn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		err := s.commitOnce(ctx)
		<-s.commitTurn
		if err != nil {
			return err
		}
		idle.Reset(idleCommit)
	}
}

// written is what one transaction says of a job.
type written struct {
	job        *job
	generation uint64
	state      workload.State
	bundle     *bundle // that it was written into; nil: a row of its own
}

func (s *Scheduler) commitOnce(ctx context.Context) error {
	batch, puts, deletes := s.takeDirty()
	begun := time.Now()
	if err := s.term.Commit(ctx, puts, deletes); err != nil {
		return err
	}
	took := time.Since(begun)
	s.metrics.commit(took, len(batch))
	if took > slowCommit {
		wake(s.dispatchWake)
		s.log.Warn().Dur("took", took).Int("jobs", len(batch)).Msg("slow transaction")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		s.markSaved(w)
	}
	for _, w := range s.workers {
		w.advanceNoted()
	}
	if took < slowCommit && len(s.dirty)+unbundleAtOnce <= maxSingly {
		s.unbundle()
	}
	if len(s.dirty) > 0 {
		wake(s.commitWake)
	}
	return nil
}

// takeDirty takes as many jobs off the queue as a transaction holds, and encodes
// their rows.
func (s *Scheduler) takeDirty() ([]written, []rowstore.Put, []rowstore.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []written
	var puts []rowstore.Put
	deletes := s.takeDeadBundles()
	if len(s.dirty) > maxSingly {
		batch, puts = s.takeBundles()
		return batch, puts, deletes
	}
	for len(batch) < len(s.dirty) && len(puts)+len(deletes) < maxEntries {
		j := s.dirty[len(batch)]
		j.queued, j.sent = false, true
		batch = append(batch, written{job: j, generation: j.generation, state: j.state})
		jobPuts, jobDeletes := s.rowsOf(j)
		puts, deletes = append(puts, jobPuts...), append(deletes, jobDeletes...)
	}
	s.dirty = append(s.dirty[:0], s.dirty[len(batch):]...)
	return batch, puts, deletes
}

// takeDeadBundles takes some bundles that nobody needs.
func (s *Scheduler) takeDeadBundles() []rowstore.Key {
	count := min(len(s.deadBundles), maxDeadAtOnce)
	dead := append([]rowstore.Key(nil), s.deadBundles[:count]...)
	s.deadBundles = s.deadBundles[count:]
	return dead
}

// rowsOf returns what to write of a job. A job of which nothing has begun has no
// row of progress.
func (s *Scheduler) rowsOf(j *job) (puts []rowstore.Put, deletes []rowstore.Key) {
	if j.forgotten {
		return nil, []rowstore.Key{s.key(progressTable, j.id)}
	}
	needed := j.needsRecord()
	switch {
	case !needed && j.inserted:
		deletes = append(deletes, s.key(recordTable, j.id))
	case needed && !j.inserted:
		puts = append(puts, rowstore.Put{Key: s.key(recordTable, j.id), Value: j.record.Encode()})
	}
	if progress := j.progress(); j.state.Final() || j.inserted || len(progress.Steps) > 0 {
		puts = append(puts, rowstore.Put{Key: s.key(progressTable, j.id), Value: progress.Encode()})
	}
	j.inserted = needed
	return puts, deletes
}

// needsRecord reports whether a successor needs the job's record: while it is not final, and
// until all that ran of it is over, which counts against its account's quota.
func (j *job) needsRecord() bool { return !j.state.Final() || j.hosted > 0 }

func (s *Scheduler) key(table, name string) rowstore.Key {
	return rowstore.Key{Table: table, Partition: s.shard, Name: name}
}

func (s *Scheduler) markSaved(w written) {
	j := w.job
	j.saved = max(j.saved, w.generation)
	j.savedState = w.state
	s.enterBundle(j, w.bundle)
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
		action.do()
	}
}
