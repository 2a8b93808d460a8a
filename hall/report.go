package hall

import (
	"cmp"
	"slices"
	"time"

	"chutereach/job"
	"chutereach/resource"
)

// Summary describes a unit to other boxes and to operators.
type Summary struct {
	Unit     string          `json:"unit" cbor:"1,keyasint"`
	Epoch    uint64          `json:"epoch" cbor:"2,keyasint"`
	Ready    bool            `json:"ready" cbor:"3,keyasint"`
	Workers  int             `json:"workers" cbor:"4,keyasint"`
	Capacity resource.Amount `json:"capacity" cbor:"5,keyasint"`
	Used     resource.Amount `json:"used" cbor:"6,keyasint"`
	// MaxPerWorker is the maximum of each resource over the workers. The maxima need not
	// come from the same worker.
	MaxPerWorker resource.Amount `json:"largest" cbor:"7,keyasint"`
	Jobs         int             `json:"jobs" cbor:"8,keyasint"`
	Waiting      int             `json:"waiting" cbor:"9,keyasint"` // tasks
	Running      int             `json:"running" cbor:"10,keyasint"`
	Unknown      int             `json:"unknown" cbor:"11,keyasint"`
	Placed       int64           `json:"placed" cbor:"12,keyasint"`
	Commits      int64           `json:"commits" cbor:"13,keyasint"`
	Rows         int64           `json:"rows" cbor:"14,keyasint"`
	Waits        []WaitSummary   `json:"waits" cbor:"15,keyasint"`
}

// maxSummaryAge is how long a summary is cached, since computing one iterates over
// all tasks.
const maxSummaryAge = 250 * time.Millisecond

// Summary returns a summary of the unit that is at most maxSummaryAge old.
func (u *Unit) Summary() Summary {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.summaryTime) > maxSummaryAge {
		u.summary, u.summaryTime = u.computeSummary(), time.Now()
	}
	return u.summary
}

func (u *Unit) computeSummary() Summary {
	s := Summary{
		Unit: u.assignment.Unit, Epoch: u.assignment.Epoch, Ready: u.isLoaded(), Workers: len(u.workers), Capacity: u.capacity,
		Jobs: len(u.jobs), Placed: u.Stats.Placed, Commits: u.Stats.Commits, Rows: u.Stats.Rows,
		Waits: u.Stats.Waits.summary(),
	}
	for _, w := range u.workers {
		s.Used = s.Used.Plus(w.ledger.Used())
		c := w.ledger.Worker().Capacity
		s.MaxPerWorker.CPU = max(s.MaxPerWorker.CPU, c.CPU)
		s.MaxPerWorker.Memory = max(s.MaxPerWorker.Memory, c.Memory)
		s.MaxPerWorker.Accelerators = max(s.MaxPerWorker.Accelerators, c.Accelerators)
	}
	for _, j := range u.jobs {
		s.Waiting += len(j.waiting)
		for _, t := range j.tasks {
			if t.phase == running {
				s.Running++
			}
			if t.task.State == job.Unknown {
				s.Unknown++
			}
		}
	}
	return s
}

// JobStatus is a job with the state of its tasks.
type JobStatus struct {
	Job    job.Job           `json:"job" cbor:"1,keyasint"`
	Counts map[job.State]int `json:"counts" cbor:"2,keyasint"`
	Tasks  []job.Task        `json:"tasks,omitempty" cbor:"3,keyasint,omitempty"`
	Ended  time.Time         `json:"ended,omitzero" cbor:"4,keyasint,omitempty"`
}

// Final reports whether all tasks of the job are final.
func (s JobStatus) Final() bool { return !s.Ended.IsZero() }

// newJobStatus returns the status of j, with its tasks if tasks is set. Tasks with a
// running attempt are shown in state running, which is never stored.
func newJobStatus(j *jobState, tasks bool) JobStatus {
	s := JobStatus{Job: j.job, Counts: map[job.State]int{}, Ended: j.endedAt}
	for _, t := range j.tasks {
		shown := t.task
		if t.phase == running || t.phase == stopping {
			shown.State = job.Running
		}
		s.Counts[shown.State]++
		if tasks {
			s.Tasks = append(s.Tasks, shown)
		}
	}
	return s
}

// Job returns the status of one job, with its tasks.
func (u *Unit) Job(id job.ID) (JobStatus, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	return newJobStatus(j, true), true
}

// Jobs returns the statuses, without tasks, of an account's jobs, or of all jobs if
// account is empty, sorted by ID.
func (u *Unit) Jobs(account string) []JobStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []JobStatus
	for _, j := range u.jobs {
		if account == "" || account == j.job.Account {
			all = append(all, newJobStatus(j, false))
		}
	}
	slices.SortFunc(all, func(a, b JobStatus) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return all
}

// WorkerStatus describes a worker from the point of view of the unit's owner.
type WorkerStatus struct {
	Name     string          `json:"name" cbor:"1,keyasint"`
	Hall     string          `json:"hall" cbor:"2,keyasint"`
	Rack     string          `json:"rack" cbor:"3,keyasint"`
	Unit     string          `json:"unit" cbor:"4,keyasint"`
	Capacity resource.Amount `json:"capacity" cbor:"5,keyasint"`
	Granted  resource.Amount `json:"granted" cbor:"6,keyasint"`
	Usage    resource.Amount `json:"usage" cbor:"7,keyasint"` // from the last report
	Tasks    int             `json:"tasks" cbor:"8,keyasint"`
	State    WorkerState     `json:"state" cbor:"9,keyasint"`
}

// WorkerState says whether a worker is available for new tasks, and if not, why.
type WorkerState string

// States of a worker.
const (
	WorkerAvailable    WorkerState = "open"
	WorkerUnresponsive WorkerState = "silent"
	WorkerDrained      WorkerState = "drained"
	WorkerUnlisted     WorkerState = "gone"
)

// Workers returns the status of the unit's workers, sorted by name.
func (u *Unit) Workers() []WorkerStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []WorkerStatus
	for _, w := range u.workers {
		info := w.ledger.Worker()
		all = append(all, WorkerStatus{
			Name: info.Name, Hall: info.Hall, Rack: info.Rack, Unit: u.assignment.Unit, Capacity: info.Capacity,
			Granted: w.ledger.Used(), Usage: w.usage, Tasks: len(w.tasks), State: u.workerStateOf(w),
		})
	}
	slices.SortFunc(all, func(a, b WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (u *Unit) workerStateOf(w *workerState) WorkerState {
	switch {
	case w.unlisted:
		return WorkerUnlisted
	case !w.unresponsiveSince.IsZero():
		return WorkerUnresponsive
	case u.drained(w):
		return WorkerDrained
	}
	return WorkerAvailable
}
