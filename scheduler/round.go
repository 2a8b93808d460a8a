package scheduler

import (
	"slices"
	"time"

	"chutereach/overload"
	"chutereach/workload"
)

// round is one execution of all steps of a job. The rounds of a schedule are opened when they are due and closed
// when they are done, so that a long schedule takes no memory and no time in each pass.
type round struct {
	number         int
	steps          []*step
	stepsLeft      int           // steps not done
	hosted         int           // tasks that occupy capacity on workers
	remaining      time.Duration // estimated duration of the longest chain of steps not done
	remainingValid bool          // whether remaining is up to date
	work           overload.Work // remaining work as of the dispatch pass workSerial
	workSerial     uint64
}

// maxOpenTasks is the number of tasks up to which further rounds of a job are opened. A job always has one open round
// if one is due, and all due ones if its tasks run indefinitely.
const maxOpenTasks = workload.MaxTasksPerRound

// openRound opens the job's next round.
func (j *job) openRound() *round {
	r := newRound(j, j.opened)
	j.opened++
	j.rounds = append(j.rounds, r)
	if j.parted {
		r.makeParts()
	}
	return r
}

func newRound(j *job, number int) *round {
	request := &j.record.Request
	r := &round{number: number, steps: make([]*step, 0, len(request.Steps)), stepsLeft: len(request.Steps)}
	for i := range request.Steps {
		st := &step{job: j, round: r, index: i, spec: &request.Steps[i], tasksLeft: request.Steps[i].Count, onWorker: map[*worker]int{}}
		tasks := make([]task, st.spec.Count)
		st.tasks = make([]*task, st.spec.Count)
		for index := range tasks {
			tasks[index] = task{step: st, index: index}
			st.tasks[index] = &tasks[index]
		}
		r.steps = append(r.steps, st)
	}
	return r
}

// nextDue reports whether the job's next round is due.
func (j *job) nextDue(now time.Time) bool {
	request := &j.record.Request
	return j.opened < request.RoundCount() && request.Due(j.opened) <= now.UnixMilli()
}

// updateRounds closes the rounds of a scheduled job that are done, and opens those that are due as far as the job's limit
// and the memory allow. The lock is held.
func (s *Scheduler) updateRounds(j *job, now time.Time) {
	if !j.record.Request.Scheduled() || j.state.Final() {
		return
	}
	if j.closable {
		j.rounds = slices.DeleteFunc(j.rounds, (*round).over)
		j.closable = false
		s.weigh(j)
	}
	for j.nextDue(now) && (len(j.rounds) == 0 || j.mayOpenAnother() && s.memory.fits(roundWeight(j.record.Request))) {
		j.openRound()
		s.weigh(j)
	}
}

// mayOpenAnother reports whether the job may have another open round.
func (j *job) mayOpenAnother() bool {
	request := &j.record.Request
	return request.RunsIndefinitely() || (len(j.rounds)+1)*request.TasksPerRound() <= maxOpenTasks
}

// over reports whether all tasks of the round are done and none occupies capacity on a worker.
func (r *round) over() bool { return r.stepsLeft == 0 && r.hosted == 0 }

// noteOver records that the round is over, so that it is closed with the next pass.
func (r *round) noteOver(j *job) {
	if r.over() {
		j.closable = true
	}
}

// roundWith returns the open round with a number, or nil.
func (j *job) roundWith(number int) *round {
	i, found := slices.BinarySearchFunc(j.rounds, number, func(r *round, number int) int { return r.number - number })
	if !found {
		return nil
	}
	return j.rounds[i]
}

// ready reports whether all dependencies of a step are done.
func (r *round) ready(st *step) bool {
	for _, earlier := range st.spec.DependsOn {
		if !r.steps[earlier].done() {
			return false
		}
	}
	return true
}

// remainingChain returns the estimated duration of the longest chain of steps not done.
func (r *round) remainingChain(request *workload.Request) time.Duration {
	if !r.remainingValid {
		r.remaining, r.remainingValid = request.CriticalPath(func(i int) bool { return r.steps[i].done() }), true
	}
	return r.remaining
}

// findTask returns the task with an ID, or nil if the job has none or its round is not open.
func (j *job) findTask(id workload.TaskID) *task {
	r := j.roundWith(id.Round)
	if r == nil || id.Step >= len(r.steps) || id.Index >= len(r.steps[id.Step].tasks) {
		return nil
	}
	return r.steps[id.Step].tasks[id.Index]
}

// eachTask calls f for every task of the open rounds.
func (j *job) eachTask(f func(*task)) {
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				f(t)
			}
		}
	}
}

// markDone marks the task as done and updates the counts of its step, round and job.
func (t *task) markDone() {
	if t.state == taskDone {
		return
	}
	t.state = taskDone
	t.touch()
	st := t.step
	st.tasksLeft--
	if st.tasksLeft > 0 {
		return
	}
	st.dropParts()
	r := st.round
	r.stepsLeft--
	r.remainingValid = false
	if r.stepsLeft == 0 {
		st.job.roundsLeft--
		r.noteOver(st.job)
	}
}
