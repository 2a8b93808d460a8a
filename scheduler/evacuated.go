package scheduler

import (
	"time"

	"chutereach/clock"
	"chutereach/evacuation"
	"chutereach/fleet"
)

// No task starts in an evacuated data hall. The view of evacuations is checked when a task is placed
// and again each time before its start is sent. The view of an owner that was partitioned or
// suspended, or has just taken over, can be stale: while it is older than maxAge, no task is placed
// and no start is sent, in any data hall.

// evacuationGate checks the view of evacuations before tasks are placed and started.
type evacuationGate struct {
	view func() evacuation.View
	// maxAge is the age from which the view is stale; 0 means no limit.
	maxAge time.Duration
	// stale is whether the view was stale at the last check, and staleSince since when.
	stale      bool
	staleSince time.Time
}

const (
	// maxViewAgeShare is the maximum age of the view as a share of Config.EvacuateWithin. The rest
	// is for the start to reach the worker.
	maxViewAgeShare = 0.9
	// heldStartDelay is the time between two checks of a start that is held back.
	heldStartDelay = 10 * time.Millisecond
)

func newEvacuationGate(config Config) evacuationGate {
	gate := evacuationGate{view: config.Evacuations, maxAge: time.Duration(maxViewAgeShare * float64(config.EvacuateWithin))}
	if gate.view == nil {
		gate.view = func() evacuation.View { return evacuation.View{} }
		gate.maxAge = 0
	}
	return gate
}

// fresh reports whether a view is not stale.
func (g *evacuationGate) fresh(view evacuation.View, now clock.Instant) bool {
	if g.maxAge == 0 {
		return true
	}
	age, known := view.Age(now)
	return known && age < g.maxAge
}

// viewIsFresh reports whether the view of evacuations is recent enough to place tasks. It logs
// each transition. The lock is held.
func (s *Scheduler) viewIsFresh() bool {
	view, now := s.gate.view(), clock.Now()
	fresh := s.gate.fresh(view, now)
	if fresh == !s.gate.stale {
		return fresh
	}
	s.gate.stale = !fresh
	if fresh {
		s.log.Info().Uint64("version", view.Version()).Dur("held", time.Since(s.gate.staleSince)).
			Msg("evacuations are confirmed again")
		return true
	}
	s.gate.staleSince = now.Time()
	s.metrics.staleViews.Add(1)
	age, _ := view.Age(now)
	s.log.Warn().Uint64("version", view.Version()).Dur("age", age).Dur("max_age", s.gate.maxAge).
		Msg("nothing is placed: evacuations are unconfirmed")
	return false
}

// Reasons why starts are held back, in log lines and metrics.
const (
	reasonEvacuated   = "its data hall is evacuated"
	reasonUnconfirmed = "evacuations are unconfirmed"
)

// admitStart decides whether the start of a task may be sent to its worker now. While the view is
// stale the start is held, until expiry; then it is cancelled. The lock is held.
func (s *Scheduler) admitStart(t *task, expiry time.Time) startDecision {
	view, now := s.gate.view(), clock.Now()
	switch {
	case view.Contains(t.worker.info.Zone):
		s.cancelStart(t, reasonEvacuated, view, now)
		return startAbandon
	case s.gate.fresh(view, now):
		return startSend
	case now.Time().After(expiry):
		s.cancelStart(t, reasonUnconfirmed, view, now)
		return startAbandon
	}
	return startHold
}

// cancelStart revokes the grant of a task whose start must not be sent. If an earlier call may have
// reached the worker, the attempt is stopped. The lock is held.
func (s *Scheduler) cancelStart(t *task, reason string, view evacuation.View, now clock.Instant) {
	age, _ := view.Age(now)
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("hall", t.worker.info.Zone).Str("why", reason).Uint64("version", view.Version()).
		Dur("age", age).Bool("sent", t.startSent).Msg("start held back")
	s.metrics.startRefused(reason)
	if t.startSent {
		s.stop(t, reason)
		return
	}
	s.endAttempt(t, fleet.Stopped, "", reason)
}
