package scheduler

import (
	"slices"

	"chutereach/sizeclass"
	"chutereach/urgency"
)

const (
	// maxPromoted is the maximum number of late gangs that a pass promotes in each service. Each promotion
	// delays work that could still be in time. maxPromotedUnderOverload applies to overloaded services,
	// where the order by size places large jobs last, so that more of them become late.
	maxPromoted              = 2
	maxPromotedUnderOverload = 4
)

// promoteLateGangs promotes the most urgent late gangs of each service to the rank of work that can meet its
// deadline. Without it, large gangs starve while capacity is short: late work gets only the capacity that is left,
// and the more tasks a gang has, the less likely it is that all of them fit there at once. Gangs of usual
// size fit often enough. A gang is promoted only once it is overdue, since capacity often becomes free before
// that, and work in time is worth more.
func (s *Scheduler) promoteLateGangs(list []candidate) {
	late := map[string][]*candidate{}
	for i := range list {
		if c := &list[i]; c.mayBePromoted() {
			service := c.step.job.record.Queue.Service
			late[service] = append(late[service], c)
		}
	}
	for service, gangs := range late {
		count := maxPromoted
		if load := s.sizeOrder.services[service]; load != nil && load.monitor.Overloaded() {
			count = maxPromotedUnderOverload
		}
		slices.SortFunc(gangs, func(a, b *candidate) int { return compareUrgency(*a, *b) })
		for _, c := range gangs[:min(len(gangs), count)] {
			c.urgency = c.urgency.WithPromotion()
			c.step.setMayPreempt(true)
		}
	}
}

// mayBePromoted reports whether the candidate is an overdue gang that is large or of unknown size and within its
// account's fair share.
func (c *candidate) mayBePromoted() bool {
	return c.step.spec.Gang && c.urgency.Rank == urgency.Late && c.urgency.Overdue && !c.urgency.OverShare && c.step.job.record.Size != sizeclass.Usual
}
