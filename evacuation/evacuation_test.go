package evacuation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chutereach/clock"
	"chutereach/evacuation"
)

func TestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := evacuation.NewView([]string{"south", "north", "south"}, 7, clock.Now())
		time.Sleep(time.Second)
		if age, known := view.Age(clock.Now()); !known || age < time.Second {
			t.Errorf("age %v, %v", age, known)
		}
		if halls := view.Halls(); len(halls) != 2 || !view.Covers("north") || !view.Covers("south") || view.Covers("nort") {
			t.Errorf("halls %v", halls)
		}
	})
	var none evacuation.View
	if _, known := none.Age(clock.Now()); known || none.Covers("") || !none.Empty() {
		t.Error("the zero View knows something")
	}
}

// A view never gives way to an older one, whichever way that came.
func TestNewestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := clock.Now()
		time.Sleep(time.Second)
		late := clock.Now()
		var newest evacuation.Newest
		for _, offer := range []struct {
			name    string
			view    evacuation.View
			changed bool
			held    uint64
		}{
			{"the first", evacuation.NewView([]string{"north"}, 5, early), true, 5},
			{"an older version", evacuation.NewView(nil, 4, late), false, 5},
			{"the same, confirmed", evacuation.NewView([]string{"north"}, 5, late), false, 5},
			{"a newer version of the same halls", evacuation.NewView([]string{"north"}, 6, late), false, 6},
			{"a newer version", evacuation.NewView(nil, 9, late), true, 9},
		} {
			if _, changed := newest.Offer(offer.view); changed != offer.changed || newest.Current().Version() != offer.held {
				t.Errorf("%s: changed %v, version %d held", offer.name, changed, newest.Current().Version())
			}
		}
		newest.Offer(evacuation.NewView(nil, 9, early))
		newest.Offer(evacuation.NewView(nil, 10, early))
		if newest.Current().Version() != 10 {
			t.Errorf("version %d is held, want 10", newest.Current().Version())
		}
		// The time for which the machine was suspended comes of two readings of real clocks, which
		// differ by some 100 ns from call to call; the early time is a second ago.
		if age, _ := newest.Current().Age(clock.Now()); age > late.Sub(early)/2 {
			t.Errorf("a late answer made the view %v older", age)
		}
	})
}
