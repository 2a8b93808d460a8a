package timeline

import (
	"testing"
	"testing/synctest"
	"time"
)

// Merge must place an effect after its cause even if the clock of the box that
// recorded the effect is slow.
func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fast, slow := &Clock{}, &Clock{}
		fast.Update(Stamp{Wall: time.Now().Add(time.Minute).UnixNano()}) // one minute fast
		causes, effects := NewRing("fast", fast, 10), NewRing("slow", slow, 10)
		causes.Add(Event{Kind: TaskPlaced})
		slow.Update(fast.Now()) // timestamp of the message that carries the cause
		effects.Add(Event{Kind: TaskStarted})
		got := Merge(effects.Read(Filter{}), causes.Read(Filter{})).Events
		if len(got) != 2 || got[0].Kind != TaskPlaced || got[1].Kind != TaskStarted {
			t.Errorf("Merge() = %+v, want TaskPlaced before TaskStarted", got)
		}
	})
}

func TestRingCountsDroppedEvents(t *testing.T) {
	r := NewRing("box", &Clock{}, 3)
	for _, job := range []string{"a", "b", "c", "d", "e"} {
		r.Add(Event{Kind: JobAccepted, Job: job})
	}
	p := r.Read(Filter{})
	if len(p.Events) != 3 || p.Events[0].Job != "c" || p.Events[2].Job != "e" || p.Dropped != 2 {
		t.Errorf("Read() = %+v, want jobs c to e and 2 dropped", p)
	}
	if p = r.Read(Filter{Job: "d"}); len(p.Events) != 1 {
		t.Errorf("Read() of job d = %+v, want 1 event", p)
	}
	if p = r.Read(Filter{After: p.Events[0].Stamp}); len(p.Events) != 1 || p.Events[0].Job != "e" {
		t.Errorf("Read() after job d = %+v, want job e only", p)
	}
}
