package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"chutereach/account"
	"chutereach/codec"
	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/proptest"
	"chutereach/resource"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// silentClient answers no call.
type silentClient struct{ fleet.Client }

func (silentClient) Start(ctx context.Context, _ fleet.Worker, _ fleet.StartOrder) (fleet.Clock, error) {
	<-ctx.Done()
	return 0, &fleet.NoResponseError{Cause: ctx.Err()}
}

func (silentClient) Stop(ctx context.Context, _ fleet.Worker, _ fleet.StopOrder) (fleet.Clock, error) {
	<-ctx.Done()
	return 0, &fleet.NoResponseError{Cause: ctx.Err()}
}

func (silentClient) Hold(ctx context.Context, _ fleet.Worker, _ fleet.HoldOrder) (fleet.Report, error) {
	<-ctx.Done()
	return fleet.Report{}, &fleet.NoResponseError{Cause: ctx.Err()}
}

// storedFixture is a scheduler whose transactions go to a store with the limits of the platform's.
type storedFixture struct {
	*recheckFixture
	rows *memory.Store
}

// newStoredFixture returns a fixture with workers of 32 CPUs whose IDs have a length. Its scheduler keeps rows and
// transactions below the limits, if these are not zero.
func newStoredFixture(t testing.TB, workers, idLength int, limits rowLimits) *storedFixture {
	f := &storedFixture{recheckFixture: newServiceFixture(t, workers)}
	f.rows = f.store.(*memory.Store)
	f.rows.LimitSizes()
	f.client = silentClient{}
	if limits.row > 0 {
		f.limits = limits
	}
	for _, w := range f.workers {
		delete(f.Scheduler.workers, w.info.Incarnation)
		w.info.ID += strings.Repeat("x", max(0, idLength-len(w.info.ID)))
		w.info.StartTime, w.info.Address = 1_765_000_000_000, "10.200.100.200:65535"
		f.Scheduler.workers[w.info.Incarnation] = w
	}
	return f
}

// place runs a dispatch pass.
func (f *storedFixture) place() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.lastReportAt = f.now
	}
	f.dispatch(f.now)
}

// run marks the started attempts as running.
func (f *storedFixture) run() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.hostedTasks() {
		if t.state == taskStarting {
			f.markRunning(t, f.now)
		}
	}
}

// commit writes one transaction.
func (f *storedFixture) commit(t interface{ Fatalf(string, ...any) }) {
	if err := f.commitOnce(context.Background()); err != nil {
		t.Fatalf("transaction: %v", err)
	}
	if rejected := f.metrics.rejectedTransactions.Value(); rejected > 0 {
		t.Fatalf("%d transactions are rejected, want none", rejected)
	}
}

// commitAll writes transactions until nothing has changed since the last one.
func (f *storedFixture) commitAll(t interface{ Fatalf(string, ...any) }) {
	for range 500 {
		if f.commit(t); len(f.dirty) == 0 && len(f.obsoleteBundles) == 0 && len(f.orphanParts) == 0 {
			return
		}
	}
	t.Fatalf("%d jobs are still to be written", len(f.dirty))
}

// successor returns a scheduler that has loaded what is stored.
func (f *storedFixture) successor(t interface{ Fatalf(string, ...any) }) *Scheduler {
	next := New(Config{Shard: "main", Lease: 6 * time.Second, RowBytes: f.limits.row}, f.rows, silentClient{}, &leadership.Term{}, NewMetrics(), zerolog.Nop())
	if err := next.Load(context.Background()); err != nil {
		t.Fatalf("load: %v", err)
	}
	return next
}

// storedTable returns the rows of a table.
func (f *storedFixture) storedTable(t interface{ Fatalf(string, ...any) }, table string) []rowstore.Row {
	page, err := rowstore.ReadAll(context.Background(), f.rows, table, "main")
	if err != nil {
		t.Fatalf("read %s: %v", table, err)
	}
	return page.Rows
}

// describeTask returns what must be stored of a task.
func describeTask(t *task) string {
	host := ""
	if t.worker != nil {
		host = fmt.Sprint(t.worker.info.Incarnation)
	}
	stored := workload.TaskProgress{FailedAttempts: t.failures, CrashHistory: t.crashes}.Bounded()
	return fmt.Sprintf("attempt %d on %q, failures %v, checkpoint %q, %d lost workers, crashes %+v", t.attempt, host, stored.FailedAttempts, t.checkpoint,
		len(stored.Unresolved), stored.CrashHistory)
}

// assertRestored checks that a successor knows of each task of a job what this owner knows.
func assertRestored(t interface{ Fatalf(string, ...any) }, own, restored *job) {
	if restored == nil {
		t.Fatalf("job %s is not restored", own.id)
	}
	if restored.state != own.state || restored.started != own.started || !own.state.Final() && restored.roundsLeft != own.roundsLeft {
		t.Fatalf("job %s is restored as %s (started: %v) with %d rounds left, want %s (%v) and %d", own.id, restored.state, restored.started,
			restored.roundsLeft, own.state, own.started, own.roundsLeft)
	}
	if own.state.Final() && own.hosted == 0 {
		return
	}
	own.eachTask(func(task *task) {
		other := restored.findTask(task.id())
		switch {
		case task.state == taskDone && (other == nil || other.state == taskDone):
		case other == nil:
			if task.begun() {
				t.Fatalf("task %v is not restored", task.id())
			}
		case task.state == taskDone || other.state == taskDone:
			t.Fatalf("task %v is restored as done: %v, want %v", task.id(), other.state == taskDone, task.state == taskDone)
		case describeTask(task) != describeTask(other):
			t.Fatalf("task %v is restored with %s, want %s", task.id(), describeTask(other), describeTask(task))
		}
	})
}

// assertStartedKnown checks that a successor knows each attempt that may have been started: it could run twice
// otherwise.
func assertStartedKnown(t interface{ Fatalf(string, ...any) }, own, restored *job) {
	own.eachTask(func(task *task) {
		if task.state != taskStarting && task.state != taskRunning {
			return
		}
		if restored == nil || restored.findTask(task.id()) == nil || restored.findTask(task.id()).attempt < task.attempt {
			t.Fatalf("attempt %s may run, and a successor does not know it", task.attemptName(task.attempt))
		}
	})
}

// formerProgress is the progress row as the builds before parts decode it.
type formerProgress struct {
	State      workload.State          `cbor:"1,keyasint"`
	Steps      []workload.StepProgress `cbor:"2,keyasint,omitempty"`
	Started    bool                    `cbor:"3,keyasint,omitempty"`
	Generation uint64                  `cbor:"6,keyasint,omitempty"`
}

// assertFormerBuildsAreSafe checks that builds before parts either read a row whole, or cannot decode it and leave the
// job alone.
func (f *storedFixture) assertFormerBuildsAreSafe(t interface{ Fatalf(string, ...any) }) {
	for _, row := range f.storedTable(t, progressTable) {
		var former formerProgress
		j, err := f.jobs[row.Name], codec.Unmarshal(row.Value, &former)
		parted := j.partedStored && (!j.state.Final() || j.hosted > 0)
		if readable := err == nil; readable == parted {
			t.Fatalf("a former build decodes the row of job %s: %v (parted: %v)", row.Name, readable, parted)
		}
	}
}

// assertRowsFit checks the sizes of all rows.
func (f *storedFixture) assertRowsFit(t interface{ Fatalf(string, ...any) }) {
	for _, table := range []string{recordTable, progressTable, bundleTable, partTable} {
		for _, row := range f.storedTable(t, table) {
			if len(row.Value) > f.limits.row {
				t.Fatalf("row %v has %d bytes, want at most %d", row.Key, len(row.Value), f.limits.row)
			}
		}
	}
}

// Guards against review/5: the progress of a large job outgrows a row, its transaction is rejected for good, and no other
// job is stored any more.
func TestProgressOfLargeJobsFits(t *testing.T) {
	t.Parallel()
	longID, checkpoint := 200, strings.Repeat("c", workload.MaxCheckpointBytes)
	cases := []struct {
		name     string
		idLength int
		request  workload.Request
		prepare  func(t *task)
	}{
		{"tasks that run indefinitely, on workers with long IDs", longID, workload.Request{
			Steps: []workload.Step{{Count: workload.MaxTasksPerRound, Need: resource.Amount{CPU: 10}, LongRunning: true}},
		}, nil},
		{"long checkpoints, failures and lost workers", longID, workload.Request{
			Steps: []workload.Step{{Count: workload.MaxTasksPerRound, Need: resource.Amount{CPU: 10}, Checkpoints: true}},
		}, func(task *task) {
			task.checkpoint = checkpoint
			for attempt := range 100 {
				task.failures = task.failures.With(1_000_000 + attempt)
			}
			for i := range 6 {
				lost := fleet.Incarnation{ID: strings.Repeat(fmt.Sprint(i), longID), StartTime: 1_765_000_000_000}
				task.crashes = task.crashes.WithLostAttempt(lost, workload.LossEvidence{Conclusive: true, Exposure: time.Hour})
			}
		}},
		{"many rounds, all done", 16, workload.Request{
			Steps:  []workload.Step{{Count: 1, Need: resource.Amount{CPU: 10}}, {Count: 1, Need: resource.Amount{CPU: 10}, DependsOn: []int{0}}},
			Rounds: workload.MaxRounds, Interval: time.Microsecond,
		}, func(task *task) { task.markDone() }},
		{"many open rounds", 16, workload.Request{
			Steps:  []workload.Step{{Count: 1, Need: resource.Amount{CPU: 10}, LongRunning: true}, {Count: 1, Need: resource.Amount{CPU: 10}}},
			Rounds: workload.MaxIndefiniteRounds, Interval: time.Microsecond,
		}, nil},
		{"many steps", 16, workload.Request{Steps: slices.Repeat([]workload.Step{{Count: 64, Need: resource.Amount{CPU: 10}}}, workload.MaxSteps)}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newStoredFixture(t, 40, test.idLength, rowLimits{})
			record := workload.Record{Request: test.request, Queue: newQueue("q", "s", 1000), AcceptedAt: f.now.UnixMilli()}
			j := newJob("5c0e7a21d94b36f8", record, newAccountState(account.Terms{}), f.now)
			f.jobs[j.id], f.active[j.id] = j, j
			for range 2 {
				f.place()
				f.commitAll(t)
				f.run()
				f.locked(func() {
					if test.prepare != nil {
						j.eachTask(func(task *task) { test.prepare(task); task.touch() })
					}
					f.markDirty(j)
				})
				f.commitAll(t)
			}
			f.assertRowsFit(t)
			if test.prepare == nil {
				assertRestored(t, j, f.successor(t).jobs[j.id])
			}
		})
	}
}

// Guards against progress that is stored wrongly or incompletely in parts: whatever happens to some jobs, between any two
// transactions a successor knows all that may run, and in the end the same as this owner.
func TestStoredProgressIsRestored(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		f := newStoredFixture(t, 8, rapid.IntRange(5, 40).Draw(rt, "ID length"), rowLimits{row: 6000, transaction: rapid.IntRange(7000, 30_000).Draw(rt, "transaction")})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.ctx = ctx
		var jobs []*job
		any := func() *task {
			list := f.hostedTasks()
			if len(list) == 0 {
				return nil
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(rt, "task")]
		}
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			f.now = f.now.Add(tick)
			switch event := rapid.IntRange(0, 9).Draw(rt, "event"); event {
			case 0, 1:
				if len(jobs) < 5 {
					request := workload.Request{Steps: []workload.Step{
						{Count: rapid.IntRange(1, 250).Draw(rt, "count"), Need: resource.Amount{CPU: 500}, Checkpoints: true, Gang: rapid.IntRange(0, 3).Draw(rt, "gang") == 0, LongRunning: rapid.IntRange(0, 3).Draw(rt, "lasts") == 0},
						{Count: 2, Need: resource.Amount{CPU: 500}, DependsOn: []int{0}},
					}}
					if rapid.Bool().Draw(rt, "rounds") {
						request.Rounds, request.FirstDue, request.Interval = rapid.IntRange(1, 2000).Draw(rt, "number of rounds"), f.now.UnixMilli(), 10*time.Millisecond
						request.Steps[0].Count = rapid.IntRange(1, 4).Draw(rt, "count in a round")
					}
					record := workload.Record{Request: request, Queue: newQueue("q", "s", 1000), AcceptedAt: f.now.UnixMilli()}
					j := newJob(fmt.Sprintf("job-%d", len(jobs)), record, newAccountState(account.Terms{}), f.now)
					f.jobs[j.id], f.active[j.id], jobs = j, j, append(jobs, j)
					f.markDirty(j)
				}
			case 2, 3:
				f.place()
			case 4:
				f.run()
			case 5, 6, 7:
				for range rapid.IntRange(1, 60).Draw(rt, "ends") {
					if task := any(); task != nil {
						outcome := rapid.SampledFrom([]fleet.Outcome{fleet.Done, fleet.Done, fleet.Failed, fleet.Stopped}).Draw(rt, "outcome")
						f.locked(func() {
							if task.checkpoint = fmt.Sprint("at ", f.now.UnixMilli()); outcome == fleet.Stopped && rapid.Bool().Draw(rt, "lost") {
								f.recordLost(task)
							}
							f.end(task, outcome)
						})
					}
				}
			case 8:
				if len(jobs) > 0 && rapid.IntRange(0, 4).Draw(rt, "cancelled") == 0 {
					f.locked(func() {
						f.finish(jobs[rapid.IntRange(0, len(jobs)-1).Draw(rt, "job")], workload.Cancelled, "")
					})
				}
			case 9:
				f.commitAll(rt)
			}
			f.commit(rt)
			f.assertRowsFit(rt)
			next := f.successor(rt)
			f.locked(func() { // calls that start tasks may still be under way
				for _, j := range jobs {
					assertStartedKnown(rt, j, next.jobs[j.id])
				}
			})
		}
		f.locked(func() {
			for _, j := range jobs {
				f.markDirty(j) // the start of a task alone is not written
			}
		})
		f.commitAll(rt)
		next := f.successor(rt)
		f.locked(func() {
			f.assertFormerBuildsAreSafe(rt)
			for _, j := range jobs {
				assertRestored(rt, j, next.jobs[j.id])
			}
		})
		if rows := f.storedTable(rt, partTable); len(next.orphanParts) > 0 {
			rt.Fatalf("%d of %d rows of parts belong to no job", len(next.orphanParts), len(rows))
		}
	})
}

// locked calls do with the scheduler's lock held.
func (f *storedFixture) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}
