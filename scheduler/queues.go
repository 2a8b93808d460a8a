package scheduler

import (
	"time"

	"chutereach/workload"
)

// SetQueues sets the current queue policies. Jobs whose queue no longer exists keep
// the policy they have.
func (s *Scheduler) SetQueues(queues []workload.Queue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.queues
	s.queues = make(map[string]workload.Queue, len(queues))
	for _, queue := range queues {
		s.queues[queue.Name] = queue
		if queue.Service != former[queue.Name].Service {
			delete(s.eligibleShares, queue.Name) // it describes the workers of the former service
		}
	}
	for _, j := range s.active {
		s.applyQueue(j)
	}
	wake(s.dispatchWake)
}

// applyQueue sets the job's queue policy and deadline to those of its queue, if the queue
// exists.
func (s *Scheduler) applyQueue(j *job) {
	queue, ok := s.queues[j.record.Queue.Name]
	former := j.record.Queue
	if !ok || queue == former {
		return
	}
	j.record.Queue = queue
	j.deadline = j.arrived.Add(queue.Objective(j.record.Request))
	moved := queue.Service != former.Service
	if moved {
		s.log.Info().Str("job", j.id).Str("queue", queue.Name).Str("from", former.Service).Str("to", queue.Service).Int("attempts", j.hosted).
			Msg("job follows its queue to another service")
	}
	for _, r := range j.rounds {
		for _, st := range r.steps {
			if moved {
				s.leaveService(st)
			}
			st.lastFullPass = 0 // whether a worker suits the step also depends on the policy
		}
	}
}

// leaveService discards what the step keeps of the workers of its former service: reserved capacity, advice and
// trials that have not begun. Attempts on these workers continue.
func (s *Scheduler) leaveService(st *step) {
	st.releaseReservations()
	st.reservedUntil = time.Time{}
	st.advice = adviceState{callsInFlight: st.advice.callsInFlight}
	st.lateness = stepLateness{judged: st.lateness.judged}
	if !st.suspected {
		return
	}
	for _, w := range s.workers {
		if w.trial.step == st && !w.trial.started {
			w.trial, w.capacityFreed = trial{}, true
		}
	}
}
