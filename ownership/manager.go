package ownership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"chutereach/clock"
	"chutereach/commit"
	"chutereach/control"
	"chutereach/provider"
	"chutereach/wait"
)

// Settings holds the timing parameters of a Manager.
type Settings struct {
	HeartbeatInterval time.Duration // interval between heartbeats, and between reads of the control rows
	HeartbeatTimeout  time.Duration // time after which an unchanged heartbeat has expired
}

// Assignment is a box's ownership of a unit.
type Assignment struct {
	Unit    string
	Epoch   uint64
	Version uint64 // version of the unit's row, required by every commit for the unit
	// PriorLeasesUntil is the time until which a previous owner may have granted task leases
	// and issued calls. A task lease of duration L from it expires by PriorLeasesUntil plus L.
	PriorLeasesUntil time.Time
}

// UnitRunner runs the units that are assigned to a box.
type UnitRunner interface {
	// StartUnit starts a unit. It must not block.
	StartUnit(h Assignment)
	// StopUnit stops a unit and blocks until nothing more is sent for it. It returns
	// the time, by this box's clock, until which leases may have been granted.
	StopUnit(unit string) (validUntil time.Time)
}

// Manager maintains the heartbeat of one box and the set of units it owns.
type Manager struct {
	self     control.BoxRow
	settings Settings
	sender   *commit.Sender
	owner    UnitRunner
	log      zerolog.Logger

	mu                sync.Mutex
	version           uint64        // version of the heartbeat row, 0 before the first write
	lastHeartbeatSent clock.Instant // start of the last successful heartbeat write
	heartbeatRTT      time.Duration // duration of the last successful heartbeat write
	dead              error         // unused
	held              map[string]Assignment
	view              control.View
	observations      map[control.Incarnation]heartbeatObservation
	units             []string // units that the configuration declares
	viewListeners     []func(control.View)
	leaving           bool
	deferredReads     map[string]int // number of reads for which a free unit was left to other boxes
}

// heartbeatObservation records when the current version of a heartbeat row was first
// seen.
type heartbeatObservation struct {
	version        uint64
	unchangedSince time.Time
	reads          int // number of reads that contained the row
}

func New(self control.BoxRow, settings Settings, sender *commit.Sender, owner UnitRunner, log zerolog.Logger) *Manager {
	return &Manager{
		self: self, settings: settings, sender: sender, owner: owner, log: log,
		held: map[string]Assignment{}, observations: map[control.Incarnation]heartbeatObservation{}, deferredReads: map[string]int{},
	}
}

// OnView registers f to be called with every view that the Manager reads. It must
// be called before Run.
func (k *Manager) OnView(f func(control.View)) { k.viewListeners = append(k.viewListeners, f) }

// SetUnits sets the units that the configuration declares.
func (k *Manager) SetUnits(units []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.units = units
}

// OwnedUntil returns the time until which no other box can take over this box's units.
// It is counted from the last heartbeat, including time during which this machine
// was suspended, and is zero before the first heartbeat.
func (k *Manager) OwnedUntil() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lastHeartbeatSent.IsZero() {
		return time.Time{}
	}
	return k.lastHeartbeatSent.Deadline(k.settings.HeartbeatTimeout)
}

// View returns the view that was read last.
func (k *Manager) View() control.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

// OwnedUnits returns a copy of the map of units that this box owns.
func (k *Manager) OwnedUnits() map[string]Assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := make(map[string]Assignment, len(k.held))
	for u, h := range k.held {
		held[u] = h
	}
	return held
}

// FencedError reports that another box declared this incarnation dead. The daemon
// must restart with a new incarnation.
type FencedError struct{ Incarnation control.Incarnation }

func (e *FencedError) Error() string {
	return "incarnation " + string(e.Incarnation) + " was declared dead by another box"
}

// Run sends heartbeats and reconciles the units until ctx ends, in which case it
// returns nil, or until the incarnation is declared dead, in which case it stops
// all units and returns a FencedError.
func (k *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	wg.Go(func() { k.runPeriodically(ctx, func() { k.sendHeartbeat(ctx, cancel) }) })
	wg.Go(func() { k.runPeriodically(ctx, func() { k.readAndReconcile(ctx) }) })
	wg.Wait()
	cause := context.Cause(ctx)
	var fenced *FencedError
	if errors.As(cause, &fenced) {
		k.stopAllUnits()
		return fenced
	}
	return nil
}

// runPeriodically calls f until ctx ends. The interval between the starts of two
// calls is Settings.HeartbeatInterval, less up to 10 % of jitter so that boxes don't synchronize.
// If a call took longer than the interval, the next one starts immediately.
func (k *Manager) runPeriodically(ctx context.Context, f func()) {
	for ctx.Err() == nil {
		next := time.Now().Add(k.settings.HeartbeatInterval - time.Duration(rand.Int64N(int64(k.settings.HeartbeatInterval)/10+1)))
		f()
		wait.For(ctx, time.Until(next))
	}
}

// sendHeartbeat renews the heartbeat row. It calls fence if the row is no longer at
// the version that this box wrote, as another box has declared this one dead.
func (k *Manager) sendHeartbeat(ctx context.Context, fence context.CancelCauseFunc) {
	k.mu.Lock()
	k.self.HeartbeatCount++
	row, version := k.self, k.version
	k.mu.Unlock()
	sent := clock.Now()
	t := provider.Txn{ID: xid.New().String()}.Put(row.Key(), version, control.Encode(row))
	next, err := k.sender.DoUnthrottled(ctx, t)
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		fence(&FencedError{row.Incarnation})
		return
	}
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version, k.heartbeatRTT = next, sent.Since()
	k.lastHeartbeatSent = sent
}

// readAndReconcile reads the control rows and acts on them. If another box changed
// the rows first, it retries once, as that box may have left units to take.
func (k *Manager) readAndReconcile(ctx context.Context) {
	if k.readOnce(ctx) {
		k.readOnce(ctx)
	}
}

// readOnce reads the control rows, passes them to the listeners and reconciles. It
// reports whether the rows had changed since they were read.
func (k *Manager) readOnce(ctx context.Context) (stale bool) {
	v, err := control.Read(ctx, k.sender.Table())
	if err != nil {
		if ctx.Err() == nil {
			k.log.Warn().Err(err).Msg("Failed to read the control rows.")
		}
		return false
	}
	k.mu.Lock()
	k.view = v
	k.observeHeartbeats(v)
	k.mu.Unlock()
	for _, f := range k.viewListeners {
		f(v)
	}
	k.mu.Lock()
	inTable := k.version != 0
	k.mu.Unlock()
	return inTable && k.reconcile(ctx, v)
}

// observeHeartbeats records for each heartbeat row when its current version was
// first seen. The caller holds k.mu.
func (k *Manager) observeHeartbeats(v control.View) {
	for i, b := range v.Boxes {
		s, known := k.observations[i]
		if !known || s.version != b.Version {
			s = heartbeatObservation{version: b.Version, unchangedSince: time.Now(), reads: s.reads}
		}
		s.reads++
		k.observations[i] = s
	}
	for i := range k.observations {
		if _, exists := v.Boxes[i]; !exists {
			delete(k.observations, i)
		}
	}
}

// heartbeatExpired reports whether the heartbeat of a box has expired. The caller
// holds k.mu.
func (k *Manager) heartbeatExpired(i control.Incarnation) bool {
	s, known := k.observations[i]
	return !known || time.Since(s.unchangedSince) > k.settings.HeartbeatTimeout+k.heartbeatRTT
}

// SetDrained sets whether the box is drained. A drained box releases one unit per
// read of the control rows and takes none.
func (k *Manager) SetDrained(drained bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.self.Leaving = drained || k.leaving
}

// Leave stops the box from taking units, releases the units it owns one by one and
// deletes its heartbeat row. It returns when this is done or ctx ends.
func (k *Manager) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving, k.self.Leaving = true, true
	k.mu.Unlock()
	for unit := range k.OwnedUnits() {
		k.release(ctx, unit)
	}
	k.mu.Lock()
	row, version := k.self, k.version
	k.mu.Unlock()
	// A heartbeat sent in the meantime makes this fail; the row then expires.
	removal := provider.Txn{ID: xid.New().String()}.Remove(row.Key(), version)
	k.sender.Do(ctx, removal)
}

// Release releases a unit that can no longer run on this box, so that a box takes it
// over and starts it again.
func (k *Manager) Release(ctx context.Context, unit string) { k.release(ctx, unit) }

func (k *Manager) stopAllUnits() {
	for unit := range k.OwnedUnits() {
		k.stopUnit(unit)
	}
}

// stopUnit stops a unit on this box without changing its row. It returns the time
// until which leases may have been granted.
func (k *Manager) stopUnit(unit string) time.Time {
	validUntil := k.owner.StopUnit(unit)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, unit)
	return validUntil
}
