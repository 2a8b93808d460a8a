package hall

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against more than three starts of a task that reboots its worker soon after each,
// since a reboot also ends the other tasks there. Occasional reboots must not fail a task.
func TestTaskRebootingItsWorker(t *testing.T) {
	cases := []struct {
		name      string
		interval  time.Duration
		want      string
		maxStarts int64
	}{
		{"shortly after each start", 5 * time.Second, "failed:1", 3},
		{"after five minutes of work", 5 * time.Minute, "running:1", 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 1)
				defer b.close()
				b.addTemplate("long", "sleep 1h", "always")
				u := b.startOwner()
				time.Sleep(time.Second)
				id := b.submit("long", 1)
				for range 8 {
					time.Sleep(tc.interval)
					b.fleet.Reboot("w00")
				}
				time.Sleep(time.Second / 2)
				if got := b.taskCounts(u, id); got != tc.want {
					t.Errorf("tasks by state: %s, want %s", got, tc.want)
				}
				if got := u.startedTasks(); got > tc.maxStarts {
					t.Errorf("task was started %d times, want at most %d", got, tc.maxStarts)
				}
			})
		})
	}
}

// Guards against failing sound tasks for reboots that have other causes: the workers of a cell reboot by
// turns, each every 40 s, so that most attempts end within two minutes.
func TestRebootsByTurnsFailNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 8
		b := newTestBench(t, workers)
		defer b.close()
		b.addTemplate("long", "sleep 1h", "always")
		u := b.startOwner()
		time.Sleep(time.Second)
		id := b.submit("long", 16)
		for i := range 8 * workers {
			time.Sleep(5 * time.Second)
			b.fleet.Reboot(fmt.Sprintf("w%02d", i%workers))
		}
		time.Sleep(time.Minute)
		if got := b.taskCounts(u, id); got != "running:16" {
			t.Errorf("tasks by state: %s, want running:16", got)
		}
	})
}
