package scheduler

import (
	"fmt"

	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/workload"
)

// Each changed job is normally written as a row of its own. If more jobs have
// changed than fit into one transaction that way, they are written as bundles:
// rows that hold the progress of many jobs. The generation of a job tells which
// of its rows is the latest. When the load drops, bundled jobs are written as
// rows of their own again, and a bundle that no job refers to is deleted.

const (
	bundleTable = "bundles"
	// maxBundleTransactionDeletes bounds the rows deleted by a transaction that also writes bundles. It leaves
	// entries for the bundles, at most 20, and for the owner's row.
	maxBundleTransactionDeletes = maxJobEntries - 25
	// maxUnbundledJobs is how many jobs are moved out of bundles after one transaction.
	maxUnbundledJobs = 32
)

// bundleEntry is the entry of one job in a bundle.
type bundleEntry struct {
	Job      string            `cbor:"1,keyasint"`
	Record   *workload.Record  `cbor:"2,keyasint,omitempty"`
	Progress workload.Progress `cbor:"3,keyasint"`
}

// bundle is a bundle in the store. jobs are those whose latest row it may hold, and entries all that it has an
// entry for.
type bundle struct {
	name    string
	jobs    map[string]*job
	entries []*job
}

// addEntry records that the bundle has an entry for a job.
func (b *bundle) addEntry(j *job) {
	b.entries = append(b.entries, j)
	j.bundleEntries++
}

// mayBeInOlderBundle reports whether a bundle in the store may hold an earlier state of a job. Such a job must
// not expire: without a later row, the next owner would take the earlier state for the latest.
func (j *job) mayBeInOlderBundle() bool {
	if j.bundle != nil {
		return j.bundleEntries > 1
	}
	return j.bundleEntries > 0
}

// bundleDirty moves dirty jobs into bundles that a transaction writes, and those that do not fit into one to rows of their
// own. Jobs beyond the limits of a transaction stay dirty.
func (s *Scheduler) bundleDirty(tx *transaction) {
	var single, rest []*job
	var b *bundle
	var entries []codec.Raw
	size, total := 0, 0
	closeBundle := func() {
		if b != nil {
			tx.put(rowstore.Put{Key: s.rowKey(bundleTable, b.name), Value: codec.MustMarshal(entries)})
		}
		b, entries, size = nil, nil, 0
	}
	for _, j := range s.dirty {
		switch {
		case j.expired && tx.entries < maxBundleTransactionDeletes:
			if !s.take(tx, j) {
				rest = append(rest, j)
			}
			continue
		case j.expired || total > s.limits.transaction-s.limits.row:
			rest = append(rest, j)
			continue
		case j.parted:
			single = append(single, j)
			continue
		}
		entry := s.encodeBundleEntry(j)
		if len(entry) > s.limits.filled() {
			single = append(single, j)
			continue
		}
		if size+len(entry) > s.limits.filled() {
			closeBundle()
		}
		if b == nil {
			b = &bundle{name: s.nextBundleName(), jobs: map[string]*job{}}
		}
		tx.writes = append(tx.writes, jobWrite{job: j, generation: j.generation, takenAt: j.generation, state: j.state, bundle: b, wasInserted: j.inserted})
		j.queued, j.sent = false, true
		b.addEntry(j)
		entries = append(entries, entry)
		size, total = size+len(entry), total+len(entry)
	}
	closeBundle()
	s.dirty = append(s.takeJobs(tx, single, 0), rest...)
}

func (s *Scheduler) nextBundleName() string {
	s.bundleCount++
	return fmt.Sprintf("%016x.%08x", s.term.Token(), s.bundleCount)
}

func (s *Scheduler) encodeBundleEntry(j *job) codec.Raw {
	entry := bundleEntry{Job: j.id, Progress: j.progress()}
	if j.needsRecord() && !j.inserted {
		entry.Record = &j.record
	}
	return codec.MustMarshal(entry)
}

// setBundle records which bundle holds a job's latest row; nil means a row of its own. The
// caller holds the lock.
func (s *Scheduler) setBundle(j *job, b *bundle) {
	if j.bundle != nil {
		s.removeFromBundle(j, j.bundle)
	}
	for _, former := range j.inheritedBundles {
		s.removeFromBundle(j, former)
	}
	j.bundle, j.inheritedBundles = b, nil
	if b != nil {
		b.jobs[j.id] = j
		s.bundles[b.name] = b
	}
}

func (s *Scheduler) removeFromBundle(j *job, former *bundle) {
	delete(former.jobs, j.id)
	if len(former.jobs) == 0 {
		delete(s.bundles, former.name)
		s.obsoleteBundles = append(s.obsoleteBundles, former)
	}
}

// unbundle queues some bundled jobs to be written as rows of their own. The caller holds the
// lock.
func (s *Scheduler) unbundle() {
	left := maxUnbundledJobs
	for _, b := range s.bundles {
		for _, j := range b.jobs {
			if left == 0 {
				return
			}
			left--
			s.markDirty(j)
		}
	}
}

// storedBundles are the bundles of former owners.
type storedBundles struct {
	bundles []storedBundle
	// latest are the entries with the latest progress of each job. One that has no record got that of another
	// entry for the job.
	latest map[string]bundleEntry
}

// storedBundle names the jobs that a bundle in the store has an entry for.
type storedBundle struct {
	name string
	jobs []string
}

func decodeBundles(rows []rowstore.Row) (storedBundles, error) {
	latest := map[string]bundleEntry{}
	bundles := make([]storedBundle, 0, len(rows))
	for _, row := range rows {
		var entries []bundleEntry
		if err := codec.Unmarshal(row.Value, &entries); err != nil {
			return storedBundles{}, &BundleError{row.Name, err}
		}
		b := storedBundle{name: row.Name, jobs: make([]string, 0, len(entries))}
		for _, entry := range entries {
			b.jobs = append(b.jobs, entry.Job)
			former, known := latest[entry.Job]
			if entry.Record == nil {
				entry.Record = former.Record
			}
			if known && former.Progress.Generation > entry.Progress.Generation {
				former.Record = entry.Record
				entry = former
			}
			latest[entry.Job] = entry
		}
		bundles = append(bundles, b)
	}
	return storedBundles{bundles, latest}, nil
}

// BundleError reports a bundle that cannot be decoded.
type BundleError struct {
	Name  string
	Cause error
}

func (e *BundleError) Error() string { return fmt.Sprintf("decoding bundle %s: %v", e.Name, e.Cause) }

func (e *BundleError) Unwrap() error { return e.Cause }
