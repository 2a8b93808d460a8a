package hall

import (
	"testing"
	"testing/synctest"
	"time"
)

// A task that makes its worker reboot takes all that runs there along, each time. It is given
// up after three workers in a row; a task that a reboot ends now and then is not.
func TestATaskThatMakesItsWorkersReboot(t *testing.T) {
	cases := []struct {
		name  string
		every time.Duration
		want  string
		most  int64 // starts
	}{
		{"as soon as it has begun", 5 * time.Second, "failed:1", 3},
		{"each five minutes of work", 5 * time.Minute, "running:1", 9},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1)
				defer b.close()
				b.template("long", "sleep 1h", "always")
				u := b.own()
				time.Sleep(time.Second)
				id := b.submit("long", 1)
				for range 8 {
					time.Sleep(test.every)
					b.fleet.Reboot("w00")
				}
				time.Sleep(time.Second / 2)
				if got := b.counts(u, id); got != test.want {
					t.Errorf("the task is %s, want %s", got, test.want)
				}
				if got := u.begun(); got > test.most {
					t.Errorf("%d starts, want %d at most", got, test.most)
				}
			})
		})
	}
}
