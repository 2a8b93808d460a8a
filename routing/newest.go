package routing

import (
	"sync"
	"sync/atomic"
)

// Newest holds the newest table that was offered. The zero Newest holds none.
//
// The table can be had without a lock: who is told of a change may wait for others, who
// may ask for the table meanwhile.
type Newest struct {
	table atomic.Pointer[Table]

	mu       sync.Mutex // held while a table is taken and told of, in order
	onChange []func(Table)
}

// OnChange has f called with each newer table, in order.
func (n *Newest) OnChange(f func(Table)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = append(n.onChange, f)
}

// Offer takes a table if it is newer than the one held, and tells whether it
// was.
func (n *Newest) Offer(table Table) bool {
	if !n.Lacks(table.Version) {
		return false // the index of a large table is work
	}
	table = table.WithIndex()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.Lacks(table.Version) {
		return false
	}
	n.table.Store(&table)
	for _, f := range n.onChange {
		f(table)
	}
	return true
}

// Lacks reports whether a table of this version would be newer than the one held.
func (n *Newest) Lacks(version uint64) bool {
	table, known := n.Current()
	return !known || version > table.Version
}

// Current returns the newest table, if there is one.
func (n *Newest) Current() (Table, bool) {
	table := n.table.Load()
	if table == nil {
		return Table{}, false
	}
	return *table, true
}
