package cell

import (
	"errors"
	"testing"

	"chutereach/hall"
	"chutereach/job"
)

// A local unit that has not yet read a job from its inbox must report it missing in the same
// way as a remote one: the job is then read from the table instead of failing with status 500.
func TestLocalNoJobErrorUnwraps(t *testing.T) {
	want := &hall.JobNotFoundError{ID: job.NewID("h")}
	var got *hall.JobNotFoundError
	if err := error(codedNoJobError{want}); !errors.As(err, &got) || got != want {
		t.Errorf("%v is not found to be a NoJobError", err)
	}
}
