// Package timeline keeps what a box did as typed events in a bounded ring, each
// with a hybrid logical clock stamp, so that the events of all boxes can be put
// into an order in which no effect stands before its cause.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Stamp is a hybrid logical time: wall time where clocks allow it, and a count
// that keeps the order where they do not.
type Stamp struct {
	Wall  int64  `json:"wall" cbor:"1,keyasint"` // Unix nanoseconds
	Count uint32 `json:"count" cbor:"2,keyasint"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Time returns the wall time of s.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Clock gives out stamps.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp after every one given out or seen.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Seen takes in a stamp of another box, so that what this box does next comes
// after it.
func (c *Clock) Seen(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// Kind says what happened.
type Kind string

// The kinds of event.
const (
	BoxStarted     Kind = "box-started"
	BoxLeaving     Kind = "box-leaving"
	BoxFenced      Kind = "box-fenced"
	UnitOwned      Kind = "unit-owned"
	UnitReady      Kind = "unit-ready"
	UnitLost       Kind = "unit-lost"
	JobAccepted    Kind = "job-accepted"
	JobQueued      Kind = "job-queued"
	JobStopped     Kind = "job-stopped"
	JobChanged     Kind = "job-changed"
	TaskPlaced     Kind = "task-placed"
	TaskStarted    Kind = "task-started"
	TaskNotRun     Kind = "task-not-run"
	TaskEnded      Kind = "task-ended"
	TaskLost       Kind = "task-lost"
	TaskUnknown    Kind = "task-unknown"
	TaskSettled    Kind = "task-settled"
	WorkerSilent   Kind = "worker-silent"
	WorkerBack     Kind = "worker-back"
	WorkerRebooted Kind = "worker-rebooted"
	ConfigAccepted Kind = "config-accepted"
	ConfigInForce  Kind = "config-in-force"
)

// Event is one thing that a box did or saw.
type Event struct {
	Stamp   Stamp  `json:"stamp" cbor:"1,keyasint"`
	Box     string `json:"box" cbor:"2,keyasint"`
	Kind    Kind   `json:"kind" cbor:"3,keyasint"`
	Unit    string `json:"unit,omitempty" cbor:"4,keyasint,omitempty"`
	Job     string `json:"job,omitempty" cbor:"5,keyasint,omitempty"`
	Attempt string `json:"attempt,omitempty" cbor:"6,keyasint,omitempty"`
	Worker  string `json:"worker,omitempty" cbor:"7,keyasint,omitempty"`
	Account string `json:"account,omitempty" cbor:"8,keyasint,omitempty"`
	Request string `json:"request,omitempty" cbor:"9,keyasint,omitempty"`
	Detail  string `json:"detail,omitempty" cbor:"10,keyasint,omitempty"`
}

// Ring keeps the newest events of a box.
type Ring struct {
	box     string
	clock   *Clock
	mu      sync.Mutex
	events  []Event // a circle once it is full
	next    int
	dropped int64
}

// NewRing returns a ring of size events.
func NewRing(box string, clock *Clock, size int) *Ring {
	return &Ring{box: box, clock: clock, events: make([]Event, 0, size)}
}

// Add records e, stamped now.
func (r *Ring) Add(e Event) {
	e.Stamp, e.Box = r.clock.Now(), r.box
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
}

// Filter selects events; an empty field selects all.
type Filter struct {
	Job, Worker, Account, Request, Unit string
	After                               Stamp
}

func (f Filter) admits(e Event) bool {
	return e.Stamp.Compare(f.After) > 0 &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Account == "" || f.Account == e.Account) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Unit == "" || f.Unit == e.Unit)
}

// Page is the events of one box, and how many it has dropped so far.
type Page struct {
	Events  []Event `json:"events" cbor:"1,keyasint"`
	Dropped int64   `json:"dropped" cbor:"2,keyasint"`
}

// Read returns the events that f selects, the oldest first.
func (r *Ring) Read(f Filter) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Events: []Event{}, Dropped: r.dropped}
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.admits(e) {
			p.Events = append(p.Events, e)
		}
	}
	return p
}

// Merge puts the events of several boxes into one order.
func Merge(pages ...Page) Page {
	all := Page{Events: []Event{}}
	for _, p := range pages {
		all.Events = append(all.Events, p.Events...)
		all.Dropped += p.Dropped
	}
	slices.SortFunc(all.Events, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Box, b.Box))
	})
	return all
}
