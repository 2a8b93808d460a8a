package workload

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID names a task of a job.
type TaskID struct {
	Job   string
	Round int
	Step  int
	Index int
}

// String writes the id as workers know it.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName writes the name of the task's step.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// TaskIDError says that a text names no task.
type TaskIDError struct{ Text string }

func (e *TaskIDError) Error() string { return fmt.Sprintf("%q names no task", e.Text) }

// ParseTaskID reads what String wrote.
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
