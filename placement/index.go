package placement

import (
	"math/bits"

	"chutereach/provider"
	"chutereach/resource"
)

const (
	// buckets is the number of buckets per axis, limited by the 64-bit used masks.
	buckets = 64
	// bucketsPerDoubling is the number of buckets between a value and its double.
	bucketsPerDoubling = 4
	cpuUnit            = 250       // width of the first bucket in thousandths of a CPU
	memUnit            = 256 << 20 // width of the first bucket in bytes
	// acceleratorLevels is the number of levels; the last one holds all workers with
	// at least acceleratorLevels-1 free accelerators.
	acceleratorLevels = 17
)

// bucket returns the index of the bucket that contains v, where unit is the width of
// the first bucket.
func bucket(v, unit int64) int {
	n := v / unit
	if n <= 0 {
		return 0
	}
	if n < bucketsPerDoubling {
		return int(n)
	}
	log := bits.Len64(uint64(n)) - 1
	sub := int(n>>(log-2)) & (bucketsPerDoubling - 1)
	return min((log-1)*bucketsPerDoubling+sub, buckets-1)
}

// entry is a worker in the index.
type entry struct {
	worker   provider.Worker
	free     resource.Amount
	closed   bool // accepts no new tasks
	cell     cellKey
	position int // position within the cell
}

type cellKey struct{ acc, cpu, mem int8 }

// row holds the cells of one CPU bucket within a level, by memory bucket.
type row struct {
	used  uint64 // bit set of non-empty memory buckets
	cells [buckets][]*entry
}

// level holds the rows of one number of free accelerators, by CPU bucket.
type level struct {
	used uint64 // bit set of non-empty CPU buckets
	rows [buckets]*row
}

// Index indexes workers by their free resources. It is not safe for concurrent
// use.
type Index struct {
	levels [acceleratorLevels]level
	byName map[string]*entry
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{byName: map[string]*entry{}} }

// Len returns the number of workers, including closed ones.
func (x *Index) Len() int { return len(x.byName) }

func keyOf(free resource.Amount) cellKey {
	return cellKey{
		acc: int8(min(max(free.Accelerators, 0), acceleratorLevels-1)),
		cpu: int8(bucket(int64(free.CPU), cpuUnit)),
		mem: int8(bucket(int64(free.Memory), memUnit)),
	}
}

// Set adds a worker or updates its entry. A closed worker stays in the index but
// is never chosen.
func (x *Index) Set(w provider.Worker, free resource.Amount, closed bool) {
	e := x.byName[w.Name]
	if e == nil {
		e = &entry{}
		x.byName[w.Name] = e
	} else {
		x.unlink(e)
	}
	e.worker, e.free, e.closed = w, free, closed
	if !closed {
		x.link(e)
	}
}

// Remove removes a worker. It does nothing if the worker is unknown.
func (x *Index) Remove(name string) {
	e := x.byName[name]
	if e == nil {
		return
	}
	x.unlink(e)
	delete(x.byName, name)
}

func (x *Index) link(e *entry) {
	k := keyOf(e.free)
	l := &x.levels[k.acc]
	r := l.rows[k.cpu]
	if r == nil {
		r = &row{}
		l.rows[k.cpu] = r
	}
	e.cell, e.position = k, len(r.cells[k.mem])
	r.cells[k.mem] = append(r.cells[k.mem], e)
	r.used |= 1 << k.mem
	l.used |= 1 << k.cpu
}

func (x *Index) unlink(e *entry) {
	if e.closed {
		return
	}
	l := &x.levels[e.cell.acc]
	r := l.rows[e.cell.cpu]
	cell := r.cells[e.cell.mem]
	last := cell[len(cell)-1]
	cell[e.position], last.position = last, e.position
	cell[len(cell)-1] = nil
	r.cells[e.cell.mem] = cell[:len(cell)-1]
	if len(cell) > 1 {
		return
	}
	r.used &^= 1 << e.cell.mem
	if r.used == 0 {
		l.used &^= 1 << e.cell.cpu
	}
}
