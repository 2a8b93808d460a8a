package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"chutereach/codec"
	"chutereach/config"
)

// AttemptID identifies one attempt to run a task. Its text form is "job/task/n".
type AttemptID struct {
	Job    ID
	Task   int
	Number int // attempt number, starting at 1
}

// String returns the text form of a, which the platform's workers use as identifier.
func (a AttemptID) String() string {
	return string(a.Job) + "/" + strconv.Itoa(a.Task) + "/" + strconv.Itoa(a.Number)
}

// AttemptError reports that a text is not a valid attempt ID.
type AttemptError struct{ Text string }

func (e *AttemptError) Error() string {
	return fmt.Sprintf("invalid attempt ID %q: expected job/task/n", e.Text)
}

// ParseAttempt parses the text form of an AttemptID.
func ParseAttempt(text string) (AttemptID, error) {
	id, rest, _ := strings.Cut(text, "/")
	task, n, _ := strings.Cut(rest, "/")
	index, err := strconv.Atoi(task)
	number, numberErr := strconv.Atoi(n)
	if err != nil || numberErr != nil || !ID(id).Valid() || index < 0 || number < 1 {
		return AttemptID{}, &AttemptError{text}
	}
	return AttemptID{ID(id), index, number}, nil
}

// State is the state of a task.
type State string

// States of a task. A waiting task that has a grant in a worker's ledger is running or
// about to start.
const (
	Waiting State = "waiting"
	Running State = "running" // only reported, never stored
	Done    State = "done"
	Failed  State = "failed"  // failed and will not be started again
	Unknown State = "unknown" // may have run and must not be repeated; an operator has to settle it
	Stopped State = "stopped"
)

// Final reports whether a task in state s will not run again.
func (s State) Final() bool { return s == Done || s == Failed || s == Stopped }

// Task is the stored state of one task of a job.
type Task struct {
	Job        ID        `json:"job" cbor:"1,keyasint"`
	Index      int       `json:"index" cbor:"2,keyasint"`
	State      State     `json:"state" cbor:"3,keyasint"`
	Attempts   int       `json:"attempts" cbor:"4,keyasint"`                     // number of the last attempt
	Failures   int       `json:"failures,omitempty" cbor:"5,keyasint,omitempty"` // number of failed attempts
	Result     []byte    `json:"result,omitempty" cbor:"6,keyasint,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty" cbor:"7,keyasint,omitempty"`
	Worker     string    `json:"worker,omitempty" cbor:"8,keyasint,omitempty"` // worker of the last attempt
	Changed    time.Time `json:"changed" cbor:"9,keyasint"`
	// Reboots counts consecutive attempts whose worker rebooted soon after the start.
	Reboots int `json:"reboots,omitempty" cbor:"10,keyasint,omitempty"`
}

// NewTask returns a task that has not been started.
func NewTask(j Job, index int) Task {
	return Task{Job: j.ID, Index: index, State: Waiting, Changed: j.Created}
}

// Next returns the ID of the next attempt.
func (t Task) Next() AttemptID { return AttemptID{t.Job, t.Index, t.Attempts + 1} }

// WithStart returns t after attempt n was started on worker.
func (t Task) WithStart(n int, worker string, now time.Time) Task {
	t.Attempts, t.Worker, t.Changed = max(t.Attempts, n), worker, now
	return t
}

// WithoutStart returns t after its last attempt turned out not to have started. The caller
// must be certain of that. The attempt's number is not reused.
func (t Task) WithoutStart(now time.Time) Task {
	t.State, t.Changed = Waiting, now
	return t
}

// WithEnd returns t after an attempt that ran to completion. Replicas of a service are
// always started again. Failed tasks are started again if the template allows repetition
// and attempts are left.
func (t Task) WithEnd(tmpl config.Template, ok bool, result []byte, now time.Time) Task {
	t.Result, t.Changed = result, now
	t.Reboots = 0 // the worker did not reboot during the attempt
	if !ok {
		t.Failures++
	}
	switch {
	case tmpl.Form == config.FormService:
		t.State = Waiting
	case ok:
		t.State = Done
	case tmpl.Repeat == config.RepeatNever || t.Failures >= tmpl.Attempts:
		t.State = Failed
	default:
		t.State = Waiting
	}
	return t
}

// WithLoss returns t after an attempt that is certainly no longer running but whose
// outcome is unknown.
func (t Task) WithLoss(tmpl config.Template, checkpoint string, now time.Time) Task {
	t.Changed = now
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	switch {
	case tmpl.Repeat == config.RepeatAlways:
		t.State = Waiting
	case tmpl.Repeat == config.RepeatCheckpoint && t.Checkpoint != "":
		t.State = Waiting
	default:
		t.State = Unknown
	}
	return t
}

// maxConsecutiveReboots is the value of Task.Reboots at which a task fails. It limits the harm
// done by a task that crashes its workers and everything that runs on them.
const maxConsecutiveReboots = 3

// WithReboot returns t after an attempt whose worker rebooted. The attempt counts as lost. soon
// reports whether this was so soon after the start that the attempt probably caused it. A task fails
// after maxConsecutiveReboots of that kind unless it is the replica of a service.
func (t Task) WithReboot(tmpl config.Template, soon bool, now time.Time) Task {
	reboots := t.Reboots + 1
	if !soon {
		reboots = 0
	}
	t = t.WithLoss(tmpl, "", now)
	t.Reboots = reboots
	if t.State == Waiting && reboots >= maxConsecutiveReboots && tmpl.Form != config.FormService {
		t.State = Failed
	}
	return t
}

// WithStopped returns t in state Stopped.
func (t Task) WithStopped(now time.Time) Task {
	t.State, t.Changed = Stopped, now
	return t
}

// SettleError reports that a task cannot be settled because its state is not Unknown.
type SettleError struct{ State State }

func (e *SettleError) Error() string {
	return fmt.Sprintf("task is %s; only an unknown one can be settled", e.State)
}

// WithSettled returns an unknown task in the state that an operator determined: Done,
// Failed, or Waiting to start it again.
func (t Task) WithSettled(s State, now time.Time) (Task, error) {
	if t.State != Unknown {
		return t, &SettleError{t.State}
	}
	t.State, t.Changed = s, now
	return t, nil
}

// Key returns the table key of t.
func (t Task) Key() string {
	return TaskPrefix(t.Job.Unit()) + string(t.Job) + "/" + strconv.Itoa(t.Index)
}

// TaskPrefix returns the key prefix of the tasks of a unit.
func TaskPrefix(unit string) string { return "task/" + unit + "/" }

// JobTaskPrefix returns the key prefix of the tasks of a job.
func JobTaskPrefix(id ID) string { return TaskPrefix(id.Unit()) + string(id) + "/" }

// Encode returns the table row of t.
func (t Task) Encode() []byte { return codec.MustMarshal(t) }

// DecodeTask decodes the table row of a task.
func DecodeTask(row []byte) (Task, error) {
	var t Task
	err := codec.Unmarshal(row, &t)
	return t, err
}
