package scheduler

import (
	"testing"
	"time"

	"chutereach/sizeclass"
	"chutereach/urgency"
	"chutereach/workload"
)

// Guards against large gangs that starve once they are late, and against promoting other late work, or so many
// gangs or so early that work in time is late for them.
func TestLateGangsArePromoted(t *testing.T) {
	const (
		objective = 10 * time.Second
		work      = time.Second
		// after the deadline
		overdue, tooLate = 5 * time.Second, (urgency.ExpiryFactor-1)*objective - work/2
	)
	gang := func(class sizeclass.Class) *job { return &job{record: workload.Record{Size: class}} }
	several := []*job{
		gang(sizeclass.Largest), gang(sizeclass.Large), gang(sizeclass.Large), gang(sizeclass.Large), gang(sizeclass.Large), gang(sizeclass.Large),
	}
	cases := []struct {
		name       string
		late       []*job
		priority   int
		overloaded bool
		lateBy     time.Duration
		promoted   int
	}{
		{"one", []*job{gang(sizeclass.Largest)}, 1, false, overdue, 1},
		{"of unknown size", []*job{gang(sizeclass.Unknown)}, 1, false, overdue, 1},
		{"several", several, 1, false, overdue, maxPromoted},
		{"several under overload", several, 1, true, overdue, maxPromotedUnderOverload},
		{"just late", []*job{gang(sizeclass.Largest)}, 1, false, time.Second, 0},
		{"just late under overload", several, 1, true, time.Second, 0},
		{"that would be completed too late", []*job{gang(sizeclass.Largest)}, 1, false, tooLate, 0},
		{"of usual size", []*job{gang(sizeclass.Usual)}, 1, false, overdue, 0},
		{"over its account's share", []*job{{record: workload.Record{Size: sizeclass.Largest}, overShare: true}}, 1, false, overdue, 0},
		{"batches", []*job{gang(sizeclass.Largest)}, 2, false, overdue, 0},
		{"expired", []*job{gang(sizeclass.Largest)}, 1, false, time.Minute, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := newOverloadReplay(t, true, 4)
			r.pass()
			if test.overloaded {
				r.add(2, 200, 16_000, 2*time.Second, 0)
				r.overload(t)
			}
			inTime := r.add(1, 2, 1000, time.Second, 0)
			inTime.deadline = r.now.Add(2 * time.Second)
			for _, like := range test.late {
				j := r.add(test.priority, 10, 1000, work, 0)
				j.record.Size, j.overShare = like.record.Size, like.overShare
				j.arrived, j.deadline = r.now.Add(-objective-test.lateBy), r.now.Add(-test.lateBy)
			}
			promoted := 0
			list := r.candidates(r.now)
			for _, c := range list {
				if c.urgency.Promoted {
					promoted++
				}
			}
			if promoted != test.promoted {
				t.Errorf("%d gangs are promoted, want %d", promoted, test.promoted)
			}
			if first := list[0].urgency; test.promoted > 0 && (!first.Promoted || first.Rank != urgency.InTime || !first.MayPreempt) {
				t.Errorf("the first step is %+v, want a promoted gang that may preempt", first)
			}
		})
	}
}

// Guards against overdue gangs that find no room, with either policy for the room of gangs.
func TestPromotedGangGetsRoom(t *testing.T) {
	const objective, work = 10 * time.Second, time.Second
	for name, bounded := range map[string]bool{"all": false, "needed": true} {
		t.Run(name, func(t *testing.T) {
			r := newOverloadReplay(t, false, 4)
			r.load.BoundedGangRoom = bounded
			var gang *job
			for pass := range 240 {
				if pass%2 == 0 {
					r.add(2, 1, 9000, work, 0)
				}
				if pass == 80 {
					gang = r.add(1, 4, 18_000, work, 0)
					gang.record.Size = sizeclass.Largest
					expiry := r.now.Add(4 * time.Second)
					gang.arrived = expiry.Add(-urgency.ExpiryFactor * objective)
					gang.deadline = gang.arrived.Add(objective)
				}
				r.pass()
			}
			if gang.roundsLeft > 0 {
				t.Error("the gang is not done before its completion has no value")
			}
		})
	}
}
