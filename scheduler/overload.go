package scheduler

import (
	"math"
	"slices"
	"time"

	"chutereach/overload"
	"chutereach/resource"
	"chutereach/sizeclass"
	"chutereach/urgency"
)

// sizeOrder is the state for the order by size under overload (LoadPolicy.SizeOrder). Each pass measures
// the use of each service and the work that has just passed its latest start. While a service is
// overloaded, the latest start of its in-time steps of any priority but 0 is postponed in the order by the
// remaining work of their jobs. The state is not stored: a new owner starts without an overload.
type sizeOrder struct {
	// serial numbers the calls of updateOverload. It skips a number after a gap between them, so that a
	// step was in time in the previous pass only if its inTimeSerial is serial-1.
	serial    uint64
	updatedAt time.Time // time of the last call
	services  map[string]*serviceLoad
	sizes     map[string]*queueSizes // by queue
	arrivals  uint64                 // jobs recorded in sizes
}

// queueSizes holds the mean size of a queue's jobs and the sizes of its recent jobs.
type queueSizes struct {
	overload.MeanSize
	recent      sizeclass.Distribution
	lastArrival uint64 // sizeOrder.arrivals as of the last arrival
}

const (
	// maxPassGap is the time between passes after which steps that became late in between do not count
	// as missed: they could not have been placed.
	maxPassGap = 500 * time.Millisecond
	// maxSlack bounds the slack of a step in the mean, so that one wrong estimate does not determine it.
	maxSlack = time.Minute
	// maxQueueSizes is the maximum number of queues with a queueSizes.
	maxQueueSizes = 1024
)

// serviceLoad is the load of a service.
type serviceLoad struct {
	capacity, used resource.Amount // of usable workers; used by tasks of any priority but 0
	waiting        overload.Work   // that can meet its deadline
	weightedSlack  float64         // slack of that work in seconds, weighted by the work
	monitor        overload.Monitor
	// overloadSince is when the overload began; zero if there is none. countedUntil is the time up to
	// which it has been counted in the metrics.
	overloadSince, countedUntil time.Time
}

// stepLateness records whether a waiting step has passed its latest start.
type stepLateness struct {
	inTimeSerial uint64 // sizeOrder.serial of the last pass in which the step waited and was in time
	judged       bool   // whether it has been determined if the work counts as missed
}

func newSizeOrder() sizeOrder {
	return sizeOrder{services: map[string]*serviceLoad{}, sizes: map[string]*queueSizes{}}
}

// overloads returns the number of services whose overload has been logged and not yet ended.
func (o *sizeOrder) overloads() int {
	count := 0
	for _, load := range o.services {
		if !load.overloadSince.IsZero() {
			count++
		}
	}
	return count
}

// hasCapacity reports whether the service has a usable worker.
func (l *serviceLoad) hasCapacity() bool { return l != nil && !l.capacity.IsZero() }

// updateOverload measures the load of each service, begins or ends its overload, and reports whether any
// service is overloaded. Passes with candidates that may not be placed do not call it: steps that become
// late then are not missed for lack of capacity.
func (s *Scheduler) updateOverload(list []candidate, now time.Time) bool {
	o := &s.sizeOrder
	o.serial++
	if now.Sub(o.updatedAt) > maxPassGap {
		o.serial++
	}
	o.updatedAt = now
	s.measureUse(now)
	for _, c := range list {
		s.countMissed(c)
		s.measureBacklog(c, now)
	}
	overloaded := false
	for service, load := range o.services {
		load.monitor = load.monitor.WithBacklog(load.waiting, load.meanSlack())
		s.recordOverload(service, load, list, now)
		overloaded = overloaded || load.monitor.Overloaded()
	}
	return overloaded
}

// sortBySize orders the candidates by their postponed latest start.
func (s *Scheduler) sortBySize(list []candidate, now time.Time) {
	for i := range list {
		list[i].urgency.RelativeSize = s.relativeSize(list[i], now)
	}
	slices.SortFunc(list, compareUrgency)
}

// measureBacklog adds a candidate to the backlog of its service if it is ordered by size under overload
// and waits for capacity only.
func (s *Scheduler) measureBacklog(c candidate, now time.Time) {
	st := c.step
	load := s.sizeOrder.services[st.job.record.Queue.Service]
	if load == nil || !st.orderedBySize(c.urgency) || st.hasNoDeadline() || !st.quotaHeldSince.IsZero() {
		return
	}
	work := st.waitingWork(load.capacity).Bounded()
	load.waiting += work
	load.weightedSlack += float64(work) * min(c.urgency.LatestStart.Sub(now), maxSlack).Seconds()
}

// meanSlack returns the mean slack of the waiting work that can meet its deadline.
func (l *serviceLoad) meanSlack() time.Duration {
	if l.waiting <= 0 {
		return 0
	}
	return time.Duration(l.weightedSlack / float64(l.waiting) * float64(time.Second))
}

// orderedBySize reports whether the step is ordered by size under overload: it can meet its deadline, and
// its queue does not have priority 0.
func (st *step) orderedBySize(v urgency.Assessment) bool {
	return v.Rank == urgency.InTime && !v.Promoted && !st.job.topPriority()
}

// measureUse measures the capacity and use of each service's usable workers.
func (s *Scheduler) measureUse(now time.Time) {
	services := s.sizeOrder.services
	for _, load := range services {
		load.capacity, load.used = resource.Amount{}, resource.Amount{}
		load.waiting, load.weightedSlack = 0, 0
	}
	listIncomplete, halls := s.listIncomplete(now), s.gate.view()
	for _, w := range s.workers {
		if !w.usable(now, listIncomplete) || halls.Contains(w.info.Zone) {
			continue
		}
		load := services[w.info.Service]
		if load == nil {
			load = &serviceLoad{}
			services[w.info.Service] = load
		}
		load.capacity = load.capacity.Plus(w.info.Capacity)
		load.used = load.used.Plus(w.used.Minus(w.usedUrgent))
	}
	for service, load := range services {
		load.monitor = load.monitor.WithUsage(now, load.used, load.capacity)
		// A service without workers is kept until the end of its overload has been recorded.
		if load.capacity.IsZero() && load.overloadSince.IsZero() {
			delete(services, service)
		}
	}
}

// countMissed counts the waiting work of a candidate that has passed its latest start since the last
// pass. Steps that were late when they began to wait, or when this owner loaded them, do not count.
func (s *Scheduler) countMissed(c candidate) {
	st, j := c.step, c.step.job
	if c.urgency.InTime() && !c.urgency.Promoted {
		st.lateness.inTimeSerial = s.sizeOrder.serial
		return
	}
	if st.lateness.judged || st.lateness.inTimeSerial != s.sizeOrder.serial-1 {
		return
	}
	st.lateness.judged = true
	load := s.sizeOrder.services[j.record.Queue.Service]
	// The share and quota are those of the last pass. A job that is late now is the last to be assigned its
	// account's share, so the current values would exclude nearly all of them.
	if !load.hasCapacity() || j.topPriority() || j.overShare || !st.quotaHeldSince.IsZero() {
		return
	}
	work := st.waitingWork(load.capacity).Bounded()
	load.monitor = load.monitor.WithMissed(work)
	s.metrics.missedWork.Add(float64(work))
}

// waitingWork returns the work of the step's waiting tasks.
func (st *step) waitingWork(capacity resource.Amount) overload.Work {
	return overload.WorkOf(len(st.placeableTasks()), st.need(), capacity, st.spec.Estimate)
}

// remainingWork returns the work of the tasks of a round that are not done. Tasks that run
// indefinitely have no amount of work.
func (r *round) remainingWork(capacity resource.Amount) overload.Work {
	total := overload.Work(0)
	for _, st := range r.steps {
		if !st.spec.LongRunning {
			total += overload.WorkOf(st.tasksLeft, st.need(), capacity, st.spec.Estimate)
		}
	}
	return total
}

// recordOverload logs and counts the beginning, the duration and the end of a service's overload.
func (s *Scheduler) recordOverload(service string, load *serviceLoad, list []candidate, now time.Time) {
	overloaded, since := load.monitor.Overloaded(), load.overloadSince
	if !since.IsZero() {
		s.metrics.overloadSeconds.Add(max(0, now.Sub(load.countedUntil).Seconds()))
		load.countedUntil = now
	}
	if overloaded == !since.IsZero() {
		return
	}
	message := "overload ended"
	if overloaded {
		message = "overload began"
		load.overloadSince, load.countedUntil = now, now
		s.metrics.overloads.Add(1)
		s.metrics.overloaded.Add(1)
	} else {
		load.overloadSince = time.Time{}
		s.metrics.overloaded.Add(-1)
	}
	waiting, steps := overload.Work(0), 0
	for _, c := range list {
		if c.step.job.record.Queue.Service == service {
			waiting += c.step.waitingWork(load.capacity).Bounded()
			steps++
		}
	}
	event := s.log.Info().Str("service", service).Float64("missed", float64(load.monitor.Missed())).Float64("rate", load.monitor.Rate()).
		Float64("waiting", float64(waiting)).Int("steps", steps)
	if !overloaded {
		event = event.Dur("lasted", now.Sub(since))
	}
	event.Msg(message)
}

// relativeSize returns the size by which a candidate is ordered while any service is overloaded. Only
// in-time steps of any priority but 0 are ordered by size. Those of services without an overload count
// as of mean size, so that neither they nor the others come first as a whole. So does work without a
// deadline until the time at which it would have had to start with one; after that it comes first, as in
// the order by latest start.
func (s *Scheduler) relativeSize(c candidate, now time.Time) float64 {
	const meanSize = 1
	st, j := c.step, c.step.job
	if !st.orderedBySize(c.urgency) || st.hasNoDeadline() && now.After(c.urgency.LatestStart) {
		return 0
	}
	load, mean := s.sizeOrder.services[j.record.Queue.Service], s.sizeOrder.sizes[j.record.Queue.Name]
	if load == nil || mean == nil || !load.monitor.Overloaded() || st.hasNoDeadline() {
		return meanSize
	}
	r := st.round
	if r.workSerial != s.sizeOrder.serial {
		r.work, r.workSerial = r.remainingWork(load.capacity), s.sizeOrder.serial
	}
	return mean.Relative(overload.SizeOf(r.work, load.capacity))
}

// recordSize adds a job that has arrived to the sizes of its queue and classifies it. Scheduled jobs do
// not count in the mean size, as they are not ordered by size.
func (s *Scheduler) recordSize(j *job) {
	o, queue := &s.sizeOrder, j.record.Queue
	sizes := o.sizes[queue.Name]
	if sizes == nil {
		sizes = &queueSizes{}
		o.sizes[queue.Name] = sizes
	}
	o.arrivals++
	sizes.lastArrival = o.arrivals
	sizes.recent = sizes.recent.WithArrival(j.coreSeconds())
	j.record.Size = sizes.recent.ClassOf(j.coreSeconds())
	if load := o.services[queue.Service]; s.load.SizeOrder && load.hasCapacity() && !j.record.Request.Scheduled() {
		sizes.MeanSize = sizes.WithArrival(overload.SizeOf(j.rounds[0].remainingWork(load.capacity), load.capacity))
	}
	if len(o.sizes) > maxQueueSizes {
		delete(o.sizes, o.leastRecentlyUsedQueue())
	}
}

// leastRecentlyUsedQueue returns the queue whose last arrival is the longest ago.
func (o *sizeOrder) leastRecentlyUsedQueue() string {
	oldest, first := "", uint64(math.MaxUint64)
	for queue, sizes := range o.sizes {
		if sizes.lastArrival < first {
			oldest, first = queue, sizes.lastArrival
		}
	}
	return oldest
}
