package tool

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"chutereach/api"
	"chutereach/cell"
	"chutereach/client"
	"chutereach/hall"
	"chutereach/keys"
	"chutereach/timeline"
)

type requestCommand struct {
	Key    string `long:"key" description:"Idempotency-Key of a request that may run once"`
	Ticket bool   `long:"ticket" description:"get a ticket and send the request with it; works without the platform's table"`
	Data   string `short:"d" long:"data" description:"body; the method is then POST"`
	Args   struct {
		Route string `positional-arg-name:"ROUTE" required:"yes"`
		Path  string `positional-arg-name:"PATH"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (r *requestCommand) Execute([]string) error {
	call := client.Call{Method: http.MethodGet, Path: "/v1/call/" + r.Args.Route, Header: http.Header{}, Body: []byte(r.Data)}
	if r.Args.Path != "" {
		call.Path += "/" + strings.TrimPrefix(r.Args.Path, "/")
	}
	if r.Data != "" {
		call.Method = http.MethodPost
	}
	if r.Key != "" {
		call.Header.Set(api.HeaderKey, r.Key)
	}
	c := newClient()
	if r.Ticket {
		mint := client.Call{Method: http.MethodPost, Path: "/v1/tickets/" + r.Args.Route}
		t, err := client.Do[api.Ticket](context.Background(), c, mint, nil)
		if err != nil {
			return err
		}
		call.Header.Set(api.HeaderTicket, t.Ticket)
	}
	began := time.Now()
	resp, err := c.Send(context.Background(), call)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(resp)
	}
	fmt.Fprintf(os.Stderr, "%s %d in %s by way of %s\n", resp.Header.Get(api.HeaderOutcome), resp.Status,
		rough(time.Since(began)), resp.Header.Get(api.HeaderBox))
	_, err = out.Write(resp.Body)
	return err
}

type workersCommand struct {
	Hall string `long:"hall" description:"only this data hall"`
}

// Execute implements flags.Commander.
func (w *workersCommand) Execute([]string) error {
	l, err := client.Get[api.Listing[hall.WorkerStatus]](context.Background(), newClient(), "/v1/workers", nil)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(l)
	}
	t := newTable("WORKER", "HALL", "RACK", "STATE", "TASKS", "GRANTED", "CAPACITY")
	for _, s := range l.Items {
		if w.Hall == "" || w.Hall == s.Hall {
			t.row(s.Name, s.Hall, s.Rack, string(s.State), strconv.Itoa(s.Tasks), s.Granted.String(), s.Capacity.String())
		}
	}
	warnSilent(l.Unresponsive)
	return t.flush()
}

func getStatus(c *client.Client) (cell.Status, error) {
	return client.Get[cell.Status](context.Background(), c, "/v1/status", nil)
}

type boxesCommand struct{}

// Execute implements flags.Commander.
func (boxesCommand) Execute([]string) error {
	s, err := getStatus(newClient())
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(s.Boxes)
	}
	return printBoxes(s)
}

func printBoxes(s cell.Status) error {
	t := newTable("BOX", "HALL", "STATE", "REVISION", "SINCE", "ADDRESS", "OWNS")
	for _, b := range s.Boxes {
		since := "-"
		if !b.InForce.IsZero() {
			since = b.InForce.Format(time.TimeOnly)
		}
		t.row(b.Name, b.Hall, string(b.State), strconv.FormatUint(b.Revision, 10), since, b.HTTP, strings.Join(b.Units, " "))
	}
	return t.flush()
}

type statusCommand struct {
	Revision bool `long:"revision" description:"only which box has which revision"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	st, err := getStatus(newClient())
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(st)
	}
	fmt.Fprintf(out, "revision %d by %s, as %s sees it\n\n", st.Revision, st.Author, st.AnsweredBy)
	if err := printBoxes(st); err != nil || s.Revision {
		return err
	}
	fmt.Fprintln(out)
	return printUnits(st.Units)
}

func printUnits(units []hall.Summary) error {
	t := newTable("UNIT", "EPOCH", "WORKERS", "USED", "CAPACITY", "JOBS", "WAITING", "RUNNING", "UNKNOWN")
	for _, u := range units {
		t.row(u.Unit, strconv.FormatUint(u.Epoch, 10), strconv.Itoa(u.Workers), u.Used.String(), u.Capacity.String(),
			strconv.Itoa(u.Jobs), strconv.Itoa(u.Waiting), strconv.Itoa(u.Running), strconv.Itoa(u.Unknown))
	}
	return t.flush()
}

type timelineCommand struct {
	Job     string `long:"job" description:"only this job"`
	Worker  string `long:"worker" description:"only this worker"`
	Account string `long:"account" description:"only this account"`
	Unit    string `long:"unit" description:"only this unit"`
	Follow  bool   `short:"f" long:"follow" description:"go on as events come"`
}

const followEvery = time.Second

// Execute implements flags.Commander.
func (t *timelineCommand) Execute([]string) error {
	c := newClient()
	query := url.Values{"job": {t.Job}, "worker": {t.Worker}, "account": {t.Account}, "unit": {t.Unit}}
	var shown timeline.Stamp
	for {
		e, err := client.Get[api.TimelineEvents](context.Background(), c, "/v1/timeline", query)
		if err != nil {
			return err
		}
		if options.JSON && !t.Follow {
			return printJSON(e)
		}
		shown = printEvents(e.Events, shown)
		if !t.Follow {
			warnSilent(e.Unresponsive)
			if e.Dropped > 0 {
				fmt.Fprintf(os.Stderr, "chutereach: %d older events were dropped\n", e.Dropped)
			}
			return nil
		}
		time.Sleep(followEvery)
	}
}

// printEvents prints the events after a stamp and returns the last one's.
func printEvents(events []timeline.Event, after timeline.Stamp) timeline.Stamp {
	for _, e := range events {
		if e.Stamp.Compare(after) <= 0 {
			continue
		}
		after = e.Stamp
		var about []string
		for _, s := range []string{e.Unit, e.Attempt, e.Worker, e.Account, e.Request, e.Detail} {
			if s != "" {
				about = append(about, s)
			}
		}
		if e.Attempt == "" && e.Job != "" {
			about = append([]string{e.Job}, about...)
		}
		fmt.Fprintf(out, "%s  %-8s %-16s %s\n", e.Stamp.Time().Format("15:04:05.000000"), e.Box, e.Kind, strings.Join(about, "  "))
	}
	return after
}

type keysCommand struct {
	Dir  string `long:"dir" default:"keys" description:"directory of the authority and the boxes' keys"`
	Args struct {
		Boxes []string `positional-arg-name:"BOX" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (k *keysCommand) Execute([]string) error {
	if err := keys.EnsureAuthority(k.Dir); err != nil {
		return err
	}
	for _, name := range k.Args.Boxes {
		if err := keys.NewBoxCertificate(k.Dir, name); err != nil {
			return err
		}
		fmt.Fprintln(out, filepath.Join(k.Dir, name+".pem"))
	}
	return nil
}
