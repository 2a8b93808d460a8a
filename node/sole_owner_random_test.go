package node_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/proptest"
	"chutereach/rowstore/memory"
)

// proofRole is what happens to a node other than the owner before (prepare) and after (disturb) the owner is cut off.
// Either may be nil.
type proofRole struct {
	name             string
	withOwner        bool // the owner reaches the node after the cut, and the successor does not
	prepare, disturb func(*cell, *member)
	// comeBack, if not nil, is called once members that are lost since prepare have been removed.
	comeBack func(*cell, *member)
}

func refuseWrites(_ *cell, m *member) {
	m.storeCaller.SetFault(func(write bool) memory.Fault { return memory.Fault{Reject: write} })
}

func applyLate(_ *cell, m *member) {
	m.storeCaller.SetFault(func(write bool) memory.Fault {
		if write {
			return memory.Fault{ApplyDelay: 4 * time.Second}
		}
		return memory.Fault{}
	})
}

func stopAsPlanned(c *cell, m *member) { m.Stop(c.ctx) }

func restartAsPlanned(c *cell, m *member) {
	c.leave(m)
	c.start(m)
}

// inTurn returns a function that calls the given ones in turn.
func inTurn(calls ...func(*cell, *member)) func(*cell, *member) {
	return func(c *cell, m *member) {
		for _, call := range calls {
			call(c, m)
		}
	}
}

// removalRoles are the last of proofRoles.
var removalRoles = []proofRole{
	{"was removed", false, (*cell).stop, nil, func(*cell, *member) {}},
	{"was removed and came back", true, (*cell).stop, refuseWrites, (*cell).start},
	{"was removed and comes back with the successor", false, (*cell).stop, (*cell).start, func(*cell, *member) {}},
}

var proofRoles = append([]proofRole{
	{"stays with the owner", true, nil, refuseWrites, nil},
	{"stays with the successor", false, nil, nil, nil},
	{"stops slowly", true, nil, stopAsPlanned, nil},
	{"stops slowly before", true, stopAsPlanned, nil, nil},
	{"has left", false, (*cell).leave, nil, nil},
	{"was killed", false, (*cell).stop, nil, nil},
	{"leaves", true, nil, (*cell).leave, nil},
	{"is killed", true, nil, (*cell).stop, nil},
	{"has restarted", true, restartAsPlanned, refuseWrites, nil},
	{"has restarted without writing", true, inTurn(restartAsPlanned, refuseWrites), nil, nil},
	{"has restarted, and its mark comes late", true, inTurn(applyLate, restartAsPlanned, refuseWrites), nil, nil},
	{"restarts", true, nil, inTurn(restartAsPlanned, refuseWrites), nil},
	{"was killed and comes back with the successor", false, (*cell).stop, (*cell).start, nil},
}, removalRoles...)

// Guards against two owners that accept work with the proof: members leave, restart and come back before and while the owner
// is cut off from the store and some members, and its successor from others. No owner proves that it is the last one once a
// later owner accepts jobs.
func TestReplacedOwnerProvesNothing(t *testing.T) {
	var replaced, proofs int
	proptest.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(3, 12).Draw(r, "nodes")
		// Few kinds of roles at a time, so that many nodes share one.
		kinds := rapid.SliceOfN(rapid.IntRange(0, len(proofRoles)-len(removalRoles)-1), 1, 3).Draw(r, "kinds of roles")
		if rapid.IntRange(0, 9).Draw(r, "removals") == 7 { // removals take minutes
			kinds[0] = len(proofRoles) - 1 - rapid.IntRange(0, len(removalRoles)-1).Draw(r, "removal")
		}
		picks := rapid.SliceOfN(rapid.IntRange(0, len(kinds)), count-1, count-1).Draw(r, "roles")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1_000), 2*count, 2*count).Draw(r, "pauses in ms")
		runInCell(t, count, func(c *cell) {
			for _, w := range c.fleet.List() {
				c.fleet.Crash(w.ID) // workers would tell the former owner of its successor
			}
			former := c.owner()
			roles := map[*member]proofRole{}
			successor := c.nodeOtherThan(former)
			roles[successor] = proofRoles[1]
			var others []*member
			for _, m := range c.nodes {
				if m != former && m != successor {
					roles[m] = proofRoles[append(kinds, 0)[picks[len(others)]]]
					others = append(others, m)
				}
			}
			for i, m := range others {
				if prepare := roles[m].prepare; prepare != nil {
					prepare(c, m)
					time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				}
			}
			c.comeBack(others, roles)
			time.Sleep(time.Duration(10*pauses[count]) * time.Millisecond)
			if c.owner() != former {
				return
			}
			c.divide(former, roles)
			dividedAt := time.Now()
			disturbed := map[*member]bool{}
			for time.Since(dividedAt) < 8*time.Second {
				for i, m := range others {
					due := time.Duration(pauses[count+i]) * time.Millisecond
					if disturb := roles[m].disturb; disturb != nil && !disturbed[m] && time.Since(dividedAt) >= due {
						disturb(c, m)
						disturbed[m] = true
						break
					}
				}
				foundReplaced, proved := c.checkProofs()
				replaced, proofs = replaced+foundReplaced, proofs+proved
				time.Sleep(50 * time.Millisecond)
			}
		})
		if t.Failed() {
			r.FailNow()
		}
	})
	if replaced == 0 || proofs == 0 {
		t.Errorf("%d checks of a replaced owner, %d proofs of an owner; want some of each", replaced, proofs)
	}
	t.Logf("%d checks of a replaced owner beside one that accepts jobs, %d proofs of the last owner", replaced, proofs)
}

// comeBack lets the members whose role says so come back once lost ones have been removed.
func (c *cell) comeBack(members []*member, roles map[*member]proofRole) {
	waited := false
	for _, m := range members {
		if comeBack := roles[m].comeBack; comeBack != nil {
			if !waited {
				time.Sleep(removedAfter)
			}
			waited = true
			comeBack(c, m)
		}
	}
}

// divide cuts an owner off from the store and from the nodes on the successor's side, and these from the owner's.
func (c *cell) divide(owner *member, roles map[*member]proofRole) {
	owner.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
	withOwner := func(m *member) bool { return m == owner || roles[m].withOwner }
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if withOwner(a) != withOwner(b) {
				c.network.Partition(a.name, b.name)
			}
		}
	}
}

// checkProofs fails the test if an owner proves that it is the last one although a later owner accepts jobs. It returns the
// number of owners with a later owner that accepts jobs, and the number of other owners that proved to be the last one.
func (c *cell) checkProofs() (replaced, proofs int) {
	c.t.Helper()
	var accepting uint64
	for _, m := range c.nodes {
		accepting = max(accepting, m.AcceptingToken())
	}
	for _, m := range c.nodes {
		token := m.OwnedToken()
		if token == 0 || m.Stopped() {
			continue
		}
		err := m.ProveSoleOwner(c.ctx)
		switch {
		case token < accepting && err == nil:
			c.t.Errorf("%s proves with token %d that it is the last owner, beside one with token %d that accepts jobs", m.name, token, accepting)
		case token < accepting:
			replaced++
		case err == nil:
			proofs++
		}
	}
	return replaced, proofs
}
