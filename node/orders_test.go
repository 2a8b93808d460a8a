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

// onListing has f called when a node begins to read the workers.
func (c *cell) onListing(f func(*member)) { c.listing.Store(&f) }

// evacuateRow begins the name of a row that evacuates the data hall after it.
const evacuateRow = "evacuate/"

// hallsOf returns the data halls that rows evacuate.
func hallsOf(rows map[string]rowstore.Row) []string {
	var halls []string
	for name := range rows {
		if hall, found := strings.CutPrefix(name, evacuateRow); found {
			halls = append(halls, hall)
		}
	}
	return halls
}

// tableOf is the table of routes that the rows of a configuration come to: a version for
// each row, and a route for each routeBytes in them, one at least.
func tableOf(rows map[string]rowstore.Row) routing.Table {
	table := routing.Table{Version: uint64(1 + len(rows)), Routes: []routing.Route{{Host: "h", Prefix: "/p/", Queue: queue}}}
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	for i := range size / routeBytes {
		more := queue
		more.Name, more.Priority = fmt.Sprintf("r-%07d", i), 1
		more.Advice = workload.AdvicePolicy{
			Decision: 440 * time.Millisecond, Each: 6200 * time.Microsecond, Valid: 1500 * time.Millisecond,
		}
		route := routing.Route{Host: fmt.Sprintf("host%d.example", i%5), Prefix: fmt.Sprintf("/path%08d/", i), Queue: more}
		table.Routes = append(table.Routes, route)
	}
	return withAccounts(table, rows)
}

// routeBytes is what a route takes in an answer of the store, as measured: 1,081,758
// bytes for 4,245 routes.
const routeBytes = 255
