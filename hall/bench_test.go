package hall

import (
	"context"
	"fmt"
	"runtime"
	"testing"
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

// The target's share of one hall: 4,100 workers and 100,000 tasks in 11 halls.
const (
	hallWorkers  = 373
	hallTasks    = 9100
	tableLatency = 5 * time.Millisecond
	tableRate    = 200 // transactions a second
)

// benchPlatform returns a stand-in with a hall's workers and a table as slow as
// the target allows for.
func benchPlatform(workers int) (*standin.Table, *standin.Fleet) {
	table, fleet := standin.NewTable(), standin.NewFleet()
	for i := range workers {
		fleet.Add(provider.Worker{
			Name: fmt.Sprintf("w%03d", i), Hall: "h", Rack: fmt.Sprintf("r%d", i/8),
			Capacity: resource.Amount{CPU: 64_000, Memory: 256 << 30},
		})
	}
	table.Faults.Always(standin.Fault{Delay: tableLatency})
	return table, fleet
}

func benchConfig() config.Revision {
	set := config.NewSet()
	set.Halls["h"] = config.Hall{Name: "h", Units: 1}
	set.Policies["p"] = config.Policy{Name: "p", Scoring: config.ScoreWaiting}
	for name, command := range map[string]string{"long": "sleep 1h", "short": "sleep 200ms"} {
		set.Templates[name] = config.Template{
			Name: name, Form: config.FormBatch, Class: config.Batch, Command: command, Policy: "p", Tasks: 1,
			Need: resource.Amount{CPU: 500, Memory: 1 << 30}, Lease: time.Minute, Repeat: config.RepeatAlways, Attempts: 3,
		}
	}
	return config.Revision{Number: 1, Set: set}
}

func benchDeps(table provider.Table, fleet *standin.Fleet, rev config.Revision) Deps {
	return Deps{
		Workers: fleet, Boxes: &standin.BoxList{}, Sender: commit.NewSender(table, rate.NewLimiter(tableRate, 1)),
		Sure:   func() time.Time { return time.Now().Add(testSure) },
		Config: func() config.Revision { return rev },
		Events: timeline.NewRing("box", &timeline.Clock{}, 1000), Log: zerolog.Nop(),
	}
}

// benchUnit owns the hall's unit and waits until every worker was heard of.
func benchUnit(b *testing.B, table *standin.Table, fleet *standin.Fleet, rev config.Revision, set Settings) *Unit {
	b.Helper()
	version, err := table.Commit(context.Background(), provider.Txn{ID: "own"}.Put(control.UnitKey("h"), 0, nil))
	if err != nil {
		b.Fatal(err)
	}
	u := New(ownership.Hold{Unit: "h", Epoch: 1, Version: version, Before: time.Now()}, set, benchDeps(table, fleet, rev))
	go u.Run()
	await(func() bool {
		open := 0
		for _, w := range u.Workers() {
			if w.State == WorkerOpen {
				open++
			}
		}
		return open > 0 && open == len(u.Workers())
	})
	return u
}

func await(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

// insert puts jobs into the inbox without the table's delay.
func insert(b *testing.B, table *standin.Table, rev config.Revision, template string, jobs, tasks int) {
	b.Helper()
	table.Faults.Clear()
	defer table.Faults.Always(standin.Fault{Delay: tableLatency})
	for range jobs {
		j, err := job.New("h", job.Request{Template: template, Tasks: tasks}, config.Account{Name: "a"}, rev, time.Now())
		if err != nil {
			b.Fatal(err)
		}
		if _, err := table.Commit(context.Background(), provider.Txn{ID: string(j.ID)}.Put(job.InboxKey(j.ID), 0, j.Encode())); err != nil {
			b.Fatal(err)
		}
	}
}

func (u *Unit) placed() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Stats.Placed
}

func (u *Unit) begun() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Stats.Started
}

// BenchmarkCommittedPlacements measures placements that are in the table, at
// 5 ms and 200 transactions a second. The baseline commits each by itself.
func BenchmarkCommittedPlacements(b *testing.B) {
	for _, c := range []struct {
		name  string
		rows  int
		tasks int
	}{
		{"group", Defaults.BatchRows, hallTasks},
		{"single", 1, 400},
	} {
		b.Run(c.name, func(b *testing.B) {
			var took time.Duration
			for range b.N {
				table, fleet := benchPlatform(hallWorkers)
				rev, set := benchConfig(), Defaults
				set.BatchRows = c.rows
				u := benchUnit(b, table, fleet, rev, set)
				begin := time.Now()
				insert(b, table, rev, "long", 1, c.tasks)
				u.Notify()
				await(func() bool { return u.placed() == int64(c.tasks) })
				took += time.Since(begin)
				u.Stop()
				fleet.Close()
			}
			b.ReportMetric(float64(b.N*c.tasks)/took.Seconds(), "placements/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRunningTask measures what a running task costs in memory.
func BenchmarkRunningTask(b *testing.B) {
	for range b.N {
		table, fleet := benchPlatform(hallWorkers)
		rev := benchConfig()
		u := benchUnit(b, table, fleet, rev, Defaults)
		before, allocs := heapInUse(), mallocs()
		insert(b, table, rev, "long", hallTasks/10, 10)
		u.Notify()
		await(func() bool { return u.begun() == hallTasks })
		all := heapInUse() - before
		b.ReportMetric(float64(mallocs()-allocs)/hallTasks, "allocs/start")
		u.Stop()
		// What the stand-in holds for its side stays when the owner has gone.
		*u = Unit{}
		owned := all - (heapInUse() - before)
		b.ReportMetric(float64(owned)/hallTasks, "B/task")
		b.ReportMetric(0, "ns/op")
		fleet.Close()
	}
}

// mallocs returns how many objects were allocated so far, by the stand-in too.
func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkTableWrites measures an owner's transactions and rows a second, idle
// and at its hall's share of 300 starts a second, and at all 300.
func BenchmarkTableWrites(b *testing.B) {
	const span = 4 * time.Second
	for _, perSecond := range []int{0, 27, 300} {
		b.Run(fmt.Sprintf("%d starts", perSecond), func(b *testing.B) {
			for range b.N {
				table, fleet := benchPlatform(hallWorkers)
				rev := benchConfig()
				u := benchUnit(b, table, fleet, rev, Defaults)
				commits, reads := table.Commits.Load(), table.Reads.Load()
				rows := u.Summary().Rows
				begin := time.Now()
				for i := 0; time.Since(begin) < span; i++ {
					if perSecond > 0 {
						insert(b, table, rev, "short", 1, max(perSecond/10, 1))
						u.Notify()
					}
					time.Sleep(time.Until(begin.Add(time.Duration(i+1) * 100 * time.Millisecond)))
				}
				u.Stop()
				inserts := int64(0)
				if perSecond > 0 {
					inserts = int64(span / (100 * time.Millisecond))
				}
				u.summaryTime = time.Time{}
				b.ReportMetric(float64(table.Commits.Load()-commits-inserts)/span.Seconds(), "txn/s")
				b.ReportMetric(float64(table.Reads.Load()-reads)/span.Seconds(), "reads/s")
				b.ReportMetric(float64(u.Summary().Rows-rows)/span.Seconds(), "rows/s")
				b.ReportMetric(0, "ns/op")
				fleet.Close()
			}
		})
	}
}

// takeoverBox is a box that may take the hall over.
type takeoverBox struct {
	keeper *ownership.Keeper
	deps   Deps
	unit   chan *Unit
	owned  time.Time
	cancel context.CancelFunc
	own    *Unit
}

// Own implements ownership.Owner.
func (t *takeoverBox) Own(h ownership.Hold) {
	t.owned = time.Now()
	t.own = New(h, Defaults, t.deps)
	go t.own.Run()
	t.unit <- t.own
}

// Disown implements ownership.Owner.
func (t *takeoverBox) Disown(string) time.Time {
	t.own.cancel(errStopped)
	return time.Now()
}

func newTakeoverBox(name string, table *standin.Table, fleet *standin.Fleet, rev config.Revision) *takeoverBox {
	t := &takeoverBox{unit: make(chan *Unit, 1), deps: benchDeps(table, fleet, rev)}
	self := control.BoxRow{Incarnation: control.NewIncarnation(name)}
	times := ownership.Settings{Beat: time.Second, Lapse: 3 * time.Second}
	t.keeper = ownership.New(self, times, t.deps.Sender, t, zerolog.Nop())
	t.keeper.SetUnits([]string{"h"})
	t.deps.Sure = t.keeper.Sure
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	go t.keeper.Run(ctx)
	return t
}

// BenchmarkTakeover measures a hall's way from its owner's death to the first
// placement by the successor, at the daemon's default times.
func BenchmarkTakeover(b *testing.B) {
	var lapse, load, place time.Duration
	for range b.N {
		table, fleet := benchPlatform(hallWorkers)
		rev := benchConfig()
		first := newTakeoverBox("box-1", table, fleet, rev)
		u := <-first.unit
		insert(b, table, rev, "long", hallTasks/10, 10)
		await(func() bool { return u.begun() == hallTasks })
		second := newTakeoverBox("box-2", table, fleet, rev)
		time.Sleep(4 * time.Second) // until it counts as settled
		insert(b, table, rev, "long", 1, 1)
		first.cancel()
		u.cancel(errStopped)
		died := time.Now()
		insert(b, table, rev, "long", 1, 1)
		next := <-second.unit
		await(func() bool { return next.Summary().Ready })
		ready := time.Now()
		await(func() bool { return next.placed() > 0 })
		lapse += second.owned.Sub(died)
		load += ready.Sub(second.owned)
		place += time.Since(ready)
		second.cancel()
		next.Stop()
		fleet.Close()
	}
	n := float64(b.N)
	b.ReportMetric(lapse.Seconds()/n, "s-lapse")
	b.ReportMetric(load.Seconds()/n, "s-load")
	b.ReportMetric(place.Seconds()/n, "s-place")
	b.ReportMetric((lapse+load+place).Seconds()/n, "s-total")
	b.ReportMetric(0, "ns/op")
}
