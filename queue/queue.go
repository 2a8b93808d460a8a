// Package queue orders pending jobs by class, then by their account's dominant
// share of the capacity (dominant resource fairness), then by age.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"chutereach/config"
	"chutereach/resource"
)

// Item is a pending job. Items are copied and compared, so use a pointer or
// another small value.
type Item interface {
	comparable
	// Class returns the job's class.
	Class() config.Class
	// Account returns the name of the job's account.
	Account() string
	// QueuedAt returns the time at which the job was queued.
	QueuedAt() time.Time
}

// Queue holds items until they are removed. It is not safe for concurrent use.
type Queue[I Item] struct {
	classes        [3]map[string]*accountQueue[I] // by class rank, then by account name
	usage          map[string]resource.Amount
	dominantShares map[string]float64 // by account name; derived from usage and capacity
	capacity       resource.Amount
	ageing         time.Duration
	size           int
}

// accountQueue holds the items of one account in one class, oldest first.
type accountQueue[I Item] struct {
	name  string
	items []I
}

// New returns an empty queue. Once the oldest item of an account in a class has
// waited for ageing, that account's items in the class are ordered with the next
// higher class. An ageing of 0 disables this.
func New[I Item](ageing time.Duration) *Queue[I] {
	q := &Queue[I]{usage: map[string]resource.Amount{}, dominantShares: map[string]float64{}, ageing: ageing}
	for i := range q.classes {
		q.classes[i] = map[string]*accountQueue[I]{}
	}
	return q
}

// SetCapacity sets the capacity of which dominant shares are computed.
func (q *Queue[I]) SetCapacity(capacity resource.Amount) {
	q.capacity = capacity
	for a, used := range q.usage {
		q.dominantShares[a] = used.DominantShare(capacity)
	}
}

// Usage returns the resources allocated to account.
func (q *Queue[I]) Usage(account string) resource.Amount { return q.usage[account] }

// AddUsage adds n to the resources allocated to account.
func (q *Queue[I]) AddUsage(account string, n resource.Amount) {
	q.setUsage(account, q.usage[account].Plus(n))
}

// SubtractUsage subtracts n from the resources allocated to account.
func (q *Queue[I]) SubtractUsage(account string, n resource.Amount) {
	q.setUsage(account, q.usage[account].Minus(n))
}

func (q *Queue[I]) setUsage(account string, used resource.Amount) {
	if used.IsZero() {
		delete(q.usage, account)
		delete(q.dominantShares, account)
		return
	}
	q.usage[account], q.dominantShares[account] = used, used.DominantShare(q.capacity)
}

// Len returns the number of items.
func (q *Queue[I]) Len() int { return q.size }

// Add inserts an item in order of age, after any items of the same age.
func (q *Queue[I]) Add(item I) {
	accounts := q.classes[max(item.Class().Rank(), 0)]
	account := accounts[item.Account()]
	if account == nil {
		account = &accountQueue[I]{name: item.Account()}
		accounts[item.Account()] = account
	}
	index, _ := slices.BinarySearchFunc(account.items, item, func(a, b I) int { return a.QueuedAt().Compare(b.QueuedAt()) })
	for index < len(account.items) && !account.items[index].QueuedAt().After(item.QueuedAt()) {
		index++
	}
	account.items = slices.Insert(account.items, index, item)
	q.size++
}

// Remove removes an item. It does nothing if the item is not queued.
func (q *Queue[I]) Remove(item I) {
	accounts := q.classes[max(item.Class().Rank(), 0)]
	account := accounts[item.Account()]
	if account == nil {
		return
	}
	index := slices.Index(account.items, item)
	if index < 0 {
		return
	}
	account.items = slices.Delete(account.items, index, index+1)
	q.size--
	if len(account.items) == 0 {
		delete(accounts, item.Account())
	}
}

// Outcome is the result of offering an item for placement.
type Outcome int

// The results of an offer.
const (
	Placed  Outcome = iota // reorder the item's account and offer the item again
	Skipped                // skip the item for the rest of the round
	Halt                   // end the round
)

// Round calls offer with items in order until every item is skipped or offer
// returns Halt. offer may increase the usage of the item's account, which lowers
// the account's priority. It must not call Add or Remove.
func (q *Queue[I]) Round(now time.Time, offer func(I) Outcome) {
	r := &roundHeap[I]{queue: q}
	for rank, accounts := range q.classes {
		for _, account := range accounts {
			r.cursors = append(r.cursors, &cursor[I]{account: account, rank: q.effectiveRank(rank, account, now)})
		}
	}
	heap.Init(r)
	for r.Len() > 0 {
		c := r.cursors[0]
		switch offer(c.account.items[c.next]) {
		case Halt:
			return
		case Skipped:
			c.next++
		}
		if c.next >= len(c.account.items) {
			heap.Pop(r)
			continue
		}
		c.rank = q.effectiveRank(c.account.items[c.next].Class().Rank(), c.account, now)
		heap.Fix(r, 0)
	}
}

// effectiveRank returns the rank at which an account's items of a class are
// ordered: one class higher if its oldest item has waited for the ageing period.
func (q *Queue[I]) effectiveRank(class int, account *accountQueue[I], now time.Time) int {
	if q.ageing > 0 && class > 0 && now.Sub(account.items[0].QueuedAt()) >= q.ageing {
		return class - 1
	}
	return class
}

// roundHeap is the heap of one round's cursors, ordered by effective rank,
// dominant share, age and account name.
type roundHeap[I Item] struct {
	queue   *Queue[I]
	cursors []*cursor[I]
}

// cursor is the position of a round in one account's queue.
type cursor[I Item] struct {
	account *accountQueue[I]
	next    int // index of the next item to offer
	rank    int // effective rank
}

func (r *roundHeap[I]) Len() int { return len(r.cursors) }

func (r *roundHeap[I]) Less(i, j int) bool {
	a, b := r.cursors[i], r.cursors[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	sa, sb := r.queue.dominantShares[a.account.name], r.queue.dominantShares[b.account.name]
	if sa != sb {
		return sa < sb
	}
	ta, tb := a.account.items[a.next].QueuedAt(), b.account.items[b.next].QueuedAt()
	if !ta.Equal(tb) {
		return ta.Before(tb)
	}
	return a.account.name < b.account.name
}

func (r *roundHeap[I]) Swap(i, j int) { r.cursors[i], r.cursors[j] = r.cursors[j], r.cursors[i] }

func (r *roundHeap[I]) Push(x any) { r.cursors = append(r.cursors, x.(*cursor[I])) }

func (r *roundHeap[I]) Pop() any {
	last := r.cursors[len(r.cursors)-1]
	r.cursors = r.cursors[:len(r.cursors)-1]
	return last
}
