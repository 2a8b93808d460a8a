// Package member tracks which peers are alive and the state that they report.
//
// The table lists the boxes. Each box polls the state of every other box, in one
// goroutine per peer. Ownership depends on the table alone. The results of polling
// determine only where requests are routed, so they may be stale for a short time.
package member

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chutereach/control"
	"chutereach/hall"
	"chutereach/peer"
	"chutereach/timeline"
	"chutereach/transfer"
	"chutereach/wait"
)

// Load is the capacity and the load of a box for one service.
type Load struct {
	Slots  int `cbor:"1,keyasint"` // slots of the upstreams whose home is this box
	Busy   int `cbor:"2,keyasint"` // slots in use
	Queued int `cbor:"3,keyasint"` // queued requests
	Urgent int `cbor:"4,keyasint"` // queued requests that are urgent
}

// Version orders the endpoint lists of a unit.
type Version struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// After reports whether v is newer than o.
func (v Version) After(o Version) bool {
	return v.Epoch > o.Epoch || v.Epoch == o.Epoch && v.Seq > o.Seq
}

// Endpoints lists the endpoints at which the replicas of a unit accept requests.
type Endpoints struct {
	Unit    string          `cbor:"1,keyasint"`
	Version Version         `cbor:"2,keyasint"`
	List    []hall.Endpoint `cbor:"3,keyasint"`
}

// StateRequest is the request for the state of a peer.
type StateRequest struct {
	From  control.Incarnation `cbor:"1,keyasint"`
	Stamp timeline.Stamp      `cbor:"2,keyasint"`
	// KnownVersions holds, by unit, the versions of the endpoints that the sender
	// has. The response contains only newer ones.
	KnownVersions map[string]Version `cbor:"3,keyasint"`
}

// State is the state that a box reports to its peers.
type State struct {
	Incarnation control.Incarnation `cbor:"1,keyasint"`
	Stamp       timeline.Stamp      `cbor:"2,keyasint"`
	Revision    uint64              `cbor:"3,keyasint"`
	InForce     time.Time           `cbor:"4,keyasint"` // when Revision took effect
	Leaving     bool                `cbor:"5,keyasint,omitempty"`
	Ready       bool                `cbor:"6,keyasint,omitempty"`
	Units       []hall.Summary      `cbor:"7,keyasint,omitempty"`
	Loads       map[string]Load     `cbor:"8,keyasint,omitempty"` // by service
	Endpoints   []Endpoints         `cbor:"9,keyasint,omitempty"`
}

// Peer is another box and the last state received from it.
type Peer struct {
	Row          control.BoxRow
	State        State
	LastResponse time.Time // time of the last response, zero if there was none
}

// Alive reports whether the peer has responded within peerTimeout.
func (p Peer) Alive() bool {
	return !p.LastResponse.IsZero() && time.Since(p.LastResponse) < peerTimeout
}

const (
	// pollInterval is the pause between two state requests to a peer.
	pollInterval = time.Second
	// stallTimeout is the longest time without progress in a state exchange. It also
	// limits the leaving notices as a whole.
	stallTimeout = time.Second
	// peerTimeout is the time without a response after which a peer is not alive.
	peerTimeout = 3 * time.Second
	statePath   = "/peer/state"
	leavingPath = "/peer/leaving"
)

// Members holds the peers of a box and the endpoints that they report.
type Members struct {
	self       control.BoxRow
	client     *peer.Client
	clock      *timeline.Clock
	localState func() State // returns this box's state without Endpoints, which Answer adds

	mu              sync.Mutex
	peers           map[control.Incarnation]*member
	endpoints       map[string]Endpoints // by unit, including units whose owner has failed
	changeListeners []func()
	viewReceived    bool // SetView was called
	synced          bool // every peer has responded or exceeded peerTimeout
}

type member struct {
	Peer
	firstSeen        time.Time // when the peer was first seen in the table
	announcedLeaving bool      // the peer sent a leaving notice; a response in flight may not reflect it yet
	cancel           context.CancelFunc
}

// New returns a Members of self without peers.
func New(self control.BoxRow, client *peer.Client, clock *timeline.Clock, state func() State) *Members {
	return &Members{
		self: self, client: client, clock: clock, localState: state,
		peers: map[control.Incarnation]*member{}, endpoints: map[string]Endpoints{},
	}
}

// OnChange registers f to be called when the set of alive peers or the endpoints
// change. It must be called before the first SetView.
func (m *Members) OnChange(f func()) { m.changeListeners = append(m.changeListeners, f) }

// SetView sets the boxes that the table lists. It starts polling each new one, until
// ctx ends or the box is removed.
func (m *Members) SetView(ctx context.Context, v control.View) {
	m.mu.Lock()
	m.viewReceived = true
	m.reconcilePeers(ctx, v)
	justSynced := m.updateSynced()
	m.mu.Unlock()
	if justSynced {
		m.notify()
	}
}

// updateSynced sets synced once its condition holds, and reports whether this call
// set it. The caller holds m.mu.
func (m *Members) updateSynced() bool {
	if m.synced || !m.viewReceived {
		return false
	}
	for _, p := range m.peers {
		if p.LastResponse.IsZero() && time.Since(p.firstSeen) < peerTimeout {
			return false
		}
	}
	m.synced = true
	return true
}

// Synced reports whether every peer listed in the table has responded or exceeded
// peerTimeout. Before that, the box would consider itself the home of every upstream.
func (m *Members) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

func (m *Members) reconcilePeers(ctx context.Context, v control.View) {
	for i, b := range v.Boxes {
		if i == m.self.Incarnation || m.peers[i] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		p := &member{Peer: Peer{Row: b.Row}, firstSeen: time.Now(), cancel: cancel}
		m.peers[i] = p
		go m.pollPeer(ctx, p)
	}
	for i, p := range m.peers {
		if _, exists := v.Boxes[i]; !exists {
			p.cancel()
			delete(m.peers, i)
		}
	}
}

// AddPeer adds a peer as if it had responded at the time heard, without polling
// it. It is for tests of routers without a network.
func (m *Members) AddPeer(row control.BoxRow, heard time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &member{Peer: Peer{Row: row, LastResponse: heard}, cancel: func() {}}
	p.State.Loads = map[string]Load{}
	m.peers[row.Incarnation] = p
	m.synced = true
}

// pollPeer requests the state of a peer repeatedly until ctx ends.
func (m *Members) pollPeer(ctx context.Context, p *member) {
	for ctx.Err() == nil {
		m.fetchState(ctx, p)
		wait.For(ctx, pollInterval)
	}
	m.notify()
}

func (m *Members) fetchState(ctx context.Context, p *member) {
	ctx, cancel := transfer.WithStallLimit(ctx, stallTimeout, nil) // a timeout for the whole exchange would cut off large responses
	defer cancel()
	a := StateRequest{From: m.self.Incarnation, Stamp: m.clock.Now(), KnownVersions: m.knownVersions()}
	s, err := peer.Call[State](ctx, m.client, p.Row.Peer, statePath, a)
	m.mu.Lock()
	wasAlive, wasLeaving := p.Alive(), p.State.Leaving
	// The address may now belong to another incarnation, whose state is not that of
	// this peer.
	if err == nil && s.Incarnation == p.Row.Incarnation {
		m.clock.Update(s.Stamp)
		s.Leaving = s.Leaving || p.announcedLeaving
		p.State, p.LastResponse = s, time.Now()
	}
	changed := p.Alive() != wasAlive || p.State.Leaving != wasLeaving
	changed = m.merge(s.Endpoints) || changed
	changed = m.updateSynced() || changed
	m.mu.Unlock()
	if changed {
		m.notify()
	}
}

func (m *Members) notify() {
	for _, f := range m.changeListeners {
		f()
	}
}

func (m *Members) knownVersions() map[string]Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	versions := make(map[string]Version, len(m.endpoints))
	for unit, e := range m.endpoints {
		versions[unit] = e.Version
	}
	return versions
}

// merge stores the updates that are newer than the known endpoints. The caller holds
// m.mu.
func (m *Members) merge(updates []Endpoints) (changed bool) {
	for _, e := range updates {
		if e.Version.After(m.endpoints[e.Unit].Version) {
			m.endpoints[e.Unit] = e
			changed = true
		}
	}
	return changed
}

// SetLocalEndpoints sets the endpoints of a unit that this box owns.
func (m *Members) SetLocalEndpoints(unit string, epoch uint64, list []hall.Endpoint) {
	m.mu.Lock()
	old := m.endpoints[unit]
	if old.Version.Epoch == epoch && slices.Equal(old.List, list) {
		m.mu.Unlock()
		return
	}
	v := Version{Epoch: epoch, Seq: 1}
	if old.Version.Epoch == epoch {
		v.Seq = old.Version.Seq + 1
	}
	m.endpoints[unit] = Endpoints{unit, v, list}
	m.mu.Unlock()
	m.notify()
}

// HandleState handles a peer's request for the state of this box.
func (m *Members) HandleState(_ context.Context, a StateRequest) (State, error) {
	m.clock.Update(a.Stamp)
	s := m.localState()
	m.mu.Lock()
	defer m.mu.Unlock()
	for unit, e := range m.endpoints {
		if e.Version.After(a.KnownVersions[unit]) {
			s.Endpoints = append(s.Endpoints, e)
		}
	}
	return s, nil
}

// AnnounceLeaving notifies every peer that this box is leaving, so that they send it no
// further requests while the remaining ones complete.
func (m *Members) AnnounceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range m.Peers() {
		wg.Go(func() {
			// A peer that misses the notice learns of it from the next state response.
			peer.Call[bool](ctx, m.client, p.Row.Peer, leavingPath, m.self.Incarnation)
		})
	}
	wg.Wait()
}

// HandleLeaving handles a peer's notice that it is leaving. It reports whether the peer is
// known.
func (m *Members) HandleLeaving(_ context.Context, i control.Incarnation) (bool, error) {
	m.mu.Lock()
	p := m.peers[i]
	if p != nil {
		p.announcedLeaving, p.State.Leaving = true, true
	}
	m.mu.Unlock()
	m.notify()
	return p != nil, nil
}

// LeavingPath returns the path at which Left must be served.
func (m *Members) LeavingPath() string { return leavingPath }

// StatePath returns the path at which Answer must be served.
func (m *Members) StatePath() string { return statePath }

// Peers returns the other boxes, sorted by incarnation.
func (m *Members) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		snapshot := p.Peer
		snapshot.State.Loads = maps.Clone(p.State.Loads) // AddQueued and SetLoad modify the original
		all = append(all, snapshot)
	}
	slices.SortFunc(all, func(a, b Peer) int {
		return strings.Compare(string(a.Row.Incarnation), string(b.Row.Incarnation))
	})
	return all
}

// PeerLoad is a peer and its load for one service.
type PeerLoad struct {
	Row  control.BoxRow
	Load Load
}

// ServiceLoads returns the peers that accept requests, each with its last known load for a
// service.
func (m *Members) ServiceLoads(service string) []PeerLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]PeerLoad, 0, len(m.peers))
	for _, p := range m.peers {
		if p.Alive() && !p.State.Leaving {
			all = append(all, PeerLoad{p.Row, p.State.Loads[service]})
		}
	}
	return all
}

// AddQueued adds a request that is being sent to a peer to the peer's known load,
// until the peer reports its load again. This prevents a burst of requests from all
// going to a peer that was idle at its last report.
func (m *Members) AddQueued(i control.Incarnation, service string, urgent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[i]; p != nil && p.State.Loads != nil {
		l := p.State.Loads[service]
		l.Queued++
		if urgent {
			l.Urgent++
		}
		p.State.Loads[service] = l
	}
}

// SetLoad sets a peer's load for a service, as reported in a response.
func (m *Members) SetLoad(i control.Incarnation, service string, l Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[i]; p != nil && p.State.Loads != nil {
		p.State.Loads[service] = l
	}
}

// Endpoints returns every known endpoint of every unit.
func (m *Members) Endpoints() []hall.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []hall.Endpoint
	for _, e := range m.endpoints {
		all = append(all, e.List...)
	}
	return all
}
