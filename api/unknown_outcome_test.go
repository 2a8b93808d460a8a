package api_test

import (
	"errors"
	"fmt"
	"testing"

	"chutereach/client"
	"chutereach/commit"
	"chutereach/fleet"
	"chutereach/hall"
	"chutereach/peer"
	"chutereach/provider"
	"chutereach/rowstore"
	"chutereach/scheduler"
)

// Guards against a call that may have been carried out and is answered as one that was not: code that classifies
// errors must not find the cause of an unknown outcome, which may be an error that denies it.
func TestUnknownOutcomesHideTheirCause(t *testing.T) {
	cause := &provider.UnavailableError{Service: provider.TableService, Reason: "the cause of another error"}
	for _, err := range []error{
		&client.LostError{Cause: cause},
		&commit.UnknownOutcomeError{Cause: cause},
		&fleet.NoResponseError{Cause: cause},
		&hall.UnconfirmedError{Cause: cause},
		&peer.NoResponseError{Cause: cause},
		&provider.UnknownError{Cause: cause},
		&rowstore.UnknownOutcomeError{Cause: cause},
		&scheduler.UnconfirmedError{Cause: cause},
	} {
		t.Run(fmt.Sprintf("%T", err), func(t *testing.T) {
			var unavailable *provider.UnavailableError
			if errors.As(err, &unavailable) {
				t.Errorf("%v unwraps to its cause", err)
			}
			if provider.NotApplied(fmt.Errorf("call failed: %w", err)) {
				t.Errorf("%v counts as not applied", err)
			}
		})
	}
}
