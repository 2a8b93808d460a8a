// Package member knows which boxes answer, and what they say of themselves.
//
// The table says which boxes there are; each box asks each of the others for
// its state, in one goroutine a peer. Membership by the table decides ownership;
// membership by answers decides only where requests go, so it may be wrong for
// a moment without harm.
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

// Load is what a box has to give for a service.
type Load struct {
	Slots  int `cbor:"1,keyasint"` // of the upstreams whose home it is
	Busy   int `cbor:"2,keyasint"` // of them in use
	Queued int `cbor:"3,keyasint"` // requests that wait at it
	Urgent int `cbor:"4,keyasint"` // of them, urgent ones
}

// Version orders what is said of a unit.
type Version struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// After reports whether v is newer than o.
func (v Version) After(o Version) bool {
	return v.Epoch > o.Epoch || v.Epoch == o.Epoch && v.Seq > o.Seq
}

// Endpoints is where a unit's replicas take requests.
type Endpoints struct {
	Unit    string          `cbor:"1,keyasint"`
	Version Version         `cbor:"2,keyasint"`
	List    []hall.Endpoint `cbor:"3,keyasint"`
}

// Ask is what a box sends when it asks a peer for its state.
type Ask struct {
	From  control.Incarnation `cbor:"1,keyasint"`
	Stamp timeline.Stamp      `cbor:"2,keyasint"`
	// Have is the versions of endpoints that the asker knows; the answer leaves
	// out what is no newer.
	Have map[string]Version `cbor:"3,keyasint"`
}

// State is what a box says of itself.
type State struct {
	Incarnation control.Incarnation `cbor:"1,keyasint"`
	Stamp       timeline.Stamp      `cbor:"2,keyasint"`
	Revision    uint64              `cbor:"3,keyasint"`
	InForce     time.Time           `cbor:"4,keyasint"` // since when
	Leaving     bool                `cbor:"5,keyasint,omitempty"`
	Ready       bool                `cbor:"6,keyasint,omitempty"`
	Units       []hall.Summary      `cbor:"7,keyasint,omitempty"`
	Loads       map[string]Load     `cbor:"8,keyasint,omitempty"` // by service
	Endpoints   []Endpoints         `cbor:"9,keyasint,omitempty"`
}

// Peer is another box and its newest state.
type Peer struct {
	Row   control.BoxRow
	State State
	Heard time.Time // zero if never
}

// Alive reports whether the peer answered of late.
func (p Peer) Alive() bool { return !p.Heard.IsZero() && time.Since(p.Heard) < silentAfter }

const (
	// interval is between two questions to a peer.
	interval = time.Second
	// askQuiet is for how long nothing may come of one answer.
	askQuiet = time.Second
	// silentAfter is when a peer that does not answer counts as gone.
	silentAfter = 3 * time.Second
	statePath   = "/peer/state"
	leavingPath = "/peer/leaving"
)

// Members is the boxes that this one knows.
type Members struct {
	self   control.BoxRow
	client *peer.Client
	clock  *timeline.Clock
	state  func() State // this box's own, endpoints of every unit it knows included

	mu        sync.Mutex
	peers     map[control.Incarnation]*member
	endpoints map[string]Endpoints // by unit, also of units whose owner is gone
	changed   []func()
	viewed    bool // the table's rows have been read
	settled   bool // every peer has answered, or has had the time to
}

type member struct {
	Peer
	since  time.Time // when it was first seen in the table
	left   bool      // it said that it leaves; an answer under way may not know yet
	cancel context.CancelFunc
}

// New returns the Members that self knows: none yet.
func New(self control.BoxRow, client *peer.Client, clock *timeline.Clock, state func() State) *Members {
	return &Members{
		self: self, client: client, clock: clock, state: state,
		peers: map[control.Incarnation]*member{}, endpoints: map[string]Endpoints{},
	}
}

// OnChange calls f when the alive peers or the endpoints change. It must be
// called before the first SetView.
func (m *Members) OnChange(f func()) { m.changed = append(m.changed, f) }

// SetView takes in which boxes the table has. A goroutine is begun for each new
// one, and ended for each that is gone.
func (m *Members) SetView(ctx context.Context, v control.View) {
	m.mu.Lock()
	m.viewed = true
	m.followAll(ctx, v)
	settled := m.settle()
	m.mu.Unlock()
	if settled {
		m.notify()
	}
}

// settle notes when a box has come to know its peers, and reports whether that
// was just now. The caller holds m.mu.
func (m *Members) settle() bool {
	if m.settled || !m.viewed {
		return false
	}
	for _, p := range m.peers {
		if p.Heard.IsZero() && time.Since(p.since) < silentAfter {
			return false
		}
	}
	m.settled = true
	return true
}

// Settled reports whether the box has come to know its peers. Until then it
// would take every upstream for its own.
func (m *Members) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settled
}

func (m *Members) followAll(ctx context.Context, v control.View) {
	for i, b := range v.Boxes {
		if i == m.self.Incarnation || m.peers[i] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		p := &member{Peer: Peer{Row: b.Row}, since: time.Now(), cancel: cancel}
		m.peers[i] = p
		go m.follow(ctx, p)
	}
	for i, p := range m.peers {
		if _, there := v.Boxes[i]; !there {
			p.cancel()
			delete(m.peers, i)
		}
	}
}

// Introduce takes in a peer as if it had answered at a time, without asking it.
// It serves routers that are tried out without a network.
func (m *Members) Introduce(row control.BoxRow, heard time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &member{Peer: Peer{Row: row, Heard: heard}, cancel: func() {}}
	p.State.Loads = map[string]Load{}
	m.peers[row.Incarnation] = p
	m.settled = true
}

// follow asks a peer for its state until ctx ends.
func (m *Members) follow(ctx context.Context, p *member) {
	for ctx.Err() == nil {
		m.ask(ctx, p)
		wait.For(ctx, interval)
	}
	m.notify()
}

func (m *Members) ask(ctx context.Context, p *member) {
	ctx, cancel := transfer.WithStallLimit(ctx, askQuiet, nil) // an answer may hold every endpoint
	defer cancel()
	a := Ask{From: m.self.Incarnation, Stamp: m.clock.Now(), Have: m.have()}
	s, err := peer.Call[State](ctx, m.client, p.Row.Peer, statePath, a)
	m.mu.Lock()
	was, leaving := p.Alive(), p.State.Leaving
	// An address may have passed to another incarnation: it does not speak for
	// this one.
	if err == nil && s.Incarnation == p.Row.Incarnation {
		m.clock.Seen(s.Stamp)
		s.Leaving = s.Leaving || p.left
		p.State, p.Heard = s, time.Now()
	}
	changed := p.Alive() != was || p.State.Leaving != leaving
	changed = m.merge(s.Endpoints) || changed
	changed = m.settle() || changed
	m.mu.Unlock()
	if changed {
		m.notify()
	}
}

func (m *Members) notify() {
	for _, f := range m.changed {
		f()
	}
}

func (m *Members) have() map[string]Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	have := make(map[string]Version, len(m.endpoints))
	for unit, e := range m.endpoints {
		have[unit] = e.Version
	}
	return have
}

// merge takes in endpoints that are newer. The caller holds m.mu.
func (m *Members) merge(news []Endpoints) (changed bool) {
	for _, e := range news {
		if e.Version.After(m.endpoints[e.Unit].Version) {
			m.endpoints[e.Unit] = e
			changed = true
		}
	}
	return changed
}

// SetOwn takes in the endpoints of a unit that this box owns.
func (m *Members) SetOwn(unit string, epoch uint64, list []hall.Endpoint) {
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

// Answer is what this box tells a peer that asks.
func (m *Members) Answer(_ context.Context, a Ask) (State, error) {
	m.clock.Seen(a.Stamp)
	s := m.state()
	m.mu.Lock()
	defer m.mu.Unlock()
	for unit, e := range m.endpoints {
		if e.Version.After(a.Have[unit]) {
			s.Endpoints = append(s.Endpoints, e)
		}
	}
	return s, nil
}

// SayLeaving tells every peer that this box leaves, so that none sends it another
// request while it waits for the last ones.
func (m *Members) SayLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askQuiet)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range m.Peers() {
		wg.Go(func() {
			// A peer that does not hear it learns it from the next answer.
			peer.Call[bool](ctx, m.client, p.Row.Peer, leavingPath, m.self.Incarnation)
		})
	}
	wg.Wait()
}

// Left takes in that a peer leaves.
func (m *Members) Left(_ context.Context, i control.Incarnation) (bool, error) {
	m.mu.Lock()
	p := m.peers[i]
	if p != nil {
		p.left, p.State.Leaving = true, true
	}
	m.mu.Unlock()
	m.notify()
	return p != nil, nil
}

// LeavingPath is where Left must be served.
func (m *Members) LeavingPath() string { return leavingPath }

// Path is where Answer must be served.
func (m *Members) Path() string { return statePath }

// Peers returns the other boxes, by name.
func (m *Members) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		shown := p.Peer
		shown.State.Loads = maps.Clone(p.State.Loads) // the peer's own goes on changing
		all = append(all, shown)
	}
	slices.SortFunc(all, func(a, b Peer) int {
		return strings.Compare(string(a.Row.Incarnation), string(b.Row.Incarnation))
	})
	return all
}

// PeerLoad is a peer and what it has in hand for one service.
type PeerLoad struct {
	Row  control.BoxRow
	Load Load
}

// LoadsOf returns the peers that take requests, with what each has in hand for a
// service as far as it has said so.
func (m *Members) LoadsOf(service string) []PeerLoad {
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

// AddQueued counts a request that is being sent to a peer into the peer's load
// until the peer says better, so that a burst is not sent to one box that was
// idle a moment ago.
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

// SetLoad takes in a peer's load for a service, which came with an answer.
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
