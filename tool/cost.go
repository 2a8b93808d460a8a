package tool

import (
	"context"
	"fmt"
	"time"

	"github.com/dustin/go-humanize"

	"chutereach/box"
	"chutereach/client"
)

// costs is what the cell has used so far.
type costs struct {
	CPU      time.Duration            `json:"cpu_ns"`
	Heap     uint64                   `json:"largest_heap_bytes"`
	Sent     int64                    `json:"table_transactions"`
	Placed   int64                    `json:"placed"`
	Resident uint64                   `json:"largest_resident_bytes"`
	Peers    int64                    `json:"peer_bytes"`
	boxes    map[string]time.Duration // by incarnation, so that a restart counts
}

func (a costs) since(b costs) costs {
	a.CPU = 0
	for box, used := range a.boxes {
		a.CPU += used - b.boxes[box]
	}
	a.Sent -= b.Sent
	a.Peers -= b.Peers
	a.Placed -= b.Placed
	return a
}

func (b *burstCommand) costs(ctx context.Context, c *client.Client) costs {
	sum := costs{boxes: map[string]time.Duration{}}
	for _, server := range c.Servers() {
		v, err := client.Get[struct {
			Chutereach box.Metrics `json:"chutereach"`
		}](ctx, c.WithServer(server), "/debug/vars", nil)
		if err != nil {
			continue // it may have been killed on purpose
		}
		m := v.Chutereach
		sum.boxes[m.Incarnation] = m.CPU
		sum.Heap = max(sum.Heap, m.Heap)
		sum.Resident = max(sum.Resident, m.Resident)
		sum.Peers += m.PeerBytes
		sum.Sent += m.Table.Sent
		for _, u := range m.Units {
			sum.Placed += u.Placed
		}
	}
	return sum
}

// IdleSummary is what a cell costs that has nothing to do but keep its services.
type IdleSummary struct {
	Took     time.Duration `json:"took_ns"`
	Boxes    int           `json:"boxes"`
	CPU      float64       `json:"cpu_percent_of_a_core_each"`
	Heap     uint64        `json:"largest_heap_bytes"`
	Resident uint64        `json:"largest_resident_bytes"`
	Peers    float64       `json:"peer_bytes_a_second_each"`
	Commits  float64       `json:"table_transactions_a_second"`
	Reads    float64       `json:"table_reads_a_second"`
}

// idle measures a cell at rest.
func (b *burstCommand) idle(ctx context.Context, c *client.Client) error {
	time.Sleep(settle)
	before, begun := b.costs(ctx, c), time.Now()
	seen, err := b.witnessed()
	if err != nil {
		return err
	}
	time.Sleep(b.Idle)
	after := b.costs(ctx, c).since(before)
	now, err := b.witnessed()
	if err != nil {
		return err
	}
	took := time.Since(begun)
	s := IdleSummary{Took: took, Boxes: len(c.Servers()), Heap: after.Heap, Resident: after.Resident}
	const percent = 100
	s.CPU = percent * after.CPU.Seconds() / took.Seconds() / float64(s.Boxes)
	s.Peers = float64(after.Peers) / took.Seconds() / float64(s.Boxes)
	s.Commits = float64(now.Commits-seen.Commits) / took.Seconds()
	s.Reads = float64(now.Reads-seen.Reads) / took.Seconds()
	if options.JSON {
		return printJSON(s)
	}
	fmt.Fprintf(out, "%d idle boxes over %s: %.2f%% of a core each, largest heap %s, largest resident set %s, %s a second of calls to peers each, %.1f transactions/s and %.1f reads/s at the table\n",
		s.Boxes, rough(took), s.CPU, humanize.IBytes(s.Heap), humanize.IBytes(s.Resident), humanize.IBytes(uint64(s.Peers)), s.Commits, s.Reads)
	return nil
}

// settle is how long a cell is left alone before it counts as idle.
const settle = 5 * time.Second
