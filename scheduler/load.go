package scheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chutereach/account"
	"chutereach/clock"
	"chutereach/fleet"
	"chutereach/rowstore"
	"chutereach/workload"
)

// Load reads the state that former owners have stored. It must succeed before Run is called.
func (s *Scheduler) Load(ctx context.Context) error {
	var records, progress, bundles, parts, bounds rowstore.Page
	asked := clock.Now()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		records, err = rowstore.ReadAll(groupCtx, s.store, recordTable, s.shard)
		return err
	})
	group.Go(func() (err error) {
		progress, err = rowstore.ReadAll(groupCtx, s.store, progressTable, s.shard)
		return err
	})
	group.Go(func() (err error) {
		bundles, err = rowstore.ReadAll(groupCtx, s.store, bundleTable, s.shard)
		return err
	})
	group.Go(func() (err error) {
		parts, err = rowstore.ReadAll(groupCtx, s.store, partTable, s.shard)
		return err
	})
	group.Go(func() (err error) {
		bounds, err = rowstore.ReadAll(groupCtx, s.store, leaseTable, s.shard)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeClock = s.storeClock.withReading(progress.Now, asked, clock.Now())
	stored, err := decodeBundles(bundles.Rows)
	if err != nil {
		return err
	}
	if err := s.restore(records.Rows, progress.Rows, parts.Rows, stored); err != nil {
		return err
	}
	s.restoreLeaseBounds(bounds.Rows)
	return nil
}

func (s *Scheduler) restore(records, progress, parts []rowstore.Row, stored storedBundles) error {
	now := time.Now()
	latest := stored.latest
	for _, row := range records {
		record, err := workload.DecodeRecord(row.Name, row.Value)
		if err != nil {
			s.skipUndecodable(row.Name, err)
			continue
		}
		s.restoreRecord(row.Name, record, now).inserted = true
	}
	for id, entry := range latest {
		if entry.Record != nil && s.jobs[id] == nil && s.undecodable[id] == nil {
			s.restoreRecord(id, *entry.Record, now)
		}
	}
	for _, row := range progress {
		p, err := workload.DecodeProgress(row.Name, row.Value)
		if err != nil {
			s.skipUndecodable(row.Name, err)
			continue
		}
		if entry, ok := latest[row.Name]; ok && entry.Progress.Generation > p.Generation {
			continue
		}
		delete(latest, row.Name)
		if s.undecodable[row.Name] == nil {
			s.restoreProgress(row.Name, p)
		}
	}
	for id, entry := range latest {
		if s.undecodable[id] == nil {
			s.restoreProgress(id, entry.Progress)
		}
	}
	s.orphanParts = s.restoreParts(parts)
	s.restoreBundles(stored)
	s.countArrivals()
	s.log.Info().Int("jobs", len(s.jobs)).Int("active", len(s.active)).Int("workers", len(s.workers)).
		Int("bundles", len(stored.bundles)).Int("parts", len(parts)).Int64("memory", s.memory.used).Msg("scheduler state loaded")
	return nil
}

// skipUndecodable leaves out a job with a row that cannot be decoded, as one of a later version. The job is
// neither run, which could repeat tasks that are done, nor denied.
func (s *Scheduler) skipUndecodable(id string, err error) {
	s.log.Error().Str("job", id).Err(err).Msg("cannot decode a row of the job; skipping job")
	s.undecodable[id] = err
	if j := s.jobs[id]; j != nil {
		s.unweigh(j)
	}
	delete(s.jobs, id)
	delete(s.active, id)
}

func (s *Scheduler) restoreRecord(id string, record workload.Record, now time.Time) *job {
	j := newJob(id, record, s.accountOf(record.Account), now)
	j.generation, j.saved = 1, 1
	s.jobs[id], s.active[id] = j, j
	s.weigh(j)
	return j
}

// restoreBundles keeps the former owner's bundles until each job whose latest row is in one of them
// has been written to a row of its own. Until then the job needs all bundles that have an entry for it, as its
// record may be in another one than its latest progress.
func (s *Scheduler) restoreBundles(stored storedBundles) {
	for _, row := range stored.bundles {
		b := &bundle{name: row.name, jobs: map[string]*job{}}
		for _, id := range row.jobs {
			j := s.jobs[id]
			if j == nil {
				continue
			}
			b.addEntry(j)
			if _, needed := stored.latest[id]; needed {
				b.jobs[id] = j
				j.inheritedBundles = append(j.inheritedBundles, b)
			}
		}
		if len(b.jobs) == 0 {
			s.obsoleteBundles = append(s.obsoleteBundles, b)
			continue
		}
		s.bundles[row.name] = b
	}
}

func (s *Scheduler) restoreProgress(id string, p workload.Progress) {
	j := s.jobs[id]
	if j == nil {
		if p.State.Final() {
			terms := account.Terms{Name: p.Account}
			s.addFinal(&job{
				id: id, record: workload.Record{Account: terms}, account: s.accountOf(terms), state: p.State, savedState: p.State, started: p.Started, finalAt: restoredFinalTime(p.FinalAtStoreMS, p.FinalAt),
				generation: max(1, p.Generation), saved: max(1, p.Generation),
			})
		}
		return
	}
	j.restore(p, s.findOrAddWorker)
	s.weigh(j)
	if j.state.Final() {
		delete(s.active, id)
	}
}

// findOrAddWorker returns an incarnation of a worker, adding it if discovery has not listed it yet.
// Until then the worker is called at its stored address: reading the workers of a large deployment
// takes long, and clients wait for the results on this one.
func (s *Scheduler) findOrAddWorker(incarnation fleet.Incarnation, address string) *worker {
	incarnation = s.resolveIncarnation(incarnation)
	w := s.workers[incarnation]
	if w == nil {
		w = s.addIncarnation(fleet.Worker{Incarnation: incarnation})
	}
	if w.info.Address == "" {
		w.info.Address = address
	}
	return w
}

// expireUnreached ends the attempts on workers that discovery does not list and that this owner has
// never reached, once their leases have expired. The caller must hold s.mu.
func (s *Scheduler) expireUnreached(now time.Time) {
	for _, w := range s.workers {
		if w.cancel == nil && !w.discovered && now.After(w.leaseExpiry) {
			s.endIncarnation(w, "never reached, and its lease has expired")
		}
	}
}
