package scheduler

import (
	"time"

	"chutereach/clock"
	"chutereach/evacuation"
	"chutereach/fleet"
)

// Evacuated data halls get nothing new. The view of them is looked at twice: when a task is placed,
// and each time before its start is sent, for the hall may have been evacuated since. The view of an
// owner that was cut off, stood still or has only just taken over is stale: with one that is older
// than maxAge, nothing is placed and no start is sent anywhere.

// evacuationGate is what the owner knows of evacuations.
type evacuationGate struct {
	view func() evacuation.View
	// maxAge is how old the view may be; 0: of any age.
	maxAge time.Duration
	// stale is whether the view was too old at the last look, and since when.
	stale      bool
	staleSince time.Time
}

const (
	// freshShare is how old the view may be, as a share of the time after an evacuation in which
	// starts may still begin. In the rest a start that was sent reaches its worker.
	freshShare = 0.9
	// heldPause is after how long a start that is held back is looked at again.
	heldPause = 10 * time.Millisecond
)

func newEvacuationGate(config Config) evacuationGate {
	gate := evacuationGate{view: config.Evacuations, maxAge: time.Duration(freshShare * float64(config.EvacuateWithin))}
	if gate.view == nil {
		gate.view = func() evacuation.View { return evacuation.View{} }
		gate.maxAge = 0
	}
	return gate
}

// fresh reports whether a view is young enough to start work by.
func (g *evacuationGate) fresh(view evacuation.View, now clock.Instant) bool {
	if g.maxAge == 0 {
		return true
	}
	age, known := view.Age(now)
	return known && age < g.maxAge
}

// viewIsFresh reports whether work may be placed by what is known of evacuations. It logs when
// that begins and ceases to be so. The lock is held.
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
	s.metrics.viewStale.Add(1)
	age, _ := view.Age(now)
	s.log.Warn().Uint64("version", view.Version()).Dur("age", age).Dur("max_age", s.gate.maxAge).
		Msg("nothing is placed: evacuations are unconfirmed")
	return false
}

// Why starts are held back.
const (
	whyEvacuated   = "its data hall is evacuated"
	whyUnconfirmed = "evacuations are unconfirmed"
)

// admitStart decides whether the start of a task may be sent to its worker now. The lock is held.
func (s *Scheduler) admitStart(t *task, void time.Time) startNext {
	view, now := s.gate.view(), clock.Now()
	switch {
	case view.Covers(t.worker.info.Zone):
		s.withdrawStart(t, whyEvacuated, view, now)
		return startOver
	case s.gate.fresh(view, now):
		return startSent
	case now.Time().After(void):
		s.withdrawStart(t, whyUnconfirmed, view, now)
		return startOver
	}
	return startHeld
}

// withdrawStart takes a grant back whose start must not be sent. If an earlier call may have been
// carried out, the attempt is stopped. The lock is held.
func (s *Scheduler) withdrawStart(t *task, why string, view evacuation.View, now clock.Instant) {
	age, _ := view.Age(now)
	s.log.Info().Str("job", t.step.job.id).Str("task", t.id().String()).Int("attempt", t.attempt).
		Str("worker", t.worker.info.ID).Str("hall", t.worker.info.Zone).Str("why", why).Uint64("version", view.Version()).
		Dur("age", age).Bool("sent", t.told).Msg("start held back")
	s.metrics.refused(why)
	if t.told {
		s.stop(t, why)
		return
	}
	s.endAttempt(t, fleet.Stopped, "", why)
}
