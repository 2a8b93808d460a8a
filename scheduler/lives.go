package scheduler

import (
	"context"
	"slices"
	"time"

	"chutereach/fleet"
)

// Lives of workers that share an id: a worker may start again under the id that it had. What is
// known of a worker is known of one life, and ends with it: marks of ends, its clock and lease,
// what runs there, tickets, health and blame. Only the answer of a worker tells which life it is;
// the entry that discovery has may be of an earlier life or of a later one.

// identity is what is known of the lives under one id.
type identity struct {
	lives []*worker // that are not known to be over, in the order in which they were heard of
	// token is the fencing token of calls. It is raised above staleToken, the highest of calls that
	// a former life may not have answered: once a life has been called with a higher one, those
	// do nothing there when they are carried out late. They would forget its ends unread, begin
	// tasks again or give it leases by another clock.
	token, staleToken uint64
	endedAt           time.Time // of the last life that is over
}

// newest returns the life that was heard of last, or nil.
func (id *identity) newest() *worker {
	if len(id.lives) == 0 {
		return nil
	}
	return id.lives[len(id.lives)-1]
}

// identityRetention is for how long it is remembered that an id was in use: calls without answer are
// carried out within seconds, or never.
const identityRetention = time.Minute

// forgetIdentities drops what is known of ids that are long out of use. The lock is held.
func (s *Scheduler) forgetIdentities(now time.Time) {
	for name, id := range s.identities {
		if len(id.lives) == 0 && now.Sub(id.endedAt) > identityRetention {
			delete(s.identities, name)
		}
	}
}

// tokenOf returns the fencing token for calls to whichever life has an id. It is the version of
// the owner's row at some transaction: any that came after the calls to former lives is above
// theirs, and below those of a successor. The lock is held.
func (s *Scheduler) tokenOf(name string) uint64 {
	id := s.identities[name]
	if id == nil {
		return s.term.Token()
	}
	if id.token <= id.staleToken {
		id.token = max(id.token, s.term.Confirmed())
	}
	return id.token
}

// enter takes a life in that was not known. The lock is held.
func (s *Scheduler) enter(info fleet.Worker) *worker {
	w := newWorker(info)
	w.leaseExpiry = s.formerLeasesEnd
	id := s.identities[info.ID]
	if id == nil {
		id = &identity{token: s.term.Token()}
		s.identities[info.ID] = id
	} else {
		w.reusedID = true
		id.staleToken = id.token
	}
	for _, former := range id.lives {
		former.superseded = true
	}
	id.lives = append(id.lives, w)
	s.workers[info.Life] = w
	return w
}

// removeLife drops a life that is over. The lock is held.
func (s *Scheduler) removeLife(w *worker) {
	if s.workers[w.info.Life] == w {
		delete(s.workers, w.info.Life)
	}
	id := s.identities[w.info.ID]
	id.lives = slices.DeleteFunc(id.lives, func(other *worker) bool { return other == w })
	id.endedAt = time.Now()
	if newest := id.newest(); newest != nil {
		newest.superseded = false
	}
}

// markTokenStale has later calls to whichever life has an id bear a higher token than those until now:
// a call has failed, and the next one may reach another life. The lock is held.
func (s *Scheduler) markTokenStale(name string) {
	if id := s.identities[name]; id != nil {
		id.staleToken = id.token
	}
}

// resolveLife returns the life that an entry or a row speaks of. One that does not say when the life
// began speaks of the newest that is known, and one that does may tell what a worker's answers
// do not. The lock is held.
func (s *Scheduler) resolveLife(life fleet.Life) fleet.Life {
	id := s.identities[life.ID]
	if id == nil || id.newest() == nil || s.workers[life] != nil {
		return life
	}
	newest := id.newest()
	switch {
	case !life.Known():
		return newest.info.Life
	case !newest.info.Known():
		s.setLife(newest, life)
	}
	return life
}

// setLife notes when a life began of which that was not known. The lock is held.
func (s *Scheduler) setLife(w *worker, life fleet.Life) {
	delete(s.workers, w.info.Life)
	w.info.Life = life
	s.workers[life] = w
}

// watchAll has all workers called that are listed, or whose address a former owner's rows tell,
// those that have work first. The lock is held.
func (s *Scheduler) watchAll() {
	for _, busy := range []bool{true, false} {
		for _, w := range s.workers {
			if (w.known || w.info.Address != "") && busy == (len(w.tasks) > 0) {
				s.startPolling(w)
			}
		}
	}
}

// startPolling has a worker called until its life is over. The lock is held.
func (s *Scheduler) startPolling(w *worker) {
	if w.cancel != nil || s.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w.cancel = cancel
	slot := s.firstCalls.enqueue(len(w.tasks) > 0)
	s.running.Go(func() { s.pollWorker(ctx, w, slot) })
}

// fromOtherLife reports whether the report that answers a call is of fromOtherLife life than the worker's.
// Where one of them does not say when it began, only a clock that has gone back tells: one that
// was asked for after the reading at hand came and that is lower.
func (w *worker) fromOtherLife(report fleet.Report, sent time.Time) bool {
	if report.Born != 0 && w.info.Known() {
		return report.Born != w.info.Born
	}
	return report.Clock > 0 && report.Clock < w.clock && sent.After(w.clockReadAt)
}

// resolveAnsweringLife takes in which life a report is of, and returns that. The others under the id are
// over. The lock is held.
func (s *Scheduler) resolveAnsweringLife(w *worker, report fleet.Report, sent time.Time) *worker {
	life := fleet.Life{ID: w.info.ID, Born: report.Born}
	answering := w
	switch {
	case w.fromOtherLife(report, sent):
		answering = s.findOrAddSuccessor(w, life)
	case report.Born != 0 && !w.info.Known():
		if known := s.workers[life]; known != nil {
			answering = known
		} else {
			s.setLife(w, life)
		}
	}
	lives := s.identities[life.ID].lives
	if len(lives) == 1 {
		return answering
	}
	for _, former := range slices.Clone(lives) {
		if former != answering {
			s.replaceLife(former, answering, report)
		}
	}
	return answering
}

// findOrAddSuccessor returns the life that has answered in place of a former one.
func (s *Scheduler) findOrAddSuccessor(former *worker, life fleet.Life) *worker {
	if known := s.workers[life]; known != nil && known != former {
		return known
	}
	info := former.info
	info.Life, info.Draining = life, false
	next := s.enter(info)
	if !former.discoveredLife.Known() { // its entry is that of whichever life there is
		next.discoveredLife, next.known, next.recentlyDiscovered = former.discoveredLife, former.known, former.recentlyDiscovered
	}
	return next
}

// replaceLife ends a life in favour of the one that has answered. What the report shows moves there,
// for a start meant for the former life was carried out by this one. All else has ended with the
// life, and is placed anew at once: starts that had no answer bear a token that is too low by now.
// The lock is held.
func (s *Scheduler) replaceLife(former, next *worker, report fleet.Report) {
	s.metrics.startedAgain.Add(1)
	s.log.Warn().Str("worker", former.info.ID).Int64("born", next.info.Born).Int64("born_before", former.info.Born).
		Uint64("seen", former.lastEndSequence).Uint64("noted", former.persistedSequence).Int("attempts", len(former.tasks)).
		Int("running", len(report.Running)).Int("ended", len(report.Ended)).Msg("worker has started again")
	shown := reportedAttempts(report)
	for _, t := range former.taskList() {
		if t.worker == former && shown[attemptKey{t.id().String(), t.attempt}] {
			s.moveAttempt(next, t)
		}
	}
	s.endLife(former, "it has started again")
}

// sharesDiscoveryEntry reports whether discovery's entry for a life that is over speaks of a later one too,
// since it does not say when that began. The lock is held.
func (s *Scheduler) sharesDiscoveryEntry(w *worker) bool {
	newest := s.identities[w.info.ID].newest()
	return newest != nil && newest.discoveredLife == w.discoveredLife
}

// attemptKey names an attempt in a report.
type attemptKey struct {
	task   string
	number int
}

// reportedAttempts returns the attempts that a report shows, as running or as ended.
func reportedAttempts(report fleet.Report) map[attemptKey]bool {
	shown := make(map[attemptKey]bool, len(report.Running)+len(report.Ended))
	for _, run := range report.Running {
		shown[attemptKey{run.Task, run.Number}] = true
	}
	for _, end := range report.Ended {
		shown[attemptKey{end.Task, end.Number}] = true
	}
	return shown
}

// moveAttempt moves a task's attempt to another life of its worker. The lock is held.
func (s *Scheduler) moveAttempt(next *worker, t *task) {
	state := t.state
	if state == taskRunning {
		state = taskStarting // until the report at hand has it begin
	}
	t.worker.release(t)
	next.host(t, state)
	t.told = true
	if t.unwanted() {
		s.sendStops(t)
	}
}
