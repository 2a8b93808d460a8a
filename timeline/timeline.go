// Package timeline records the events of a box in a ring buffer. Events carry
// hybrid logical clock timestamps, so that the events of several boxes can be
// merged in causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock timestamp. Count orders timestamps with the same
// wall time.
type Stamp struct {
	Wall  int64  `json:"wall" cbor:"1,keyasint"` // Unix nanoseconds
	Count uint32 `json:"count" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or +1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Clock is a hybrid logical clock. The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a timestamp greater than all that c has returned or received.
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

// Update advances c to a timestamp received from another box, so that later
// timestamps of c are greater.
func (c *Clock) Update(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// Kind is the type of an event.
type Kind string

// Event kinds.
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

// Event is an action or observation of a box.
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

// Ring is a ring buffer of the most recent events of a box.
type Ring struct {
	box     string
	clock   *Clock
	mu      sync.Mutex
	events  []Event // circular once len equals cap
	oldest  int     // index of the oldest event
	dropped int64
}

// NewRing returns a ring buffer with capacity for size events.
func NewRing(box string, clock *Clock, size int) *Ring {
	return &Ring{box: box, clock: clock, events: make([]Event, 0, size)}
}

// Add records e with the current timestamp and the name of the box. If the buffer
// is full, it drops the oldest event.
func (r *Ring) Add(e Event) {
	e.Stamp, e.Box = r.clock.Now(), r.box
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % len(r.events)
	r.dropped++
}

// Filter selects events. A zero field matches every event.
type Filter struct {
	Job, Worker, Account, Request, Unit string
	After                               Stamp
}

func (f Filter) matches(e Event) bool {
	return e.Stamp.Compare(f.After) > 0 &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Account == "" || f.Account == e.Account) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Unit == "" || f.Unit == e.Unit)
}

// Page holds events of one box, or of several after Merge, and the number of events
// that their ring buffers have dropped.
type Page struct {
	Events  []Event `json:"events" cbor:"1,keyasint"`
	Dropped int64   `json:"dropped" cbor:"2,keyasint"`
}

// Read returns the events that match f, oldest first.
func (r *Ring) Read(f Filter) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Events: []Event{}, Dropped: r.dropped}
	for i := range r.events {
		e := r.events[(r.oldest+i)%len(r.events)]
		if f.matches(e) {
			p.Events = append(p.Events, e)
		}
	}
	return p
}

// Merge combines the pages of several boxes into one, sorted by timestamp and box.
func Merge(pages ...Page) Page {
	merged := Page{Events: []Event{}}
	for _, p := range pages {
		merged.Events = append(merged.Events, p.Events...)
		merged.Dropped += p.Dropped
	}
	slices.SortFunc(merged.Events, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Box, b.Box))
	})
	return merged
}
