package scheduler

import (
	"time"

	"chutereach/fleet"
)

// permit says that a worker may run a step, which never changes, and holds the
// ticket that it must be shown.
type permit struct {
	worker  *worker
	ticket  string
	expires time.Time
}

// goodAt reports whether the ticket can be shown at a time.
func (p *permit) goodAt(at time.Time) bool { return p.expires.After(at) }

// adviceState is what is known of the workers that may run a step.
type adviceState struct {
	asked   map[*worker]bool
	permits []*permit
	at      map[*worker]*permit // the same by worker
	asking  int                 // calls under way
	checkAt time.Time           // nothing need be asked before
}

// drop forgets a ticket that a worker has refused.
func (a *adviceState) drop(w *worker) {
	if p := a.at[w]; p != nil {
		p.expires = time.Time{}
	}
}

// ticketFor returns a ticket that is good at a time.
func (a *adviceState) ticketFor(w *worker, at time.Time) (string, bool) {
	if p := a.at[w]; p != nil && p.goodAt(at) {
		return p.ticket, true
	}
	return "", false
}

// take notes the tickets of an answer. It returns how many workers were asked about
// for the first time, and how many of those may run the step.
func (a *adviceState) take(named []*worker, advice fleet.Advice, now time.Time) (asked, healthy int) {
	if a.asked == nil {
		a.asked, a.at = map[*worker]bool{}, map[*worker]*permit{}
	}
	for _, w := range named {
		text, ok := advice.Tickets[w.info.ID]
		if !a.asked[w] {
			a.asked[w] = true
			asked++
			if ok {
				healthy++
			}
		}
		if !ok {
			continue
		}
		if a.at[w] == nil {
			a.at[w] = &permit{worker: w}
			a.permits = append(a.permits, a.at[w])
		}
		a.at[w].ticket, a.at[w].expires = text, now.Add(advice.Valid)
	}
	return asked, healthy
}
