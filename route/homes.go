package route

import (
	"slices"

	"chutereach/control"
	"chutereach/hall"
	"chutereach/rendezvous"
)

// Refresh recomputes the home of every upstream from the live boxes and their endpoints.
func (r *Router) Refresh() {
	if !r.members.Synced() {
		return
	}
	var boxes []control.Incarnation
	for _, p := range r.members.Peers() {
		if p.Alive() && !p.State.Leaving {
			boxes = append(boxes, p.Row.Incarnation)
		}
	}
	// A leaving box is the home of no upstream unless no other box is alive.
	if len(boxes) == 0 || !r.leaving() {
		boxes = append(boxes, r.self)
	}
	slices.Sort(boxes)
	endpoints := r.members.Endpoints()
	own := map[string][]hall.Endpoint{}
	slots := map[string]map[control.Incarnation]int{}
	for _, e := range endpoints {
		list := own[e.Service] // the service is listed even if none of its upstreams has its home here
		at := homeOf(e.Attempt, boxes)
		if at == r.self {
			list = append(list, e)
		}
		own[e.Service] = list
		if slots[e.Service] == nil {
			slots[e.Service] = map[control.Incarnation]int{}
		}
		if !e.Draining {
			slots[e.Service][at] += e.Slots
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assumeFormerHomes(boxes, endpoints)
	for service, list := range own {
		r.updatePool(r.poolLocked(service), list)
	}
	r.slotsByHome = slots
	r.homeBoxes, r.knownUpstreams = boxes, make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		r.knownUpstreams[e.Attempt] = true
	}
	for service, p := range r.pools {
		if _, listed := own[service]; !listed {
			p.setUpstreams(nil, nil)
		}
	}
}

// assumeFormerHomes makes a box that has just learned of its peers assume that every
// upstream had its home at one of them, so that it takes them over instead of counting
// their slots as free. The caller holds r.mu.
func (r *Router) assumeFormerHomes(boxes []control.Incarnation, endpoints []hall.Endpoint) {
	if r.homeBoxes != nil {
		return
	}
	for _, i := range boxes {
		if i != r.self {
			r.homeBoxes = append(r.homeBoxes, i)
		}
	}
	for _, e := range endpoints {
		r.knownUpstreams[e.Attempt] = true
	}
}

// updatePool sets the upstreams of a pool and starts the takeover of those that had
// their home at another box. The caller holds r.mu.
func (r *Router) updatePool(p *pool, list []hall.Endpoint) {
	moved := map[string]control.Incarnation{}
	for _, e := range list {
		if former, other := r.formerHome(e.Attempt); other {
			moved[e.Attempt] = former
		}
	}
	for _, e := range p.setUpstreams(list, moved) {
		go r.takeOver(p, e, moved[e.Attempt])
	}
}

// homeOf returns the box that counts an upstream's slots.
func homeOf(upstream string, boxes []control.Incarnation) control.Incarnation {
	return rendezvous.First(upstream, boxes, func(i control.Incarnation) string { return string(i) })
}
