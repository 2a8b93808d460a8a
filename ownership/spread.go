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
	// joinTicks is for how many reads a new box must have been seen before
	// units move to it, and before it takes any itself.
	joinTicks = 3
	// turnTicks is for how many reads a free unit is left to each box that
	// comes before this one in the unit's order.
	turnTicks = 2
)

// settle compares what a view shows with what this box should own, and takes
// or gives up units. It reports whether the view proved out of date.
func (k *Keeper) settle(ctx context.Context, v control.View) (stale bool) {
	k.dropLost(v)
	k.adopt(v)
	k.mu.Lock()
	p := k.plan(v)
	k.mu.Unlock()
	if p.give != "" {
		k.release(ctx, p.give)
	}
	k.reap(ctx, v)
	return len(p.take) > 0 && k.take(ctx, v, p.take)
}

// dropLost ends units that the view shows under another owner.
func (k *Keeper) dropLost(v control.View) {
	for unit, h := range k.Held() {
		row := v.Units[unit]
		if row.Version > h.Version && row.Row.Owner != k.self.Incarnation {
			k.log.Warn().Str("unit", unit).Str("owner", string(row.Row.Owner)).Msg("Unit was taken over.")
			k.drop(unit)
		}
	}
}

// plan is what one read of the rows makes a box do.
type plan struct {
	take []string
	give string
}

// plan works out what to do. The caller holds k.mu.
func (k *Keeper) plan(v control.View) plan {
	alive := k.alive(v)
	if k.self.Leaving && !k.leaving {
		return plan{give: k.anyHeld()}
	}
	// A box that has just begun waits until it would see others that began with
	// it, or it would take everything and give most of it back.
	settled := k.seen[k.self.Incarnation].ticks >= joinTicks
	if k.leaving || !settled || !slices.Contains(alive, k.self.Incarnation) {
		return plan{}
	}
	count, free := k.count(v, alive)
	var p plan
	for _, unit := range free {
		if k.myTurn(unit, k.able(alive, count)) {
			p.take = append(p.take, unit)
			count[k.self.Incarnation]++
		}
	}
	if len(free) == 0 {
		p.give = k.surplus(alive, count)
	}
	return p
}

func (k *Keeper) anyHeld() string {
	for unit := range k.held {
		return unit
	}
	return ""
}

// alive returns the boxes that may own units, this one among them.
func (k *Keeper) alive(v control.View) []control.Incarnation {
	var alive []control.Incarnation
	for i, b := range v.Boxes {
		settled := k.seen[i].ticks >= joinTicks || i == k.self.Incarnation
		if !b.Row.Leaving && settled && !k.lapsed(i) {
			alive = append(alive, i)
		}
	}
	slices.Sort(alive)
	return alive
}

// count returns how many units each box owns, and which units are free.
func (k *Keeper) count(v control.View, alive []control.Incarnation) (map[control.Incarnation]int, []string) {
	count := map[control.Incarnation]int{}
	var free []string
	for _, unit := range k.units {
		owner := v.Units[unit].Row.Owner
		switch {
		case owner == k.self.Incarnation:
			count[owner]++
		case owner != "" && !k.gone(v, owner):
			count[owner]++
			delete(k.deferral, unit)
		default:
			free = append(free, unit)
		}
	}
	return count, free
}

// gone reports whether an owner's units may be taken over.
func (k *Keeper) gone(v control.View, owner control.Incarnation) bool {
	_, there := v.Boxes[owner]
	return !there || k.lapsed(owner)
}

// able returns the boxes to which the next free unit should go: those that own
// less than an equal share rounded down, or else less than one rounded up.
func (k *Keeper) able(alive []control.Incarnation, count map[control.Incarnation]int) []control.Incarnation {
	low := len(k.units) / len(alive)
	high := (len(k.units) + len(alive) - 1) / len(alive)
	for _, bound := range []int{low, high} {
		var able []control.Incarnation
		for _, i := range alive {
			if count[i] < bound {
				able = append(able, i)
			}
		}
		if len(able) > 0 {
			return able
		}
	}
	return nil
}

// myTurn reports whether this box should take a free unit now: it comes first
// in the unit's order among the boxes that are able, or those before it have let
// their turns go by.
func (k *Keeper) myTurn(unit string, able []control.Incarnation) bool {
	place := slices.Index(order(unit, able), k.self.Incarnation)
	if place < 0 {
		return false
	}
	k.deferral[unit]++
	return k.deferral[unit] > place*turnTicks
}

// surplus returns a unit that this box should give up so that the boxes own
// equally many, or "". Only the box that owns the most gives, one at a time, so
// that the spread settles.
func (k *Keeper) surplus(alive []control.Incarnation, count map[control.Incarnation]int) string {
	mine := count[k.self.Incarnation]
	least := mine
	for _, i := range alive {
		least = min(least, count[i])
		if count[i] > mine || count[i] == mine && i < k.self.Incarnation {
			return ""
		}
	}
	if mine-least < 2 {
		return ""
	}
	return k.lastChoice(alive)
}

// lastChoice returns the held unit in whose order this box comes last.
func (k *Keeper) lastChoice(alive []control.Incarnation) string {
	worst, unit := -1, ""
	for _, u := range k.units {
		if _, held := k.held[u]; !held {
			continue
		}
		if place := slices.Index(order(u, alive), k.self.Incarnation); place > worst {
			worst, unit = place, u
		}
	}
	return unit
}

// order returns boxes in a unit's order, by rendezvous hashing. It goes by the
// box's name, so that a restarted box comes back to its place.
func order(unit string, boxes []control.Incarnation) []control.Incarnation {
	return rendezvous.Order(unit, boxes, control.Incarnation.Box)
}

// take makes this box the owner of units, in one transaction that requires
// everything on which the decision rests. It reports whether the view is out of
// date.
func (k *Keeper) take(ctx context.Context, v control.View, units []string) (stale bool) {
	now := time.Now()
	t := provider.Txn{ID: xid.New().String()}
	rows := map[string]control.UnitRow{}
	dead := map[control.Incarnation]bool{}
	for _, unit := range units {
		was := v.Units[unit]
		row := control.UnitRow{Owner: k.self.Incarnation, Epoch: was.Row.Epoch + 1, Sure: was.Row.Sure}
		if was.Row.Owner != "" {
			dead[was.Row.Owner] = true
			row.Sure = now
		}
		rows[unit] = row
		t = t.Put(control.UnitKey(unit), was.Version, control.Encode(row))
	}
	for i := range dead {
		t = t.Remove(control.BoxRow{Incarnation: i}.Key(), v.Boxes[i].Version)
	}
	version, err := k.sender.Do(ctx, t)
	if err != nil {
		return k.report(units, err)
	}
	for unit, row := range rows {
		k.log.Info().Str("unit", unit).Uint64("epoch", row.Epoch).Str("from", string(v.Units[unit].Row.Owner)).Msg("Took a unit over.")
		k.own(Hold{Unit: unit, Epoch: row.Epoch, Version: version, Before: row.Sure})
	}
	return false
}

func (k *Keeper) own(h Hold) {
	k.mu.Lock()
	k.held[h.Unit] = h
	delete(k.deferral, h.Unit)
	k.mu.Unlock()
	k.owner.Own(h)
}

// adopt begins to run units that the view shows as this box's own, taken by a
// transaction whose answer never came.
func (k *Keeper) adopt(v control.View) {
	held := k.Held()
	for unit, u := range v.Units {
		_, known := held[unit]
		if known || u.Row.Owner != k.self.Incarnation || k.isLeaving() {
			continue
		}
		k.own(Hold{Unit: unit, Epoch: u.Row.Epoch, Version: u.Version, Before: u.Row.Sure})
	}
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// reapAfter is for how many lapses a dead box's row is left to those who take
// over its units, before it is removed as owning none.
const reapAfter = 10

// reap removes the heartbeats of boxes that died owning nothing. The first box
// alive does it for all.
func (k *Keeper) reap(ctx context.Context, v control.View) {
	k.mu.Lock()
	alive := k.alive(v)
	t := provider.Txn{ID: xid.New().String()}
	for i, b := range v.Boxes {
		if time.Since(k.seen[i].since) > reapAfter*k.set.Lapse {
			t = t.Remove(b.Row.Key(), b.Version)
		}
	}
	k.mu.Unlock()
	if len(t.Writes) == 0 || len(alive) == 0 || alive[0] != k.self.Incarnation {
		return
	}
	if _, err := k.sender.Do(ctx, t); err != nil {
		k.report(nil, err)
	}
}

// report logs why units did not change hands, and whether another box was
// faster.
func (k *Keeper) report(units []string, err error) (conflicted bool) {
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		k.log.Debug().Strs("units", units).Msg("Another box was faster.")
		return true
	}
	k.log.Warn().Err(err).Strs("units", units).Msg("Ownership cannot be changed.")
	return false
}

// release ends a unit here and says so in the table, so that a successor need
// not wait.
func (k *Keeper) release(ctx context.Context, unit string) {
	h, held := k.Held()[unit]
	if !held {
		return
	}
	sure := k.drop(unit)
	row := control.UnitRow{Epoch: h.Epoch, Sure: sure}
	t := provider.Txn{ID: xid.New().String()}.Put(control.UnitKey(unit), h.Version, control.Encode(row))
	if _, err := k.sender.Do(ctx, t); err != nil {
		k.report([]string{unit}, err)
		return
	}
	k.log.Info().Str("unit", unit).Uint64("epoch", h.Epoch).Msg("Released a unit.")
}
