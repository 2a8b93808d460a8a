package reliability_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutereach/reliability"
)

// after returns the record of a worker after ends at moments: a letter each, d for done, f for
// a failure of another job each time, s for one of the same job, x for one that is forgiven,
// and a dot for a tenth of a second.
func after(ends string) (reliability.Record, time.Time) {
	var r reliability.Record
	now := time.Unix(1000, 0)
	for i, end := range ends {
		switch end {
		case 'd':
			r = r.WithDone()
		case 'f':
			r = r.WithFailed(fmt.Sprint(i), now)
		case 's':
			r = r.WithFailed("same", now)
		case 'x':
			r = r.WithForgiven()
		case '.':
			now = now.Add(100 * time.Millisecond)
		}
	}
	return r, now
}

func TestStanding(t *testing.T) {
	const second = ".........."
	cases := []struct {
		ends string
		want reliability.Standing
	}{
		{"", reliability.Sound},
		{"d", reliability.Sound},
		{"f", reliability.Doubtful},
		{"f" + second, reliability.Sound},
		{"fd", reliability.Sound},
		{"fx", reliability.Sound},
		{"ff", reliability.Quarantined},
		{"ffx", reliability.Doubtful},
		{"ff" + second, reliability.Probing},
		{"ff" + second + "f" + second, reliability.Quarantined},
		{"ff" + second + "f" + second + second, reliability.Probing},
		{"fff" + second + "d", reliability.Doubtful},
		{"ff" + second + second + second + "d", reliability.Sound},
		{"ss", reliability.Doubtful},
		{"sss" + second, reliability.Sound},
		{"fdfdfd", reliability.Doubtful},
	}
	for _, test := range cases {
		t.Run(test.ends, func(t *testing.T) {
			r, now := after(test.ends)
			if got := r.Standing(now); got != test.want {
				t.Errorf("standing %d, want %d (share %.2f)", got, test.want, r.Share(now))
			}
		})
	}
}

func TestWhatAStandingTakes(t *testing.T) {
	plain, precious, beside := reliability.Work{}, reliability.Work{Precious: true}, reliability.Work{Beside: 1}
	cases := []struct {
		standing                reliability.Standing
		plain, precious, beside bool
	}{
		{reliability.Sound, true, true, true},
		{reliability.Doubtful, true, false, true},
		{reliability.Probing, true, false, false},
		{reliability.Quarantined, false, false, false},
	}
	for _, test := range cases {
		got := [3]bool{test.standing.Takes(plain), test.standing.Takes(precious), test.standing.Takes(beside)}
		if want := [3]bool{test.plain, test.precious, test.beside}; got != want {
			t.Errorf("standing %d takes %v, want %v", test.standing, got, want)
		}
	}
}

// Whatever happened, a worker is tried again within the longest pause, and relied on again
// after enough time without failures and one success.
func TestNoWorkerIsGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.StringMatching(`[dfsx.]{0,60}`).Draw(t, "ends")
		r, now := after(ends)
		if s := r.Standing(now.Add(4 * time.Second)); s == reliability.Quarantined {
			t.Fatalf("after %q it is in quarantine 4 s later", ends)
		}
		if s := r.WithDone().Standing(now.Add(20 * time.Second)); s != reliability.Sound {
			t.Fatalf("after %q, a success and 20 s it is %d", ends, s)
		}
	})
}

// The load of a day on which one worker in twenty fails all it is given within 50 ms, and is
// the one with room: how many attempts it takes in seven seconds.
func TestAFailingWorkerOnAFullFleet(t *testing.T) {
	const most = 8 // with penalties alone 50 and more were seen
	var r reliability.Record
	now, taken := time.Unix(1000, 0), 0
	for end := now.Add(7 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if r.Standing(now).Takes(reliability.Work{}) {
			r = r.WithFailed(fmt.Sprint(taken), now)
			taken++
		}
	}
	if taken > most {
		t.Errorf("it failed %d attempts, want %d at most", taken, most)
	}
}
