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

// downMost looks at a service all the time for d and returns the most replicas
// that were not running at once.
func (b *bench) downMost(u *Unit, id job.ID, d time.Duration) (most int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s, _ := u.Job(id)
		most = max(most, s.Job.Tasks-s.Counts[job.Running])
	}
	return most
}

func (b *bench) configure(u *Unit, change func(*config.Set)) {
	b.mu.Lock()
	b.rev.Number++
	b.rev.Set.Templates = maps.Clone(b.rev.Set.Templates)
	change(&b.rev.Set)
	b.mu.Unlock()
	u.Configured()
}

func TestReplicasRollWithinTheirBound(t *testing.T) {
	for _, c := range []struct {
		name   string
		down   int
		change func(*bench, *config.Set)
		moved  func(*bench, *Unit, job.ID) bool
	}{
		{"new command, one at a time", 1, newCommand, rolled},
		{"new command, two at a time", 2, newCommand, rolled},
		{"drained worker", 1, func(_ *bench, s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetWorker, Name: "w00"})
		}, func(b *bench, u *Unit, _ job.ID) bool { return tasksOn(u, "w00") == 0 }},
		{"worker is leaving, says the platform", 1, func(b *bench, _ *config.Set) {
			b.boxes.Set(provider.Box{Name: "w00", State: provider.BoxLeaving})
		}, func(b *bench, u *Unit, _ job.ID) bool { return tasksOn(u, "w00") == 0 }},
		{"drained rack", 1, func(_ *bench, s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetRack, Name: "r0"})
		}, func(b *bench, u *Unit, _ job.ID) bool { return tasksOn(u, "w00")+tasksOn(u, "w05") == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 9)
				defer b.close()
				u := b.own()
				tm := b.rev.Set.Templates["replica"]
				tm.Down = c.down
				b.rev.Set.Templates["replica"] = tm
				id := b.submit("replica", 8)
				time.Sleep(10 * time.Second)
				b.configure(u, func(s *config.Set) { c.change(b, s) })
				if most := b.downMost(u, id, 2*time.Minute); most > c.down {
					t.Errorf("%d replicas were down at once, %d are allowed", most, c.down)
				}
				if got := b.counts(u, id); got != "running:8" {
					t.Errorf("replicas are %s", got)
				}
				if !c.moved(b, u, id) {
					t.Error("some have not moved")
				}
				b.kept()
			})
		})
	}
}

func newCommand(_ *bench, s *config.Set) {
	tm := s.Templates["replica"]
	tm.Command = "serve 9ms"
	s.Templates["replica"] = tm
}

// rolled reports whether every replica was started under the newest revision.
func rolled(_ *bench, u *Unit, id job.ID) bool {
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

// Work on a drained worker: what can be resumed moves, what may not be repeated
// runs to its end, and nothing new comes.
func TestDrainMovesWhatItMay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		defer b.close()
		u := b.own()
		resume, once := b.submit("resume", 4), b.submit("once", 4)
		time.Sleep(4 * time.Second)
		b.configure(u, func(s *config.Set) {
			*s = s.WithDrain(config.Drain{Target: config.TargetWorker, Name: "w00"})
		})
		time.Sleep(2 * time.Minute)
		for _, id := range []job.ID{resume, once} {
			if got := b.counts(u, id); got != "done:4" {
				t.Errorf("%s is %s", id, got)
			}
		}
		b.onceOnly(once)
		b.kept()
		if n := tasksOn(u, "w00"); n != 0 {
			t.Errorf("%d tasks are on the drained worker", n)
		}
	})
}

func TestOperatorsWord(t *testing.T) {
	for _, c := range []struct {
		word job.State
		want string
	}{
		{job.Done, "done:1"},
		{job.Failed, "failed:1"},
		{job.Waiting, "done:1"}, // started once more
	} {
		t.Run(string(c.word), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1)
				defer b.close()
				u := b.own()
				id := b.submit("once", 1)
				time.Sleep(4 * time.Second)
				b.fleet.Reboot("w00")
				time.Sleep(time.Minute)
				if got := b.counts(u, id); got != "unknown:1" {
					t.Fatalf("after the reboot the task is %s", got)
				}
				if err := u.Settle(id, 0, c.word); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Minute)
				if got := b.counts(u, id); got != c.want {
					t.Errorf("the task is %s, want %s", got, c.want)
				}
				if err := u.Settle(id, 0, c.word); err == nil {
					t.Error("a settled task was settled again")
				}
			})
		})
	}
}

func TestStoppedJobRunsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.close()
		u := b.own()
		id := b.submit("again", 10) // four at a time
		time.Sleep(3 * time.Second)
		if err := u.StopJob(id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if n := b.fleet.Witness.Running(); n != 0 {
			t.Errorf("%d tasks run", n)
		}
		b.kill(u)
		u = b.own() // a successor does not begin it again
		time.Sleep(time.Minute)
		if got := b.counts(u, id); got != "stopped:10" {
			t.Errorf("the job is %s", got)
		}
		if starts := len(b.fleet.Witness.Starts()); starts != 4 {
			t.Errorf("%d tasks were started", starts)
		}
	})
}

func TestQuotaAndStartTimeHoldTasksBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		defer b.close()
		u := b.own()
		b.rev.Set.Accounts["a"] = config.Account{Name: "a"}
		quota := b.rev.Set.Accounts["a"]
		quota.Quota.CPU = 8000 // two tasks
		b.rev.Set.Accounts["a"] = quota
		j, err := job.New("h", job.Request{Template: "again", Tasks: 4, Start: time.Now().Add(time.Minute)}, quota, b.rev, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.table.Commit(t.Context(), provider.Txn{ID: "in"}.Put(job.InboxKey(j.ID), 0, j.Encode())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(59 * time.Second)
		if n := b.fleet.Witness.Running(); n != 0 {
			t.Errorf("%d tasks run before their time", n)
		}
		time.Sleep(5 * time.Second)
		if n := b.fleet.Witness.Running(); n != 2 {
			t.Errorf("%d tasks run, the quota is for 2", n)
		}
		time.Sleep(time.Minute)
		if got := b.counts(u, j.ID); got != "done:4" {
			t.Errorf("the job is %s", got)
		}
	})
}
