package scheduler

import (
	"cmp"
	"slices"
)

// countAgainstWeight counts an accepted job against its account's weight.
func (j *job) countAgainstWeight() {
	a := j.account
	a.meter, j.overShare = a.meter.WithJob(a.terms.Weight, j.arrived)
	if j.overShare {
		a.overShareJobs++
	}
}

// countArrivals counts the jobs taken over from an earlier owner, in order of arrival.
func (s *Scheduler) countArrivals() {
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
		j.countAgainstWeight()
	}
}

// sortByUrgency sorts candidates by descending urgency. Except for jobs of priority 0, each
// account's allowance within its weight is reassigned to its most urgent waiting jobs, so that
// a gang is not starved by small jobs of its own account that arrived within the weight. Jobs
// of priority 0 are short and keep the classification that they had on arrival: preferring the
// oldest of them under overload completed 488 of 723 in time instead of 557.
func sortByUrgency(list []candidate) {
	allowance := map[*accountState]int{}
	counted := map[*job]bool{}
	for i := range list {
		j := list[i].step.job
		if j.topPriority() {
			continue
		}
		if !j.overShare && !counted[j] {
			allowance[j.account]++
		}
		counted[j] = true
		list[i].urgency.OverShare = false
	}
	slices.SortFunc(list, compareUrgency)
	for i := range list {
		j := list[i].step.job
		if counted[j] {
			counted[j] = false
			j.overShare = allowance[j.account] == 0
			allowance[j.account] = max(0, allowance[j.account]-1)
		}
		list[i].urgency.OverShare = j.overShare
	}
	slices.SortFunc(list, compareUrgency)
}

// topPriority reports whether the job's queue has priority 0, whose jobs must start at once.
func (j *job) topPriority() bool { return j.record.Queue.Priority == 0 }
