package node_test

import (
	"fmt"
	"strings"
	"time"

	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/workload"
)

// setOnWorkerList sets a function that is called when a node starts to list the workers.
func (c *cell) setOnWorkerList(f func(*member)) { c.onWorkerList.Store(&f) }

// evacuatePrefix is the name prefix of rows that evacuate a data hall.
const evacuatePrefix = "evacuate/"

// evacuatedHalls returns the names of the data halls that the rows evacuate.
func evacuatedHalls(rows map[string]rowstore.Row) []string {
	var halls []string
	for name := range rows {
		if hall, found := strings.CutPrefix(name, evacuatePrefix); found {
			halls = append(halls, hall)
		}
	}
	return halls
}

// routingTable builds a routing table from configuration rows. Each row adds one to the version, and every
// routeBytes of row data add a route to the default one.
func routingTable(rows map[string]rowstore.Row) routing.Table {
	table := routing.Table{Version: uint64(1 + len(rows)), Routes: []routing.Route{{Host: "h", Prefix: "/p/", Queue: queue}}}
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	for i := range size / routeBytes {
		extraQueue := queue
		extraQueue.Name, extraQueue.Priority = fmt.Sprintf("r-%07d", i), 1
		extraQueue.Advice = workload.AdvicePolicy{
			CallLatency: 440 * time.Millisecond, PerWorkerLatency: 6200 * time.Microsecond, TicketTTL: 1500 * time.Millisecond,
		}
		route := routing.Route{Host: fmt.Sprintf("host%d.example", i%5), Prefix: fmt.Sprintf("/path%08d/", i), Queue: extraQueue}
		table.Routes = append(table.Routes, route)
	}
	return addAccounts(table, rows)
}

// routeBytes is the approximate size of an encoded route in an answer of the store.
const routeBytes = 255
