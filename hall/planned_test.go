package hall

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/config"
	"chutereach/job"
	"chutereach/provider"
)

// maxDown polls a service for d and returns the largest number of replicas that were
// not running at the same time.
func (b *testBench) maxDown(u *Unit, id job.ID, d time.Duration) (maximum int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s, _ := u.Job(id)
		maximum = max(maximum, s.Job.Tasks-s.Counts[job.Running])
	}
	return maximum
}

func (b *testBench) updateConfig(u *Unit, change func(*config.Set)) {
	b.mu.Lock()
	b.revision.Number++
	b.revision.Set.Templates = maps.Clone(b.revision.Set.Templates)
	change(&b.revision.Set)
	b.mu.Unlock()
	u.ApplyConfig()
}

// Guards against a drain or a template update that stops more replicas at once than the
// template allows, or leaves replicas behind.
func TestReplicaMovesRespectDownLimit(t *testing.T) {
	for _, tc := range []struct {
		name     string
		down     int
		change   func(*testBench, *config.Set)
		complete func(*testBench, *Unit, job.ID) bool
	}{
		{"new command, one at a time", 1, changeCommand, allUpdated},
		{"new command, two at a time", 2, changeCommand, allUpdated},
		{"drained worker", 1, func(_ *testBench, s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetWorker, Name: "w00"})
		}, func(b *testBench, u *Unit, _ job.ID) bool { return tasksOn(u, "w00") == 0 }},
		{"worker reported as leaving", 1, func(b *testBench, _ *config.Set) {
			b.boxes.Set(provider.Box{Name: "w00", State: provider.BoxLeaving})
		}, func(b *testBench, u *Unit, _ job.ID) bool { return tasksOn(u, "w00") == 0 }},
		{"drained rack", 1, func(_ *testBench, s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetRack, Name: "r0"})
		}, func(b *testBench, u *Unit, _ job.ID) bool { return tasksOn(u, "w00")+tasksOn(u, "w05") == 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 9)
				defer b.close()
				u := b.startOwner()
				template := b.revision.Set.Templates["replica"]
				template.Down = tc.down
				b.revision.Set.Templates["replica"] = template
				id := b.submit("replica", 8)
				time.Sleep(10 * time.Second)
				b.updateConfig(u, func(s *config.Set) { tc.change(b, s) })
				if down := b.maxDown(u, id, 2*time.Minute); down > tc.down {
					t.Errorf("%d replicas were down at once, want at most %d", down, tc.down)
				}
				if got := b.taskCounts(u, id); got != "running:8" {
					t.Errorf("replicas by state: %s, want running:8", got)
				}
				if !tc.complete(b, u, id) {
					t.Error("not every replica was moved or updated")
				}
				b.checkInvariants()
			})
		})
	}
}

func changeCommand(_ *testBench, s *config.Set) {
	template := s.Templates["replica"]
	template.Command = "serve 9ms"
	s.Templates["replica"] = template
}

// allUpdated reports whether every replica runs the latest revision of its job.
func allUpdated(_ *testBench, u *Unit, id job.ID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, t := range u.jobs[id].tasks {
		if t.grant.Revision != u.jobs[id].job.Revision {
			return false
		}
	}
	return u.jobs[id].job.Template.Command == "serve 9ms"
}

func tasksOn(u *Unit, worker string) int {
	for _, w := range u.Workers() {
		if w.Name == worker {
			return w.Tasks
		}
	}
	return 0
}

// Guards against a drain that repeats nonrepeatable tasks, does not move resumable ones, or
// starts new tasks on the worker.
func TestDrainMovesResumableTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 2)
		defer b.close()
		u := b.startOwner()
		resume, once := b.submit("resume", 4), b.submit("once", 4)
		time.Sleep(4 * time.Second)
		b.updateConfig(u, func(s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetWorker, Name: "w00"})
		})
		time.Sleep(2 * time.Minute)
		for _, id := range []job.ID{resume, once} {
			if got := b.taskCounts(u, id); got != "done:4" {
				t.Errorf("job %s: tasks by state: %s, want done:4", id, got)
			}
		}
		b.checkStartedAtMostOnce(once)
		b.checkInvariants()
		if n := tasksOn(u, "w00"); n != 0 {
			t.Errorf("%d tasks on the drained worker, want 0", n)
		}
	})
}

// Guards against a settled task that does not take the chosen state or can be settled twice.
func TestSettleUnknownTask(t *testing.T) {
	for _, tc := range []struct {
		state job.State
		want  string
	}{
		{job.Done, "done:1"},
		{job.Failed, "failed:1"},
		{job.Waiting, "done:1"}, // the task is started again
	} {
		t.Run(string(tc.state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t, 1)
				defer b.close()
				u := b.startOwner()
				id := b.submit("once", 1)
				time.Sleep(4 * time.Second)
				b.fleet.Reboot("w00")
				time.Sleep(time.Minute)
				if got := b.taskCounts(u, id); got != "unknown:1" {
					t.Fatalf("tasks by state after the reboot: %s, want unknown:1", got)
				}
				if err := u.Settle(t.Context(), id, 0, tc.state); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Minute)
				if got := b.taskCounts(u, id); got != tc.want {
					t.Errorf("tasks by state: %s, want %s", got, tc.want)
				}
				if err := u.Settle(t.Context(), id, 0, tc.state); err == nil {
					t.Error("settling a settled task succeeded, want an error")
				}
			})
		})
	}
}

// Guards against a stopped job whose tasks keep running, or are started by a new owner.
func TestStoppedJobStaysStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 1)
		defer b.close()
		u := b.startOwner()
		id := b.submit("again", 10) // of which four fit the worker at once
		time.Sleep(3 * time.Second)
		if err := u.StopJob(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if n := b.fleet.Witness.Running(); n != 0 {
			t.Errorf("%d tasks are running after the job was stopped, want 0", n)
		}
		b.crash(u)
		u = b.startOwner() // must not start the job again
		time.Sleep(time.Minute)
		if got := b.taskCounts(u, id); got != "stopped:10" {
			t.Errorf("tasks by state: %s, want stopped:10", got)
		}
		if starts := len(b.fleet.Witness.Starts()); starts != 4 {
			t.Errorf("%d tasks were started, want 4", starts)
		}
	})
}

// Guards against tasks that start before the start time of their job or exceed the quota.
func TestQuotaAndStartTimeDelayTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, 2)
		defer b.close()
		u := b.startOwner()
		b.revision.Set.Accounts["a"] = config.Account{Name: "a"}
		account := b.revision.Set.Accounts["a"]
		account.Quota.CPU = 8000 // enough for two tasks
		b.revision.Set.Accounts["a"] = account
		j, err := job.New("h", job.Request{Template: "again", Tasks: 4, Start: time.Now().Add(time.Minute)}, account, b.revision, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.table.Commit(t.Context(), provider.Txn{ID: "in"}.Put(job.InboxKey(j.ID), 0, j.Encode())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(59 * time.Second)
		if n := b.fleet.Witness.Running(); n != 0 {
			t.Errorf("%d tasks are running before the start time, want 0", n)
		}
		time.Sleep(5 * time.Second)
		if n := b.fleet.Witness.Running(); n != 2 {
			t.Errorf("%d tasks are running, want 2 by the quota", n)
		}
		time.Sleep(time.Minute)
		if got := b.taskCounts(u, j.ID); got != "done:4" {
			t.Errorf("tasks by state: %s, want done:4", got)
		}
	})
}
