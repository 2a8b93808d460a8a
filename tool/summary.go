package tool

import (
	"fmt"
	"strconv"
	"time"

	"github.com/dustin/go-humanize"

	"chutereach/hall"
)

// Summary is what a burst run shows in the end.
type Summary struct {
	Took   time.Duration  `json:"took_ns"`
	Bursts []BurstSummary `json:"bursts"`
	Units  []hall.Summary `json:"units"`
	Cost   costs          `json:"cost"`
	Broken []string       `json:"broken"`
}

// BurstSummary is one burst of a Summary.
type BurstSummary struct {
	Name     string          `json:"name"`
	Streams  []StreamSummary `json:"streams"`
	Jobs     int             `json:"jobs"`
	Tasks    int             `json:"tasks"`
	Done     int64           `json:"done"`
	DrainFor time.Duration   `json:"drain_ns"` // until the last job had ended
}

// StreamSummary is one stream of requests of a burst.
type StreamSummary struct {
	Name     string        `json:"name"`
	Sent     int           `json:"sent"`
	Answered int64         `json:"answered"`
	NotRun   int           `json:"not_run"`
	Unknown  int           `json:"unknown"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	Max      time.Duration `json:"max_ns"`
}

func (r *burstResult) summary() BurstSummary {
	s := BurstSummary{Name: r.name, Jobs: len(r.jobs), Tasks: r.tasks, Done: r.done.Load(), DrainFor: r.drain}
	for _, q := range r.requests {
		h := r.took[q.name]
		s.Streams = append(s.Streams, StreamSummary{
			Name: q.name, Sent: q.count, Answered: h.TotalCount(), NotRun: r.refuse[q.name], Unknown: r.lost[q.name],
			P50: time.Duration(h.ValueAtPercentile(50)) * time.Microsecond,
			P99: time.Duration(h.ValueAtPercentile(99)) * time.Microsecond,
			Max: time.Duration(h.Max()) * time.Microsecond,
		})
	}
	return s
}

// report prints the summary, and returns a PromiseError if a promise was broken
// or an accepted job did not end.
func (s Summary) report() error {
	err := s.print()
	if len(s.Broken) > 0 {
		return &PromiseError{s.Broken}
	}
	return err
}

func (s Summary) print() error {
	if options.JSON {
		return printJSON(s)
	}
	for _, b := range s.Bursts {
		if err := b.print(); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "\nwaits of tasks, from when they were due until they ran")
	t := newTable("UNIT", "CLASS", "TASKS", "P50", "P99", "MAX")
	for _, u := range s.Units {
		for _, w := range u.Waits {
			t.row(u.Unit, string(w.Class), strconv.FormatInt(w.Count, 10), rough(w.P50), rough(w.P99), rough(w.Max))
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	s.printCost()
	return nil
}

func (s Summary) printCost() {
	var placed int64
	fmt.Fprintln(out, "\npacking, of services that stay")
	for _, u := range s.Units {
		fmt.Fprintf(out, "  %-12s %5.1f%% of the dominant resource in use on %d workers\n",
			u.Unit, 100*u.Used.DominantShare(u.Capacity), u.Workers)
		placed += u.Placed
	}
	const percent = 100
	fmt.Fprintf(out, "\ncost: %s of processor time over %s (%.1f%% of one core, all boxes), largest heap %s, %d transactions for %d placements\n",
		rough(s.Cost.CPU), rough(s.Took), percent*s.Cost.CPU.Seconds()/s.Took.Seconds(), humanize.IBytes(s.Cost.Heap), s.Cost.Sent, s.Cost.Placed)
	if len(s.Broken) == 0 {
		fmt.Fprintln(out, "promises: kept, as far as callers and workers saw")
	}
}

func (b BurstSummary) print() error {
	fmt.Fprintf(out, "\n%s\n", b.Name)
	t := newTable("REQUESTS", "SENT", "ANSWERED", "NOT RUN", "UNKNOWN", "P50", "P99", "MAX")
	for _, q := range b.Streams {
		t.row(q.Name, strconv.Itoa(q.Sent), strconv.FormatInt(q.Answered, 10), strconv.Itoa(q.NotRun),
			strconv.Itoa(q.Unknown), rough(q.P50), rough(q.P99), rough(q.Max))
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d jobs of %d tasks were accepted; %d tasks are done; the last ended %s after the burst\n",
		b.Jobs, b.Tasks, b.Done, rough(b.DrainFor))
	return nil
}
