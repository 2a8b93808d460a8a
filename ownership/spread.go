package ownership

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/xid"

	"chutereach/control"
	"chutereach/provider"
	"chutereach/rendezvous"
)

const (
	// joinReads is the number of reads that must contain a new box before units
	// move to it and before it takes any itself.
	joinReads = 3
	// readsPerTurn is the number of reads for which a free unit is left to each box
	// that ranks before this one for the unit.
	readsPerTurn = 2
)

// reconcile compares the units in a view with those that this box should own, and
// takes or releases units. It reports whether the rows had changed since v was read.
func (k *Manager) reconcile(ctx context.Context, v control.View) (stale bool) {
	k.stopLostUnits(v)
	k.adopt(v)
	k.mu.Lock()
	p := k.plan(v)
	k.mu.Unlock()
	if p.release != "" {
		k.release(ctx, p.release)
	}
	k.reap(ctx, v)
	return len(p.take) > 0 && k.takeUnits(ctx, v, p.take)
}

// stopLostUnits stops the units that have another owner in v.
func (k *Manager) stopLostUnits(v control.View) {
	for unit, h := range k.OwnedUnits() {
		row := v.Units[unit]
		if row.Version > h.Version && row.Row.Owner != k.self.Incarnation {
			k.log.Warn().Str("unit", unit).Str("owner", string(row.Row.Owner)).Msg("Unit was taken over.")
			k.stopUnit(unit)
		}
	}
}

// plan holds the ownership changes that a box makes after one read of the rows.
type plan struct {
	take    []string
	release string
}

// plan returns the changes that this box should make. The caller holds k.mu.
func (k *Manager) plan(v control.View) plan {
	eligible := k.eligibleBoxes(v)
	if k.self.Leaving && !k.leaving {
		return plan{release: k.anyHeld()}
	}
	// A box that has just started waits until it would see others that started at
	// the same time. Otherwise it would take all units and release most of them.
	joined := k.observations[k.self.Incarnation].reads >= joinReads
	if k.leaving || !joined || !slices.Contains(eligible, k.self.Incarnation) {
		return plan{}
	}
	owned, free := k.countUnits(v, eligible)
	var p plan
	for _, unit := range free {
		if k.shouldTake(unit, k.preferredBoxes(eligible, owned)) {
			p.take = append(p.take, unit)
			owned[k.self.Incarnation]++
		}
	}
	if len(free) == 0 {
		p.release = k.excessUnit(eligible, owned)
	}
	return p
}

func (k *Manager) anyHeld() string {
	for unit := range k.held {
		return unit
	}
	return ""
}

// eligibleBoxes returns, in sorted order, the boxes to which units may be assigned.
// joinReads doesn't apply to this box itself.
func (k *Manager) eligibleBoxes(v control.View) []control.Incarnation {
	var eligible []control.Incarnation
	for i, b := range v.Boxes {
		joined := k.observations[i].reads >= joinReads || i == k.self.Incarnation
		if !b.Row.Leaving && joined && !k.heartbeatExpired(i) {
			eligible = append(eligible, i)
		}
	}
	slices.Sort(eligible)
	return eligible
}

// countUnits returns the number of units that each box owns, and the units that are
// free to be taken.
func (k *Manager) countUnits(v control.View, eligible []control.Incarnation) (map[control.Incarnation]int, []string) {
	owned := map[control.Incarnation]int{}
	var free []string
	for _, unit := range k.units {
		owner := v.Units[unit].Row.Owner
		switch {
		case owner == k.self.Incarnation:
			owned[owner]++
		case owner != "" && !k.ownerExpired(v, owner):
			owned[owner]++
			delete(k.deferredReads, unit)
		default:
			free = append(free, unit)
		}
	}
	return owned, free
}

// ownerExpired reports whether the units of an owner may be taken over.
func (k *Manager) ownerExpired(v control.View, owner control.Incarnation) bool {
	_, exists := v.Boxes[owner]
	return !exists || k.heartbeatExpired(owner)
}

// preferredBoxes returns the boxes to which the next free unit should go: those that
// own less than an equal share rounded down or, if there are none, less than an
// equal share rounded up.
func (k *Manager) preferredBoxes(eligible []control.Incarnation, owned map[control.Incarnation]int) []control.Incarnation {
	low := len(k.units) / len(eligible)
	high := (len(k.units) + len(eligible) - 1) / len(eligible)
	for _, bound := range []int{low, high} {
		var preferred []control.Incarnation
		for _, i := range eligible {
			if owned[i] < bound {
				preferred = append(preferred, i)
			}
		}
		if len(preferred) > 0 {
			return preferred
		}
	}
	return nil
}

// shouldTake reports whether this box should take a free unit now: it ranks first for
// the unit among the preferred boxes, or those that rank before it haven't taken the
// unit within their turns.
func (k *Manager) shouldTake(unit string, preferred []control.Incarnation) bool {
	rank := slices.Index(rankBoxes(unit, preferred), k.self.Incarnation)
	if rank < 0 {
		return false
	}
	k.deferredReads[unit]++
	return k.deferredReads[unit] > rank*readsPerTurn
}

// excessUnit returns a unit that this box should release to balance the number of
// units per box, or "". Only the box that owns the most releases units, one at a
// time, so that the distribution converges.
func (k *Manager) excessUnit(eligible []control.Incarnation, owned map[control.Incarnation]int) string {
	mine := owned[k.self.Incarnation]
	least := mine
	for _, i := range eligible {
		least = min(least, owned[i])
		if owned[i] > mine || owned[i] == mine && i < k.self.Incarnation {
			return ""
		}
	}
	if mine-least < 2 {
		return ""
	}
	return k.leastPreferredUnit(eligible)
}

// leastPreferredUnit returns the owned unit for which this box ranks lowest.
func (k *Manager) leastPreferredUnit(eligible []control.Incarnation) string {
	lowestRank, unit := -1, ""
	for _, u := range k.units {
		if _, held := k.held[u]; !held {
			continue
		}
		if rank := slices.Index(rankBoxes(u, eligible), k.self.Incarnation); rank > lowestRank {
			lowestRank, unit = rank, u
		}
	}
	return unit
}

// rankBoxes returns boxes ordered by preference for a unit, by rendezvous hashing. It
// hashes the name of the box, so that a box keeps its rank after a restart.
func rankBoxes(unit string, boxes []control.Incarnation) []control.Incarnation {
	return rendezvous.Order(unit, boxes, control.Incarnation.Box)
}

// takeUnits makes this box the owner of units in one transaction. The transaction
// requires the rows of the units, and the heartbeat rows of their previous owners,
// to be unchanged since v was read. It reports whether one of them had changed.
func (k *Manager) takeUnits(ctx context.Context, v control.View, units []string) (stale bool) {
	now := time.Now()
	t := provider.Txn{ID: xid.New().String()}
	rows := map[string]control.UnitRow{}
	dead := map[control.Incarnation]bool{}
	for _, unit := range units {
		previous := v.Units[unit]
		row := control.UnitRow{Owner: k.self.Incarnation, Epoch: previous.Row.Epoch + 1, PreviousOwnerUntil: previous.Row.PreviousOwnerUntil}
		if previous.Row.Owner != "" {
			dead[previous.Row.Owner] = true
			row.PreviousOwnerUntil = now
		}
		rows[unit] = row
		t = t.Put(control.UnitKey(unit), previous.Version, control.Encode(row))
	}
	for i := range dead {
		t = t.Remove(control.BoxRow{Incarnation: i}.Key(), v.Boxes[i].Version)
	}
	version, err := k.sender.Do(ctx, t)
	if err != nil {
		return k.logFailure(units, err)
	}
	for unit, row := range rows {
		k.log.Info().Str("unit", unit).Uint64("epoch", row.Epoch).Str("from", string(v.Units[unit].Row.Owner)).Msg("Took ownership of a unit.")
		k.startUnit(Assignment{Unit: unit, Epoch: row.Epoch, Version: version, PriorLeasesUntil: row.PreviousOwnerUntil})
	}
	return false
}

func (k *Manager) startUnit(h Assignment) {
	k.mu.Lock()
	k.held[h.Unit] = h
	delete(k.deferredReads, h.Unit)
	k.mu.Unlock()
	k.owner.StartUnit(h)
}

// adopt starts units that this box owns in v but doesn't run, because the transaction
// that took them was applied without its result reaching this box.
func (k *Manager) adopt(v control.View) {
	held := k.OwnedUnits()
	for unit, u := range v.Units {
		_, known := held[unit]
		if known || u.Row.Owner != k.self.Incarnation || k.isLeaving() {
			continue
		}
		k.startUnit(Assignment{Unit: unit, Epoch: u.Row.Epoch, Version: u.Version, PriorLeasesUntil: u.Row.PreviousOwnerUntil})
	}
}

func (k *Manager) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// reapTimeouts is the multiple of Settings.HeartbeatTimeout after which the unchanged row of a
// box is removed. Until then it is left to the boxes that take over its units.
const reapTimeouts = 10

// reap removes the heartbeat rows of failed boxes that owned no units. Only the first
// eligible box does so.
func (k *Manager) reap(ctx context.Context, v control.View) {
	k.mu.Lock()
	eligible := k.eligibleBoxes(v)
	t := provider.Txn{ID: xid.New().String()}
	for i, b := range v.Boxes {
		if time.Since(k.observations[i].unchangedSince) > reapTimeouts*k.settings.HeartbeatTimeout {
			t = t.Remove(b.Row.Key(), b.Version)
		}
	}
	k.mu.Unlock()
	if len(t.Writes) == 0 || len(eligible) == 0 || eligible[0] != k.self.Incarnation {
		return
	}
	if _, err := k.sender.Do(ctx, t); err != nil {
		k.logFailure(nil, err)
	}
}

// logFailure logs why the ownership of units was not changed. It reports whether the
// cause was a conflict with another box.
func (k *Manager) logFailure(units []string, err error) (conflicted bool) {
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		k.log.Debug().Strs("units", units).Msg("Ownership was not changed: another box changed the rows first.")
		return true
	}
	k.log.Warn().Err(err).Strs("units", units).Msg("Failed to change ownership.")
	return false
}

// release stops a unit and clears its owner in the table, so that another box can
// take it without waiting for this box's heartbeat to expire.
func (k *Manager) release(ctx context.Context, unit string) {
	h, held := k.OwnedUnits()[unit]
	if !held {
		return
	}
	validUntil := k.stopUnit(unit)
	row := control.UnitRow{Epoch: h.Epoch, PreviousOwnerUntil: validUntil}
	t := provider.Txn{ID: xid.New().String()}.Put(control.UnitKey(unit), h.Version, control.Encode(row))
	if _, err := k.sender.Do(ctx, t); err != nil {
		k.logFailure([]string{unit}, err)
		return
	}
	k.log.Info().Str("unit", unit).Uint64("epoch", h.Epoch).Msg("Released a unit.")
}
