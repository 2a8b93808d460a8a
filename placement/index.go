package placement

import (
	"math/bits"

	"chutereach/provider"
	"chutereach/resource"
)

const (
	// buckets is how many bounds an axis has; a word of bits marks those in use.
	buckets = 64
	// perDoubling is how many buckets an axis has for each doubling.
	perDoubling = 4
	cpuUnit     = 250       // thousandths of a processor in the first bucket
	memUnit     = 256 << 20 // bytes in the first bucket
	// accLevels bounds the accelerators that are told apart.
	accLevels = 17
)

// bucket returns the last bound that is not above v: bound(bucket(v)) <= v.
func bucket(v, unit int64) int {
	n := v / unit
	if n <= 0 {
		return 0
	}
	if n < perDoubling {
		return int(n)
	}
	log := bits.Len64(uint64(n)) - 1
	sub := int(n>>(log-2)) & (perDoubling - 1)
	return min((log-1)*perDoubling+sub, buckets-1)
}

// entry is a worker in the index.
type entry struct {
	worker provider.Worker
	free   resource.Amount
	closed bool // takes no new work
	cell   cellKey
	at     int // place within the cell
}

type cellKey struct{ acc, cpu, mem int8 }

// row is the cells of one level of accelerators and processors.
type row struct {
	used  uint64 // which memory buckets hold workers
	cells [buckets][]*entry
}

// level is the rows of one number of free accelerators.
type level struct {
	used uint64 // which processor buckets hold workers
	rows [buckets]*row
}

// Index is the workers that can take tasks, by what they have free. It is not
// safe for concurrent use.
type Index struct {
	levels [accLevels]level
	byName map[string]*entry
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{byName: map[string]*entry{}} }

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.byName) }

func keyOf(free resource.Amount) cellKey {
	return cellKey{
		acc: int8(min(max(free.Accelerators, 0), accLevels-1)),
		cpu: int8(bucket(int64(free.CPU), cpuUnit)),
		mem: int8(bucket(int64(free.Memory), memUnit)),
	}
}

// Set puts a worker, or what it has free, into the index. A closed worker keeps
// its place but is never chosen.
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

// Remove takes a worker out.
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
	e.cell, e.at = k, len(r.cells[k.mem])
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
	cell[e.at], last.at = last, e.at
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
