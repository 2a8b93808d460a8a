package route

import (
	"container/list"

	"chutereach/config"
)

// fairQueue is a queue ordered by class and, within a class, by round robin among
// accounts. It is not safe for concurrent use.
type fairQueue[T any] struct {
	classes []classQueue[T]
	len     int
}

// classQueue holds the items of one class by account. The account at the front of order
// is served next.
type classQueue[T any] struct {
	order    *list.List // of *accountQueue[T]
	accounts map[string]*list.Element
}

// accountQueue holds the items of one account, oldest first.
type accountQueue[T any] struct {
	name  string
	items *list.List // of T
}

func newFairQueue[T any]() *fairQueue[T] {
	q := &fairQueue[T]{classes: make([]classQueue[T], len(config.Classes))}
	for i := range q.classes {
		q.classes[i] = classQueue[T]{list.New(), map[string]*list.Element{}}
	}
	return q
}

// queuePosition identifies an item in a fairQueue, for its removal.
type queuePosition struct {
	class   int
	account string
	item    *list.Element
}

// push adds an item behind the others of its account.
func (q *fairQueue[T]) push(class config.Class, name string, item T) queuePosition {
	rank := max(class.Rank(), 0)
	c := &q.classes[rank]
	e := c.accounts[name]
	if e == nil {
		e = c.order.PushBack(&accountQueue[T]{name, list.New()})
		c.accounts[name] = e
	}
	q.len++
	return queuePosition{rank, name, e.Value.(*accountQueue[T]).items.PushBack(item)}
}

// pop removes the next item and moves its account to the end of its class.
func (q *fairQueue[T]) pop() (item T, found bool) {
	for rank := range q.classes {
		c := &q.classes[rank]
		e := c.order.Front()
		if e == nil {
			continue
		}
		a := e.Value.(*accountQueue[T])
		first := a.items.Front()
		item = first.Value.(T)
		q.remove(queuePosition{rank, a.name, first})
		if a.items.Len() > 0 {
			c.order.MoveToBack(e)
		}
		return item, true
	}
	return item, false
}

// remove removes an item that is still in the queue.
func (q *fairQueue[T]) remove(p queuePosition) {
	c := &q.classes[p.class]
	e := c.accounts[p.account]
	a := e.Value.(*accountQueue[T])
	a.items.Remove(p.item)
	q.len--
	if a.items.Len() == 0 {
		c.order.Remove(e)
		delete(c.accounts, p.account)
	}
}

// countAhead returns the number of items of a class and of the classes before it.
func (q *fairQueue[T]) countAhead(class config.Class) int {
	n := 0
	for rank := range max(class.Rank(), 0) + 1 {
		for e := q.classes[rank].order.Front(); e != nil; e = e.Next() {
			n += e.Value.(*accountQueue[T]).items.Len()
		}
	}
	return n
}
