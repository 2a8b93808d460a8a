package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chutereach/config"
	"chutereach/resource"
)

// item is a job that waits in a test.
type item struct {
	name    string
	class   config.Class
	account string
	since   time.Time
}

func (i *item) Class() config.Class { return i.class }
func (i *item) Account() string     { return i.account }
func (i *item) Since() time.Time    { return i.since }

var (
	begin = time.Unix(1_000_000, 0)
	whole = resource.Amount{CPU: 100_000, Memory: 100 << 30}
)

func at(name string, class config.Class, account string, after time.Duration) *item {
	return &item{name, class, account, begin.Add(after)}
}

// order returns the names in the order in which a round offers them, each once.
func order(q *Queue[*item], now time.Time) []string {
	var names []string
	q.Round(now, func(i *item) Verdict {
		names = append(names, i.name)
		return Parked
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
		{"classes", 0, 0, []*item{at("b", config.Batch, "a", 0), at("s", config.Service, "a", second), at("u", config.Urgent, "a", 2*second)}, nil, []string{"u", "s", "b"}},
		{"age within an account", 0, 0, []*item{at("2", config.Batch, "a", 2*second), at("1", config.Batch, "a", second)}, nil, []string{"1", "2"}},
		{"who holds less goes first", 0, 0, []*item{at("rich", config.Batch, "r", 0), at("poor", config.Batch, "p", second)}, map[string]resource.MilliCPU{"r": 2000, "p": 1000}, []string{"poor", "rich"}},
		{"old batch goes before younger service", time.Minute, 2 * time.Minute, []*item{at("young", config.Service, "a", time.Minute+second), at("old", config.Batch, "b", 0)}, nil, []string{"old", "young"}},
		{"but not before urgent", time.Minute, time.Hour, []*item{at("old", config.Batch, "b", 0), at("urgent", config.Urgent, "a", 59*time.Minute)}, nil, []string{"urgent", "old"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New[*item](c.ageing)
			q.SetWhole(whole)
			for a, cpu := range c.used {
				q.Take(a, resource.Amount{CPU: cpu})
			}
			for _, i := range c.items {
				q.Add(i)
			}
			if got := order(q, begin.Add(c.now)); !slices.Equal(got, c.want) {
				t.Errorf("order = %v, want %v", got, c.want)
			}
		})
	}
}

// Accounts that hand in much and little share a round's room equally.
func TestRoundSharesRoom(t *testing.T) {
	q := New[*item](0)
	q.SetWhole(whole)
	for i := range 100 {
		q.Add(at(fmt.Sprint("big", i), config.Batch, "big", 0))
	}
	q.Add(at("small", config.Batch, "small", time.Hour))
	placed := map[string]int{}
	q.Round(begin, func(i *item) Verdict {
		if placed["big"]+placed["small"] == 20 {
			return Halt
		}
		placed[i.account]++
		q.Take(i.account, resource.Amount{CPU: 1000})
		return Placed
	})
	if placed["big"] != 10 || placed["small"] != 10 {
		t.Errorf("placed = %v", placed)
	}
}

func TestRemove(t *testing.T) {
	q := New[*item](0)
	a, b := at("a", config.Batch, "x", 0), at("b", config.Batch, "x", 0)
	q.Add(a)
	q.Add(b)
	q.Remove(a)
	q.Remove(a)
	if got := order(q, begin); !slices.Equal(got, []string{"b"}) || q.Len() != 1 {
		t.Errorf("left = %v, %d", got, q.Len())
	}
}
