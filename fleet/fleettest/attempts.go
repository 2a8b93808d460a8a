package fleettest

import (
	"time"

	"chutereach/fleet"
)

// Attempt is an attempt that a worker has started.
type Attempt struct {
	Task    string
	Number  int
	Worker  string
	Token   uint64 // fencing token of its start: at least that of the owner, less than that of any successor
	Started time.Time
	Ended   time.Time     // zero while it runs
	Outcome fleet.Outcome // empty while it runs, or if it ended with its worker
}

// Attempts returns the attempts of a job in the order of their starts.
func (f *Fleet) Attempts(job string) []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Attempt
	for _, attempt := range f.attempts[job] {
		list = append(list, *attempt)
	}
	return list
}

// recordAttempt records the start of an attempt. The lock is held.
func (f *Fleet) recordAttempt(w *worker, r *run) {
	r.record = &Attempt{Task: r.task.String(), Number: r.number, Worker: w.info.ID, Token: w.token, Started: time.Now()}
	f.attempts[r.task.Job] = append(f.attempts[r.task.Job], r.record)
}
