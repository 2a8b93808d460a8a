package hall

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"chutereach/commit"
	"chutereach/config"
	"chutereach/control"
	"chutereach/job"
	"chutereach/ownership"
	"chutereach/provider"
	"chutereach/resource"
	"chutereach/standin"
	"chutereach/timeline"
)

const (
	testLease = 30 * time.Second
	testSure  = 4 * time.Second // that an owner is surer of than its last beat
)

// bench is a unit of one hall, its platform, and what owners it has had.
type bench struct {
	t     *testing.T
	mu    sync.Mutex
	table *standin.Table
	fleet *standin.Fleet
	boxes standin.BoxList
	rev   config.Revision
	epoch uint64
	units []*Unit
	over  []time.Time // when each owner was taken over from; zero while it was not
}

func newBench(t *testing.T, workers int) *bench {
	b := &bench{t: t, table: standin.NewTable(), fleet: standin.NewFleet()}
	for i := range workers {
		b.fleet.Add(provider.Worker{
			Name: fmt.Sprintf("w%02d", i), Hall: "h", Rack: fmt.Sprintf("r%d", i/6),
			Capacity: resource.Amount{CPU: 16000, Memory: 64 << 30},
		})
	}
	set := config.NewSet()
	set.Halls["h"] = config.Hall{Name: "h", Units: 1}
	set.Policies["p"] = config.Policy{Name: "p", Scoring: config.ScoreWaiting}
	b.rev = config.Revision{Number: 1, Set: set}
	b.template("again", "sleep 10s", config.RepeatAlways)
	b.template("once", "sleep 10s", config.RepeatNever)
	b.template("resume", "sleep 10s", config.RepeatCheckpoint)
	b.template("bad", "fail 1s", config.RepeatAlways)
	s := b.template("replica", "serve 5ms", config.RepeatAlways)
	s.Form, s.Class, s.Slots, s.Connections, s.Down = config.FormService, config.Service, 8, 60, 1
	s.Need = resource.Amount{CPU: 500, Memory: 1 << 30} // so that many services leave room for jobs
	set.Templates["replica"] = s
	return b
}

func (b *bench) template(name, command string, r config.Repeat) config.Template {
	tm := config.Template{
		Name: name, Form: config.FormBatch, Class: config.Batch, Command: command, Policy: "p",
		Need: resource.Amount{CPU: 4000, Memory: 8 << 30}, Tasks: 1, Lease: testLease, Repeat: r, Attempts: 3,
	}
	b.rev.Set.Templates[name] = tm
	return tm
}

// own makes a new owner, fenced against the ones before it, and runs it.
func (b *bench) own() *Unit {
	u := b.newOwner()
	go u.Run()
	return u
}

// newOwner makes a new owner that does not run yet.
func (b *bench) newOwner() *Unit {
	ctx := context.Background()
	was, err := b.table.Get(ctx, control.UnitKey("h"))
	for err != nil {
		time.Sleep(100 * time.Millisecond)
		was, err = b.table.Get(ctx, control.UnitKey("h"))
	}
	b.epoch++
	now := time.Now()
	b.fence(now)
	row := control.UnitRow{Owner: control.NewIncarnation("box"), Epoch: b.epoch, Sure: now}
	sender := commit.NewSender(b.table, rate.NewLimiter(rate.Inf, 1))
	txn := provider.Txn{ID: fmt.Sprint("own-", b.epoch)}.Put(control.UnitKey("h"), was.Version, control.Encode(row))
	version, err := sender.Do(ctx, txn)
	if err != nil {
		b.t.Fatal(err)
	}
	b.mu.Lock()
	me := len(b.over)
	b.over = append(b.over, time.Time{})
	b.mu.Unlock()
	u := New(ownership.Hold{Unit: "h", Epoch: b.epoch, Version: version, Before: now}, Defaults, Deps{
		Workers: b.fleet, Boxes: &b.boxes, Sender: sender,
		Sure:   func() time.Time { return b.sure(me) },
		Config: b.config,
		Events: timeline.NewRing("box", &timeline.Clock{}, 100), Log: zerolog.Nop(),
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = append(b.units, u)
	return u
}

// fence notes when the owners so far were taken over from. An owner is never
// sure for longer: its successor waited until its heartbeat had lapsed.
func (b *bench) fence(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.over {
		if b.over[i].IsZero() {
			b.over[i] = now
		}
	}
}

func (b *bench) sure(owner int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	sure := time.Now().Add(testSure)
	if over := b.over[owner]; !over.IsZero() && over.Before(sure) {
		return over
	}
	return sure
}

func (b *bench) config() config.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rev
}

// kill ends an owner as a killed process ends: what it has sent goes on, and
// nothing more is sent.
func (b *bench) kill(u *Unit) { u.cancel(errStopped) }

// submit puts a job into the inbox, as any box does.
func (b *bench) submit(template string, tasks int) job.ID {
	b.t.Helper()
	j, err := job.New("h", job.Request{Template: template, Tasks: tasks}, config.Account{Name: "a"}, b.rev, time.Now())
	if err != nil {
		b.t.Fatal(err)
	}
	sender := commit.NewSender(b.table, rate.NewLimiter(rate.Inf, 1))
	txn := provider.Txn{ID: string(j.ID)}.Put(job.InboxKey(j.ID), 0, j.Encode())
	if _, err := sender.Do(context.Background(), txn); err != nil {
		b.t.Fatal(err)
	}
	return j.ID
}

// close ends every owner and worker, so that the bubble can end.
func (b *bench) close() {
	for _, u := range b.units {
		u.Stop()
	}
	b.fleet.Close()
}

// counts returns a job's tasks by state.
func (b *bench) counts(u *Unit, id job.ID) string {
	b.t.Helper()
	s, found := u.Job(id)
	if !found {
		return "no job"
	}
	return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(s.Counts), "map["), "]")
}

// kept fails the test if the workers saw a promise broken.
func (b *bench) kept() {
	b.t.Helper()
	for _, broken := range b.fleet.Witness.Broken() {
		b.t.Error(broken)
	}
}

// onceOnly fails the test if a task of the job was started twice.
func (b *bench) onceOnly(id job.ID) {
	b.t.Helper()
	for task, n := range b.fleet.Witness.Starts() {
		if strings.HasPrefix(task, string(id)) && n > 1 {
			b.t.Errorf("%s was started %d times", task, n)
		}
	}
}

func TestJobsRunToTheirEnd(t *testing.T) {
	for _, c := range []struct {
		template string
		tasks    int
		want     string
	}{
		{"again", 30, "done:30"},
		{"once", 30, "done:30"},
		{"bad", 2, "failed:2"},
		{"replica", 4, "running:4"},
	} {
		t.Run(c.template, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 3)
				defer b.close()
				u := b.own()
				id := b.submit(c.template, c.tasks)
				time.Sleep(2 * time.Minute)
				if got := b.counts(u, id); got != c.want {
					t.Errorf("job is %s, want %s", got, c.want)
				}
				b.kept()
			})
		})
	}
}
