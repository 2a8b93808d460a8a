package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a large gang whose tickets are never all valid at once: a gang that claims capacity renews them
// together, before the first ones expire during the call, and also while there is too little capacity.
func TestGangRenewsTicketsTogether(t *testing.T) {
	const workers, valid = 60, 2 * time.Second
	renewal := 200*time.Millisecond + maxWorkersPerCall*time.Millisecond + ticketMargin // of the fixture's policy
	cases := []struct {
		name          string
		tasks         int
		claims        bool
		first, second time.Duration // how long the tickets of each half are still valid
		asked         int
	}{
		{"half are expired", 40, true, valid, 0, workers},
		{"half expire during the call", 40, true, valid, renewal - time.Millisecond, workers},
		{"all expire during the call", 40, true, renewal / 2, renewal / 2, workers},
		{"all outlast the call", 40, true, renewal, renewal, 0},
		{"the valid ones suffice", 20, true, valid, 0, 0},
		{"too little capacity", 80, true, valid, 0, workers},
		{"too little capacity, without claims", 80, false, valid, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newRoomFixture(t, repeat(workers, 20_000)...) // one slot of 9 CPUs is free on each worker, of three
			f.load.BoundedGangRoom = false
			for i := range maxClaimants {
				if other := f.candidate(fmt.Sprint("other-", i), 1, 1, 9000, true); !test.claims {
					f.advise(other, f.workers[i:i+1], nil)
					f.pass.claimWorkersFor(other)
				}
			}
			gang := f.candidate("gang", 1, test.tasks, 9000, true)
			f.advise(gang, f.workers, nil)
			for i, ticket := range gang.step.advice.tickets {
				ticket.expires = f.pass.now.Add(map[bool]time.Duration{true: test.first, false: test.second}[i < workers/2] + time.Microsecond)
			}
			f.pass.claimWorkersFor(gang)
			assertQueried(t, f.workersToAsk(f.pass, gang), test.asked, test.asked, func(*worker) bool { return true })
		})
	}
}
