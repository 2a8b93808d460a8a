package member

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/control"
	"chutereach/hall"
	"chutereach/peer"
	"chutereach/peer/peertest"
	"chutereach/timeline"
)

// newWithPeer returns a Members with one peer that has just responded.
func newWithPeer(id control.Incarnation) *Members {
	m := New(control.BoxRow{Incarnation: "me.1"}, nil, &timeline.Clock{}, func() State { return State{} })
	p := &member{Peer: Peer{Row: control.BoxRow{Incarnation: id}, LastResponse: time.Now()}}
	p.State.Loads = map[string]Load{"s": {Slots: 8}}
	m.peers[id] = p
	return m
}

// Loads are read while responses update them. Sharing the map between both would
// crash the process with a concurrent map access.
func TestConcurrentLoadReadsAndUpdates(t *testing.T) {
	m := newWithPeer("other.1")
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				m.AddQueued("other.1", "s", true)
				m.SetLoad("other.1", "s", Load{Slots: 8})
			}
		})
		wg.Go(func() {
			for range 500 {
				m.ServiceLoads("s")
				for _, p := range m.Peers() {
					p.State.Loads["s"] = Load{} // must be a copy
				}
			}
		})
	}
	wg.Wait()
	if got := m.ServiceLoads("s"); len(got) != 1 || got[0].Load.Slots != 8 {
		t.Errorf("loads = %v", got)
	}
}

func TestMergeIgnoresOlderEndpoints(t *testing.T) {
	list := []hall.Endpoint{{Service: "s", Attempt: "a"}}
	for _, c := range []struct {
		name    string
		version Version
		want    bool
	}{
		{"same", Version{2, 2}, false},
		{"older seq", Version{2, 1}, false},
		{"older epoch, higher seq", Version{1, 9}, false},
		{"newer seq", Version{2, 3}, true},
		{"newer epoch, lower seq", Version{3, 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newWithPeer("other.1")
			m.merge([]Endpoints{{"u", Version{2, 2}, nil}})
			if got := m.merge([]Endpoints{{"u", c.version, list}}); got != c.want {
				t.Errorf("merge = %v, want %v", got, c.want)
			}
		})
	}
}

// A response that takes longer than peerTimeout to transfer must be read in full as
// long as it makes progress.
func TestLargeStateResponseIsRead(t *testing.T) {
	const endpoints, rate = 10_000, 100_000 // bytes/s, about 4 s in total
	synctest.Test(t, func(t *testing.T) {
		network := peertest.New()
		other := control.BoxRow{Incarnation: "other.1", Peer: "other:80"}
		large := New(other, nil, &timeline.Clock{}, func() State { return State{Incarnation: other.Incarnation} })
		list := make([]hall.Endpoint, endpoints)
		for i := range list {
			list[i] = hall.Endpoint{Service: "s", Attempt: fmt.Sprintf("attempt-%d", i), Address: "10.0.0.1:80", Slots: 8}
		}
		large.SetLocalEndpoints("u", 1, list)
		mux := http.NewServeMux()
		peer.Handle(mux, large.StatePath(), large.HandleState)
		server := peer.NewPlainServer(network.Listen(other.Peer), mux)
		go server.Serve()
		client := peer.NewPlainClientOver(network.Dial("me"))
		network.SetLink("me", peertest.NewLink(rate))
		m := New(control.BoxRow{Incarnation: "me.1"}, client, &timeline.Clock{}, func() State { return State{} })
		p := &member{Peer: Peer{Row: other}}
		m.peers[other.Incarnation] = p
		start := time.Now()
		m.fetchState(t.Context(), p)
		if got := len(m.endpoints["u"].List); got != endpoints || !p.Alive() {
			t.Errorf("%d endpoints after %v, alive %v; want %d and true", got, time.Since(start), p.Alive(), endpoints)
		}
		if took := time.Since(start); took < peerTimeout {
			t.Errorf("response took %v, want at least the peer timeout of %v", took, peerTimeout)
		}
		client.Close()
		server.Close()
	})
}
