package routing_test

import (
	"sync"
	"testing"
	"time"

	"chutereach/routing"
	"chutereach/workload"
)

func table(version uint64) routing.Table {
	route := func(host, prefix, queue string) routing.Route {
		return routing.Route{Host: host, Prefix: prefix, Queue: workload.Queue{Name: queue}}
	}
	return routing.Table{Version: version, Routes: []routing.Route{
		route("a.example", "/p/", "short"), route("a.example", "/p/q/", "long"), route("b.example", "/", "all"),
	}}
}

func TestMatch(t *testing.T) {
	cases := []struct {
		host, path, queue, rest string
	}{
		{"a.example", "/p/1", "short", "1"},
		{"a.example", "/p/q/1", "long", "1"},
		{"A.Example:8161", "/p/", "short", ""},
		{"a.example", "/x/1", "", ""},
		{"c.example", "/p/1", "", ""},
		{"b.example", "/p/1", "all", "p/1"},
	}
	indexed := table(1).WithIndex()
	for _, test := range cases {
		route, rest, ok := indexed.Match(test.host, test.path)
		if ok != (test.queue != "") || route.Queue.Name != test.queue || rest != test.rest {
			t.Errorf("Match(%s%s): queue %q, rest %q, want %q, %q", test.host, test.path, route.Queue.Name, rest, test.queue, test.rest)
		}
	}
}

func TestNewestKeepsNewestTable(t *testing.T) {
	var newest routing.Newest
	if _, ok := newest.Current(); ok {
		t.Error("a table is current before the first offer, want none")
	}
	var versions []uint64
	newest.OnChange(func(table routing.Table) { versions = append(versions, table.Version) })
	var wg sync.WaitGroup
	for version := range uint64(50) {
		wg.Go(func() { newest.Offer(table(version)) })
	}
	wg.Wait()
	if current, _ := newest.Current(); current.Version != 49 {
		t.Errorf("current version %d, want 49", current.Version)
	}
	for i := 1; i < len(versions); i++ {
		if versions[i] <= versions[i-1] {
			t.Fatalf("callbacks called in the order %v, want increasing versions", versions)
		}
	}
	if newest.Offer(table(49)) || newest.Offer(table(3)) {
		t.Error("Offer accepted a table that is not newer")
	}
}

// Reads must not block while an OnChange callback runs: a callback may wait for code that reads the
// table, which would deadlock.
func TestCurrentDuringOnChange(t *testing.T) {
	var newest routing.Newest
	newest.Offer(table(1))
	newest.OnChange(func(changed routing.Table) {
		seen := make(chan uint64)
		go func() {
			current, _ := newest.Current()
			newest.OlderThan(changed.Version)
			seen <- current.Version
		}()
		select {
		case version := <-seen:
			if version != changed.Version {
				t.Errorf("current version %d during the callback, want %d", version, changed.Version)
			}
		case <-time.After(10 * time.Second):
			t.Error("reads blocked for 10 s during the callback")
			go func() { <-seen }()
		}
	})
	newest.Offer(table(2))
}
