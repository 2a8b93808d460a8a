package node

import (
	"expvar"

	"chutereach/histogram"
	"chutereach/scheduler"
)

// Metrics counts the activity of a node. Var exports it without the scheduler's metrics.
type Metrics struct {
	Scheduler *scheduler.Metrics

	// evacuatedHalls is the number of data halls evacuated now, evacuationChanges how often that
	// set has changed.
	evacuatedHalls, evacuationChanges *expvar.Int

	tableVersion   *expvar.Int // version of the configuration in force
	relayCalls     *expvar.Map // by outcome
	tableExchanges *expvar.Map // transfers of tables of routes, by source or failure
	transferTimes  *histogram.Durations
}

func NewMetrics() *Metrics {
	return &Metrics{
		Scheduler: scheduler.NewMetrics(), tableVersion: new(expvar.Int), tableExchanges: new(expvar.Map), relayCalls: new(expvar.Map),
		transferTimes: histogram.New(), evacuatedHalls: new(expvar.Int), evacuationChanges: new(expvar.Int),
	}
}

// Var returns an expvar.Var of all metrics except the scheduler's.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	all.Set("halls_evacuated", m.evacuatedHalls)
	all.Set("evacuation_changes", m.evacuationChanges)
	all.Set("config_version", m.tableVersion)
	all.Set("config_exchanges", m.tableExchanges)
	all.Set("relay_calls", m.relayCalls)
	all.Set("config_transfer_ms", m.transferTimes)
	return all
}

// Keys of relay_calls.
const (
	relayAnswered = "answered"
	relayFailed   = "failed"
)

// Keys of config_exchanges.
const (
	fromStore       = "store"
	fromNode        = "node"
	storeTruncated  = "store_broken_off"
	nodeFetchFailed = "node_failed"
	servedToNode    = "served"
	fromRelay       = "relay"
)
