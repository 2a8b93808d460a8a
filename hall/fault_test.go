package hall

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/standin"
	"chutereach/timeline"
)

// fault is something that befalls a unit while it runs jobs.
type fault struct {
	name string
	// table and fleet decide what befalls requests from the begin on.
	table, fleet befall
	// act is done at a moment of the run.
	act func(b *bench)
	// loses says that attempts are cut off, so that a task that may not be
	// repeated may end as unknown.
	loses bool
}

// befall decides what befalls one request.
type befall func(op standin.Op, target string) standin.Fault

// every lets f befall each nth request of one operation.
func every(op standin.Op, n int, f standin.Fault) befall {
	i := 0
	return func(o standin.Op, _ string) standin.Fault {
		if o != op {
			return standin.Fault{}
		}
		if i++; i%n == 0 {
			return f
		}
		return standin.Fault{}
	}
}

// between lets f befall every request to one worker, or to all for "", from one
// moment after the begin to another.
func between(from, to time.Duration, target string, f standin.Fault) befall {
	begin := time.Now()
	return func(_ standin.Op, t string) standin.Fault {
		at := time.Since(begin)
		if at >= from && at < to && (target == "" || t == target) {
			return f
		}
		return standin.Fault{}
	}
}

var (
	lost     = standin.Fault{Lose: true}
	vanished = standin.Fault{Vanish: true}
	late     = standin.Fault{Delay: 5 * time.Second}
	slow     = standin.Fault{Delay: 2 * time.Second}
)

// faults returns the table of faults. It is a function so that times count from
// the begin of each run.
func faults() []fault {
	down := standin.Fault{Refuse: standin.Down(provider.TableService)}
	return []fault{
		{name: "nothing"},
		{name: "commits lose their answers", table: every(standin.OpCommit, 2, lost)},
		{name: "commits vanish", table: every(standin.OpCommit, 2, vanished)},
		{name: "commits come late", table: every(standin.OpCommit, 3, late)},
		{name: "table is slow", table: between(0, time.Hour, "", slow)},
		{name: "table is down for long", table: between(3*time.Second, 50*time.Second, "", down)},
		{name: "starts lose their answers", fleet: every(standin.OpStart, 2, lost)},
		{name: "starts vanish", fleet: every(standin.OpStart, 2, vanished)},
		{name: "starts come late", fleet: every(standin.OpStart, 2, late)},
		{name: "renewals lose their answers", fleet: every(standin.OpRenew, 2, lost)},
		{name: "renewals come late", fleet: every(standin.OpRenew, 3, standin.Fault{Delay: 20 * time.Second}), loses: true},
		{name: "worker is cut off briefly", fleet: between(4*time.Second, 14*time.Second, "w00", vanished)},
		{name: "worker is cut off for long", fleet: between(4*time.Second, 70*time.Second, "w00", vanished), loses: true},
		{name: "worker answers nothing for long", fleet: between(4*time.Second, 70*time.Second, "w01", lost), loses: true},
		{name: "worker reboots", act: func(b *bench) { b.fleet.Reboot("w01") }, loses: true},
		{name: "owner dies, successor comes late", act: func(b *bench) {
			b.kill(b.units[len(b.units)-1])
			time.Sleep(testSure)
			b.own()
		}},
		{name: "owner dies, successor comes very late", act: func(b *bench) {
			b.kill(b.units[len(b.units)-1])
			time.Sleep(45 * time.Second)
			b.own()
		}, loses: true},
		{name: "owner goes on beside its successor", act: func(b *bench) { b.own() }},
		{name: "two successors, one after the other", act: func(b *bench) {
			b.own()
			time.Sleep(300 * time.Millisecond)
			b.own()
		}},
	}
}

// both lets two faults befall the same requests: the first that has something
// in store counts.
func both(a, b befall) befall {
	return func(op standin.Op, target string) standin.Fault {
		for _, f := range []befall{a, b} {
			if f == nil {
				continue
			}
			if got := f(op, target); got != (standin.Fault{}) {
				return got
			}
		}
		return standin.Fault{}
	}
}

// actAt is when faults act: in the middle of the tasks' 10 s.
const actAt = 5 * time.Second

// suffer runs jobs of every kind under two faults and checks what must always
// hold, from the workers' own view.
func suffer(t *testing.T, b *bench, x, y fault) {
	b.table.Faults.Set(locked(both(x.table, y.table)))
	b.fleet.Faults.Set(locked(both(x.fleet, y.fleet)))
	b.own()
	ids := map[string]job.ID{}
	for _, tm := range []string{"again", "once", "resume"} {
		ids[tm] = b.submit(tm, 8)
	}
	replicas := b.submit("replica", 3)
	time.Sleep(actAt)
	for _, f := range []fault{x, y} {
		if f.act != nil {
			f.act(b)
		}
	}
	time.Sleep(10 * time.Minute)
	b.kept()
	b.onceOnly(ids["once"])
	u := b.units[len(b.units)-1]
	if got := b.counts(u, replicas); got != "running:3" {
		t.Errorf("replicas are %s", got)
	}
	for tm, id := range ids {
		b.settled(u, tm, id, x.loses || y.loses)
	}
}

// locked lets a choice be made by one request at a time.
func locked(f befall) befall {
	gate := make(chan struct{}, 1)
	return func(op standin.Op, target string) standin.Fault {
		gate <- struct{}{}
		defer func() { <-gate }()
		return f(op, target)
	}
}

// settled fails the test unless every task of a job is done, or unknown where
// that is the truth.
func (b *bench) settled(u *Unit, template string, id job.ID, loses bool) {
	b.t.Helper()
	s, found := u.Job(id)
	if !found {
		b.t.Errorf("%s: the job is gone", template)
		return
	}
	unknown := s.Counts[job.Unknown]
	if unknown > 0 && (template == "again" || !loses) {
		b.t.Errorf("%s: %d tasks are unknown for no reason", template, unknown)
		for _, e := range u.deps.Events.Read(timeline.Filter{Job: string(id)}).Events {
			b.t.Log(e.Stamp.Time().Format("15:04:05.000"), e.Kind, e.Attempt, e.Worker, e.Detail)
		}
	}
	if got := s.Counts[job.Done] + unknown; got != s.Job.Tasks {
		b.t.Errorf("%s: of %d tasks %s", template, s.Job.Tasks, b.counts(u, id))
	}
	for task, n := range b.fleet.Witness.Ends() {
		if strings.HasPrefix(task, string(id)) && n > 1 && template != "again" {
			b.t.Errorf("%s: %s ran to its end %d times", template, task, n)
		}
	}
}

// Every pair of faults befalls a unit at once.
func TestPromisesHoldUnderEveryPairOfFaults(t *testing.T) {
	n := len(faults())
	for i := range n {
		for j := i; j < n; j++ {
			name := fmt.Sprintf("%s, %s", faults()[i].name, faults()[j].name)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, 3)
					defer b.close()
					suffer(t, b, faults()[i], faults()[j])
				})
			})
		}
	}
}
