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
	writes []rowWrite
	then   func(version uint64) // called under the unit's lock
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

// mark says that a worker's ledger must be committed, with c. The caller holds
// u.mu.
func (u *Unit) mark(w *workerState, c change) {
	w.changes = append(w.changes, c)
	if !w.marked {
		w.marked = true
		u.dirty = append(u.dirty, w)
	}
	signal(u.flushWake)
}

// write says that rows must be committed that belong to no worker. The caller
// holds u.mu.
func (u *Unit) write(c change) {
	u.loose = append(u.loose, c)
	signal(u.flushWake)
}

// flushLoop commits what is marked, one transaction after the other. The rate
// limit is waited for first, so that what is marked meanwhile goes along.
func (u *Unit) flushLoop() {
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-u.flushWake:
		}
		if u.deps.Sender.Wait(u.ctx) != nil {
			return
		}
		b := u.gather()
		if len(b.txn.Writes) == 0 {
			continue
		}
		version, err := u.deps.Sender.DoNow(u.ctx, b.txn)
		if err != nil {
			u.flushFailed(err)
			return
		}
		u.apply(b, version)
	}
}

func (u *Unit) flushFailed(err error) {
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		u.lose(conflict)
	}
}

// gather takes marked ledgers, each with all of its changes, and loose changes,
// up to the size of a transaction. A ledger that is on its way stays marked.
func (u *Unit) gather() batch {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := batch{txn: provider.Txn{ID: xid.New().String()}}
	b.txn = b.txn.Require(control.UnitKey(u.hold.Unit), u.hold.Version)
	rest := u.dirty[:0]
	for i, w := range u.dirty {
		switch {
		case len(b.txn.Writes) >= u.set.BatchRows:
			rest = append(rest, u.dirty[i])
		case w.flying:
			rest = append(rest, w)
		default:
			u.gatherWorker(&b, w)
		}
	}
	u.dirty = rest
	taken := 0
	for taken < len(u.loose) && len(b.txn.Writes) < u.set.BatchRows {
		b.add(u.loose[taken])
		taken++
	}
	u.loose = append([]change(nil), u.loose[taken:]...)
	if len(u.loose) > 0 || len(u.dirty) > 0 {
		u.wakeIfIdle()
	}
	return b
}

// wakeIfIdle wakes another lane if anything is left that need not wait for a
// transaction on its way. The caller holds u.mu.
func (u *Unit) wakeIfIdle() {
	if len(u.loose) > 0 {
		signal(u.flushWake)
		return
	}
	for _, w := range u.dirty {
		if !w.flying {
			signal(u.flushWake)
			return
		}
	}
}

func (u *Unit) gatherWorker(b *batch, w *workerState) {
	key := ledger.Key(u.hold.Unit, w.name())
	b.txn = b.txn.Put(key, w.version, w.ledger.Encode())
	b.workers = append(b.workers, w)
	for _, c := range w.changes {
		b.add(c)
	}
	w.changes, w.marked, w.flying = nil, false, true
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

// apply goes on after a transaction was committed.
func (u *Unit) apply(b batch, version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Stats.Commits++
	u.Stats.Rows += int64(len(b.txn.Writes))
	for _, w := range b.workers {
		w.version, w.flying = version, false
	}
	for _, c := range b.changes {
		if c.then != nil {
			c.then(version)
		}
	}
	if u.granted < maxGranted && u.queue.Len() > 0 {
		signal(u.decideWake)
	}
	u.wakeIfIdle()
}
