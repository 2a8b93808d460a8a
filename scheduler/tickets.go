package scheduler

import (
	"time"

	"chutereach/fleet"
)

// workerTicket is a worker that may run a step, with the latest ticket for it. Eligibility
// never changes; tickets expire.
type workerTicket struct {
	worker  *worker
	ticket  string
	expires time.Time
	used    bool // a task was placed with the ticket
}

func (p *workerTicket) validAt(at time.Time) bool { return p.expires.After(at) }

// adviceState is what is known about the workers that may run a step.
type adviceState struct {
	asked         map[*worker]bool
	tickets       []*workerTicket
	byWorker      map[*worker]*workerTicket // tickets by worker
	callsInFlight int                       // advice calls
	nextCheck     time.Time                 // no calls before this time
	checkedAt     time.Time                 // when advice was last requested, or found to be of no use
	neededUntil   time.Time                 // until then the step needs advice that no node could be asked for
	lacksCapacity bool                      // the last survey expected too little capacity for the waiting tasks
}

// invalidate invalidates a ticket that a worker has refused.
func (a *adviceState) invalidate(w *worker) {
	if p := a.byWorker[w]; p != nil {
		p.expires = time.Time{}
	}
}

// ticketFor returns the ticket for a worker if it is valid at the given time.
func (a *adviceState) ticketFor(w *worker, at time.Time) (string, bool) {
	if p := a.byWorker[w]; p != nil && p.validAt(at) {
		return p.ticket, true
	}
	return "", false
}

// markUsed records that a task is placed with the ticket for a worker. It returns false if there is
// no ticket or it was used before.
func (a *adviceState) markUsed(w *worker) bool {
	p := a.byWorker[w]
	if p == nil || p.used {
		return false
	}
	p.used = true
	return true
}

// recordAnswer records the tickets of an answer. It returns how many workers were asked about for the
// first time, and how many of these may run the step.
func (a *adviceState) recordAnswer(named []*worker, advice fleet.Advice, now time.Time) (asked, healthy int) {
	if a.asked == nil {
		a.asked, a.byWorker = map[*worker]bool{}, map[*worker]*workerTicket{}
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
		if a.byWorker[w] == nil {
			a.byWorker[w] = &workerTicket{worker: w}
			a.tickets = append(a.tickets, a.byWorker[w])
		}
		a.byWorker[w].ticket, a.byWorker[w].expires = text, now.Add(advice.Valid)
		a.byWorker[w].used = false
	}
	return asked, healthy
}
