package cell

import (
	"errors"
	"testing"

	"chutereach/hall"
	"chutereach/job"
)

// A unit of this very box may not have taken a job from its inbox yet. Its word is then the
// same as a peer's: the job is looked for in the table, and its caller gets no 500.
func TestAnOwnersWordThatThereIsNoJob(t *testing.T) {
	want := &hall.JobNotFoundError{ID: job.NewID("h")}
	var got *hall.JobNotFoundError
	if err := error(noJob{want}); !errors.As(err, &got) || got != want {
		t.Errorf("%v is not found to be a NoJobError", err)
	}
}
