package routing

import (
	"sort"
	"strings"
	"time"

	"chutereach/account"
	"chutereach/workload"
)

// Route sends calls to a host whose paths begin with Prefix to a queue.
type Route struct {
	Host   string         `cbor:"1,keyasint"`
	Prefix string         `cbor:"2,keyasint"`
	Queue  workload.Queue `cbor:"3,keyasint"`
	// Keyed routes accept only calls with a key of a client account.
	Keyed bool `cbor:"4,keyasint,omitempty"`
}

// Name returns the name that identifies the route across configurations.
func (r Route) Name() string { return r.Queue.Name }

// Limits bound what a caller may send. A limit that is 0 is unknown.
type Limits struct {
	HeaderBytes int   `cbor:"1,keyasint,omitempty"`
	BodyBytes   int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout bounds the time for the header of a request, IdleTimeout that between two requests.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// Table holds the routes and the client accounts of one configuration. It is immutable.
type Table struct {
	Version  uint64            `cbor:"1,keyasint"`
	Routes   []Route           `cbor:"2,keyasint"`
	Limits   Limits            `cbor:"3,keyasint"`
	Accounts []account.Account `cbor:"4,keyasint,omitempty"`

	byHost    map[string][]Route // longest prefix first
	byName    map[string]Route
	directory account.Directory
}

// WithIndex returns the table with the indexes that its lookups need.
func (t Table) WithIndex() Table {
	t.directory = account.NewDirectory(t.Accounts)
	t.byHost = make(map[string][]Route)
	t.byName = make(map[string]Route, len(t.Routes))
	for _, route := range t.Routes {
		t.byName[route.Name()] = route
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, k int) bool { return len(routes[i].Prefix) > len(routes[k].Prefix) })
	}
	return t
}

// Match returns the route of a call and the part of its path after the prefix. The longest matching
// prefix wins, and a port in host is ignored.
func (t Table) Match(host, path string) (route Route, rest string, ok bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, candidate := range t.byHost[host] {
		if rest, found := strings.CutPrefix(path, candidate.Prefix); found {
			return candidate, rest, true
		}
	}
	return Route{}, "", false
}

func (t Table) Queues() []workload.Queue {
	queues := make([]workload.Queue, 0, len(t.Routes))
	for _, route := range t.Routes {
		queues = append(queues, route.Queue)
	}
	return queues
}

func (t Table) Directory() account.Directory { return t.directory }
