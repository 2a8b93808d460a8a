package workload

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job   string
	Round int
	Step  int
	Index int
}

// String returns the ID in the form JOB.ROUND.STEP.INDEX that is sent to workers.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the step in the form JOB.ROUND.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// TaskIDError reports a string that is not a valid task ID.
type TaskIDError struct{ Text string }

func (e *TaskIDError) Error() string {
	return fmt.Sprintf("invalid task ID %q: want JOB.ROUND.STEP.INDEX", e.Text)
}

// ParseTaskID parses the form returned by TaskID.String. It returns a TaskIDError if text is
// malformed.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, &TaskIDError{text}
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, &TaskIDError{text}
		}
		numbers[i] = number
	}
	return TaskID{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}
