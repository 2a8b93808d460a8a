package scheduler

import (
	"slices"

	"chutereach/sizeclass"
	"chutereach/urgency"
)

const (
	// maxPromoted is the maximum number of late gangs of one service that are placed like work in time, and
	// maxPromotedUnderOverload that of an overloaded service, whose large jobs the order by size puts last.
	maxPromoted              = 1
	maxPromotedUnderOverload = 3
)

// promoteLateGangs gives the first late gangs of each service the rank of work that can meet its deadline. Late
// work is placed on the capacity that other work leaves, and the more tasks a gang has, the less often all of
// them fit there at once. Gangs of usual size fit often enough.
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

// mayBePromoted reports whether the candidate is a late gang that may starve, within its account's share.
func (c *candidate) mayBePromoted() bool {
	return c.step.spec.Gang && c.urgency.Rank == urgency.Late && !c.urgency.OverShare && c.step.job.sizeClass != sizeclass.Usual
}
