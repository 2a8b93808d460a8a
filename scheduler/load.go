package scheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chutereach/fleet"
	"chutereach/rowstore"
	"chutereach/workload"
)

// Load reads what a former owner left. It must end well before Run.
func (s *Scheduler) Load(ctx context.Context) error {
	var records, progress []rowstore.Row
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		records, _, err = rowstore.ReadAll(groupCtx, s.store, recordTable, s.shard)
		return err
	})
	group.Go(func() (err error) {
		progress, _, err = rowstore.ReadAll(groupCtx, s.store, progressTable, s.shard)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restore(records, progress)
}

func (s *Scheduler) restore(records, progress []rowstore.Row) error {
	now := time.Now()
	for _, row := range records {
		record, err := workload.DecodeRecord(row.Name, row.Value)
		if err != nil {
			s.log.Error().Str("job", row.Name).Err(err).Msg("job cannot be read and waits")
			continue
		}
		j := newJob(row.Name, record, now)
		j.generation, j.saved, j.inserted = 1, 1, true
		s.jobs[j.id], s.active[j.id] = j, j
	}
	for _, row := range progress {
		p, err := workload.DecodeProgress(row.Name, row.Value)
		if err != nil {
			s.log.Error().Str("job", row.Name).Err(err).Msg("progress cannot be read")
			continue
		}
		s.restoreProgress(row.Name, p)
	}
	s.log.Info().Int("jobs", len(s.jobs)).Int("active", len(s.active)).Int("workers", len(s.workers)).Msg("loaded")
	return nil
}

func (s *Scheduler) restoreProgress(id string, p workload.Progress) {
	j := s.jobs[id]
	if j == nil {
		if p.State.Final() {
			s.jobs[id] = &job{
				id: id, state: p.State, savedState: p.State, begun: p.Begun, finalAt: p.FinalAt,
				generation: 1, saved: 1,
			}
		}
		return
	}
	j.restore(p, s.hostOf)
	if j.state.Final() {
		delete(s.active, id)
	}
}

// hostOf returns the worker of an id, and makes one that was never seen if
// discovery does not name it any more.
func (s *Scheduler) hostOf(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = newWorker(fleet.Worker{ID: id})
		w.leaseEnds = s.formerLeasesEnd
		s.workers[id] = w
	}
	return w
}

// expireUnseen ends what ran on workers that discovery no longer names and that
// this owner has never reached. The lock is held.
func (s *Scheduler) expireUnseen(now time.Time) {
	for _, w := range s.workers {
		if w.cancel == nil && !w.known && now.After(w.leaseEnds) {
			s.endLife(w, "never seen, and its lease has run out")
		}
	}
}
