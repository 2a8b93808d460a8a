package hall

import (
	"cmp"
	"slices"
)

// Endpoint is a service replica that serves requests.
type Endpoint struct {
	Service  string `json:"service" cbor:"1,keyasint"` // name of the template
	Attempt  string `json:"attempt" cbor:"2,keyasint"`
	Worker   string `json:"worker" cbor:"3,keyasint"`
	Hall     string `json:"hall" cbor:"4,keyasint"`
	Address  string `json:"address" cbor:"5,keyasint"`
	Slots    int    `json:"slots" cbor:"6,keyasint"`
	MaxConns int    `json:"connections" cbor:"7,keyasint"`
	Draining bool   `json:"draining,omitempty" cbor:"8,keyasint,omitempty"`
}

// Endpoints returns the replicas of the unit that serve requests, sorted by
// attempt. It includes replicas that are draining.
func (u *Unit) Endpoints() []Endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []Endpoint
	for _, w := range u.workers {
		info := w.ledger.Worker()
		for _, t := range w.tasks {
			if t.phase != running && t.phase != stopping || t.endpoint == "" {
				continue
			}
			tm := t.job.job.Template
			all = append(all, Endpoint{
				Service: tm.Name, Attempt: t.attempt, Worker: info.Name, Hall: info.Hall, Address: t.endpoint,
				Slots: tm.Slots, MaxConns: tm.Connections,
				Draining: t.phase == stopping || u.drained(w),
			})
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return all
}
