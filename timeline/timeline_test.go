package timeline

import (
	"testing"
	"testing/synctest"
	"time"
)

// An effect stands behind its cause even if the box that saw the cause has a
// clock that is behind.
func TestEffectStandsBehindItsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := &Clock{}, &Clock{}
		ahead.Seen(Stamp{Wall: time.Now().Add(time.Minute).UnixNano()}) // a clock that is a minute fast
		causes, effects := NewRing("ahead", ahead, 10), NewRing("behind", behind, 10)
		causes.Add(Event{Kind: TaskPlaced})
		behind.Seen(ahead.Now()) // the message that brings the cause
		effects.Add(Event{Kind: TaskStarted})
		got := Merge(effects.Read(Filter{}), causes.Read(Filter{})).Events
		if len(got) != 2 || got[0].Kind != TaskPlaced || got[1].Kind != TaskStarted {
			t.Errorf("order = %+v", got)
		}
	})
}

func TestRingDropsTheOldestAndSaysSo(t *testing.T) {
	r := NewRing("box", &Clock{}, 3)
	for _, job := range []string{"a", "b", "c", "d", "e"} {
		r.Add(Event{Kind: JobAccepted, Job: job})
	}
	p := r.Read(Filter{})
	if len(p.Events) != 3 || p.Events[0].Job != "c" || p.Events[2].Job != "e" || p.Dropped != 2 {
		t.Errorf("page = %+v", p)
	}
	if p = r.Read(Filter{Job: "d"}); len(p.Events) != 1 {
		t.Errorf("filtered = %+v", p)
	}
	if p = r.Read(Filter{After: p.Events[0].Stamp}); len(p.Events) != 1 || p.Events[0].Job != "e" {
		t.Errorf("after d = %+v", p)
	}
}
