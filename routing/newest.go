package routing

import (
	"sync"
	"sync/atomic"
)

// Newest holds the newest table offered to it; the zero Newest holds none. It is safe for concurrent
// use.
//
// Reads take no lock, so that a callback of OnChange can wait for code that reads the table.
type Newest struct {
	table atomic.Pointer[Table]

	mu       sync.Mutex // held while a table is stored and the callbacks run
	onChange []func(Table)
}

// OnChange registers f to be called with each newer table, in order of version.
func (n *Newest) OnChange(f func(Table)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = append(n.onChange, f)
}

// Offer stores a table if it is newer than the current one, and reports whether it did.
func (n *Newest) Offer(table Table) bool {
	if !n.OlderThan(table.Version) {
		return false // avoid building the index
	}
	table = table.WithIndex()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.OlderThan(table.Version) {
		return false
	}
	n.table.Store(&table)
	for _, f := range n.onChange {
		f(table)
	}
	return true
}

// OlderThan reports whether a table of this version is newer than the current one.
func (n *Newest) OlderThan(version uint64) bool {
	table, known := n.Current()
	return !known || version > table.Version
}

// Current returns the newest table, if any.
func (n *Newest) Current() (Table, bool) {
	table := n.table.Load()
	if table == nil {
		return Table{}, false
	}
	return *table, true
}
