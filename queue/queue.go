// Package queue orders the jobs that wait for room: by class, then by the
// fairness of dominant shares among accounts, then by age.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"chutereach/config"
	"chutereach/resource"
)

// Item is a job that waits. It must be a pointer or another cheap value.
type Item interface {
	comparable
	// Class returns the job's class.
	Class() config.Class
	// Account returns the name of the job's account.
	Account() string
	// Since returns when the job began to wait.
	Since() time.Time
}

// Queue holds items until they are removed. It is not safe for concurrent use.
type Queue[I Item] struct {
	classes [3]map[string]*lane[I] // by rank, by account
	used    map[string]resource.Amount
	shares  map[string]float64 // worked out when what an account holds changes
	whole   resource.Amount
	ageing  time.Duration
	len     int
}

// lane is the items of one account in one class, the oldest first.
type lane[I Item] struct {
	account string
	items   []I
}

// New returns an empty queue. Work that has waited for ageing goes before work
// of the class above that is younger; 0 never raises it.
func New[I Item](ageing time.Duration) *Queue[I] {
	q := &Queue[I]{used: map[string]resource.Amount{}, shares: map[string]float64{}, ageing: ageing}
	for i := range q.classes {
		q.classes[i] = map[string]*lane[I]{}
	}
	return q
}

// SetWhole says what shares are shares of.
func (q *Queue[I]) SetWhole(whole resource.Amount) {
	q.whole = whole
	for a, used := range q.used {
		q.shares[a] = used.Dominant(whole)
	}
}

// Used returns what account holds.
func (q *Queue[I]) Used(account string) resource.Amount { return q.used[account] }

// Take notes that an account holds more.
func (q *Queue[I]) Take(account string, n resource.Amount) { q.set(account, q.used[account].Plus(n)) }

// Give notes that an account holds less.
func (q *Queue[I]) Give(account string, n resource.Amount) { q.set(account, q.used[account].Minus(n)) }

func (q *Queue[I]) set(account string, used resource.Amount) {
	if used.IsZero() {
		delete(q.used, account)
		delete(q.shares, account)
		return
	}
	q.used[account], q.shares[account] = used, used.Dominant(q.whole)
}

// Len returns the number of items.
func (q *Queue[I]) Len() int { return q.len }

// Add puts an item into its place by age.
func (q *Queue[I]) Add(item I) {
	lanes := q.classes[max(item.Class().Rank(), 0)]
	l := lanes[item.Account()]
	if l == nil {
		l = &lane[I]{account: item.Account()}
		lanes[item.Account()] = l
	}
	at, _ := slices.BinarySearchFunc(l.items, item, func(a, b I) int { return a.Since().Compare(b.Since()) })
	for at < len(l.items) && !l.items[at].Since().After(item.Since()) {
		at++ // behind its equals
	}
	l.items = slices.Insert(l.items, at, item)
	q.len++
}

// Remove takes an item out, if it is there.
func (q *Queue[I]) Remove(item I) {
	lanes := q.classes[max(item.Class().Rank(), 0)]
	l := lanes[item.Account()]
	if l == nil {
		return
	}
	at := slices.Index(l.items, item)
	if at < 0 {
		return
	}
	l.items = slices.Delete(l.items, at, at+1)
	q.len--
	if len(l.items) == 0 {
		delete(lanes, item.Account())
	}
}

// Verdict is what became of an item that a round offered.
type Verdict int

// What a round does after an item was offered.
const (
	Placed Verdict = iota // offer the same item again, in its turn
	Parked                // do not offer it again in this round
	Halt                  // end the round
)

// Round offers items in order until each is parked or offer says Halt. Offer
// may Take for the item's account, which moves the account back, and must not
// Add or Remove; what it wants removed it lists for after the round.
func (q *Queue[I]) Round(now time.Time, offer func(I) Verdict) {
	r := &round[I]{queue: q}
	for rank, lanes := range q.classes {
		for _, l := range lanes {
			r.cursors = append(r.cursors, &cursor[I]{lane: l, rank: q.rank(rank, l, now)})
		}
	}
	heap.Init(r)
	for r.Len() > 0 {
		c := r.cursors[0]
		switch offer(c.lane.items[c.next]) {
		case Halt:
			return
		case Parked:
			c.next++
		}
		if c.next >= len(c.lane.items) {
			heap.Pop(r)
			continue
		}
		c.rank = q.rank(c.lane.items[c.next].Class().Rank(), c.lane, now)
		heap.Fix(r, 0)
	}
}

// rank returns the class of a lane, raised where its oldest item has aged. One
// class up is the most, and never above urgent work that has waited as long.
func (q *Queue[I]) rank(class int, l *lane[I], now time.Time) int {
	if q.ageing > 0 && class > 0 && now.Sub(l.items[0].Since()) >= q.ageing {
		return class - 1
	}
	return class
}

// round is the lanes of one round, a heap by class, share and age.
type round[I Item] struct {
	queue   *Queue[I]
	cursors []*cursor[I]
}

type cursor[I Item] struct {
	lane *lane[I]
	next int
	rank int
}

func (r *round[I]) Len() int { return len(r.cursors) }

func (r *round[I]) Less(i, j int) bool {
	a, b := r.cursors[i], r.cursors[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	sa, sb := r.queue.shares[a.lane.account], r.queue.shares[b.lane.account]
	if sa != sb {
		return sa < sb
	}
	ta, tb := a.lane.items[a.next].Since(), b.lane.items[b.next].Since()
	if !ta.Equal(tb) {
		return ta.Before(tb)
	}
	return a.lane.account < b.lane.account
}

func (r *round[I]) Swap(i, j int) { r.cursors[i], r.cursors[j] = r.cursors[j], r.cursors[i] }

func (r *round[I]) Push(x any) { r.cursors = append(r.cursors, x.(*cursor[I])) }

func (r *round[I]) Pop() any {
	last := r.cursors[len(r.cursors)-1]
	r.cursors = r.cursors[:len(r.cursors)-1]
	return last
}
