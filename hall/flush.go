package hall

import (
	"errors"

	"github.com/rs/xid"

	"chutereach/control"
	"chutereach/ledger"
	"chutereach/provider"
)

// change is what a decision writes, and what goes on once it is committed.
type change struct {
	writes   []rowWrite
	onCommit func(version uint64) // called under the unit's lock
}

// rowWrite is one row besides the ledgers.
type rowWrite struct {
	key     string
	version uint64
	value   []byte
	remove  bool
}

// batch is what one transaction carries.
type batch struct {
	txn     provider.Txn
	workers []*workerState
	changes []change
}

// markDirty says that a worker's ledger must be committed, with c. The caller holds
// u.mu.
func (u *Unit) markDirty(w *workerState, c change) {
	w.changes = append(w.changes, c)
	if !w.dirty {
		w.dirty = true
		u.dirtyWorkers = append(u.dirtyWorkers, w)
	}
	notify(u.flushSignal)
}

// writeRows says that rows must be committed that belong to no worker. The caller
// holds u.mu.
func (u *Unit) writeRows(c change) {
	u.rowChanges = append(u.rowChanges, c)
	notify(u.flushSignal)
}

// flushLoop commits what is marked, one transaction after the other. The rate
// limit is waited for first, so that what is marked meanwhile goes along.
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
		version, err := u.deps.Sender.DoNow(u.ctx, b.txn)
		if err != nil {
			u.flushFailed(err)
			return
		}
		u.batchCommitted(b, version)
	}
}

func (u *Unit) flushFailed(err error) {
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		u.abort(conflict)
	}
}

// nextBatch takes marked ledgers, each with all of its changes, and loose changes,
// up to the size of a transaction. A ledger that is on its way stays marked.
func (u *Unit) nextBatch() batch {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := batch{txn: provider.Txn{ID: xid.New().String()}}
	b.txn = b.txn.Require(control.UnitKey(u.hold.Unit), u.hold.Version)
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

// signalFlush wakes another lane if anything is left that need not wait for a
// transaction on its way. The caller holds u.mu.
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

func (u *Unit) addLedger(b *batch, w *workerState) {
	key := ledger.Key(u.hold.Unit, w.name())
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

// batchCommitted goes on after a transaction was committed.
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
		notify(u.decideSignal)
	}
	u.signalFlush()
}
