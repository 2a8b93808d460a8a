package scheduler

import (
	"context"
	"time"

	"chutereach/clock"
	"chutereach/wait"
)

const (
	// storeClockInterval is the time between readings of the store's clock.
	storeClockInterval = 10 * time.Second
	storeClockTimeout  = time.Second
	// storeClockDrift bounds by how much the rates of the store's clock and of a machine's steady clock differ.
	storeClockDrift = 0.01
)

// storeClock estimates the current time of the store's clock. All owners use that clock to expire final jobs, and for bounds of
// leases, because their own clocks may differ or be stepped. The zero value means that the time is unknown.
type storeClock struct {
	reading         time.Duration // 0 if the clock is not known
	asked, answered clock.Instant // the store has read its clock in between
}

// withReading returns the estimate after the store has answered with a reading. A reading of 0 is none.
func (c storeClock) withReading(reading time.Duration, asked, answered clock.Instant) storeClock {
	if reading <= 0 {
		return c
	}
	return storeClock{reading, asked, answered}
}

// earliest and latest return bounds of the store's time, or 0 if it is not known.
func (c storeClock) earliest() time.Duration { return c.since(c.answered) }

func (c storeClock) latest() time.Duration { return c.since(c.asked) }

// latestAt returns an upper bound of the store's time at a local time, or 0 if it is not known.
func (c storeClock) latestAt(t time.Time) time.Duration {
	if c.reading == 0 {
		return 0
	}
	ahead := time.Until(t)
	return c.latest() + ahead + drift(c.asked.Since()+ahead)
}

// reached returns a local time by which the store's clock has certainly reached a time, and whether it is known.
func (c storeClock) reached(storeTime time.Duration) (time.Time, bool) {
	if c.reading == 0 {
		return time.Time{}, false
	}
	ahead := storeTime - c.earliest()
	return time.Now().Add(ahead + drift(c.answered.Since()+ahead)), true
}

// drift returns by how much the store's clock and that of this machine may differ after a time.
func drift(elapsed time.Duration) time.Duration {
	return time.Duration(storeClockDrift * float64(max(0, elapsed)))
}

func (c storeClock) since(i clock.Instant) time.Duration {
	if c.reading == 0 {
		return 0
	}
	return c.reading + i.Since()
}

// finalTime is the time at which a job became final. It is recorded by several clocks, because the store's may be unknown
// and earlier builds use that of the owner.
type finalTime struct {
	byStore time.Duration // by the store's clock; 0 if that was not known
	// byOwner is by the clock of the owner of that time, in Unix milliseconds. Earlier builds use only this.
	byOwner int64
	known   time.Time // when this owner learned of it
}

// newFinalTime returns the time of a job that becomes final now.
func newFinalTime(store storeClock) finalTime {
	return finalTime{store.latest(), time.Now().UnixMilli(), time.Now()}
}

// restoredFinalTime returns the time of a job of a former owner, as stored.
func restoredFinalTime(byStoreMS, byOwner int64) finalTime {
	return finalTime{time.Duration(byStoreMS) * time.Millisecond, byOwner, time.Now()}
}

// byStoreMS returns the time by the store's clock in milliseconds, as stored.
func (f finalTime) byStoreMS() int64 { return f.byStore.Milliseconds() }

// isPast reports whether d has elapsed since the job became final. If the store's time is unknown, it counts from when this
// owner learned of the job, so that the job is kept too long rather than too short.
func (f finalTime) isPast(d time.Duration, store storeClock) bool {
	if now := store.earliest(); now > 0 && f.byStore > 0 && now >= f.byStore {
		return now-f.byStore >= d
	}
	return time.Since(f.known) >= d
}

// readStoreClock reads the store's clock. It keeps the former estimate if that fails.
func (s *Scheduler) readStoreClock(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeClockTimeout)
	defer cancel()
	asked := clock.Now()
	page, err := s.store.Read(ctx, progressTable, s.shard, "", 1)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeClock = s.storeClock.withReading(page.Now, asked, clock.Now())
	return nil
}

// followStoreClock reads the store's clock every storeClockInterval until ctx is done, to bound the drift of the estimate.
func (s *Scheduler) followStoreClock(ctx context.Context) {
	for wait.For(ctx, storeClockInterval) == nil {
		if err := s.readStoreClock(ctx); err != nil && ctx.Err() == nil {
			s.log.Info().Err(err).Msg("cannot read the store's clock")
		}
	}
}
