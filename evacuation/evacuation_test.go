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
			t.Errorf("age %v, known %v, want at least 1s, true", age, known)
		}
		if halls := view.Halls(); len(halls) != 2 || !view.Contains("north") || !view.Contains("south") || view.Contains("nort") {
			t.Errorf("halls %v, want north and south", halls)
		}
	})
	var zero evacuation.View
	if _, known := zero.Age(clock.Now()); known || zero.Contains("") || !zero.Empty() {
		t.Error("the zero View has an age or halls, want neither")
	}
}

// A newer view is never replaced by an older version or an earlier time.
func TestNewestKeepsNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier := clock.Now()
		time.Sleep(time.Second)
		later := clock.Now()
		var newest evacuation.Newest
		for _, offer := range []struct {
			name    string
			view    evacuation.View
			changed bool
			version uint64
		}{
			{"first view", evacuation.NewView([]string{"north"}, 5, earlier), true, 5},
			{"older version", evacuation.NewView(nil, 4, later), false, 5},
			{"same version, read again", evacuation.NewView([]string{"north"}, 5, later), false, 5},
			{"newer version, same halls", evacuation.NewView([]string{"north"}, 6, later), false, 6},
			{"newer version", evacuation.NewView(nil, 9, later), true, 9},
		} {
			if _, changed := newest.Offer(offer.view); changed != offer.changed || newest.Current().Version() != offer.version {
				t.Errorf("%s: changed %v, current version %d", offer.name, changed, newest.Current().Version())
			}
		}
		newest.Offer(evacuation.NewView(nil, 9, earlier))
		newest.Offer(evacuation.NewView(nil, 10, earlier))
		if newest.Current().Version() != 10 {
			t.Errorf("current version %d, want 10", newest.Current().Version())
		}
		// The time of suspension is the difference of two real clocks, also in a synctest bubble,
		// and varies slightly between calls.
		if age, _ := newest.Current().Age(clock.Now()); age > later.Sub(earlier)/2 {
			t.Errorf("age %v after an offer with an earlier time, want about 0", age)
		}
	})
}
