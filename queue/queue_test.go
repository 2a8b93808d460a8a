package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chutereach/config"
	"chutereach/resource"
)

type item struct {
	name    string
	class   config.Class
	account string
	since   time.Time
}

func (i *item) Class() config.Class { return i.class }
func (i *item) Account() string     { return i.account }
func (i *item) QueuedAt() time.Time { return i.since }

var (
	start    = time.Unix(1_000_000, 0)
	capacity = resource.Amount{CPU: 100_000, Memory: 100 << 30}
)

func newItem(name string, class config.Class, account string, after time.Duration) *item {
	return &item{name, class, account, start.Add(after)}
}

// roundOrder returns the names of the items in the order in which a round offers
// them, skipping each.
func roundOrder(q *Queue[*item], now time.Time) []string {
	var names []string
	q.Round(now, func(i *item) Outcome {
		names = append(names, i.name)
		return Skipped
	})
	return names
}

func TestOrder(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name   string
		ageing time.Duration
		now    time.Duration
		items  []*item
		used   map[string]resource.MilliCPU
		want   []string
	}{
		{"classes", 0, 0, []*item{newItem("b", config.Batch, "a", 0), newItem("s", config.Service, "a", second), newItem("u", config.Urgent, "a", 2*second)}, nil, []string{"u", "s", "b"}},
		{"age within an account", 0, 0, []*item{newItem("2", config.Batch, "a", 2*second), newItem("1", config.Batch, "a", second)}, nil, []string{"1", "2"}},
		{"smaller dominant share first", 0, 0, []*item{newItem("larger", config.Batch, "l", 0), newItem("smaller", config.Batch, "s", second)}, map[string]resource.MilliCPU{"l": 2000, "s": 1000}, []string{"smaller", "larger"}},
		{"aged batch before younger service", time.Minute, 2 * time.Minute, []*item{newItem("young", config.Service, "a", time.Minute+second), newItem("old", config.Batch, "b", 0)}, nil, []string{"old", "young"}},
		{"aged batch after urgent", time.Minute, time.Hour, []*item{newItem("old", config.Batch, "b", 0), newItem("urgent", config.Urgent, "a", 59*time.Minute)}, nil, []string{"urgent", "old"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New[*item](c.ageing)
			q.SetCapacity(capacity)
			for a, cpu := range c.used {
				q.AddUsage(a, resource.Amount{CPU: cpu})
			}
			for _, i := range c.items {
				q.Add(i)
			}
			if got := roundOrder(q, start.Add(c.now)); !slices.Equal(got, c.want) {
				t.Errorf("order = %v, want %v", got, c.want)
			}
		})
	}
}

// An account with many queued jobs must not get more capacity in a round than an
// account whose single job has many tasks.
func TestRoundDividesCapacityEqually(t *testing.T) {
	q := New[*item](0)
	q.SetCapacity(capacity)
	for i := range 100 {
		q.Add(newItem(fmt.Sprint("big", i), config.Batch, "big", 0))
	}
	q.Add(newItem("small", config.Batch, "small", time.Hour))
	placed := map[string]int{}
	q.Round(start, func(i *item) Outcome {
		if placed["big"]+placed["small"] == 20 {
			return Halt
		}
		placed[i.account]++
		q.AddUsage(i.account, resource.Amount{CPU: 1000})
		return Placed
	})
	if placed["big"] != 10 || placed["small"] != 10 {
		t.Errorf("placed = %v, want 10 for each account", placed)
	}
}

func TestRemove(t *testing.T) {
	q := New[*item](0)
	a, b := newItem("a", config.Batch, "x", 0), newItem("b", config.Batch, "x", 0)
	q.Add(a)
	q.Add(b)
	q.Remove(a)
	q.Remove(a)
	if got := roundOrder(q, start); !slices.Equal(got, []string{"b"}) || q.Len() != 1 {
		t.Errorf("after Remove: order = %v, Len() = %d, want [b], 1", got, q.Len())
	}
}
