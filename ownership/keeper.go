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

// Settings are the times by which a Keeper goes.
type Settings struct {
	Beat  time.Duration // between heartbeats, and between reads of the rows
	Lapse time.Duration // after which an unchanged heartbeat counts as lapsed
}

// Hold is a box's ownership of a unit.
type Hold struct {
	Unit    string
	Epoch   uint64
	Version uint64 // of the unit's row; commits require it
	// Before is until when an earlier owner may have given out task leases and
	// calls; a task lease of length L from it has lapsed by Before plus L.
	Before time.Time
}

// Owner runs what a box owns.
type Owner interface {
	// Own begins to run a unit. It must not block.
	Own(h Hold)
	// Disown ends it and returns when nothing more will be sent for it. It
	// returns until when leases were given out, by this box's clock.
	Disown(unit string) (sure time.Time)
}

// Keeper keeps one box's heartbeat and units.
type Keeper struct {
	self   control.BoxRow
	set    Settings
	sender *commit.Sender
	owner  Owner
	log    zerolog.Logger

	mu       sync.Mutex
	version  uint64        // of the heartbeat's row
	beaten   clock.Instant // when the last heartbeat that was written was sent
	took     time.Duration
	dead     error // why this incarnation is over
	held     map[string]Hold
	view     control.View
	seen     map[control.Incarnation]sighting
	units    []string // that the configuration declares
	onView   []func(control.View)
	leaving  bool
	deferral map[string]int // ticks for which a free unit was left to others
}

// sighting is when a heartbeat's row was first seen at its version.
type sighting struct {
	version uint64
	since   time.Time
	ticks   int
}

// New returns the Keeper of a box.
func New(self control.BoxRow, set Settings, sender *commit.Sender, owner Owner, log zerolog.Logger) *Keeper {
	return &Keeper{
		self: self, set: set, sender: sender, owner: owner, log: log,
		held: map[string]Hold{}, seen: map[control.Incarnation]sighting{}, deferral: map[string]int{},
	}
}

// OnView calls f with every view that the Keeper reads. It must be called
// before Run.
func (k *Keeper) OnView(f func(control.View)) { k.onView = append(k.onView, f) }

// SetUnits says which units the configuration declares.
func (k *Keeper) SetUnits(units []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.units = units
}

// Sure returns until when no other box can have taken over this box's units. Other boxes
// count from its last heartbeat, also while this machine is suspended.
func (k *Keeper) Sure() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.beaten.IsZero() {
		return time.Time{}
	}
	return k.beaten.After(k.set.Lapse)
}

// View returns the newest view.
func (k *Keeper) View() control.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

// Held returns the units that this box owns.
func (k *Keeper) Held() map[string]Hold {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := make(map[string]Hold, len(k.held))
	for u, h := range k.held {
		held[u] = h
	}
	return held
}

// FencedError says that another box declared this incarnation dead. The daemon
// must begin again as a new one.
type FencedError struct{ Incarnation control.Incarnation }

func (e *FencedError) Error() string {
	return "incarnation " + string(e.Incarnation) + " was declared dead by another box"
}

// Run keeps the heartbeat and the units until ctx ends or the incarnation is
// declared dead, which is a FencedError. Units are given up before it returns.
func (k *Keeper) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	wg.Go(func() { k.every(ctx, func() { k.beat(ctx, cancel) }) })
	wg.Go(func() { k.every(ctx, func() { k.survey(ctx) }) })
	wg.Wait()
	cause := context.Cause(ctx)
	var fenced *FencedError
	if errors.As(cause, &fenced) {
		k.disownAll()
		return fenced
	}
	return nil
}

// every calls f each Beat, counted from call to call, and a little early so
// that boxes spread. After a call that took longer it calls at once.
func (k *Keeper) every(ctx context.Context, f func()) {
	for ctx.Err() == nil {
		next := time.Now().Add(k.set.Beat - time.Duration(rand.Int64N(int64(k.set.Beat)/10+1)))
		f()
		wait.For(ctx, time.Until(next))
	}
}

// beat renews the heartbeat once.
func (k *Keeper) beat(ctx context.Context, fence context.CancelCauseFunc) {
	k.mu.Lock()
	k.self.Beat++
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
	k.version, k.took = next, sent.Since()
	k.beaten = sent
}

// survey reads the control rows and acts on them, and once more at once if
// another box was faster: what it left is free to take now.
func (k *Keeper) survey(ctx context.Context) {
	if k.look(ctx) {
		k.look(ctx)
	}
}

func (k *Keeper) look(ctx context.Context) (stale bool) {
	v, err := control.Read(ctx, k.sender.Table())
	if err != nil {
		if ctx.Err() == nil {
			k.log.Warn().Err(err).Msg("Control rows cannot be read.")
		}
		return false
	}
	k.mu.Lock()
	k.view = v
	k.sight(v)
	k.mu.Unlock()
	for _, f := range k.onView {
		f(v)
	}
	k.mu.Lock()
	inTable := k.version != 0
	k.mu.Unlock()
	return inTable && k.settle(ctx, v)
}

// sight notes since when each heartbeat has stood unchanged. The caller holds
// k.mu.
func (k *Keeper) sight(v control.View) {
	for i, b := range v.Boxes {
		s, known := k.seen[i]
		if !known || s.version != b.Version {
			s = sighting{version: b.Version, since: time.Now(), ticks: s.ticks}
		}
		s.ticks++
		k.seen[i] = s
	}
	for i := range k.seen {
		if _, there := v.Boxes[i]; !there {
			delete(k.seen, i)
		}
	}
}

// lapsed reports whether a box's heartbeat has lapsed. The caller holds k.mu.
func (k *Keeper) lapsed(i control.Incarnation) bool {
	s, known := k.seen[i]
	return !known || time.Since(s.since) > k.set.Lapse+k.took
}

// SetDrained makes the box give up its units, one a tick, and take none, for as
// long as it is drained.
func (k *Keeper) SetDrained(drained bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.self.Leaving = drained || k.leaving
}

// Leave makes the box give up its units, one after the other, and take no more.
// It returns when all are released or ctx ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving, k.self.Leaving = true, true
	k.mu.Unlock()
	for unit := range k.Held() {
		k.release(ctx, unit)
	}
	k.mu.Lock()
	row, version := k.self, k.version
	k.mu.Unlock()
	// The row may have been renewed meanwhile; then it lapses like any other.
	gone := provider.Txn{ID: xid.New().String()}.Remove(row.Key(), version)
	k.sender.Do(ctx, gone)
}

// GiveUp releases a unit that cannot be run here any more, so that a box takes
// it over afresh.
func (k *Keeper) GiveUp(ctx context.Context, unit string) { k.release(ctx, unit) }

func (k *Keeper) disownAll() {
	for unit := range k.Held() {
		k.drop(unit)
	}
}

// drop ends a unit here without a word to the table.
func (k *Keeper) drop(unit string) time.Time {
	sure := k.owner.Disown(unit)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, unit)
	return sure
}
