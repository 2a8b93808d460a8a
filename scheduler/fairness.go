package scheduler

import (
	"cmp"
	"slices"
)

// noteArrival counts a job that has come against what its account is owed.
func (j *job) noteArrival() {
	a := j.account
	a.meter, j.beyond = a.meter.WithJob(a.terms.Weight, j.arrived)
	if j.beyond {
		a.beyond++
	}
}

// noteArrivals does so for the jobs that a former owner left, in the order in which they came.
func (s *Scheduler) noteArrivals() {
	var list []*job
	for _, j := range s.jobs {
		if !j.arrived.IsZero() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
	for _, j := range list {
		j.noteArrival()
	}
}
