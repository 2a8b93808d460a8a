package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"chutereach/commit"
	"chutereach/control"
	"chutereach/provider"
	"chutereach/standin"
)

var testTimes = Settings{HeartbeatInterval: time.Second, HeartbeatTimeout: 3 * time.Second}

// recordingOwner is an Owner that only records the units it owns.
type recordingOwner struct {
	mu   sync.Mutex
	held map[string]Assignment
}

func (o *recordingOwner) StartUnit(h Assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held[h.Unit] = h
}

func (o *recordingOwner) StopUnit(unit string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.held, unit)
	return time.Now()
}

// testBox is one box of a testCell. It reaches the shared table through a
// faultyTable of its own, so that it can be disconnected alone.
type testBox struct {
	*Manager
	owner  *recordingOwner
	cancel context.CancelFunc
	ended  chan error
	table  *faultyTable
}

// faultyTable injects faults into one box's access to the shared table.
type faultyTable struct {
	*standin.Table
	faults standin.Faults
}

func (c *faultyTable) Commit(ctx context.Context, t provider.Txn) (uint64, error) {
	return standin.Through(ctx, &c.faults, provider.TableService, standin.OpCommit, "", func() (uint64, error) {
		return c.Table.Commit(ctx, t)
	})
}

func (c *faultyTable) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	return standin.Through(ctx, &c.faults, provider.TableService, standin.OpRange, "", func() ([]provider.Row, error) {
		return c.Table.Range(ctx, prefix, after, limit)
	})
}

// testCell is a set of boxes that share one table.
type testCell struct {
	t     *testing.T
	table *standin.Table
	units []string
	boxes []*testBox
	moves int // unused
}

func newCell(t *testing.T, boxes, units int) *testCell {
	c := &testCell{t: t, table: standin.NewTable()}
	for i := range units {
		c.units = append(c.units, fmt.Sprintf("u%02d", i))
	}
	for range boxes {
		c.start()
	}
	return c
}

func (c *testCell) start() *testBox {
	n := &testBox{owner: &recordingOwner{held: map[string]Assignment{}}, ended: make(chan error, 1), table: &faultyTable{Table: c.table}}
	self := control.BoxRow{Incarnation: control.NewIncarnation(fmt.Sprintf("box-%d", len(c.boxes)+1))}
	sender := commit.NewSender(n.table, rate.NewLimiter(rate.Inf, 1))
	n.Manager = New(self, testTimes, sender, n.owner, zerolog.Nop())
	n.SetUnits(c.units)
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go func() { n.ended <- n.Run(ctx) }()
	c.boxes = append(c.boxes, n)
	return n
}

func (c *testCell) stop() {
	for _, n := range c.boxes {
		n.cancel()
	}
}

// currentOwners returns the box that validly owns each unit, and fails the test if a
// unit has two valid owners at once.
func (c *testCell) currentOwners() map[string]*testBox {
	owners := map[string]*testBox{}
	for _, n := range c.boxes {
		if !time.Now().Before(n.OwnedUntil()) {
			continue
		}
		for unit := range n.OwnedUnits() {
			if other := owners[unit]; other != nil {
				c.t.Errorf("%s is held by %s and %s at once", unit, other.self.Incarnation, n.self.Incarnation)
			}
			owners[unit] = n
		}
	}
	return owners
}

// countMoves checks the owners repeatedly for d, and returns how often the owner of a
// unit changed.
func (c *testCell) countMoves(d time.Duration) (moves int) {
	last := c.currentOwners()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := c.currentOwners()
		for unit, n := range now {
			if last[unit] != n {
				moves++
			}
		}
		last = now
	}
	return moves
}

// runningUnits returns the number of units that a live box runs. It doesn't require
// valid ownership, which can expire for short times while the table is slow.
func (c *testCell) runningUnits() int {
	units := map[string]bool{}
	for _, n := range c.boxes {
		if len(n.ended) > 0 {
			continue
		}
		for unit := range n.OwnedUnits() {
			units[unit] = true
		}
	}
	return len(units)
}

func (c *testCell) unitCounts() []int {
	var counts []int
	for _, n := range c.boxes {
		counts = append(counts, len(n.OwnedUnits()))
	}
	slices.Sort(counts)
	return counts
}

func TestDistributionConverges(t *testing.T) {
	for _, c := range []struct {
		boxes, units int
		want         []int
	}{
		{1, 7, []int{7}},
		{3, 7, []int{2, 2, 3}},
		{4, 6, []int{1, 1, 2, 2}},
		{9, 11, []int{1, 1, 1, 1, 1, 1, 1, 2, 2}},
		{5, 2, []int{0, 0, 0, 1, 1}},
	} {
		t.Run(fmt.Sprintf("%d boxes, %d units", c.boxes, c.units), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(t, c.boxes, c.units)
				defer cell.stop()
				cell.countMoves(time.Minute)
				if got := cell.unitCounts(); !slices.Equal(got, c.want) {
					t.Errorf("units by box = %v, want %v", got, c.want)
				}
				if moves := cell.countMoves(5 * time.Minute); moves > 0 {
					t.Errorf("%d ownership changes without a change of boxes or units, want 0", moves)
				}
			})
		})
	}
}

func TestUnitsFailOver(t *testing.T) {
	slow := standin.Fault{Delay: 2 * time.Second}
	lost := standin.Fault{Lose: true}
	for _, c := range []struct {
		name  string
		fault func(*testCell)
		// within is the time after which every unit must be running again.
		within time.Duration
	}{
		{"killed", func(c *testCell) { c.boxes[0].cancel() }, 8 * time.Second},
		{"two killed at once", func(c *testCell) { c.boxes[0].cancel(); c.boxes[1].cancel() }, 8 * time.Second},
		{"leaves", func(c *testCell) { c.boxes[0].Leave(context.Background()); c.boxes[0].cancel() }, 6 * time.Second},
		{"disconnected from the table", func(c *testCell) {
			c.boxes[0].table.faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
		}, 9 * time.Second},
		{"responses to its writes are lost", func(c *testCell) { c.boxes[0].table.faults.Always(lost) }, 9 * time.Second},
		{"killed while the table is slow", func(c *testCell) {
			c.table.Faults.Always(slow)
			c.boxes[0].cancel()
		}, 40 * time.Second},
		{"table outage for all boxes", func(c *testCell) {
			c.table.Faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
			time.Sleep(time.Minute)
			c.table.Faults.Clear()
		}, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(t, 4, 11)
				defer cell.stop()
				cell.countMoves(30 * time.Second)
				c.fault(cell)
				cell.countMoves(c.within)
				if got := cell.runningUnits(); got != len(cell.units) {
					t.Errorf("%d of %d units are running after %v", got, len(cell.units), c.within)
				}
				cell.countMoves(time.Minute)
			})
		})
	}
}

// A box that reconnects after its heartbeat expired must end with a FencedError and
// run no units. A heartbeat must not recreate its deleted row.
func TestFencedBoxStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3, 6)
		defer c.stop()
		c.countMoves(30 * time.Second)
		n := c.boxes[0]
		n.table.faults.Always(standin.Fault{Refuse: standin.Down(provider.TableService)})
		c.countMoves(20 * time.Second)
		n.table.faults.Clear()
		err := <-n.ended
		var fenced *FencedError
		if !errors.As(err, &fenced) || fenced.Incarnation != n.self.Incarnation {
			t.Errorf("Run = %v, want a FencedError for %s", err, n.self.Incarnation)
		}
		if held := n.owner.held; len(held) > 0 {
			t.Errorf("fenced box still runs %v", held)
		}
	})
}

// A drained box must release all its units, and get its share back once it is no
// longer drained.
func TestDrainedBoxOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3, 9)
		defer c.stop()
		c.countMoves(30 * time.Second)
		n := c.boxes[1]
		n.SetDrained(true)
		c.countMoves(20 * time.Second)
		if held := len(n.OwnedUnits()); held != 0 || c.runningUnits() != 9 {
			t.Errorf("drained box owns %d units, want 0; %d of 9 units are running", held, c.runningUnits())
		}
		n.SetDrained(false)
		c.countMoves(time.Minute)
		if got := c.unitCounts(); !slices.Equal(got, []int{3, 3, 3}) {
			t.Errorf("units by box after the drain = %v, want [3 3 3]", got)
		}
	})
}

// Slow heartbeat writes must not make boxes declare each other dead.
func TestSlowTableCausesNoFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 4, 8)
		defer c.stop()
		c.countMoves(30 * time.Second)
		held := map[string]Assignment{}
		for _, n := range c.boxes {
			for u, h := range n.OwnedUnits() {
				held[u] = h
			}
		}
		c.table.Faults.Always(standin.Fault{Delay: 2 * time.Second})
		c.countMoves(5 * time.Minute)
		for _, n := range c.boxes {
			for u, h := range n.OwnedUnits() {
				if h.Epoch != held[u].Epoch {
					t.Errorf("owner of %s changed: epoch %d, then %d", u, held[u].Epoch, h.Epoch)
				}
			}
		}
	})
}
