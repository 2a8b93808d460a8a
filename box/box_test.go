package box

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"chutereach/api"
	"chutereach/client"
	"chutereach/config"
	"chutereach/hall"
	"chutereach/job"
	"chutereach/route"
	"chutereach/settings"
)

// The whole path, with one box leaving in the middle: every job ends once, every
// request gets its own answer, and none is cut off.
func TestCellServesWhileABoxLeaves(t *testing.T) {
	c := newTestCell(t, 3)
	c.serve()
	var wg sync.WaitGroup
	var jobs sync.Map
	for i, b := range c.boxes[:2] {
		for n := range 60 {
			wg.Go(func() {
				for _, route := range []string{"balance", "redeem"} {
					id := fmt.Sprintf("r%d-%d-%s", i, n, route)
					if err := c.call(b, id, route); err != nil {
						t.Errorf("%s: %v", id, err)
					}
				}
			})
		}
		for n := range 5 {
			wg.Go(func() {
				got, err := c.submit(b, fmt.Sprintf("job-%d-%d", i, n), api.JobRequest{Template: "work", Tasks: 10})
				if err != nil {
					t.Errorf("job: %v", err)
				}
				jobs.Store(got.ID, true)
			})
		}
	}
	wg.Go(c.stops[2])
	wg.Wait()
	jobs.Range(func(id, _ any) bool {
		c.await(fmt.Sprint(id, " ends"), func() bool {
			s, err := client.Get[hall.JobStatus](t.Context(), c.client(c.boxes[0], "a"), fmt.Sprint("/v1/jobs/", id), nil)
			return err == nil && s.Counts[job.Done] == 10
		})
		return true
	})
	for task, n := range c.platform.Fleet.Witness.Starts() {
		if n != 1 && !strings.HasPrefix(task, "chipre") {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	for _, broken := range c.platform.Fleet.Witness.Broken() {
		t.Error(broken)
	}
}

// Operators race from different boxes: one wins, the others are told by whom.
func TestRacingOperators(t *testing.T) {
	c := newTestCell(t, 3)
	var wg sync.WaitGroup
	won := make(chan config.Revision, 6)
	for i := range 6 {
		wg.Go(func() {
			r, err := c.propose(c.boxes[i%3], 0, func(s *config.Set) {
				h := s.Halls["palermo"]
				h.Units = i + 1
				s.Halls["palermo"] = h
			})
			var ce *client.Error
			switch {
			case err == nil:
				won <- r
			case !errors.As(err, &ce) || ce.Failure.Code != api.CodeConflict || !strings.Contains(ce.Failure.Message, "by box-"):
				t.Errorf("operator %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if len(won) != 1 {
		t.Fatalf("%d operators won", len(won))
	}
	want := <-won
	for _, b := range c.boxes {
		c.await("the winner's revision is in force", func() bool {
			r := b.life.Load().publisher.Current()
			return r.Number == 1 && r.Set.Halls["palermo"] == want.Set.Halls["palermo"]
		})
	}
}

// Who may do what, and what a wrong request is told.
func TestAnswersToWrongRequests(t *testing.T) {
	c := newTestCell(t, 1)
	c.serve()
	b := c.boxes[0]
	mine, err := c.submit(b, "k", api.JobRequest{Template: "work"})
	if err != nil {
		t.Fatal(err)
	}
	post := func(path, body, key string) client.Call {
		return client.Call{Method: http.MethodPost, Path: path, Body: []byte(body), Header: http.Header{api.HeaderKey: {key}}}
	}
	get := func(path string) client.Call { return client.Call{Method: http.MethodGet, Path: path} }
	for _, x := range []struct {
		name, token string
		call        client.Call
		status      int
		says        string
	}{
		{"no token", "", get("/v1/jobs"), 401, "account's token"},
		{"account as operator", "a", get("/v1/status"), 401, "operator's token"},
		{"operator as account", operatorToken, get("/v1/jobs"), 401, "account's token"},
		{"another account's job", "b", get("/v1/jobs/" + string(mine.ID)), 404, "there is no job"},
		{"stop of another account's job", "b", client.Call{Method: http.MethodDelete, Path: "/v1/jobs/" + string(mine.ID)}, 404, "there is no job"},
		{"no such job", "a", get("/v1/jobs/chipre.nonsense"), 404, "there is no job"},
		{"no such template", "a", post("/v1/jobs", `{"template":"wrok"}`, ""), 400, `there is no template "wrok"`},
		{"unknown field", "a", post("/v1/jobs", `{"tmplate":"work"}`, ""), 400, "unknown field"},
		{"hall not allowed", "a", post("/v1/jobs", `{"template":"points","hall":"palermo"}`, ""), 400, "may not run in hall"},
		{"unknown parameter", "a", post("/v1/jobs", `{"template":"work","params":{"x":"y"}}`, ""), 400, `no parameter "x"`},
		{"key for another job", "a", post("/v1/jobs", `{"template":"work","tasks":9}`, "k"), 422, "different job"},
		{"no such route", "a", get("/v1/call/blance"), 404, `there is no route "blance"`},
		{"keyed route without a key", "a", post("/v1/call/redeem", "", ""), 400, "needs the header"},
		{"no such revision", operatorToken, get("/v1/config/99"), 404, "there is no revision 99"},
		{"settling what is not unknown", operatorToken, post("/v1/jobs/"+string(mine.ID)+"/settle", `{"task":0,"state":"done"}`, ""), 409, "only an unknown one"},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := c.client(b, x.token).Send(t.Context(), x.call)
			var ce *client.Error
			if !errors.As(err, &ce) || ce.Status != x.status || !strings.Contains(ce.Failure.Message, x.says) {
				t.Errorf("got %v, want %d: %s", err, x.status, x.says)
			}
		})
	}
	again, err := c.submit(b, "k", api.JobRequest{Template: "work"})
	if err != nil || again.Created || again.ID != mine.ID {
		t.Errorf("handed in again: %+v, %v", again, err)
	}
}

func TestPortInUseIsTold(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	name := filepath.Join(t.TempDir(), "box.ini")
	text := "[box]\nname = x\nhttp = " + taken.Addr().String() + "\npeer = 127.0.0.1:0\n"
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := settings.Load([]string{"--config", name})
	if err != nil {
		t.Fatal(err)
	}
	_, err = New(set, zerolog.Nop())
	want := fmt.Sprintf("%s:3: http: cannot listen on %s: address already in use", name, taken.Addr())
	if !errors.As(err, new(*ListenError)) || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// A hall that is split in two units has two owners, each with the workers of its
// own racks and no others, and runs jobs in both.
func TestHallSplitInTwo(t *testing.T) {
	c := newTestCell(t, 2)
	if _, err := c.propose(c.boxes[0], 0, func(s *config.Set) { s.Halls["palermo"] = config.Hall{Name: "palermo", Units: 2} }); err != nil {
		t.Fatal(err)
	}
	workers := func() []hall.WorkerStatus {
		l, err := client.Get[api.Listing[hall.WorkerStatus]](t.Context(), c.operator(c.boxes[0]), "/v1/workers", nil)
		if err != nil {
			t.Fatal(err)
		}
		return l.Items
	}
	c.await("the workers of both halls are known", func() bool { return len(workers()) == 26 })
	units, racks := map[string]int{}, map[string]string{}
	for _, w := range workers() {
		units[w.Unit]++
		if unit, seen := racks[w.Rack]; seen && unit != w.Unit {
			t.Errorf("rack %s is in %s and %s", w.Rack, unit, w.Unit)
		}
		racks[w.Rack] = w.Unit
	}
	if len(units) != 3 || units["palermo-u1"]+units["palermo-u2"] != 13 {
		t.Errorf("workers by unit: %v", units)
	}
	c.await("each unit has an owner", func() bool {
		v := c.boxes[0].life.Load().keeper.View()
		return v.Units["palermo-u1"].Row.Owner != "" && v.Units["palermo-u2"].Row.Owner != ""
	})
	for i := range 12 {
		if _, err := c.submit(c.boxes[i%2], fmt.Sprint(i), api.JobRequest{Template: "work", Hall: "palermo", Tasks: 20}); err != nil {
			t.Fatal(err)
		}
	}
	c.await("all tasks have ended", func() bool { return len(c.platform.Fleet.Witness.Ends()) == 240 })
	for _, broken := range c.platform.Fleet.Witness.Broken() {
		t.Error(broken)
	}
	for _, unit := range []string{"palermo-u1", "palermo-u2"} {
		placed := int64(0)
		for _, b := range c.boxes {
			if u := b.life.Load().units.Unit(unit); u != nil {
				placed += u.Summary().Placed
			}
		}
		if placed == 0 {
			t.Errorf("%s has placed nothing", unit)
		}
	}
}

// A box that cannot reach the platform follows its peers' revisions; with the
// table out of reach for all, lookups and tickets go on, and what needs the table
// is refused with the truth.
func TestTableOutOfReach(t *testing.T) {
	c := newTestCell(t, 2)
	c.serve()
	c.cuts[1].Store(true)
	if _, err := c.propose(c.boxes[0], 1, func(s *config.Set) { s.Halls["new"] = config.Hall{Name: "new", Units: 1} }); err != nil {
		t.Fatal(err)
	}
	c.await("the box that is cut off has the revision", func() bool {
		l := c.boxes[1].life.Load()
		return l != nil && l.publisher.Current().Number == 2
	})
	c.cuts[0].Store(true)
	for i, b := range c.boxes {
		c.await("lookups go on", func() bool { return c.call(b, fmt.Sprint("lookup-", i), "balance") == nil })
		mint := client.Call{Method: http.MethodPost, Path: "/v1/tickets/redeem"}
		ticket, err := client.Do[api.Ticket](t.Context(), c.client(b, "a"), mint, nil)
		if err != nil {
			t.Fatal(err)
		}
		for k, at := range []*Box{c.boxes[1-i], b, c.boxes[1-i]} {
			id := fmt.Sprintf("ticket-%d", i)
			call := client.Call{Method: http.MethodPost, Path: "/v1/call/redeem", Body: []byte("body"), Header: http.Header{
				api.HeaderRequest: {id}, api.HeaderTicket: {ticket.Ticket},
			}}
			resp, err := c.client(at, "a").Send(t.Context(), call)
			if err != nil || !strings.Contains(string(resp.Body), "answered "+id) {
				t.Errorf("attempt %d with a ticket: %+v, %v", k, resp, err)
			}
		}
	}
	var ce *client.Error
	err := c.call(c.boxes[0], "keyed", "redeem")
	if !errors.As(err, &ce) || ce.Outcome != route.NotRun && ce.Outcome != route.Unknown {
		t.Errorf("keyed request: %v", err)
	}
}

// A drained box owns nothing and is home to nothing, and still brings a request
// that reaches it to its answer.
func TestDrainedBox(t *testing.T) {
	c := newTestCell(t, 2)
	c.serve()
	if _, err := c.propose(c.boxes[0], 1, func(s *config.Set) {
		*s = s.WithDrain(config.Drain{Target: config.TargetBox, Name: "box-2"})
	}); err != nil {
		t.Fatal(err)
	}
	drained := c.boxes[1]
	c.await("the drained box is not ready", func() bool { return drained.ready() != nil })
	c.await("it owns and counts nothing", func() bool {
		l := drained.life.Load()
		return len(l.keeper.OwnedUnits()) == 0 && l.router.Loads()["points"].Slots == 0
	})
	c.await("the other box counts all slots", func() bool {
		return c.boxes[0].life.Load().router.Loads()["points"].Slots == 24
	})
	for i, b := range c.boxes {
		for n := range 10 {
			if err := c.call(b, fmt.Sprintf("d%d-%d", i, n), "redeem"); err != nil {
				t.Error(err)
			}
		}
	}
}
