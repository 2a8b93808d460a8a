package scheduler

import (
	"fmt"

	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/workload"
)

// Rows of jobs are written one by one while a transaction holds all that has
// changed. When it does not, because the store is slow or much changes at once,
// all of it goes into a few bundles: rows that hold the progress of many jobs. A
// job's generation tells which of its rows is the latest. Once there is time
// again, jobs are taken out of bundles by being written one by one, and a bundle
// is deleted when no job needs it.

const (
	bundleTable = "bundles"
	// maxBundle bounds the bytes of a bundle, and maxBundled those of all bundles
	// of one transaction.
	maxBundle  = 48 << 10
	maxBundled = 600 << 10
	// unbundleAtOnce is how many jobs are taken out of bundles at a time.
	unbundleAtOnce = 32
)

// bundled is what a bundle holds of a job.
type bundled struct {
	Job      string            `cbor:"1,keyasint"`
	Record   *workload.Record  `cbor:"2,keyasint,omitempty"`
	Progress workload.Progress `cbor:"3,keyasint"`
}

// bundle is a bundle in the store, and the jobs that need it.
type bundle struct {
	name string
	jobs map[string]*job
}

// takeBundles takes jobs off the queue into bundles. Jobs whose rows are to be
// deleted stay in it until there is time.
func (s *Scheduler) takeBundles() ([]written, []rowstore.Put) {
	var batch []written
	var puts []rowstore.Put
	var rest []*job
	var b *bundle
	var entries []codec.Raw
	size, total := 0, 0
	closeBundle := func() {
		if b != nil {
			puts = append(puts, rowstore.Put{Key: s.key(bundleTable, b.name), Value: codec.MustMarshal(entries)})
		}
		b, entries, size = nil, nil, 0
	}
	for _, j := range s.dirty {
		if j.forgotten || total > maxBundled {
			rest = append(rest, j)
			continue
		}
		if b == nil {
			b = &bundle{name: s.nextBundle(), jobs: map[string]*job{}}
		}
		j.queued, j.sent = false, true
		entry := s.bundledOf(j)
		entries = append(entries, entry)
		size, total = size+len(entry), total+len(entry)
		batch = append(batch, written{job: j, generation: j.generation, state: j.state, bundle: b})
		if size > maxBundle {
			closeBundle()
		}
	}
	closeBundle()
	s.dirty = rest
	return batch, puts
}

func (s *Scheduler) nextBundle() string {
	s.bundleCount++
	return fmt.Sprintf("%016x.%08x", s.term.Token(), s.bundleCount)
}

func (s *Scheduler) bundledOf(j *job) codec.Raw {
	entry := bundled{Job: j.id, Progress: j.progress()}
	if j.needsRecord() && !j.inserted {
		entry.Record = &j.record
	}
	return codec.MustMarshal(entry)
}

// enterBundle notes that a job's latest row is in a bundle, or, with nil, its
// own. The lock is held.
func (s *Scheduler) enterBundle(j *job, b *bundle) {
	if j.bundle != nil {
		s.leaveBundle(j, j.bundle)
	}
	for _, former := range j.inherited {
		s.leaveBundle(j, former)
	}
	j.bundle, j.inherited = b, nil
	if b != nil {
		b.jobs[j.id] = j
		s.bundles[b.name] = b
	}
}

func (s *Scheduler) leaveBundle(j *job, former *bundle) {
	delete(former.jobs, j.id)
	if len(former.jobs) == 0 {
		delete(s.bundles, former.name)
		s.deadBundles = append(s.deadBundles, s.key(bundleTable, former.name))
	}
}

// unbundle has some jobs written one by one. The lock is held.
func (s *Scheduler) unbundle() {
	left := unbundleAtOnce
	for _, b := range s.bundles {
		for _, j := range b.jobs {
			if left == 0 {
				return
			}
			left--
			s.change(j)
		}
	}
}

// bundledRows returns the latest that bundles say of each job, and the records in
// them.
func (s *Scheduler) bundledRows(rows []rowstore.Row) (map[string]bundled, error) {
	latest := map[string]bundled{}
	for _, row := range rows {
		var entries []bundled
		if err := codec.Unmarshal(row.Value, &entries); err != nil {
			return nil, &BundleError{row.Name, err}
		}
		for _, entry := range entries {
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
	}
	return latest, nil
}

// BundleError says that a bundle cannot be read.
type BundleError struct {
	Name  string
	Cause error
}

func (e *BundleError) Error() string { return fmt.Sprintf("bundle %s: %v", e.Name, e.Cause) }

func (e *BundleError) Unwrap() error { return e.Cause }
