package api

import (
	"errors"
	"testing"

	"chutereach/cell"
	"chutereach/hall"
	"chutereach/job"
	"chutereach/peer"
)

// Guards against an error that has another status if the unit's owner is another box: a call that may be repeated
// must not be answered with 500, nor one whose outcome is unknown with a status that denies it.
func TestFailuresOfOtherBoxesKeepTheirStatus(t *testing.T) {
	id := job.NewID("h")
	cause := errors.New("cause")
	for _, c := range []struct {
		code  peer.Code
		local error
	}{
		{cell.CodeNoJob, &hall.JobNotFoundError{ID: id}},
		{cell.CodeNoOwner, &cell.NoOwnerError{Unit: "h"}},
		{cell.CodeUnavailable, &hall.UnavailableError{Unit: "h", Cause: cause}},
		{cell.CodeUnconfirmed, &hall.UnconfirmedError{Job: id, Cause: cause}},
	} {
		t.Run(string(c.code), func(t *testing.T) {
			local, remote := mappingOf(c.local), mappingOf(&peer.Failure{Code: c.code})
			if remote.status != local.status || remote.code != local.code {
				t.Errorf("from another box: %d %s, from this box: %d %s", remote.status, remote.code, local.status, local.code)
			}
		})
	}
}
