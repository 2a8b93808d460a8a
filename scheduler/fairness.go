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

// sortByUrgency puts the most urgent candidates first. Of the jobs of an account that wait and may
// be long, what it is owed goes to the most urgent ones, whichever of them came on top, and the
// others come on top from then on: a gang would be starved by small jobs of its own account that
// came in their time. Jobs of the first queue are short and keep what they came with: to prefer the
// oldest of them when there are too many makes more of them late (488 of 723 in time instead of 557).
func sortByUrgency(list []candidate) {
	owed := map[*accountState]int{}
	counted := map[*job]bool{}
	for i := range list {
		j := list[i].step.job
		if j.first() {
			continue
		}
		if !j.beyond && !counted[j] {
			owed[j.account]++
		}
		counted[j] = true
		list[i].urgency.Beyond = false
	}
	slices.SortFunc(list, byUrgency)
	for i := range list {
		j := list[i].step.job
		if counted[j] {
			counted[j] = false
			j.beyond = owed[j.account] == 0
			owed[j.account] = max(0, owed[j.account]-1)
		}
		list[i].urgency.Beyond = j.beyond
	}
	slices.SortFunc(list, byUrgency)
}

// first reports whether the job is of a first queue, whose jobs must begin at once.
func (j *job) first() bool { return j.record.Queue.Priority == 0 }
