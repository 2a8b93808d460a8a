package node

import (
	"expvar"

	"chutereach/histogram"
	"chutereach/scheduler"
)

// Metrics counts what a node does. Var shows it, without the scheduler's part.
type Metrics struct {
	Scheduler *scheduler.Metrics

	// evacuatedHalls are the data halls that get nothing new now, evacuationChanges how often
	// that set has changed.
	evacuatedHalls, evacuationChanges *expvar.Int

	tableVersion  *expvar.Int // of the configuration in force
	relays        *expvar.Map // calls to relays by outcome
	tables        *expvar.Map // tables of routes by how they came, and what failed
	transferTimes *histogram.Times
}

// NewMetrics returns Metrics that count from nothing.
func NewMetrics() *Metrics {
	return &Metrics{
		Scheduler: scheduler.NewMetrics(), tableVersion: new(expvar.Int), tables: new(expvar.Map), relays: new(expvar.Map),
		transferTimes: histogram.New(), evacuatedHalls: new(expvar.Int), evacuationChanges: new(expvar.Int),
	}
}

// Var is everything but the scheduler's part, as a variable of expvar.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	all.Set("halls_evacuated", m.evacuatedHalls)
	all.Set("evacuation_changes", m.evacuationChanges)
	all.Set("config_version", m.tableVersion)
	all.Set("config_exchanges", m.tables)
	all.Set("relay_calls", m.relays)
	all.Set("config_transfer_ms", m.transferTimes)
	return all
}

// Keys of calls to relays.
const (
	relayAnswered = "answered"
	relayFailed   = "failed"
)

// Keys of the exchanges that bring a table of routes.
const (
	fromStore       = "store"
	fromNode        = "node"
	storeBrokenOff  = "store_broken_off"
	nodeFetchFailed = "node_failed"
	servedToNode    = "served"
	fromRelay       = "relay"
)
