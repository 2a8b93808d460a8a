package node_test

import (
	"fmt"
	"strings"
	"time"

	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/workload"
)

// The rows of a cell's store by which its operator speaks.

// setOnWorkerList has f called when a node begins to read the workers.
func (c *cell) setOnWorkerList(f func(*member)) { c.onWorkerList.Store(&f) }

// evacuatePrefix begins the name of a row that evacuates the data hall after it.
const evacuatePrefix = "evacuate/"

// evacuatedHalls returns the data halls that rows evacuate.
func evacuatedHalls(rows map[string]rowstore.Row) []string {
	var halls []string
	for name := range rows {
		if hall, found := strings.CutPrefix(name, evacuatePrefix); found {
			halls = append(halls, hall)
		}
	}
	return halls
}

// routingTable is the table of routes that the rows of a configuration come to: a version for
// each row, and a route for each routeBytes in them, one at least.
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
			Decision: 440 * time.Millisecond, Each: 6200 * time.Microsecond, Valid: 1500 * time.Millisecond,
		}
		route := routing.Route{Host: fmt.Sprintf("host%d.example", i%5), Prefix: fmt.Sprintf("/path%08d/", i), Queue: extraQueue}
		table.Routes = append(table.Routes, route)
	}
	return addAccounts(table, rows)
}

// routeBytes is what a route takes in an answer of the store, as measured: 1,081,758
// bytes for 4,245 routes.
const routeBytes = 255
