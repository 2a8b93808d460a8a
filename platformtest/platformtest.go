// Package platformtest holds the contract that every implementation of the
// platform's interfaces must keep: the same cases run against the stand-in in
// memory and against the HTTP adapter in front of it.
package platformtest

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"chutereach/provider"
	"chutereach/resource"
	"chutereach/standin"
)

// Worker is the one worker that Run expects in the fleet.
var Worker = provider.Worker{
	Name: "w1", Hall: "h", Rack: "r", Labels: map[string]string{"k": "v"}, Taints: []string{"t"},
	Capacity: resource.Amount{CPU: 4000, Memory: 8 << 30, Accelerators: 1},
}

// patience bounds each call of the contract.
const patience = 30 * time.Second

// Run runs the contract against p, whose stand-in is s. It must be fresh for
// each case, so open makes both.
func Run(t *testing.T, open func(t *testing.T) (provider.Platform, *standin.Platform)) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, s := open(t)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			c.run(ctx, t, p, s)
		})
	}
}

var cases = []struct {
	name string
	run  func(context.Context, *testing.T, provider.Platform, *standin.Platform)
}{
	{"absent row is no error", absentRow},
	{"conditions hold or nothing is written", conditions},
	{"conflict carries the row", conflictRow},
	{"range reads pages in order", ranges},
	{"an id is kept with what it wrote", txnID},
	{"refused requests have no effect", refused},
	{"limited requests say when to come back", limited},
	{"lost answers leave their effect", lostAnswer},
	{"objects are kept whole", objects},
	{"box list", boxList},
	{"fleet", fleet},
	{"an attempt starts once", startsOnce},
	{"late and misdirected calls are refused", lateCalls},
	{"renewal reports news and forgets on demand", renewal},
	{"checkpoint, throttle and stop", haltings},
}

func must[T any](t *testing.T) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func want[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	if !errors.As(err, &e) {
		t.Fatalf("got %T (%v), want %T", err, err, e)
	}
	return e
}

func put(id, key string, version uint64, value string) provider.Txn {
	return provider.Txn{ID: id}.Put(key, version, []byte(value))
}

func absentRow(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	if row := must[provider.Row](t)(p.Table.Get(ctx, "none")); row.Exists() {
		t.Errorf("row = %+v", row)
	}
}

func conditions(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	v := must[uint64](t)(p.Table.Commit(ctx, put("1", "a", 0, "x")))
	both := put("2", "b", 0, "y").Put("a", v+1, []byte("z"))
	_, err := p.Table.Commit(ctx, both)
	want[*provider.ConflictError](t, err)
	if row := must[provider.Row](t)(p.Table.Get(ctx, "b")); row.Exists() {
		t.Error("half of the transaction was written")
	}
	next := must[uint64](t)(p.Table.Commit(ctx, provider.Txn{ID: "3"}.Remove("a", v).Put("b", 0, []byte("y"))))
	if next <= v {
		t.Errorf("version %d after %d", next, v)
	}
	if row := must[provider.Row](t)(p.Table.Get(ctx, "a")); row.Exists() {
		t.Error("the row was not removed")
	}
}

func conflictRow(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	v := must[uint64](t)(p.Table.Commit(ctx, put("first", "a", 0, "x")))
	_, err := p.Table.Commit(ctx, put("second", "a", 0, "y"))
	c := want[*provider.ConflictError](t, err)
	if c.Key != "a" || c.Have.Version != v || c.Have.Txn != "first" || string(c.Have.Value) != "x" {
		t.Errorf("conflict = %+v", c)
	}
}

func ranges(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	for _, k := range []string{"p/b", "p/a", "q/a", "p/c", "o/z"} {
		must[uint64](t)(p.Table.Commit(ctx, put(k, k, 0, k)))
	}
	first := must[[]provider.Row](t)(p.Table.Range(ctx, "p/", "", 2))
	if len(first) != 2 || first[0].Key != "p/a" || first[1].Key != "p/b" {
		t.Fatalf("first page = %+v", first)
	}
	rest := must[[]provider.Row](t)(p.Table.Range(ctx, "p/", "p/b", 2))
	if len(rest) != 1 || rest[0].Key != "p/c" || string(rest[0].Value) != "p/c" {
		t.Errorf("rest = %+v", rest)
	}
}

func txnID(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	v := must[uint64](t)(p.Table.Commit(ctx, put("mine", "a", 0, "x")))
	row := must[provider.Row](t)(p.Table.Get(ctx, "a"))
	if row.Txn != "mine" || row.Version != v {
		t.Errorf("row = %+v", row)
	}
}

func refused(ctx context.Context, t *testing.T, p provider.Platform, s *standin.Platform) {
	s.Table.Faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
	_, err := p.Table.Commit(ctx, put("1", "a", 0, "x"))
	want[*provider.UnavailableError](t, err)
	if !provider.NotApplied(err) {
		t.Error("a refusal must prove that nothing happened")
	}
	s.Table.Faults.Clear()
	if must[provider.Row](t)(p.Table.Get(ctx, "a")).Exists() {
		t.Error("a refused transaction was written")
	}
}

func limited(ctx context.Context, t *testing.T, p provider.Platform, s *standin.Platform) {
	s.Table.Faults.Limit(0.001, 1)
	must[uint64](t)(p.Table.Commit(ctx, put("1", "a", 0, "x")))
	_, err := p.Table.Commit(ctx, put("2", "b", 0, "x"))
	if l := want[*provider.RateLimitedError](t, err); l.RetryAfter <= 0 || !provider.NotApplied(err) {
		t.Errorf("limited = %+v", l)
	}
}

func lostAnswer(ctx context.Context, t *testing.T, p provider.Platform, s *standin.Platform) {
	s.Table.Faults.Always(standin.Fault{Lose: true})
	_, err := p.Table.Commit(ctx, put("1", "a", 0, "x"))
	want[*provider.UnknownError](t, err)
	if provider.NotApplied(err) {
		t.Error("a lost answer proves nothing")
	}
	s.Table.Faults.Clear()
	if row := must[provider.Row](t)(p.Table.Get(ctx, "a")); row.Txn != "1" {
		t.Errorf("row = %+v", row)
	}
}

func objects(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	data := bytes.Repeat([]byte{0, 1, 255}, 100_000)
	if err := p.Objects.Put(ctx, "a/b", data); err != nil {
		t.Fatal(err)
	}
	if got := must[[]byte](t)(p.Objects.Get(ctx, "a/b")); !bytes.Equal(got, data) {
		t.Error("the object came back changed")
	}
	if err := p.Objects.Delete(ctx, "a/b"); err != nil {
		t.Fatal(err)
	}
	_, err := p.Objects.Get(ctx, "a/b")
	want[*provider.NotFoundError](t, err)
}

func boxList(ctx context.Context, t *testing.T, p provider.Platform, s *standin.Platform) {
	s.Boxes.Set(provider.Box{Name: "b1", State: provider.BoxLeaving})
	got := must[[]provider.Box](t)(p.Boxes.List(ctx))
	if len(got) != 1 || got[0] != (provider.Box{Name: "b1", State: provider.BoxLeaving}) {
		t.Errorf("boxes = %+v", got)
	}
}

func fleet(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	got := must[[]provider.Worker](t)(p.Workers.Fleet(ctx))
	if len(got) != 1 || got[0].Name != "w1" || got[0].Capacity != Worker.Capacity || got[0].Labels["k"] != "v" || got[0].Taints[0] != "t" {
		t.Errorf("fleet = %+v", got)
	}
	_, err := p.Workers.List(ctx, "nobody")
	want[*provider.NotFoundError](t, err)
}

// attempt is the attempt of the worker cases.
const attempt = "h.9m4e2mr0ui3e8a215n4g/0/1"

func startCall(boot, command string) provider.StartCall {
	return provider.StartCall{
		Attempt: attempt, Boot: boot, Expires: time.Now().Add(patience), Until: time.Now().Add(time.Minute),
		Need: resource.Amount{CPU: 1000, Memory: 1 << 30}, Command: command,
	}
}

func boot(ctx context.Context, t *testing.T, p provider.Platform) string {
	t.Helper()
	return must[provider.Report](t)(p.Workers.List(ctx, "w1")).Boot
}

func startsOnce(ctx context.Context, t *testing.T, p provider.Platform, s *standin.Platform) {
	call := startCall(boot(ctx, t, p), "sleep 1h")
	for range 2 {
		state := must[provider.AttemptState](t)(p.Workers.Start(ctx, "w1", call))
		if state.Phase != provider.PhaseRunning || !state.Until.Equal(call.Until) {
			t.Errorf("state = %+v", state)
		}
	}
	for task, n := range s.Fleet.Witness.Starts() {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

func lateCalls(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	id := boot(ctx, t, p)
	for _, c := range []struct {
		why    provider.RefusalReason
		change func(*provider.StartCall)
	}{
		{provider.RefusedExpired, func(c *provider.StartCall) { c.Expires = time.Now().Add(-time.Second) }},
		{provider.RefusedStaleBoot, func(c *provider.StartCall) { c.Boot = "another" }},
	} {
		call := startCall(id, "sleep 1h")
		c.change(&call)
		_, err := p.Workers.Start(ctx, "w1", call)
		if r := want[*provider.RefusedError](t, err); r.Reason != c.why {
			t.Errorf("refused for %s, want %s", r.Reason, c.why)
		}
	}
	_, err := p.Workers.Stop(ctx, "w1", provider.AttemptCall{Attempt: attempt, Boot: id, Expires: time.Now().Add(patience)})
	if r := want[*provider.RefusedError](t, err); r.Reason != provider.RefusedUnknownAttempt {
		t.Errorf("refused for %s", r.Reason)
	}
}

func renewal(ctx context.Context, t *testing.T, p provider.Platform, s *standin.Platform) {
	id := boot(ctx, t, p)
	must[provider.AttemptState](t)(p.Workers.Start(ctx, "w1", startCall(id, "sleep 1ms")))
	until := time.Now().Add(time.Hour).UTC()
	call := provider.RenewCall{Boot: id, Expires: time.Now().Add(patience), Leases: []provider.Lease{{Attempt: attempt, Until: until}}, Wait: patience}
	var r provider.Report
	for len(r.Attempts) == 0 || r.Attempts[0].Phase == provider.PhaseRunning {
		r = must[provider.Report](t)(p.Workers.Renew(ctx, "w1", call))
		call.Seen = r.Seq
	}
	if a := r.Attempts[0]; a.Phase != provider.PhaseEnded || !a.OK || string(a.Result) != "ran "+attempt {
		t.Errorf("attempt = %+v", a)
	}
	call.Forget, call.Wait = []string{attempt}, 0
	if r = must[provider.Report](t)(p.Workers.Renew(ctx, "w1", call)); len(r.Attempts) != 0 {
		t.Errorf("the worker remembers %+v", r.Attempts)
	}
	s.Fleet.Reboot("w1")
	if r = must[provider.Report](t)(p.Workers.Renew(ctx, "w1", call)); r.Boot == id {
		t.Error("a reboot must show")
	}
}

func haltings(ctx context.Context, t *testing.T, p provider.Platform, _ *standin.Platform) {
	id := boot(ctx, t, p)
	must[provider.AttemptState](t)(p.Workers.Start(ctx, "w1", startCall(id, "sleep 1h")))
	call := provider.AttemptCall{Attempt: attempt, Boot: id, Expires: time.Now().Add(patience), Percent: 50}
	if s := must[provider.AttemptState](t)(p.Workers.Throttle(ctx, "w1", call)); s.Phase != provider.PhaseRunning {
		t.Errorf("throttled = %+v", s)
	}
	s := must[provider.AttemptState](t)(p.Workers.Checkpoint(ctx, "w1", call))
	if s.Phase != provider.PhaseStopped || s.Checkpoint == "" {
		t.Errorf("checkpointed = %+v", s)
	}
	if s = must[provider.AttemptState](t)(p.Workers.Stop(ctx, "w1", call)); s.Phase != provider.PhaseStopped {
		t.Errorf("stopped = %+v", s)
	}
}
