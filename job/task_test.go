package job

import (
	"testing"
	"time"

	"chutereach/config"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func TestTaskTransitions(t *testing.T) {
	always := config.Template{Form: config.FormBatch, Repeat: config.RepeatAlways, Attempts: 2}
	never := config.Template{Form: config.FormBatch, Repeat: config.RepeatNever, Attempts: 2}
	resume := config.Template{Form: config.FormBatch, Repeat: config.RepeatCheckpoint, Attempts: 2}
	service := config.Template{Form: config.FormService, Repeat: config.RepeatAlways, Attempts: 1}
	end := func(tm config.Template, ok bool) func(Task) Task {
		return func(t Task) Task { return t.WithEnd(tm, ok, nil, noon) }
	}
	reboot := func(soon bool) func(Task) Task {
		return func(t Task) Task { return t.WithReboot(always, soon, noon.Add(time.Second)) }
	}
	loss := func(tm config.Template, checkpoint string) func(Task) Task {
		return func(t Task) Task { return t.WithLoss(tm, checkpoint, noon) }
	}
	for _, c := range []struct {
		name  string
		steps []func(Task) Task
		want  State
	}{
		{"succeeds", []func(Task) Task{end(always, true)}, Done},
		{"fails once", []func(Task) Task{end(always, false)}, Waiting},
		{"fails and has no attempts left", []func(Task) Task{end(always, false), end(always, false)}, Failed},
		{"fails and must not be repeated", []func(Task) Task{end(never, false)}, Failed},
		{"replica succeeds", []func(Task) Task{end(service, true)}, Waiting},
		{"replica fails", []func(Task) Task{end(service, false)}, Waiting},
		{"is lost", []func(Task) Task{loss(always, "")}, Waiting},
		{"two consecutive reboots", []func(Task) Task{reboot(true), reboot(true)}, Waiting},
		{"three consecutive reboots", []func(Task) Task{reboot(true), reboot(true), reboot(true)}, Failed},
		{"late reboot resets the count", []func(Task) Task{reboot(true), reboot(true), reboot(false), reboot(true)}, Waiting},
		{"completed attempt resets the count", []func(Task) Task{reboot(true), reboot(true), end(always, false), reboot(true)}, Waiting},
		{"replica after three consecutive reboots", []func(Task) Task{reboot(true), reboot(true), func(t Task) Task { return t.WithReboot(service, true, noon) }}, Waiting},
		{"is lost and must not be repeated", []func(Task) Task{loss(never, "")}, Unknown},
		{"is lost without a checkpoint", []func(Task) Task{loss(resume, "")}, Unknown},
		{"is lost after a checkpoint", []func(Task) Task{loss(resume, "c"), loss(resume, "")}, Waiting},
	} {
		t.Run(c.name, func(t *testing.T) {
			task := NewTask(Job{ID: NewID("h")}, 0)
			for _, step := range c.steps {
				task = step(task.WithStart(task.Attempts+1, "w", noon))
			}
			if task.State != c.want {
				t.Errorf("state = %s, want %s", task.State, c.want)
			}
			back, err := DecodeTask(task.Encode())
			if err != nil || back.State != task.State || !back.Changed.Equal(task.Changed) || back.Attempts != task.Attempts {
				t.Errorf("decoded %+v, %v; want %+v", back, err, task)
			}
		})
	}
}

func TestParseAttempt(t *testing.T) {
	a := AttemptID{NewID("chipre-u2"), 7, 3}
	if got, err := ParseAttempt(a.String()); err != nil || got != a {
		t.Errorf("ParseAttempt(%q) = %v, %v; want %v", a, got, err, a)
	}
	for _, text := range []string{"", "x", "chipre.d4k1", "chipre.9m4e2mr0ui3e8a215n4g/0", "chipre.9m4e2mr0ui3e8a215n4g/-1/1", "chipre.9m4e2mr0ui3e8a215n4g/0/0", "a/b.9m4e2mr0ui3e8a215n4g/0/1"} {
		if got, err := ParseAttempt(text); err == nil {
			t.Errorf("ParseAttempt(%q) = %v, want an error", text, got)
		}
	}
}

func FuzzParseAttempt(f *testing.F) {
	f.Add("chipre.9m4e2mr0ui3e8a215n4g/0/1")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := ParseAttempt(text)
		if err != nil {
			return
		}
		if again, err := ParseAttempt(a.String()); err != nil || again != a {
			t.Errorf("%q parses as %v, whose text form parses as %v, %v", text, a, again, err)
		}
	})
}
