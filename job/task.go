package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"chutereach/codec"
	"chutereach/config"
)

// AttemptID names one attempt to run a task. Its text form is "job/task/n".
type AttemptID struct {
	Job  ID
	Task int
	N    int // 1 for the first
}

// String writes a as the platform's workers know it.
func (a AttemptID) String() string {
	return string(a.Job) + "/" + strconv.Itoa(a.Task) + "/" + strconv.Itoa(a.N)
}

// AttemptError says that a text names no attempt.
type AttemptError struct{ Text string }

func (e *AttemptError) Error() string { return fmt.Sprintf("%q names no attempt", e.Text) }

// ParseAttempt reads what String wrote.
func ParseAttempt(text string) (AttemptID, error) {
	id, rest, _ := strings.Cut(text, "/")
	task, n, _ := strings.Cut(rest, "/")
	i, err := strconv.Atoi(task)
	k, errN := strconv.Atoi(n)
	if err != nil || errN != nil || !ID(id).Valid() || i < 0 || k < 1 {
		return AttemptID{}, &AttemptError{text}
	}
	return AttemptID{ID(id), i, k}, nil
}

// State is what is recorded of a task.
type State string

// The states of a task. Waiting and running are told apart by the ledgers: a
// task with a grant in a worker's ledger runs, or is about to.
const (
	Waiting State = "waiting"
	Running State = "running" // never recorded; reported to people
	Done    State = "done"
	Failed  State = "failed"  // it ended badly as often as the template allows
	Unknown State = "unknown" // it may have run, and may not be repeated; an operator settles it
	Stopped State = "stopped"
)

// Final reports whether a task in state s runs no more.
func (s State) Final() bool { return s == Done || s == Failed || s == Stopped }

// Task is what is recorded of one task of a job.
type Task struct {
	Job        ID        `json:"job" cbor:"1,keyasint"`
	Index      int       `json:"index" cbor:"2,keyasint"`
	State      State     `json:"state" cbor:"3,keyasint"`
	Attempts   int       `json:"attempts" cbor:"4,keyasint"`                     // made so far
	Failures   int       `json:"failures,omitempty" cbor:"5,keyasint,omitempty"` // ended badly so far
	Result     []byte    `json:"result,omitempty" cbor:"6,keyasint,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty" cbor:"7,keyasint,omitempty"`
	Worker     string    `json:"worker,omitempty" cbor:"8,keyasint,omitempty"` // of the last attempt
	Changed    time.Time `json:"changed" cbor:"9,keyasint"`
	// Reboots counts the workers in a row that have rebooted soon after a start.
	Reboots int `json:"reboots,omitempty" cbor:"10,keyasint,omitempty"`
}

// NewTask returns a task that was not started yet.
func NewTask(j Job, index int) Task {
	return Task{Job: j.ID, Index: index, State: Waiting, Changed: j.Created}
}

// Next returns the id of the attempt that comes after those made.
func (t Task) Next() AttemptID { return AttemptID{t.Job, t.Index, t.Attempts + 1} }

// WithStart returns t with attempt n made on worker.
func (t Task) WithStart(n int, worker string, now time.Time) Task {
	t.Attempts, t.Worker, t.Changed = max(t.Attempts, n), worker, now
	return t
}

// WithoutStart returns t as if its last attempt had not been made, which the
// caller has proved. The attempt's number is not used again.
func (t Task) WithoutStart(now time.Time) Task {
	t.State, t.Changed = Waiting, now
	return t
}

// WithEnd returns t after an attempt that ran to its end. A service's replica
// that ends is started again, and so is a task that failed, as often as the
// template allows and only if it may be repeated at all.
func (t Task) WithEnd(tm config.Template, ok bool, result []byte, now time.Time) Task {
	t.Result, t.Changed = result, now
	t.Reboots = 0 // its worker has outlived it
	if !ok {
		t.Failures++
	}
	switch {
	case tm.Form == config.FormService:
		t.State = Waiting
	case ok:
		t.State = Done
	case tm.Repeat == config.RepeatNever || t.Failures >= tm.Attempts:
		t.State = Failed
	default:
		t.State = Waiting
	}
	return t
}

// WithLoss returns t after an attempt of which it is not known how far it went,
// but which surely runs no more.
func (t Task) WithLoss(tm config.Template, checkpoint string, now time.Time) Task {
	t.Changed = now
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	switch {
	case tm.Repeat == config.RepeatAlways:
		t.State = Waiting
	case tm.Repeat == config.RepeatCheckpoint && t.Checkpoint != "":
		t.State = Waiting
	default:
		t.State = Unknown
	}
	return t
}

const (
	// mostReboots is how many workers in a row may reboot soon after a task was started
	// there. A task that makes them reboot takes all that runs there along: without a
	// bound it was started for as long as it was kept.
	mostReboots = 3
	// rebootSoon is how soon after a start a reboot counts. It includes the time that the
	// worker is away.
	rebootSoon = 2 * time.Minute
)

// WithReboot returns t after an attempt of which the worker has rebooted. It is as good as
// lost, and after some in a row the task has failed. A service's replica is started again
// all the same, after pauses that grow.
func (t Task) WithReboot(tm config.Template, now time.Time) Task {
	reboots := t.Reboots + 1
	if now.Sub(t.Changed) > rebootSoon {
		reboots = 0
	}
	t = t.WithLoss(tm, "", now)
	t.Reboots = reboots
	if t.State == Waiting && reboots >= mostReboots && tm.Form != config.FormService {
		t.State = Failed
	}
	return t
}

// WithStopped returns t as one that shall run no more.
func (t Task) WithStopped(now time.Time) Task {
	t.State, t.Changed = Stopped, now
	return t
}

// SettleError says that a task does not wait for an operator's word.
type SettleError struct{ State State }

func (e *SettleError) Error() string {
	return fmt.Sprintf("the task is %s; only an unknown one can be settled", e.State)
}

// WithSettled returns an unknown task in the state that an operator found it
// to be in: Done, Failed, or Waiting to have it started again.
func (t Task) WithSettled(s State, now time.Time) (Task, error) {
	if t.State != Unknown {
		return t, &SettleError{t.State}
	}
	t.State, t.Changed = s, now
	return t, nil
}

// Key returns the key of t's row.
func (t Task) Key() string {
	return TaskPrefix(t.Job.Unit()) + string(t.Job) + "/" + strconv.Itoa(t.Index)
}

// TaskPrefix returns what the keys of a unit's tasks begin with.
func TaskPrefix(unit string) string { return "task/" + unit + "/" }

// TasksOf returns what the keys of a job's tasks begin with.
func TasksOf(id ID) string { return TaskPrefix(id.Unit()) + string(id) + "/" }

// Encode returns t as the table keeps it.
func (t Task) Encode() []byte { return codec.MustMarshal(t) }

// DecodeTask reads a task's row.
func DecodeTask(row []byte) (Task, error) {
	var t Task
	err := codec.Unmarshal(row, &t)
	return t, err
}
