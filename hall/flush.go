package hall

import (
	"errors"

	"github.com/rs/xid"

	"chutereach/control"
	"chutereach/ledger"
	"chutereach/provider"
)

// change is a set of row writes with a callback that runs after their commit.
type change struct {
	writes   []rowWrite
	onCommit func(version uint64) // called with Unit.mu held
}

// rowWrite is the write or removal of a row that is not a ledger.
type rowWrite struct {
	key     string
	version uint64
	value   []byte
	remove  bool
}

// batch is a transaction with the ledgers and changes that it commits.
type batch struct {
	txn     provider.Txn
	workers []*workerState
	changes []change
}

// markDirty schedules the commit of a worker's ledger together with c. The caller
// holds u.mu.
func (u *Unit) markDirty(w *workerState, c change) {
	w.changes = append(w.changes, c)
	if !w.dirty {
		w.dirty = true
		u.dirtyWorkers = append(u.dirtyWorkers, w)
	}
	notify(u.flushSignal)
}

// writeRows schedules the commit of a change that involves no ledger. The caller
// holds u.mu.
func (u *Unit) writeRows(c change) {
	u.rowChanges = append(u.rowChanges, c)
	notify(u.flushSignal)
}

// flushLoop commits pending changes, one transaction at a time. It waits for the
// rate limiter before it assembles a batch, so that the batch includes changes made
// during the wait.
func (u *Unit) flushLoop() {
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-u.flushSignal:
		}
		if u.deps.Sender.Wait(u.ctx) != nil {
			return
		}
		b := u.nextBatch()
		if len(b.txn.Writes) == 0 {
			continue
		}
		version, err := u.deps.Sender.DoUnthrottled(u.ctx, b.txn)
		if err != nil {
			u.flushFailed(err)
			return
		}
		u.batchCommitted(b, version)
	}
}

// flushFailed ends the unit if the commit failed with a conflict. Other errors are
// returned only when the unit is ending.
func (u *Unit) flushFailed(err error) {
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		u.abort(conflict)
	}
}

// nextBatch assembles a batch of dirty ledgers, each with all of its changes, and
// of changes without a ledger, up to BatchRows rows. BatchRows is checked before
// each addition, so the last one may exceed it. Ledgers with a commit in flight stay
// dirty. The transaction requires that the unit's row is unchanged.
func (u *Unit) nextBatch() batch {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := batch{txn: provider.Txn{ID: xid.New().String()}}
	b.txn = b.txn.Require(control.UnitKey(u.assignment.Unit), u.assignment.Version)
	rest := u.dirtyWorkers[:0]
	for i, w := range u.dirtyWorkers {
		switch {
		case len(b.txn.Writes) >= u.settings.BatchRows:
			rest = append(rest, u.dirtyWorkers[i])
		case w.commitInFlight:
			rest = append(rest, w)
		default:
			u.addLedger(&b, w)
		}
	}
	u.dirtyWorkers = rest
	taken := 0
	for taken < len(u.rowChanges) && len(b.txn.Writes) < u.settings.BatchRows {
		b.add(u.rowChanges[taken])
		taken++
	}
	u.rowChanges = append([]change(nil), u.rowChanges[taken:]...)
	if len(u.rowChanges) > 0 || len(u.dirtyWorkers) > 0 {
		u.signalFlush()
	}
	return b
}

// signalFlush wakes a flushLoop if there are changes that can be committed without
// waiting for a commit in flight. The caller holds u.mu.
func (u *Unit) signalFlush() {
	if len(u.rowChanges) > 0 {
		notify(u.flushSignal)
		return
	}
	for _, w := range u.dirtyWorkers {
		if !w.commitInFlight {
			notify(u.flushSignal)
			return
		}
	}
}

// addLedger adds a worker's ledger and its changes to b. The caller holds u.mu.
func (u *Unit) addLedger(b *batch, w *workerState) {
	key := ledger.Key(u.assignment.Unit, w.name())
	b.txn = b.txn.Put(key, w.version, w.ledger.Encode())
	b.workers = append(b.workers, w)
	for _, c := range w.changes {
		b.add(c)
	}
	w.changes, w.dirty, w.commitInFlight = nil, false, true
}

func (b *batch) add(c change) {
	for _, r := range c.writes {
		if r.remove {
			b.txn = b.txn.Remove(r.key, r.version)
		} else {
			b.txn = b.txn.Put(r.key, r.version, r.value)
		}
	}
	b.changes = append(b.changes, c)
}

// batchCommitted stores the new row versions and runs the callbacks of a committed
// batch.
func (u *Unit) batchCommitted(b batch, version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Stats.Commits++
	u.Stats.Rows += int64(len(b.txn.Writes))
	for _, w := range b.workers {
		w.version, w.commitInFlight = version, false
	}
	for _, c := range b.changes {
		if c.onCommit != nil {
			c.onCommit(version)
		}
	}
	if u.uncommittedGrants < maxUncommittedGrants && u.queue.Len() > 0 {
		notify(u.placementSignal)
	}
	u.signalFlush()
}
