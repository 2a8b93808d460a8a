// Package routing knows by which route a call comes in: the table of routes of
// one configuration, and the newest table that a node has heard of.
package routing

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"chutereach/workload"
)

// Route sends the calls of a host whose paths begin with Prefix to a queue.
type Route struct {
	Host   string         `cbor:"1,keyasint"`
	Prefix string         `cbor:"2,keyasint"`
	Queue  workload.Queue `cbor:"3,keyasint"`
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int   `cbor:"1,keyasint,omitempty"`
	BodyBytes   int64 `cbor:"2,keyasint,omitempty"`
}

// Table is the routes of one configuration. It never changes.
type Table struct {
	Version uint64  `cbor:"1,keyasint"`
	Routes  []Route `cbor:"2,keyasint"`
	Limits  Limits  `cbor:"3,keyasint"`

	byHost map[string][]Route // longest prefix first
}

// WithIndex returns the table ready to be asked.
func (t Table) WithIndex() Table {
	t.byHost = make(map[string][]Route)
	for _, route := range t.Routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, k int) bool { return len(routes[i].Prefix) > len(routes[k].Prefix) })
	}
	return t
}

// Match returns the route of a call and what follows the prefix in its path.
func (t Table) Match(host, path string) (route Route, rest string, ok bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, candidate := range t.byHost[host] {
		if rest, found := strings.CutPrefix(path, candidate.Prefix); found {
			return candidate, rest, true
		}
	}
	return Route{}, "", false
}

// Queues returns the queues of all routes.
func (t Table) Queues() []workload.Queue {
	queues := make([]workload.Queue, 0, len(t.Routes))
	for _, route := range t.Routes {
		queues = append(queues, route.Queue)
	}
	return queues
}

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
