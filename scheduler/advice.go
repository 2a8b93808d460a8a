package scheduler

import (
	"context"
	"slices"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

const (
	// maxAdviceWorkers limits the workers asked about for one step at a time. They are split
	// into calls that run in parallel, so that the first tickets are still valid when the
	// last ones arrive: a gang of 240 tasks needs four calls, which can take 1 s each.
	maxAdviceWorkers = 400
	// maxWorkersPerCall is the maximum number of workers in one call.
	maxWorkersPerCall = 100
	// maxCallCostFactor limits the per-worker cost of a call, as a multiple of its fixed cost.
	// On a full fleet, where a worker has capacity for one task or none, a step of 30 tasks has to
	// ask about 70 workers. With a factor of 0.5 this took eight calls and occupied every node.
	maxCallCostFactor = 1.2
	// minWorkersPerCall is the minimum number of workers in a call, if that many have free
	// capacity. Below it, the fixed cost of a call dominates.
	minWorkersPerCall = 24
	// adviceCapacityFactor is how much free capacity to ask about, as a multiple of what a
	// step needs: other steps may use some of it before the answer arrives.
	adviceCapacityFactor = 1.5
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 60 * time.Millisecond
	// expectedStartDelay is the usual delay from a placement decision until the start reaches
	// the worker.
	expectedStartDelay = 40 * time.Millisecond
	// urgentRecheckInterval and otherRecheckInterval are the delays before a step that had no
	// workers to ask about is examined again. The shorter one applies to the urgentSteps most
	// urgent steps, which are placed first. With 150 waiting steps, examining all of them every
	// 40 ms took 0.13 of a core.
	urgentRecheckInterval = 40 * time.Millisecond
	otherRecheckInterval  = 160 * time.Millisecond
	maxRecheckInterval    = 960 * time.Millisecond
	urgentSteps           = 32
	// initialEligibleShare is the assumed share of eligible workers before the first answer for a
	// queue, and eligibleShareWeight the weight of the newest answer in the moving average.
	initialEligibleShare = 0.5
	eligibleShareWeight  = 0.1
)

// eachEligibleWorker calls f for each worker that the step may run on now, regardless of free
// capacity.
func (st *step) eachEligibleWorker(p *pass, f func(*worker)) {
	if !st.job.record.Queue.Advice.Enabled() {
		for _, w := range p.pools[st.job.record.Queue.Service] {
			f(w)
		}
		return
	}
	expectedStart := p.now.Add(expectedStartDelay)
	for _, ticket := range st.advice.tickets {
		if ticket.worker.usableSerial == p.serial && ticket.validAt(expectedStart) {
			f(ticket.worker)
		}
	}
}

// workersPerCall returns the maximum number of workers in one call under the policy.
func workersPerCall(policy workload.AdvicePolicy) int {
	if policy.PerWorkerLatency <= 0 {
		return maxWorkersPerCall
	}
	count := int(maxCallCostFactor * float64(policy.CallLatency) / float64(policy.PerWorkerLatency))
	return max(minWorkersPerCall, min(count, maxWorkersPerCall))
}

// recheckInterval returns the delay before the step at a position in the urgency order is
// examined again. Beyond the first maxAdviceSteps it grows with the position, so that a long
// backlog is not examined much more often than a short one.
func recheckInterval(position int) time.Duration {
	if position < urgentSteps {
		return urgentRecheckInterval
	}
	return min(otherRecheckInterval*time.Duration(1+position/maxAdviceSteps), maxRecheckInterval)
}

// requestAdvice requests tickets for the tasks of a step that could not be placed, and reports
// whether the step needs advice. It requests none if a call is in flight or no node can take a
// call. If no worker is worth asking about, the step needs none. That is examined again after the
// given delay, or as soon as a node can take the call of a step that needs advice. The caller
// holds the lock.
func (s *Scheduler) requestAdvice(p *pass, c candidate, recheckDelay time.Duration) bool {
	st := c.step
	a, policy := &st.advice, st.job.record.Queue.Advice
	if a.callsInFlight > 0 {
		return true
	}
	canCall := s.chooseAdviceNode(policy.Latency(1), p.now) != nil
	if !canCall && p.now.Before(a.neededUntil) {
		return true
	}
	c.tasks = c.placeableTasks()
	named := s.workersToAsk(p, c)
	if len(named) == 0 {
		a.checkedAt, a.nextCheck, a.neededUntil = p.now, p.now.Add(recheckDelay), time.Time{}
		return false
	}
	if !canCall {
		a.neededUntil, a.lacksCapacity = p.now.Add(recheckDelay), false // it waits for advice
		return true
	}
	a.checkedAt, a.neededUntil = p.now, time.Time{}
	for part := range slices.Chunk(p.fillCall(st, named), workersPerCall(policy)) {
		if !s.startAdviceCall(st, part, p.now) {
			break
		}
	}
	return true
}

// startAdviceCall asks about the workers for a step in the background. It returns false if no
// node can take the call.
func (s *Scheduler) startAdviceCall(st *step, named []*worker, now time.Time) bool {
	cost := st.job.record.Queue.Advice.Latency(len(named))
	node := s.chooseAdviceNode(cost, now)
	if node == nil {
		return false
	}
	st.advice.callsInFlight++
	s.adviceCallStarted(node, cost, now)
	call := adviceCall{step: st, service: st.job.record.Queue.Service, node: node, advisor: node.Advisor, named: named, cost: cost}
	s.running.Go(func() { s.fetchAdvice(call) })
	return true
}

// adviceCall is a call for advice about a step.
type adviceCall struct {
	step    *step
	service string // of the step's queue when the call was made
	node    *adviceNode
	advisor fleet.Advisor
	named   []*worker
	cost    time.Duration
}

func (st *step) stepName() string { return st.tasks[0].id().StepName() }

// capacitySurvey is the free capacity that a step's waiting tasks could use.
type capacitySurvey struct {
	validSlots int           // slots on workers whose ticket is valid for long enough
	expired    []workerSlots // eligible workers that need a new ticket
	unasked    []workerSlots // workers not asked about yet
}

// surveyCapacity counts the slots for a step on workers known to be eligible, and collects
// workers not asked about yet only if those slots do not suffice: scanning every worker
// for every waiting step took 0.15 of a core with 1,100 workers (see BenchmarkOwnerLoad in
// package platform).
func (s *Scheduler) surveyCapacity(p *pass, c candidate) capacitySurvey {
	st := c.step
	validUntil := p.now.Add(expectedStartDelay)
	if st.spec.Gang {
		validUntil = p.now.Add(st.renewalTime())
	}
	var survey capacitySurvey
	for _, ticket := range st.advice.tickets {
		if ticket.worker.usableSerial != p.serial {
			continue
		}
		slots := p.obtainableSlots(c, ticket.worker)
		switch {
		case slots < 1:
		case ticket.validAt(validUntil):
			survey.validSlots += slots
		default:
			survey.expired = append(survey.expired, workerSlots{worker: ticket.worker, slots: slots})
		}
	}
	if survey.validSlots < len(c.tasks) {
		survey.unasked = s.unaskedWorkers(p, c)
	}
	return survey
}

// obtainableSlots returns how many of the step's tasks fit on the worker now or, if the step
// is urgent enough to preempt others, after preemption.
func (p *pass) obtainableSlots(c candidate, w *worker) int {
	slots := p.slots(c, w)
	if slots < len(c.tasks) && c.urgency.MayPreempt {
		slots = p.slotsWithPreemption(c, w)
	}
	return slots
}

const (
	// unaskedCapacityFactor is how much capacity to look for on workers not asked about
	// yet, as a multiple of what a step needs, so that those with the most can be chosen.
	unaskedCapacityFactor = 3
	// maxPreemptionScan limits the workers without free capacity that are examined for
	// preemptible tasks.
	maxPreemptionScan = 256
)

// unaskedWorkers returns workers not asked about yet that could take tasks of the step, in
// order of descending free CPU, until they have enough capacity. The result shares a buffer
// and is valid until the next call.
func (s *Scheduler) unaskedWorkers(p *pass, c candidate) []workerSlots {
	st := c.step
	target := unaskedCapacityFactor * float64(len(c.tasks)) / s.eligibleShare(st.job.record.Queue.Name)
	need := st.need().CPU
	unasked := s.unaskedBuffer[:0]
	totalSlots, withoutCPU := 0, 0
	var reserved []*worker
	add := func(w *worker) {
		if slots := p.obtainableSlots(c, w); slots > 0 {
			unasked = append(unasked, workerSlots{worker: w, slots: slots})
			totalSlots += slots
		}
	}
	enough := func() bool { return float64(totalSlots) >= target && len(unasked) >= minWorkersPerCall }
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if enough() {
			break
		}
		if w.free().CPU < need {
			if withoutCPU++; withoutCPU > maxPreemptionScan || !c.urgency.MayPreempt {
				break // the pool is sorted: the remaining workers have no more free CPU
			}
		}
		switch {
		case st.advice.asked[w]:
		case s.load.BoundedGangRoom && w.reserved.excludes(st, p.now):
			reserved = append(reserved, w)
		default:
			add(w)
		}
	}
	// Preemption leaves the most free CPU where it is reserved, so urgent work would ask about these
	// workers first and take what the preempting step needs.
	for _, w := range reserved {
		if enough() {
			break
		}
		add(w)
	}
	s.unaskedBuffer = unasked
	return unasked
}

// workersToAsk returns the workers to ask about for the step's waiting tasks. Workers without
// free capacity are left out, since their tickets would expire unused. The exception is a
// gang that fits nowhere yet: it first learns which workers it could wait for.
func (s *Scheduler) workersToAsk(p *pass, c candidate) []*worker {
	st, tasks := c.step, len(c.tasks)
	if p.gangRoom.claimants[st] {
		return s.workersToAskTogether(p, c)
	}
	survey := s.surveyCapacity(p, c)
	eligibleShare := s.eligibleShare(st.job.record.Queue.Name)
	expectedSlots := float64(survey.validSlots) + float64(totalTasks(survey.expired)) + eligibleShare*float64(totalTasks(survey.unasked))
	st.advice.lacksCapacity = expectedSlots < float64(tasks)
	switch {
	case survey.validSlots >= tasks:
		return nil
	case st.spec.Gang && expectedSlots < float64(tasks):
		if p.onlyWithheld(c, eligibleShare) {
			return p.workersWithheld(c, eligibleShare)
		}
		if st.eligibleSlots() < gangCapacityFactor*tasks {
			return s.mostFreeUnasked(p, c)
		}
		return nil
	}
	wanted := adviceCapacityFactor * float64(tasks-survey.validSlots)
	if st.spec.Gang {
		wanted = adviceCapacityFactor * float64(tasks) // a gang needs all its tickets to be valid at the same time
	}
	named, wanted := selectWorkers(nil, survey.expired, wanted, 1)
	if wanted > 0 || len(st.advice.asked) == 0 {
		named, _ = selectWorkers(named, survey.unasked, wanted, eligibleShare)
	}
	return named
}

// fillCall adds workers to an expensive call that names few, since most of its cost is fixed and
// workers may gain capacity while their tickets are valid. Eligible workers that need a new
// ticket come first, then workers not asked about yet, by free CPU. Without this, 1,070 calls of
// one day renewed the tickets of 1.3 workers each, while a call that names thirty takes only half
// as long again.
func (p *pass) fillCall(st *step, named []*worker) []*worker {
	policy := st.job.record.Queue.Advice
	limit := workersPerCall(policy)
	if policy.CallLatency <= maxCheapCost || len(named) >= limit {
		return named
	}
	chosen := make(map[*worker]bool, limit)
	for _, w := range named {
		chosen[w] = true
	}
	add := func(w *worker) {
		if len(named) < limit && !chosen[w] && w.usableSerial == p.serial && st.allows(w) {
			named = append(named, w)
		}
	}
	expectedStart := p.now.Add(expectedStartDelay)
	for _, ticket := range st.advice.tickets {
		if !ticket.validAt(expectedStart) {
			add(ticket.worker)
		}
	}
	for _, w := range p.pools[st.job.record.Queue.Service] {
		if len(named) >= limit {
			break
		}
		if !st.advice.asked[w] {
			add(w)
		}
	}
	return named
}

// selectWorkers appends to named the workers with the most slots until they provide what is
// wanted, and returns what is still missing. If some of them may turn out ineligible
// (eligibleShare < 1), it names at least the minimum for one call.
func selectWorkers(named []*worker, list []workerSlots, wanted, eligibleShare float64) ([]*worker, float64) {
	slices.SortFunc(list, func(a, b workerSlots) int {
		if a.slots != b.slots {
			return b.slots - a.slots
		}
		return int(b.worker.free().CPU - a.worker.free().CPU)
	})
	minimum := 0
	if eligibleShare < 1 {
		minimum = minWorkersPerCall
	}
	for _, r := range list {
		if wanted <= 0 && len(named) >= minimum || len(named) == maxAdviceWorkers {
			break
		}
		named = append(named, r.worker)
		wanted -= eligibleShare * float64(r.slots)
	}
	return named, wanted
}

// eligibleShare returns the share of workers that may run a step of the queue, as estimated
// from earlier answers.
func (s *Scheduler) eligibleShare(queue string) float64 {
	if share, ok := s.eligibleShares[queue]; ok {
		return share
	}
	return initialEligibleShare
}

func (s *Scheduler) fetchAdvice(call adviceCall) {
	st, node := call.step, call.node
	s.mu.Lock()
	limit := node.timeout(call.cost) + s.latenessAllowance()
	name := st.stepName()
	ids := make([]string, 0, len(call.named))
	for _, w := range call.named {
		ids = append(ids, w.info.ID)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	begun := time.Now()
	advice, err := call.advisor.Advise(ctx, name, ids)
	now := time.Now()
	s.metrics.advice(now.Sub(begun), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adviceCallEnded(node, call.cost, begun, now)
	st.advice.callsInFlight--
	switch {
	case err != nil:
		if s.ctx.Err() == nil {
			s.log.Warn().Str("job", st.job.id).Str("step", name).Str("lane", node.Node).Err(err).Msg("no advice")
		}
		node.pausedUntil = now.Add(adviceFailurePause)
	case call.service == st.job.record.Queue.Service: // else the answer is about workers of a former service
		s.recordAdvice(st, call.named, advice, now)
	}
	wake(s.dispatchWake)
}

// recordAdvice stores an answer and updates the queue's share of eligible workers. The caller
// holds the lock.
func (s *Scheduler) recordAdvice(st *step, named []*worker, advice fleet.Advice, now time.Time) {
	asked, healthy := st.advice.recordAnswer(named, advice, now)
	s.metrics.ticketsReceived.Add(int64(len(advice.Tickets)))
	st.lastFullPass = 0
	if asked > 0 {
		queue := st.job.record.Queue.Name
		share := s.eligibleShare(queue)
		s.eligibleShares[queue] = share + (float64(healthy)/float64(asked)-share)*eligibleShareWeight
	}
}
